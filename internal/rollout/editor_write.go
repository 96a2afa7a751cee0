package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func (e *Editor) put(s stage, writes []platform.Write) {
	e.stage, e.request, e.lastPut = s, Request{Put: writes}, writes
}

func (e *Editor) section(h config.Hash) ([]byte, bool) {
	content, ok := e.sections[h]
	return content, ok
}

// build computes the new configuration and starts to write it.
func (e *Editor) build() error {
	if e.edit.Action == ActionRead {
		c, err := config.Join(nil, nil, e.manifests[e.edit.To], e.section)
		if err == nil {
			e.finish(Result{Revision: e.edit.To, Config: c}, nil)
		}
		return err
	}
	current, err := config.Join(nil, nil, e.head.Manifest, e.section)
	if err != nil {
		return err
	}
	next, err := e.wanted(current)
	if err != nil {
		return err
	}
	changes := config.Diff(current, next)
	if len(changes) == 0 {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	spent := e.edit.Spent
	if spent == nil {
		spent = func(string) bool { return true }
	}
	if err := config.CheckGuards(current, next, spent, e.edit.Allow); err != nil {
		return err
	}
	manifest, contents, err := config.Split(next, e.head.Manifest)
	if err != nil {
		return err
	}
	e.result = Result{Revision: e.head.Revision + 1, Merged: e.edit.Base != e.head.Revision, Changes: changes}
	if err := e.prepare(manifest, changes); err != nil {
		return err
	}
	writes := e.newContent(manifest, contents)
	if len(writes) == 0 || e.faults.headBeforeSections {
		return e.swap()
	}
	e.put(stageWrite, writes)
	return nil
}

// wanted returns the configuration that the edit leads to.
func (e *Editor) wanted(current *config.Config) (*config.Config, error) {
	if e.edit.Action == ActionRollback {
		return config.Join(current, e.head.Manifest, e.manifests[e.edit.To], e.section)
	}
	if e.edit.Base == e.head.Revision || e.faults.skipMerge {
		return e.edit.Config, nil
	}
	base, err := config.Join(current, e.head.Manifest, e.manifests[e.edit.Base], e.section)
	if err != nil {
		return nil, err
	}
	return config.Merge(base, e.edit.Config, current)
}

// prepare computes the next head record.
func (e *Editor) prepare(m config.Manifest, changes []config.Change) error {
	entry := e.edit.Entry
	entry.At, entry.OpID, entry.Result = e.now, e.edit.OpID, audit.ResultDone
	entry.Base, entry.Revision, entry.Manifest = e.edit.Base, e.head.Revision+1, string(m.Hash())
	entry.Subjects = subjects(changes)
	if entry.Kind == "" {
		entry.Kind = audit.KindApply
	}
	if e.edit.Action == ActionRollback {
		entry.Kind, entry.Detail = audit.KindRollback, fmt.Sprintf("content of revision %d", e.edit.To)
	}
	e.next = Head{Revision: e.head.Revision + 1, Manifest: m, Audit: e.head.Audit.Append(entry)}
	if e.faults.separateAudit {
		e.next.Audit = e.head.Audit
	}
	return e.encodeNext()
}

func (e *Editor) encodeNext() error {
	value, err := e.next.encode()
	e.nextValue = value
	return err
}

func subjects(changes []config.Change) []audit.Subject {
	list := make([]audit.Subject, len(changes))
	for i, c := range changes {
		list[i] = audit.Subject{Kind: string(c.Kind), Name: c.Name}
	}
	return list
}

// newContent returns the writes of the sections that the head does not have,
// and of the manifest, by which a later rollback finds them.
func (e *Editor) newContent(m config.Manifest, contents map[config.Hash][]byte) []platform.Write {
	known := e.head.Manifest.Hashes()
	var writes []platform.Write
	for _, h := range m.Hashes() {
		if _, ok := slices.BinarySearch(known, h); ok {
			continue
		}
		e.sections[h] = contents[h]
		writes = append(writes, e.contentWrite(SectionKey(h), contents[h]))
	}
	return append(writes, e.contentWrite(ManifestKey(m.Hash()), m.Encode()))
}

// contentWrite returns the write of immutable content. Its operation id differs
// for each version of the head that was read, so that the store does not take a
// write that a collection may since have found for this one.
func (e *Editor) contentWrite(key string, value []byte) platform.Write {
	return platform.Write{Key: key, Value: value, OpID: fmt.Sprintf("%s/%d/%s", e.edit.OpID, e.item.Revision, key)}
}

// gotWrites checks that the sections and the manifest are stored. Content that
// an earlier edit wrote is written again over itself: its new revision protects
// it from a collection that found it unused (see collect).
func (e *Editor) gotWrites(answers []Answer) error {
	var again []platform.Write
	for i, a := range answers {
		w := e.lastPut[i]
		conflict, exists := platform.AsConflict(a.Err)
		switch {
		case a.Err == nil:
		case exists && conflict.Actual.Revision == 0:
			w.Expected = 0
			again = append(again, w)
		case exists && bytes.Equal(conflict.Actual.Value, w.Value):
			if !e.faults.reuseUntouched {
				w.Expected = conflict.Actual.Revision
				again = append(again, w)
			}
		case errors.Is(a.Err, platform.ErrOutcomeUnknown):
			again = append(again, w)
		default:
			return errors.Wrapf(a.Err, "write of %s", w.Key)
		}
	}
	if len(again) > 0 {
		e.put(stageWrite, again)
		return nil
	}
	return e.swap()
}

// swap writes the head if it is still the one that was read.
func (e *Editor) swap() error {
	if e.swaps++; e.swaps > maxSwaps {
		return errors.Wrapf(platform.ErrLimited, "%d attempts met a changed head", maxSwaps)
	}
	w := platform.Write{Key: HeadKey, Value: e.nextValue, Expected: e.item.Revision, OpID: e.edit.OpID}
	if e.stage == stageSegment {
		// The rotation is not the operation itself, whose id must not be used up.
		w.OpID = fmt.Sprintf("rotate-%d-%s", e.head.Audit.Segments+1, e.edit.OpID)
		e.put(stageTrim, []platform.Write{w})
		return nil
	}
	e.put(stageSwap, []platform.Write{w})
	return nil
}

func (e *Editor) gotSwap(a Answer) error {
	conflict, changed := platform.AsConflict(a.Err)
	switch {
	case a.Err == nil && e.stage == stageTrim && e.edit.Action != ActionRotate:
		e.readHead()
		return nil
	case a.Err == nil:
		return e.accepted(a.Item)
	case changed && e.faults.blindSwap:
		e.item.Revision = conflict.Actual.Revision
		return e.swap()
	case changed:
		e.readHead()
		return nil
	case errors.Is(a.Err, platform.ErrOutcomeUnknown):
		if e.stage == stageSwap {
			e.swapUnknown, e.unknownAt = true, e.lastPut[0].Expected
		}
		e.readHead()
		return nil
	}
	return a.Err
}

// accepted ends the edit. The store answers a repeat of a write that took
// effect with the value then written, which may be that of an earlier attempt.
func (e *Editor) accepted(item platform.Item) error {
	e.swapUnknown = false
	if item.Value != nil {
		h, err := DecodeHead(item.Value)
		if err != nil {
			return err
		}
		if entry, ok := audit.FindOperation(h.Audit.Entries, e.edit.OpID); ok {
			e.result.Revision = entry.Revision
		}
	}
	e.finish(e.result, nil)
	return nil
}

// record appends the entry to the head.
func (e *Editor) record() error {
	entry := e.edit.Entry
	entry.At, entry.OpID = e.now, e.edit.OpID
	e.result = Result{Revision: e.head.Revision}
	e.next = e.head
	e.next.Audit = e.head.Audit.Append(entry)
	if err := e.encodeNext(); err != nil {
		return err
	}
	return e.swap()
}

// rotate writes the next segment.
func (e *Editor) rotate() error {
	n, segment, ok := e.head.Audit.NextSegment(e.keep)
	if !ok {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return errors.WithStack(err)
	}
	e.moved = segment
	e.put(stageSegment, []platform.Write{{Key: audit.SegmentKey(n), Value: value, OpID: audit.SegmentKey(n)}})
	return nil
}

// gotSegmentWrite removes the entries of the segment from the head.
func (e *Editor) gotSegmentWrite(a Answer) error {
	conflict, exists := platform.AsConflict(a.Err)
	stored := a.Item.Value
	switch {
	case a.Err == nil:
	case exists:
		// An interrupted rotation wrote this segment, perhaps with fewer entries.
		stored = conflict.Actual.Value
	case errors.Is(a.Err, platform.ErrOutcomeUnknown):
		e.put(stageSegment, e.lastPut)
		return nil
	default:
		return a.Err
	}
	if stored != nil {
		e.moved = audit.Segment{}
		if err := json.Unmarshal(stored, &e.moved); err != nil {
			return errors.Wrapf(err, "audit segment %d", e.head.Audit.Segments+1)
		}
	}
	return e.trim()
}

func (e *Editor) trim() error {
	log, err := e.head.Audit.WithoutSegment(e.moved)
	if err != nil {
		return err
	}
	e.next = e.head
	e.next.Audit = log
	e.result = Result{Revision: e.head.Revision}
	if err := e.encodeNext(); err != nil {
		return err
	}
	return e.swap()
}

// NeedsRotation reports whether the holder of the duty moves audit entries out
// of the head now.
func (h Head) NeedsRotation() bool { return len(h.Audit.Entries) > rotateAbove }
