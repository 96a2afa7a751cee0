package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a stored record that loses or changes state.
func TestRecordRoundTrip(t *testing.T) {
	r := fullShard()
	d := r.Domains["region-0-zone-0"]
	d.Tombstones = []Tombstone{{"m", Key{"h", 1, 2}}}
	d.Waiting, d.Decision, d.Seq, d.Unmirrored = []string{"x"}, Spend, 7, true
	d.Holders["h"] = HolderState{Incarnation: 2, Settled: 9, Closed: true, Unix: 5}
	r.Bills[0].Provisional, r.Bills[0].Key = true, Key{"h", 1, 3}
	r.Accounts["account-00000"] = &Totals{Requests: 1, Spent: 2}
	r.TopUps = []string{"op"}
	value, err := r.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unmarshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, got); diff != "" {
		t.Errorf("record changed (-want +got):\n%s", diff)
	}
	if len(value) > 256<<10 {
		t.Errorf("record of a full shard is %d bytes, want at most 256 KiB", len(value))
	}
}

// Guards against a top-up that is applied twice and against the withdrawal of
// granted tokens.
func TestTopUp(t *testing.T) {
	r := NewRecord()
	r.SetBudgets([]Spec{{ID: testBudget, Initial: 100}})
	r.Budgets[testBudget].setGrant("a", Grant{Tokens: 80})
	for range 2 {
		if err := r.TopUp("op", testBudget, 50); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.TopUp("back", testBudget, -71); err == nil || r.Budgets[testBudget].Prepaid != 150 {
		t.Fatalf("withdrawal of granted tokens: error %v, prepaid %d, want an error and 150",
			err, r.Budgets[testBudget].Prepaid)
	}
	if r.SetBudgets(nil); !r.Budgets[testBudget].Removed || r.Budgets[testBudget].Prepaid != 150 {
		t.Fatal("a budget that is no longer configured must be kept and marked as removed")
	}
}

// newCurrentAllocator returns an allocator of failure domain a that has taken
// over the record.
func newCurrentAllocator(t *testing.T, r *Record, owner string) *Allocator {
	t.Helper()
	value, err := r.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	a := NewAllocator(now, Options{Domain: "a", Shard: testShard, Owner: owner})
	a.Loaded(now, value, 1, true)
	a.Stored(now, StoreResult{Outcome: Applied, Revision: 2})
	if a.Epoch() == 0 {
		t.Fatal("the allocator has no epoch after the takeover")
	}
	return a
}

// recordWithOldGrant returns a record with a grant of 500 tokens in failure domain
// a, which becomes an old grant at the next takeover.
func recordWithOldGrant(owner string, members ...string) *Record {
	r := NewRecord()
	r.SetBudgets([]Spec{{ID: testBudget, Initial: 1000}})
	r.TakeOver("a", owner, members)
	r.Budgets[testBudget].setGrant("a", Grant{Tokens: 500})
	return r
}

// Guards against a second charge of a reservation that was settled before its
// mirror registered. The mirror is the previous owner or a member.
func TestStaleMirrorIsCleared(t *testing.T) {
	r := recordWithOldGrant("previous", "m", "h")
	r.Domains["a"].Holders["previous"] = HolderState{Incarnation: 1} // was a mirror in an earlier epoch
	a := newCurrentAllocator(t, r, "owner")
	key := Key{"h", 1, 1}
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "h", Incarnation: 1, Bills: []Bill{
		{N: 1, Key: key, ID: "u1", Budget: testBudget, Tokens: 10},
	}})
	for _, mirror := range []string{"previous", "m"} {
		if _, ok := a.tombstones[Tombstone{mirror, key}]; !ok {
			t.Errorf("no tombstone of the settled reservation for mirror %s", mirror)
		}
	}
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "m", Incarnation: 1, Mirrored: []Reservation{
		{Key: key, ID: "u1", Budget: testBudget, Tokens: 10},
	}})
	if len(a.open) != 0 {
		t.Errorf("the settled reservation is open again: %s", a.dump())
	}
}

// Guards against a bill that is cut to the smaller total that a mirror holds.
func TestBillAboveMirroredTotal(t *testing.T) {
	a := newCurrentAllocator(t, recordWithOldGrant("previous", "m", "h"), "owner")
	key := Key{"h", 1, 1}
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "m", Incarnation: 1, Mirrored: []Reservation{
		{Key: key, ID: "u1", Budget: testBudget, Tokens: 9},
	}})
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "h", Incarnation: 1, Bills: []Bill{
		{N: 1, Key: key, ID: "u1", Budget: testBudget, Tokens: 10},
	}})
	p := a.pools[testBudget]
	if p.pendingOld+p.pending+a.rec.Budgets[testBudget].Spent != 10 {
		t.Errorf("billed %d, want 10", p.pendingOld+p.pending)
	}
}

// Guards against old grants that are returned before all members have registered,
// and against an operator's decision that is not applied.
func TestDisputeWaitsForDecision(t *testing.T) {
	r := recordWithOldGrant("previous", "m", "h")
	a := newCurrentAllocator(t, r, "owner")
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "m", Incarnation: 1})
	if a.recoverReady(a.now.Add(time.Hour)) {
		t.Fatal("the old grant would be returned although holder h has not registered")
	}
	if d := a.rec.Disputes(); len(d) != 1 || d[0].Tokens[testBudget] != 500 {
		t.Fatalf("disputes %+v, want 500 tokens", d)
	}
	if err := a.rec.Decide("a", Spend); err != nil {
		t.Fatal(err)
	}
	f := a.buildFlush(a.now)
	if err := a.rec.Apply(f); err != nil {
		t.Fatal(err)
	}
	if b := a.rec.Budgets[testBudget]; b.Spent != 500 || len(a.rec.Disputes()) != 0 {
		t.Errorf("spent %d, disputes %v, want 500 and none", b.Spent, a.rec.Disputes())
	}
}

