package rollout

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
)

// checkConflict checks that an edit refused with a conflict had a conflicting edit.
func (sim *simulation) checkConflict(op operation, err error) {
	var conflict *config.MergeError
	if !errors.As(err, &conflict) {
		return
	}
	// The editor may have read any head since the base, not only the newest.
	cause := false
	for _, content := range sim.expected[op.edit.Base:] {
		cause = cause || content[op.account] != sim.expected[op.edit.Base][op.account]
	}
	if !cause {
		sim.fail("%s got a conflict, but no other edit changed %s: %v", op.edit.OpID, op.account, err)
	}
}

// checkHead checks a new version of the head record against the oracle.
func (sim *simulation) checkHead() {
	head, err := DecodeHead(sim.heads[len(sim.heads)-1].Value)
	if err != nil {
		sim.fail("%v", err)
		return
	}
	trail := sim.readTrail(head)
	if err := audit.Verify(nil, trail); err != nil {
		sim.fail("audit trail: %v", err)
		return
	}
	last := uint64(len(sim.expected) - 1)
	if len(trail) == 0 || head.Revision < last || head.Revision > last+1 {
		sim.fail("head has revision %d and %d audit entries after revision %d", head.Revision, len(trail), last)
		return
	}
	entry := trail[len(trail)-1]
	if entry.Seq > sim.lastAuditSeq+1 {
		sim.fail("%d audit entries in one write", entry.Seq-sim.lastAuditSeq)
	}
	if entry.Seq == sim.lastAuditSeq && head.Revision == last {
		return // a rotation
	}
	sim.lastAuditSeq = entry.Seq
	sim.applyToOracle(head, entry)
}

// applyToOracle applies an accepted operation to the oracle.
func (sim *simulation) applyToOracle(head Head, entry audit.Entry) {
	if revision, ok := sim.accepted[entry.OpID]; ok {
		sim.fail("%s took effect twice: revisions %d and %d", entry.OpID, revision, head.Revision)
	}
	if err := sim.refused[entry.OpID]; err != nil {
		sim.fail("%s took effect after it ended with %v", entry.OpID, err)
	}
	sim.accepted[entry.OpID] = head.Revision
	if head.Revision < uint64(len(sim.expected)) {
		sim.accepted[entry.OpID] = max(1, head.Revision)
		return
	}
	if entry.Revision != head.Revision || entry.Manifest != string(head.Manifest.Hash()) {
		sim.fail("revision %d has no audit entry", head.Revision)
	}
	content := maps.Clone(sim.expected[len(sim.expected)-1])
	op := sim.operation(entry.OpID)
	if op.edit.Action == ActionRollback {
		content = maps.Clone(sim.expected[op.edit.TargetRevision])
	} else {
		op.applyTo(content)
	}
	sim.expected = append(sim.expected, content)
	sim.checkContent(head)
}

func (sim *simulation) operation(id string) operation {
	for _, s := range sim.sessions {
		if s.op.edit.OpID == id {
			return s.op
		}
	}
	for _, op := range sim.undecided {
		if op.edit.OpID == id {
			return op
		}
	}
	sim.fail("audit entry of unknown operation %s", id)
	return operation{}
}

// checkNewest checks that the newest revision is complete in the store.
func (sim *simulation) checkNewest() {
	head, err := DecodeHead(sim.heads[len(sim.heads)-1].Value)
	if err != nil {
		sim.fail("%v", err)
		return
	}
	sim.checkContent(head)
}

// checkContent checks that the content referenced by the head is in the store.
func (sim *simulation) checkContent(head Head) {
	section := func(h config.Hash) ([]byte, bool) {
		item, err := sim.store.Get(context.Background(), SectionKey(h))
		return item.Value, err == nil
	}
	c, err := config.Join(nil, nil, head.Manifest, section)
	if err != nil {
		sim.fail("revision %d: %v", head.Revision, err)
		return
	}
	if want := sim.expected[head.Revision]; !maps.Equal(weights(c), want) {
		sim.fail("revision %d has %v, want %v: an accepted edit is lost", head.Revision, weights(c), want)
	}
}

// readTrail returns the audit entries of all segments and of the head.
func (sim *simulation) readTrail(head Head) []audit.Entry {
	var trail []audit.Entry
	for n := 1; n <= head.Audit.Segments; n++ {
		item, err := sim.store.Get(context.Background(), audit.SegmentKey(n))
		if err != nil {
			sim.fail("segment %d: %v", n, err)
			return nil
		}
		var s audit.Segment
		if err := json.Unmarshal(item.Value, &s); err != nil {
			sim.fail("segment %d: %v", n, err)
		}
		trail = append(trail, s.Entries...)
	}
	return append(trail, head.Audit.Entries...)
}
