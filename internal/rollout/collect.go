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
	// retainedRevisions is the number of revisions that stay available as a base or
	// for a rollback: about 50 minutes at 5,800 edits a day. An edit writes about
	// 40 KB at the target size, so they occupy about 8 MB of the store.
	retainedRevisions = 200
	// maxCollectedRevisions bounds the revisions that one collection covers.
	maxCollectedRevisions = 50
)

// collection is the state of a garbage collection of old revisions.
type collection struct {
	// through is the newest revision to collect; revisions lists those whose
	// manifests are read.
	through   uint64
	revisions []uint64
	// unusedKeys are the store keys of unused content; deletions holds those that
	// exist, with the store revisions that were read.
	unusedKeys []string
	deletions  []Deletion
}

// NeedsCollection reports whether enough revisions have accumulated for the
// daemon with the collection duty to start a collection.
func (h Head) NeedsCollection() bool {
	return h.Revision > h.CollectedThrough+retainedRevisions+maxCollectedRevisions
}

// startCollection begins to delete content that only old revisions reference. A
// concurrent edit may reference such content again. Three rules prevent its loss:
// the store revisions of the content are read first; then the head is written, so
// that an edit which read the head earlier fails and checks its content again; and
// a deletion expects the revision that was read, which an edit that reuses the
// content increases.
func (e *Editor) startCollection() error {
	first := e.head.CollectedThrough + 1
	if e.head.Revision < first+e.retainedRevisions {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	e.collection = collection{through: min(e.head.Revision-e.retainedRevisions, e.head.CollectedThrough+maxCollectedRevisions)}
	var keys []string
	for r := first; r < e.head.Revision; r++ {
		hash, ok := findManifest(e.trail, r)
		if !ok {
			return &UnknownRevisionError{Revision: r}
		}
		keys, e.collection.revisions = append(keys, ManifestKey(hash)), append(e.collection.revisions, r)
	}
	e.get(stageCollectionReads, keys...)
	return nil
}

// stepCollect handles the responses to a collection's store calls.
func (e *Editor) stepCollect(responses []Response) error {
	switch {
	case e.stage == stageCollectionReads && len(e.collection.unusedKeys) == 0:
		return e.handleOldManifests(responses)
	case e.stage == stageCollectionReads:
		return e.handleUnusedContent(responses)
	case e.stage == stageFence:
		return e.handleFence(responses[0])
	case e.stage == stageDelete:
		return e.handleDeletions(responses)
	}
	return e.handleCollected(responses[0])
}

// handleOldManifests finds content that no retained revision references.
func (e *Editor) handleOldManifests(responses []Response) error {
	unused, retained := make(map[string]bool), make(map[string]bool)
	addKeys(retained, e.head.Manifest)
	for i, resp := range responses {
		revision := e.collection.revisions[i]
		if errors.Is(resp.Err, platform.ErrNotFound) && revision <= e.collection.through {
			continue // deleted by an interrupted collection
		}
		if resp.Err != nil {
			return errors.Wrapf(resp.Err, "manifest of revision %d", revision)
		}
		var m config.Manifest
		if err := json.Unmarshal(resp.Item.Value, &m); err != nil {
			return errors.Wrapf(err, "manifest of revision %d", revision)
		}
		if revision <= e.collection.through {
			addKeys(unused, m)
		} else {
			addKeys(retained, m)
		}
	}
	maps.DeleteFunc(unused, func(key string, _ bool) bool { return retained[key] })
	e.collection.unusedKeys = slices.Sorted(maps.Keys(unused))
	if len(e.collection.unusedKeys) == 0 {
		return e.writeFence()
	}
	e.get(stageCollectionReads, e.collection.unusedKeys...)
	return nil
}

// addKeys adds the store keys of a manifest and of its sections.
func addKeys(keys map[string]bool, m config.Manifest) {
	keys[ManifestKey(m.Hash())] = true
	for _, h := range m.Hashes() {
		keys[SectionKey(h)] = true
	}
}

func (e *Editor) handleUnusedContent(responses []Response) error {
	for i, resp := range responses {
		switch {
		case errors.Is(resp.Err, platform.ErrNotFound):
		case resp.Err != nil:
			return errors.Wrapf(resp.Err, "read %s", e.collection.unusedKeys[i])
		default:
			e.collection.deletions = append(e.collection.deletions, Deletion{Key: e.collection.unusedKeys[i], Expected: resp.Item.Revision})
		}
	}
	return e.writeFence()
}

// writeFence writes the head, so that edits which read it earlier fail.
func (e *Editor) writeFence() error {
	e.nextHead = e.head
	e.nextHead.CollectingThrough = e.collection.through
	if e.faults.skipCollectionFence {
		return e.deleteContent()
	}
	return e.putHead(stageFence, "fence")
}

func (e *Editor) putHead(s stage, step string) error {
	if err := e.encodeNext(); err != nil {
		return err
	}
	e.put(s, []platform.Write{{Key: HeadKey, Value: e.nextHeadValue, Expected: e.headItem.Revision,
		OpID: fmt.Sprintf("%s-%d-%s", step, e.headItem.Revision, e.edit.OpID)}})
	return nil
}

func (e *Editor) handleFence(resp Response) error {
	switch _, changed := platform.AsConflict(resp.Err); {
	case resp.Err == nil:
		e.headItem, e.head = resp.Item, e.nextHead
		return e.deleteContent()
	case changed, errors.Is(resp.Err, platform.ErrOutcomeUnknown):
		return e.restartCollection()
	}
	return resp.Err
}

// restartCollection starts over by reading the head.
func (e *Editor) restartCollection() error {
	if e.swapAttempts++; e.swapAttempts > maxSwapAttempts {
		return errors.Wrapf(platform.ErrLimited, "head record changed during each of %d attempts", maxSwapAttempts)
	}
	e.readHead()
	return nil
}

func (e *Editor) deleteContent() error {
	if len(e.collection.deletions) == 0 {
		return e.markCollected()
	}
	e.stage, e.request = stageDelete, Request{Delete: e.collection.deletions}
	return nil
}

func (e *Editor) handleDeletions(responses []Response) error {
	for _, resp := range responses {
		// After a conflict the content is in use again or already deleted. After an
		// unknown outcome it may remain, which costs only space.
		if _, changed := platform.AsConflict(resp.Err); resp.Err != nil && !changed && !errors.Is(resp.Err, platform.ErrOutcomeUnknown) {
			return resp.Err
		}
	}
	return e.markCollected()
}

func (e *Editor) markCollected() error {
	e.nextHead = e.head
	e.nextHead.CollectedThrough, e.nextHead.CollectingThrough = e.collection.through, 0
	return e.putHead(stageMarkCollected, "collected")
}

func (e *Editor) handleCollected(resp Response) error {
	switch _, changed := platform.AsConflict(resp.Err); {
	case resp.Err == nil:
		e.finish(Result{Revision: e.head.Revision}, nil)
		return nil
	case changed, errors.Is(resp.Err, platform.ErrOutcomeUnknown):
		return e.restartCollection()
	}
	return resp.Err
}