// Guards against tokens that stay granted after a planned stop.
func TestRetireReturnsIdleTokens(t *testing.T) {
	r := NewRecord()
	r.SetBudgets([]Spec{{ID: testBudget, Initial: 1000}})
	a := newCurrentAllocator(t, r, "owner")
	a.Stored(a.now, StoreResult{Outcome: Applied, Revision: 3}) // the first draw
	if a.pools[testBudget].free() == 0 {
		t.Fatal("no tokens are granted after the first draw")
	}
	a.Retire(a.now)
	a.Tick(a.now.Add(time.Second))
	a.Stored(a.now, StoreResult{Outcome: Applied, Revision: 4})
	if held := a.rec.Budgets[testBudget].Granted(); held != 0 {
		t.Errorf("%d tokens are still granted", held)
	}
}

// Guards against refusals although the budget has tokens left: after a
// reservation timed out behind a slow write, the next ones must still wait.
func TestSlowWriteIsNoDryBudget(t *testing.T) {
	r := NewRecord()
	r.SetBudgets([]Spec{{ID: testBudget, Initial: 100_000}})
	a := newCurrentAllocator(t, r, "owner")
	a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "h", Incarnation: 1})
	reserve := func(n uint64, now time.Time) {
		a.Reserve(now, ReserveRequest{Epoch: a.Epoch(), Reservation: Reservation{
			Key: Key{"h", 1, n}, ID: fmt.Sprint(n), Budget: testBudget, Tokens: 50_000,
		}})
	}
	a.TakeOutput()
	reserve(1, a.now)
	late := a.now.Add(requestWaitLimit)
	a.Tick(late)
	if replies := a.TakeOutput().Replies; len(replies) != 1 || replies[0].Status != StatusUnavailable {
		t.Fatalf("replies %+v, want one refusal after the wait", replies)
	}
	reserve(2, late)
	if replies := a.TakeOutput().Replies; len(replies) != 0 {
		t.Errorf("replies %+v, want none while the draw is in flight", replies)
	}
}

// Guards against a flush interval that exceeds the allowance of 72 writes/s at
// the target size.
func TestFlushInterval(t *testing.T) {
	for _, tt := range []struct {
		pairs int
		want  time.Duration
	}{{14 * Shards, 24888888888}, {4, time.Second}, {1 << 20, 30 * time.Second}} {
		if got := FlushInterval(tt.pairs, 72); got != tt.want {
			t.Errorf("%d pairs: %v, want %v", tt.pairs, got, tt.want)
		}
	}
}

// Guards against a late settlement of a paused daemon that does not lower the
// provisional charge, raises it, or is counted twice.
func TestLateSettlementReplacesProvisional(t *testing.T) {
	for _, tt := range []struct{ used, want int64 }{{4, 4}, {50, 50}, {0, 0}} {
		a := newCurrentAllocator(t, recordWithOldGrant("previous", "h", "m"), "owner")
		h := NewHolder("h")
		h.ObserveEpoch(testShard, 1)
		h.shard(testShard).registered = true
		req, _ := h.Reserve(testShard, "u1", testBudget, 50, false)
		key := req.Reservation.Key
		h.ReserveAnswered(Reply{
			Kind: KindReserve, Shard: testShard, Holder: "h", Incarnation: 1, Key: key, Epoch: 1,
			Status: StatusOK, Tokens: 50,
		})
		rev := int64(2)
		step := func() {
			a.Tick(a.now.Add(11 * time.Second))
			for out := a.TakeOutput(); out.Read || out.Write != nil || len(out.Replies) > 0; out = a.TakeOutput() {
				for _, r := range out.Replies {
					switch r.Kind {
					case KindRegister:
						h.RegisterAnswered(r)
					case KindSettle:
						h.SettleAnswered(r)
					}
				}
				if out.Write != nil {
					rev++
					a.Stored(a.now, StoreResult{Outcome: Applied, Revision: rev})
				}
				if out.Read {
					value, _ := a.rec.Marshal()
					a.Loaded(a.now, value, rev, true)
				}
			}
		}
		for range 12 {
			h.ObserveEpoch(testShard, a.Epoch())
			r, _ := h.Register(testShard)
			a.Register(a.now, r)
			a.Register(a.now, RegisterRequest{Epoch: a.Epoch(), Holder: "m", Incarnation: 1})
			if s, ok := h.Unsettled(testShard); ok {
				a.Settle(a.now, s)
			}
			step()
			switch h.shard(testShard).incarnation {
			case 1:
				a.HolderGone(a.now, "h")
			case 2:
				_ = h.Settle(testShard, key, tt.used)
			}
		}
		if b := a.rec.Budgets[testBudget]; b.Spent != tt.want || !h.Idle() {
			t.Errorf("used %d: spent %d, want %d; idle %v", tt.used, b.Spent, tt.want, h.Idle())
		}
	}
}
