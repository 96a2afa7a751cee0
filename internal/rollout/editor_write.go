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
	e.stage, e.request, e.lastWrites = s, Request{Put: writes}, writes
}

func (e *Editor) section(h config.Hash) ([]byte, bool) {
	content, ok := e.sections[h]
	return content, ok
}

// build computes the new configuration and starts to write it, or ends a read.
func (e *Editor) build() error {
	if e.edit.Action == ActionRead {
		c, err := config.Join(nil, nil, e.manifests[e.edit.TargetRevision], e.section)
		if err == nil {
			e.finish(Result{Revision: e.edit.TargetRevision, Config: c}, nil)
		}
		return err
	}
	current, err := config.Join(nil, nil, e.head.Manifest, e.section)
	if err != nil {
		return err
	}
	next, err := e.editedConfig(current)
	if err != nil {
		return err
	}
	changes := config.Diff(current, next)
	if len(changes) == 0 {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	hasSpend := e.edit.HasSpend
	if hasSpend == nil {
		hasSpend = func(string) bool { return true }
	}
	if err := config.CheckGuards(current, next, hasSpend, e.edit.ConfirmedGuards); err != nil {
		return err
	}
	manifest, contents, err := config.Split(next, e.head.Manifest)
	if err != nil {
		return err
	}
	e.result = Result{Revision: e.head.Revision + 1, Merged: e.edit.Base != e.head.Revision, Changes: changes}
	if err := e.prepareHead(manifest, changes); err != nil {
		return err
	}
	writes := e.contentWrites(manifest, contents)
	if len(writes) == 0 || e.faults.headBeforeSections {
		return e.swapHead()
	}
	e.put(stageContentWrites, writes)
	return nil
}

// editedConfig returns the configuration that results from the edit.
func (e *Editor) editedConfig(current *config.Config) (*config.Config, error) {
	if e.edit.Action == ActionRollback {
		return config.Join(current, e.head.Manifest, e.manifests[e.edit.TargetRevision], e.section)
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

// prepareHead computes the next head record.
func (e *Editor) prepareHead(m config.Manifest, changes []config.Change) error {
	entry := e.edit.Entry
	entry.At, entry.OpID, entry.Result = e.now, e.edit.OpID, audit.ResultDone
	entry.Base, entry.Revision, entry.Manifest = e.edit.Base, e.head.Revision+1, string(m.Hash())
	entry.Subjects = subjects(changes)
	if entry.Kind == "" {
		entry.Kind = audit.KindApply
	}
	if e.edit.Action == ActionRollback {
		entry.Kind, entry.Detail = audit.KindRollback, fmt.Sprintf("content of revision %d", e.edit.TargetRevision)
	}
	e.nextHead = Head{Revision: e.head.Revision + 1, Manifest: m, Audit: e.head.Audit.Append(entry)}
	if e.faults.omitAuditEntry {
		e.nextHead.Audit = e.head.Audit
	}
	return e.encodeNext()
}

func (e *Editor) encodeNext() error {
	value, err := e.nextHead.encode()
	e.nextHeadValue = value
	return err
}

func subjects(changes []config.Change) []audit.Subject {
	list := make([]audit.Subject, len(changes))
	for i, c := range changes {
		list[i] = audit.Subject{Kind: string(c.Kind), Name: c.Name}
	}
	return list
}

// contentWrites returns the writes of the sections that the head does not
// reference, and of the manifest, which a later rollback reads to find them.
func (e *Editor) contentWrites(m config.Manifest, contents map[config.Hash][]byte) []platform.Write {
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

// contentWrite returns the write of immutable content. Its operation id contains
// the store revision of the head that was read. Otherwise the store could treat
// the write as a retry of one made for an earlier head, whose content a collection
// may have found unused since.
func (e *Editor) contentWrite(key string, value []byte) platform.Write {
	return platform.Write{Key: key, Value: value, OpID: fmt.Sprintf("%s/%d/%s", e.edit.OpID, e.headItem.Revision, key)}
}

// handleContentWrites checks that the sections and the manifest are stored.
// Content that an earlier edit wrote is rewritten unchanged: its new store revision
// protects it from a collection that found it unused (see startCollection).
func (e *Editor) handleContentWrites(responses []Response) error {
	var retries []platform.Write
	for i, resp := range responses {
		w := e.lastWrites[i]
		conflict, exists := platform.AsConflict(resp.Err)
		switch {
		case resp.Err == nil:
		case exists && conflict.Actual.Revision == 0:
			w.Expected = 0
			retries = append(retries, w)
		case exists && bytes.Equal(conflict.Actual.Value, w.Value):
			if !e.faults.skipContentRewrite {
				w.Expected = conflict.Actual.Revision
				retries = append(retries, w)
			}
		case errors.Is(resp.Err, platform.ErrOutcomeUnknown):
			retries = append(retries, w)
		default:
			return errors.Wrapf(resp.Err, "write %s", w.Key)
		}
	}
	if len(retries) > 0 {
		e.put(stageContentWrites, retries)
		return nil
	}
	return e.swapHead()
}

// swapHead writes the head if it has not changed since it was read.
func (e *Editor) swapHead() error {
	if e.swapAttempts++; e.swapAttempts > maxSwapAttempts {
		return errors.Wrapf(platform.ErrLimited, "head record changed during each of %d attempts", maxSwapAttempts)
	}
	w := platform.Write{Key: HeadKey, Value: e.nextHeadValue, Expected: e.headItem.Revision, OpID: e.edit.OpID}
	if e.stage == stageSegmentWrite {
		// The rotation needs its own operation id: under the edit's id, the store
		// would treat the later write of the edit as a retry of this one.
		w.OpID = fmt.Sprintf("rotate-%d-%s", e.head.Audit.Segments+1, e.edit.OpID)
		e.put(stageTrimHead, []platform.Write{w})
		return nil
	}
	e.put(stageSwap, []platform.Write{w})
	return nil
}

func (e *Editor) handleSwap(resp Response) error {
	conflict, changed := platform.AsConflict(resp.Err)
	switch {
	case resp.Err == nil && e.stage == stageTrimHead && e.edit.Action != ActionRotate:
		e.readHead()
		return nil
	case resp.Err == nil:
		return e.accepted(resp.Item)
	case changed && e.faults.blindSwap:
		e.headItem.Revision = conflict.Actual.Revision
		return e.swapHead()
	case changed:
		e.readHead()
		return nil
	case errors.Is(resp.Err, platform.ErrOutcomeUnknown):
		if e.stage == stageSwap {
			e.swapOutcomeUnknown, e.unknownSwapExpected = true, e.lastWrites[0].Expected
		}
		e.readHead()
		return nil
	}
	return resp.Err
}

// accepted ends the edit. For a retry of a write that already took effect, the
// store returns the value written then, possibly by an earlier attempt.
func (e *Editor) accepted(item platform.Item) error {
	e.swapOutcomeUnknown = false
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

// appendAuditEntry appends Edit.Entry to the audit log in the head.
func (e *Editor) appendAuditEntry() error {
	entry := e.edit.Entry
	entry.At, entry.OpID = e.now, e.edit.OpID
	e.result = Result{Revision: e.head.Revision}
	e.nextHead = e.head
	e.nextHead.Audit = e.head.Audit.Append(entry)
	if err := e.encodeNext(); err != nil {
		return err
	}
	return e.swapHead()
}

// rotate writes the next audit segment.
func (e *Editor) rotate() error {
	n, segment, ok := e.head.Audit.NextSegment(e.retainedEntries)
	if !ok {
		e.finish(Result{Revision: e.head.Revision, Unchanged: true}, nil)
		return nil
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return errors.WithStack(err)
	}
	e.rotated = segment
	e.put(stageSegmentWrite, []platform.Write{{Key: audit.SegmentKey(n), Value: value, OpID: audit.SegmentKey(n)}})
	return nil
}

// handleSegmentWrite continues with the removal of the segment's entries from the
// head.
func (e *Editor) handleSegmentWrite(resp Response) error {
	conflict, exists := platform.AsConflict(resp.Err)
	stored := resp.Item.Value
	switch {
	case resp.Err == nil:
	case exists:
		// An interrupted rotation wrote this segment, possibly with fewer entries.
		stored = conflict.Actual.Value
	case errors.Is(resp.Err, platform.ErrOutcomeUnknown):
		e.put(stageSegmentWrite, e.lastWrites)
		return nil
	default:
		return resp.Err
	}
	if stored != nil {
		e.rotated = audit.Segment{}
		if err := json.Unmarshal(stored, &e.rotated); err != nil {
			return errors.Wrapf(err, "audit segment %d", e.head.Audit.Segments+1)
		}
	}
	return e.trimHead()
}

func (e *Editor) trimHead() error {
	log, err := e.head.Audit.WithoutSegment(e.rotated)
	if err != nil {
		return err
	}
	e.nextHead = e.head
	e.nextHead.Audit = log
	e.result = Result{Revision: e.head.Revision}
	if err := e.encodeNext(); err != nil {
		return err
	}
	return e.swapHead()
}

// NeedsRotation reports whether the head has enough audit entries for the daemon
// with the rotation duty to move some of them into a segment.
func (h Head) NeedsRotation() bool { return len(h.Audit.Entries) > rotationThreshold }
