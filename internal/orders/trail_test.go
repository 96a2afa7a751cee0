package orders

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

// entries returns the whole audit trail and fails the test if it does not verify.
func (r *rig) entries() []audit.Entry {
	var all []audit.Entry
	h := r.head()
	for n := 1; n <= h.Audit.Segments; n++ {
		item, err := r.store.Get(context.Background(), audit.SegmentKey(n))
		if err != nil {
			r.t.Fatal(err)
		}
		all = append(all, decodeSegment(r.t, item.Value)...)
	}
	all = append(all, h.Audit.Entries...)
	if err := audit.Verify(nil, all); err != nil {
		r.t.Fatal(err)
	}
	return all
}

// Guards against orders and changes of duties that are missing from the audit
// trail or are recorded twice when an answer is lost, and against one entry for
// each order, which would rewrite the configuration head too often.
func TestOrdersAreAudited(t *testing.T) {
	inBubble(t, 20, false, func(r *rig) {
		d := r.start("d1")
		started := time.Now()
		r.waitFor("five engines have the version", 10*time.Minute, func() bool { return r.countLoaded("v2") >= 5 })
		d.mu.Lock()
		d.loseHeadAnswers = 5
		d.mu.Unlock()
		r.waitFor("all engines have the version", 20*time.Minute, func() bool { return r.countLoaded("v2") == 20 })
		r.waitFor("the orders are done", time.Minute, func() bool { return r.status().Open == 0 })
		elapsed := time.Since(started)
		if err := d.m.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		byOp, entries, placed, taken := make(map[string]bool), 0, 0, false
		for _, e := range r.entries() {
			if e.Kind != audit.KindOrder || e.Actor != "d1" || e.Subjects[0] != (audit.Subject{Kind: "service", Name: "chat"}) {
				continue
			}
			entries++
			if byOp[e.OpID] {
				t.Errorf("operation %s is recorded twice", e.OpID)
			}
			byOp[e.OpID] = true
			for _, part := range strings.Split(e.Detail, "; ") {
				n := 1
				_, _ = fmt.Sscanf(part, "%d x ", &n)
				if strings.HasSuffix(part, "load-version v2 intended") {
					placed += n
				}
				taken = taken || strings.Contains(part, "taken")
			}
		}
		if placed != 20 || !taken {
			t.Errorf("%d orders and taken=%v are in the trail, want 20 orders", placed, taken)
		}
		if limit := int(elapsed/auditInterval) + 2; entries > limit {
			t.Errorf("%d entries in %v, want at most %d", entries, elapsed, limit)
		}
	})
}

// Guards against an audit trail that is never rotated, and against two daemons
// that rotate it at the same time.
func TestTrailIsRotated(t *testing.T) {
	inBubble(t, 1, false, func(r *rig) {
		delete(r.config.Services, "chat")
		d := r.start("d1")
		r.start("d2")
		for i := range 120 {
			edit := rollout.Edit{Action: rollout.ActionAppendAudit, OpID: fmt.Sprint(i), Entry: audit.Entry{Kind: audit.KindAccess}}
			if err := d.m.editHead(context.Background(), edit, func() bool { return true }); err != nil {
				t.Fatal(err)
			}
		}
		if !r.head().NeedsRotation() {
			t.Fatal("the trail does not need rotation")
		}
		r.waitFor("the trail is rotated", time.Minute, func() bool { return !r.head().NeedsRotation() })
		if n := r.head().Audit.Segments; n != 1 {
			t.Errorf("the trail has %d segments, want 1", n)
		}
		if n := len(r.entries()); n < 120 {
			t.Errorf("the trail has %d entries, want at least 120", n)
		}
	})
}

// Guards against a rotation by a daemon that does not hold the duty.
func TestRotationNeedsTheDuty(t *testing.T) {
	inBubble(t, 1, false, func(r *rig) {
		d := r.start("d1")
		for i := range 120 {
			edit := rollout.Edit{Action: rollout.ActionAppendAudit, OpID: fmt.Sprint(i), Entry: audit.Entry{Kind: audit.KindAccess}}
			if err := d.m.editHead(context.Background(), edit, func() bool { return true }); err != nil {
				t.Fatal(err)
			}
		}
		if err := d.m.rotation.rotate(1_000_000); err == nil || r.head().Audit.Segments != 0 {
			t.Errorf("a rotation without the duty: error %v, %d segments", err, r.head().Audit.Segments)
		}
	})
}
