package rollout

import (
	"cmp"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func (e *Editor) gotHead(a Answer) error {
	switch {
	case errors.Is(a.Err, platform.ErrNotFound):
		e.item, e.head = platform.Item{}, Head{}
	case a.Err != nil:
		return a.Err
	default:
		h, err := DecodeHead(a.Item.Value)
		if err != nil {
			return err
		}
		e.item, e.head = a.Item, h
	}
	if e.edit.Action == ActionRead {
		e.edit.Base, e.edit.To = e.head.Revision, cmp.Or(e.edit.To, e.head.Revision)
	}
	e.segment = e.head.Audit.Segments + 1
	e.trail = e.head.Audit.Entries
	return e.afterTrail()
}

// afterTrail continues when more of the audit trail is known.
func (e *Editor) afterTrail() error {
	if entry, ok := audit.FindOperation(e.trail, e.edit.OpID); ok && !e.faults.ignoreOpID {
		e.swapUnknown = false
		// The entry of a record has no revision of its own.
		e.finish(Result{Revision: cmp.Or(entry.Revision, e.head.Revision), Repeated: true}, nil)
		return nil
	}
	if e.segment > 1 && !e.trailSuffices() {
		var keys []string
		for n := e.segment - 1; n >= 1 && len(keys) < segmentsAtOnce; n-- {
			keys = append(keys, audit.SegmentKey(n))
		}
		e.get(stageSearch, keys...)
		return nil
	}
	if e.item.Revision != e.unknownAt {
		e.swapUnknown = false
	}
	switch {
	case e.edit.Action == ActionRead:
	case e.edit.Action == ActionCollect:
		return e.collect()
	case e.edit.Action == ActionRotate, len(e.head.Audit.Entries) >= e.rotateAnyway:
		return e.rotate()
	case e.edit.Action == ActionRecord:
		return e.record()
	}
	return e.needManifests()
}

// trailSuffices reports whether the trail goes back to the base revision: an
// operation that started from it, and the manifests of the base and the target,
// are found in later entries.
func (e *Editor) trailSuffices() bool {
	oldest := e.head.Revision
	switch e.edit.Action {
	case ActionRotate:
		return true
	case ActionRecord:
		// A record has no base revision; it is later than its first attempt.
		since := e.edit.Since
		if since.IsZero() {
			since = e.started
		}
		return len(e.trail) == 0 || e.trail[0].At.Before(since.Add(-clockSkew))
	case ActionRollback, ActionRead:
		oldest = min(oldest, e.edit.To, e.edit.Base)
	case ActionCollect:
		oldest = e.head.Collected + 1
	default:
		oldest = min(oldest, e.edit.Base)
	}
	if oldest >= e.head.Revision {
		return true
	}
	for _, entry := range e.trail {
		if entry.Manifest != "" {
			return entry.Revision <= oldest
		}
	}
	return false
}

func (e *Editor) gotSegments(answers []Answer) error {
	for _, a := range answers {
		if a.Err != nil {
			return errors.Wrapf(a.Err, "audit segment %d", e.segment-1)
		}
		var s audit.Segment
		if err := json.Unmarshal(a.Item.Value, &s); err != nil {
			return errors.Wrapf(err, "audit segment %d", e.segment-1)
		}
		e.segment--
		e.trail = append(append([]audit.Entry(nil), s.Entries...), e.trail...)
	}
	return e.afterTrail()
}

func (e *Editor) needManifests() error {
	if e.edit.Base > e.head.Revision {
		return &UnknownRevisionError{Revision: e.edit.Base}
	}
	want := []uint64{e.edit.Base}
	if e.edit.Action == ActionRead {
		want[0] = e.edit.To
		if e.edit.To > e.head.Revision {
			return &UnknownRevisionError{Revision: e.edit.To}
		}
	}
	if e.edit.Action == ActionRollback {
		if e.edit.Base != e.head.Revision {
			return &StaleError{Base: e.edit.Base, Current: e.head.Revision}
		}
		if e.edit.To == 0 || e.edit.To > e.head.Revision {
			return &UnknownRevisionError{Revision: e.edit.To}
		}
		want = append(want, e.edit.To)
	}
	e.manifests[0], e.manifests[e.head.Revision] = nil, e.head.Manifest
	var keys []string
	e.pending = nil
	for _, revision := range want {
		if _, ok := e.manifests[revision]; ok {
			continue
		}
		hash, ok := findManifest(e.trail, revision)
		if !ok {
			return &UnknownRevisionError{Revision: revision}
		}
		keys, e.pending = append(keys, ManifestKey(hash)), append(e.pending, revision)
	}
	if len(keys) == 0 {
		return e.needSections()
	}
	e.get(stageManifests, keys...)
	return nil
}

func findManifest(trail []audit.Entry, revision uint64) (config.Hash, bool) {
	for _, entry := range trail {
		if entry.Revision == revision && entry.Manifest != "" {
			return config.Hash(entry.Manifest), true
		}
	}
	return "", false
}

func (e *Editor) gotManifests(answers []Answer) error {
	for i, a := range answers {
		if errors.Is(a.Err, platform.ErrNotFound) {
			return &UnknownRevisionError{Revision: e.pending[i]}
		}
		if a.Err != nil {
			return errors.Wrapf(a.Err, "manifest of revision %d", e.pending[i])
		}
		var m config.Manifest
		if err := json.Unmarshal(a.Item.Value, &m); err != nil {
			return errors.Wrapf(err, "manifest of revision %d", e.pending[i])
		}
		e.manifests[e.pending[i]] = m
	}
	return e.needSections()
}

func (e *Editor) needSections() error {
	e.loading = nil
	wanted := make(map[config.Hash]bool)
	for _, m := range e.manifests {
		for _, h := range m.Hashes() {
			if _, ok := e.sections[h]; !ok && !wanted[h] {
				wanted[h] = true
				e.loading = append(e.loading, h)
			}
		}
	}
	if len(e.loading) == 0 {
		return e.build()
	}
	keys := make([]string, len(e.loading))
	for i, h := range e.loading {
		keys[i] = SectionKey(h)
	}
	e.get(stageSections, keys...)
	return nil
}

func (e *Editor) gotSections(answers []Answer) error {
	for i, a := range answers {
		if a.Err != nil {
			return errors.Wrapf(a.Err, "section %s", e.loading[i])
		}
		e.sections[e.loading[i]] = a.Item.Value
	}
	return e.build()
}
