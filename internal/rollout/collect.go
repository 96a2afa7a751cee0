package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

const (
	// keepRevisions is the number of revisions that stay available as a base or
	// for a rollback, about 50 minutes at 5,800 edits a day. An edit writes about
	// 40 KB at the target size, so they take about 8 MB of the store.
	keepRevisions = 200
	// collectAtOnce bounds the revisions of one collection.
	collectAtOnce = 50
)

// garbage is the state of a collection.
type garbage struct {
	// through is the newest revision that is collected, revisions those whose
	// manifests are read.
	through   uint64
	revisions []uint64
	// keys are unused content, deletions the same with the revisions found.
	keys      []string
	deletions []Deletion
}

// NeedsCollection reports whether the holder of the duty collects now.
func (h Head) NeedsCollection() bool { return h.Revision > h.CollectedThrough+keepRevisions+collectAtOnce }

// collect deletes content that only old revisions have. An edit may at the same
// time bring such content into use again. Three rules prevent its loss: the
// revisions of the content are read first, the head is written next (so that an
// edit which read the head before fails and checks its content again), and a
// deletion expects the revision that was read, which an edit that uses the
// content again raises.
func (e *Editor) collect() error {
	first := e.head.CollectedThrough + 1
	if e.head.Revision < first+e.keepRevisions {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	e.garbage = garbage{through: min(e.head.Revision-e.keepRevisions, e.head.CollectedThrough+collectAtOnce)}
	var keys []string
	for r := first; r < e.head.Revision; r++ {
		hash, ok := findManifest(e.trail, r)
		if !ok {
			return &UnknownRevisionError{Revision: r}
		}
		keys, e.garbage.revisions = append(keys, ManifestKey(hash)), append(e.garbage.revisions, r)
	}
	e.get(stageGarbage, keys...)
	return nil
}

// stepCollect continues a collection.
func (e *Editor) stepCollect(answers []Response) error {
	switch {
	case e.stage == stageGarbage && len(e.garbage.keys) == 0:
		return e.gotOldManifests(answers)
	case e.stage == stageGarbage:
		return e.gotGarbage(answers)
	case e.stage == stageFence:
		return e.gotFence(answers[0])
	case e.stage == stageDelete:
		return e.gotDeletions(answers)
	}
	return e.gotCollected(answers[0])
}

// gotOldManifests finds content that no kept revision has.
func (e *Editor) gotOldManifests(answers []Response) error {
	dead, kept := make(map[string]bool), make(map[string]bool)
	use(kept, e.head.Manifest)
	for i, a := range answers {
		revision := e.garbage.revisions[i]
		if errors.Is(a.Err, platform.ErrNotFound) && revision <= e.garbage.through {
			continue // an interrupted collection deleted it
		}
		if a.Err != nil {
			return errors.Wrapf(a.Err, "manifest of revision %d", revision)
		}
		var m config.Manifest
		if err := json.Unmarshal(a.Item.Value, &m); err != nil {
			return errors.Wrapf(err, "manifest of revision %d", revision)
		}
		if revision <= e.garbage.through {
			use(dead, m)
		} else {
			use(kept, m)
		}
	}
	maps.DeleteFunc(dead, func(key string, _ bool) bool { return kept[key] })
	e.garbage.keys = slices.Sorted(maps.Keys(dead))
	if len(e.garbage.keys) == 0 {
		return e.fence()
	}
	e.get(stageGarbage, e.garbage.keys...)
	return nil
}

// use adds the keys of a manifest and its sections.
func use(keys map[string]bool, m config.Manifest) {
	keys[ManifestKey(m.Hash())] = true
	for _, h := range m.Hashes() {
		keys[SectionKey(h)] = true
	}
}

func (e *Editor) gotGarbage(answers []Response) error {
	for i, a := range answers {
		switch {
		case errors.Is(a.Err, platform.ErrNotFound):
		case a.Err != nil:
			return errors.Wrapf(a.Err, "read of %s", e.garbage.keys[i])
		default:
			e.garbage.deletions = append(e.garbage.deletions, Deletion{Key: e.garbage.keys[i], Expected: a.Item.Revision})
		}
	}
	return e.fence()
}

// fence writes the head, so that edits which read it earlier fail.
func (e *Editor) fence() error {
	e.next = e.head
	e.next.CollectingThrough = e.garbage.through
	if e.faults.collectUnfenced {
		return e.remove()
	}
	return e.putHead(stageFence, "fence")
}

func (e *Editor) putHead(s stage, step string) error {
	if err := e.encodeNext(); err != nil {
		return err
	}
	e.put(s, []platform.Write{{Key: HeadKey, Value: e.nextValue, Expected: e.item.Revision,
		OpID: fmt.Sprintf("%s-%d-%s", step, e.item.Revision, e.edit.OpID)}})
	return nil
}

func (e *Editor) gotFence(a Response) error {
	switch _, changed := platform.AsConflict(a.Err); {
	case a.Err == nil:
		e.item, e.head = a.Item, e.next
		return e.remove()
	case changed, errors.Is(a.Err, platform.ErrOutcomeUnknown):
		return e.collectAgain()
	}
	return a.Err
}

// collectAgain starts over from the head.
func (e *Editor) collectAgain() error {
	if e.swaps++; e.swaps > maxSwaps {
		return errors.Wrapf(platform.ErrLimited, "%d attempts met a changed head", maxSwaps)
	}
	e.readHead()
	return nil
}

func (e *Editor) remove() error {
	if len(e.garbage.deletions) == 0 {
		return e.markCollected()
	}
	e.stage, e.request = stageDelete, Request{Delete: e.garbage.deletions}
	return nil
}

func (e *Editor) gotDeletions(answers []Response) error {
	for _, a := range answers {
		// After a conflict the content is in use again or gone. After an unknown
		// outcome it may be left over, which costs space only.
		if _, changed := platform.AsConflict(a.Err); a.Err != nil && !changed && !errors.Is(a.Err, platform.ErrOutcomeUnknown) {
			return a.Err
		}
	}
	return e.markCollected()
}

func (e *Editor) markCollected() error {
	e.next = e.head
	e.next.CollectedThrough, e.next.CollectingThrough = e.garbage.through, 0
	return e.putHead(stageCollected, "collected")
}

func (e *Editor) gotCollected(a Response) error {
	switch _, changed := platform.AsConflict(a.Err); {
	case a.Err == nil:
		e.finish(Result{Revision: e.head.Revision}, nil)
		return nil
	case changed, errors.Is(a.Err, platform.ErrOutcomeUnknown):
		return e.collectAgain()
	}
	return a.Err
}
