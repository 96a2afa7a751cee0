package rollout

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
)

// checkRefusal checks that a conflict has a cause.
func (w *world) checkRefusal(op operation, err error) {
	var conflict *config.MergeError
	if !errors.As(err, &conflict) {
		return
	}
	// The editor decided on any head since its base, not only on the newest.
	cause := false
	for _, content := range w.contents[op.edit.Base:] {
		cause = cause || content[op.account] != w.contents[op.edit.Base][op.account]
	}
	if !cause {
		w.fail("%s conflicts, but nobody else changed %s: %v", op.edit.OpID, op.account, err)
	}
}

// checkHead checks a new version of the head record against the oracle.
func (w *world) checkHead() {
	head, err := DecodeHead(w.heads[len(w.heads)-1].Value)
	if err != nil {
		w.fail("%v", err)
		return
	}
	trail := w.trail(head)
	if err := audit.Verify(nil, trail); err != nil {
		w.fail("audit trail: %v", err)
		return
	}
	last := uint64(len(w.contents) - 1)
	if len(trail) == 0 || head.Revision < last || head.Revision > last+1 {
		w.fail("head has revision %d and %d audit entries after revision %d", head.Revision, len(trail), last)
		return
	}
	entry := trail[len(trail)-1]
	if entry.Seq > w.lastSeq+1 {
		w.fail("%d audit entries in one write", entry.Seq-w.lastSeq)
	}
	if entry.Seq == w.lastSeq && head.Revision == last {
		return // a rotation
	}
	w.lastSeq = entry.Seq
	w.accept(head, entry)
}

// accept folds an accepted operation into the oracle.
func (w *world) accept(head Head, entry audit.Entry) {
	if revision, ok := w.accepted[entry.OpID]; ok {
		w.fail("%s has two effects: revisions %d and %d", entry.OpID, revision, head.Revision)
	}
	if err := w.refused[entry.OpID]; err != nil {
		w.fail("%s took effect after it ended with %v", entry.OpID, err)
	}
	w.accepted[entry.OpID] = head.Revision
	if head.Revision < uint64(len(w.contents)) {
		w.accepted[entry.OpID] = max(1, head.Revision)
		return
	}
	if entry.Revision != head.Revision || entry.Manifest != string(head.Manifest.Hash()) {
		w.fail("revision %d has no audit entry", head.Revision)
	}
	content := maps.Clone(w.contents[len(w.contents)-1])
	op := w.operation(entry.OpID)
	if op.edit.Action == ActionRollback {
		content = maps.Clone(w.contents[op.edit.To])
	} else {
		op.change(content)
	}
	w.contents = append(w.contents, content)
	w.checkStored(head)
}

func (w *world) operation(id string) operation {
	for _, s := range w.sessions {
		if s.op.edit.OpID == id {
			return s.op
		}
	}
	for _, op := range w.undecided {
		if op.edit.OpID == id {
			return op
		}
	}
	w.fail("nobody started %s", id)
	return operation{}
}

// checkNewest checks that the newest revision is complete in the store.
func (w *world) checkNewest() {
	head, err := DecodeHead(w.heads[len(w.heads)-1].Value)
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.checkStored(head)
}

// checkStored checks that the content named by the head is in the store.
func (w *world) checkStored(head Head) {
	section := func(h config.Hash) ([]byte, bool) {
		item, err := w.store.Get(context.Background(), SectionKey(h))
		return item.Value, err == nil
	}
	c, err := config.Join(nil, nil, head.Manifest, section)
	if err != nil {
		w.fail("revision %d: %v", head.Revision, err)
		return
	}
	if want := w.contents[head.Revision]; !maps.Equal(weights(c), want) {
		w.fail("revision %d has %v, want %v: an accepted edit is lost", head.Revision, weights(c), want)
	}
}

// trail reads all segments and the head's entries.
func (w *world) trail(head Head) []audit.Entry {
	var trail []audit.Entry
	for n := 1; n <= head.Audit.Segments; n++ {
		item, err := w.store.Get(context.Background(), audit.SegmentKey(n))
		if err != nil {
			w.fail("segment %d: %v", n, err)
			return nil
		}
		var s audit.Segment
		if err := json.Unmarshal(item.Value, &s); err != nil {
			w.fail("segment %d: %v", n, err)
		}
		trail = append(trail, s.Entries...)
	}
	return append(trail, head.Audit.Entries...)
}
