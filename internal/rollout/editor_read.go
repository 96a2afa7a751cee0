package rollout

import (
	"cmp"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func (e *Editor) handleHead(resp Response) error {
	switch {
	case errors.Is(resp.Err, platform.ErrNotFound):
		e.headItem, e.head = platform.Item{}, Head{}
	case resp.Err != nil:
		return resp.Err
	default:
		h, err := DecodeHead(resp.Item.Value)
		if err != nil {
			return err
		}
		e.headItem, e.head = resp.Item, h
	}
	if e.edit.Action == ActionRead {
		e.edit.Base, e.edit.TargetRevision = e.head.Revision, cmp.Or(e.edit.TargetRevision, e.head.Revision)
	}
	e.oldestSegment = e.head.Audit.Segments + 1
	e.trail = e.head.Audit.Entries
	return e.continueWithTrail()
}

// continueWithTrail continues the edit after the head or more audit segments have
// been read.
func (e *Editor) continueWithTrail() error {
	if entry, ok := audit.FindOperation(e.trail, e.edit.OpID); ok && !e.faults.ignoreOpID {
		e.swapOutcomeUnknown = false
		// An entry written by ActionAppendAudit has no configuration revision.
		e.finish(Result{Revision: cmp.Or(entry.Revision, e.head.Revision), Repeated: true}, nil)
		return nil
	}
	if e.oldestSegment > 1 && !e.trailCoversEdit() {
		var keys []string
		for n := e.oldestSegment - 1; n >= 1 && len(keys) < segmentsPerRead; n-- {
			keys = append(keys, audit.SegmentKey(n))
		}
		e.get(stageSegments, keys...)
		return nil
	}
	if e.headItem.Revision != e.unknownSwapExpected {
		e.swapOutcomeUnknown = false
	}
	switch {
	case e.edit.Action == ActionRead:
	case e.edit.Action == ActionCollect:
		return e.startCollection()
	case e.edit.Action == ActionRotate, len(e.head.Audit.Entries) >= e.forcedRotationThreshold:
		return e.rotate()
	case e.edit.Action == ActionAppendAudit:
		return e.appendAuditEntry()
	}
	return e.loadManifests()
}

// trailCoversEdit reports whether the trail reaches back far enough: any earlier
// attempt of the operation and the manifests of the base and target revisions are
// then among the entries read.
func (e *Editor) trailCoversEdit() bool {
	oldest := e.head.Revision
	switch e.edit.Action {
	case ActionRotate:
		return true
	case ActionAppendAudit:
		// The edit has no base revision; its entry is not older than its first attempt.
		since := e.edit.FirstAttemptAt
		if since.IsZero() {
			since = e.startedAt
		}
		return len(e.trail) == 0 || e.trail[0].At.Before(since.Add(-maxClockSkew))
	case ActionRollback, ActionRead:
		oldest = min(oldest, e.edit.TargetRevision, e.edit.Base)
	case ActionCollect:
		oldest = e.head.CollectedThrough + 1
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

func (e *Editor) handleSegments(responses []Response) error {
	for _, resp := range responses {
		if resp.Err != nil {
			return errors.Wrapf(resp.Err, "audit segment %d", e.oldestSegment-1)
		}
		var s audit.Segment
		if err := json.Unmarshal(resp.Item.Value, &s); err != nil {
			return errors.Wrapf(err, "audit segment %d", e.oldestSegment-1)
		}
		e.oldestSegment--
		e.trail = append(append([]audit.Entry(nil), s.Entries...), e.trail...)
	}
	return e.continueWithTrail()
}

func (e *Editor) loadManifests() error {
	if e.edit.Base > e.head.Revision {
		return &UnknownRevisionError{Revision: e.edit.Base}
	}
	revisions := []uint64{e.edit.Base}
	if e.edit.Action == ActionRead {
		revisions[0] = e.edit.TargetRevision
		if e.edit.TargetRevision > e.head.Revision {
			return &UnknownRevisionError{Revision: e.edit.TargetRevision}
		}
	}
	if e.edit.Action == ActionRollback {
		if e.edit.Base != e.head.Revision {
			return &StaleError{Base: e.edit.Base, Current: e.head.Revision}
		}
		if e.edit.TargetRevision == 0 || e.edit.TargetRevision > e.head.Revision {
			return &UnknownRevisionError{Revision: e.edit.TargetRevision}
		}
		revisions = append(revisions, e.edit.TargetRevision)
	}
	e.manifests[0], e.manifests[e.head.Revision] = nil, e.head.Manifest
	var keys []string
	e.pendingManifests = nil
	for _, revision := range revisions {
		if _, ok := e.manifests[revision]; ok {
			continue
		}
		hash, ok := findManifest(e.trail, revision)
		if !ok {
			return &UnknownRevisionError{Revision: revision}
		}
		keys, e.pendingManifests = append(keys, ManifestKey(hash)), append(e.pendingManifests, revision)
	}
	if len(keys) == 0 {
		return e.loadSections()
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

func (e *Editor) handleManifests(responses []Response) error {
	for i, resp := range responses {
		if errors.Is(resp.Err, platform.ErrNotFound) {
			return &UnknownRevisionError{Revision: e.pendingManifests[i]}
		}
		if resp.Err != nil {
			return errors.Wrapf(resp.Err, "manifest of revision %d", e.pendingManifests[i])
		}
		var m config.Manifest
		if err := json.Unmarshal(resp.Item.Value, &m); err != nil {
			return errors.Wrapf(err, "manifest of revision %d", e.pendingManifests[i])
		}
		e.manifests[e.pendingManifests[i]] = m
	}
	return e.loadSections()
}

func (e *Editor) loadSections() error {
	e.pendingSections = nil
	requested := make(map[config.Hash]bool)
	for _, m := range e.manifests {
		for _, h := range m.Hashes() {
			if _, ok := e.sections[h]; !ok && !requested[h] {
				requested[h] = true
				e.pendingSections = append(e.pendingSections, h)
			}
		}
	}
	if len(e.pendingSections) == 0 {
		return e.build()
	}
	keys := make([]string, len(e.pendingSections))
	for i, h := range e.pendingSections {
		keys[i] = SectionKey(h)
	}
	e.get(stageSections, keys...)
	return nil
}

func (e *Editor) handleSections(responses []Response) error {
	for i, resp := range responses {
		if resp.Err != nil {
			return errors.Wrapf(resp.Err, "section %s", e.pendingSections[i])
		}
		e.sections[e.pendingSections[i]] = resp.Item.Value
	}
	return e.build()
}
