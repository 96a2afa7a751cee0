package rollout

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// simulation runs editors and followers over a store in virtual time. choose
// selects each step, so that a test can use any source of choices. The oracle is
// expected: the weight of each account, by revision.
type simulation struct {
	choose func(n int) int
	now    time.Time
	store  *memstore.Store
	faults struct {
		editor   editorFaults
		follower followerFaults
	}

	// heads holds all versions of the head record, oldest first.
	heads    []platform.Item
	expected []map[string]int
	accepted map[string]uint64
	// lastAuditSeq is the sequence number of the newest audit entry.
	lastAuditSeq uint64
	// refused holds the operations that ended with a definite error.
	refused map[string]error
	nextOp  int
	// accountCount and weightCount bound the values that edits use; low bounds make
	// content recur.
	accountCount, weightCount int
	sessions                  []*session
	// undecided holds the operations that were given up with an unknown outcome.
	undecided     []operation
	delayedWrites []platform.Write
	daemons       []*simDaemon
	inFlight      []packet
	err           error
}

type operation struct {
	edit    Edit
	account string
	// weight is the account's new weight; 0 removes it.
	weight int
	// outcomeUnknown is set once an attempt ended without a known outcome. The error
	// of a retry then says nothing about that attempt, whose write may still arrive.
	outcomeUnknown bool
}

type session struct {
	op     operation
	editor *Editor
}

type packet struct {
	from, to string
	message  Message
}

type simDaemon struct {
	id, domain       string
	follower         *Follower
	revision         uint64
	storeUnreachable bool
	isolated         bool
	// paused stops the daemon's clock and input, as a long garbage collection pause or
	// a suspended machine does.
	paused   bool
	watching bool
	// nextEvent is the index in heads of the next event of the watch.
	nextEvent      int
	pendingReads   int
	pendingFetches [][]config.Hash
	// minRevision is the highest revision in the failure domain when the daemon
	// started. mayMissUpdates is set when a fault since then may have kept the daemon
	// from learning of that revision.
	minRevision    uint64
	mayMissUpdates bool
	startedAt      time.Time
}

func newSimulation(pick func(n int) int) *simulation {
	sim := &simulation{choose: pick, accountCount: 4, weightCount: 6, now: time.Unix(1_000_000, 0), expected: []map[string]int{{}},
		accepted: make(map[string]uint64), refused: make(map[string]error)}
	sim.store = memstore.New(func() time.Time { return sim.now })
	for i := range 6 {
		sim.daemons = append(sim.daemons, &simDaemon{id: fmt.Sprintf("d%d", i), domain: []string{"a", "b"}[i%2]})
	}
	return sim
}

func (sim *simulation) start() {
	for _, d := range sim.daemons {
		sim.restart(d)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = errors.Errorf(format, args...)
	}
}

// restart starts or restarts a daemon, which loses all its state.
func (sim *simulation) restart(d *simDaemon) {
	d.minRevision, d.mayMissUpdates, d.startedAt, d.paused = 0, d.isolated, sim.now, false
	for _, o := range sim.daemons {
		if o != d && o.domain == d.domain && o.follower != nil && !o.isolated {
			d.minRevision = max(d.minRevision, o.revision)
			// What this daemon knew and had not yet sent is lost to the others.
			o.mayMissUpdates = true
		}
	}
	sim.inFlight = filter(sim.inFlight, func(p packet) bool { return p.from != d.id && p.to != d.id })
	d.revision, d.watching, d.pendingReads, d.pendingFetches = 0, false, 0, nil
	f, out := NewFollower(Options{Self: d.id, Domain: d.domain}, sim.now)
	f.faults = sim.faults.follower
	d.follower = f
	sim.execute(d, out)
	sim.execute(d, f.SetMembers(sim.now, sim.members(d.domain)))
}

func (sim *simulation) members(domain string) []string {
	var ids []string
	for _, d := range sim.daemons {
		if d.domain == domain {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func filter[T any](list []T, ok func(T) bool) []T {
	var result []T
	for _, v := range list {
		if ok(v) {
			result = append(result, v)
		}
	}
	return result
}

// execute executes the output of a follower and checks what it installs.
func (sim *simulation) execute(d *simDaemon, out Output) {
	for _, e := range out.Send {
		sim.inFlight = append(sim.inFlight, packet{d.id, e.To, e.Message})
	}
	if out.ReadHead {
		d.pendingReads++
	}
	if out.StartWatch {
		d.watching, d.nextEvent = true, 0
		for i, item := range sim.heads {
			if item.Revision <= out.WatchAfter {
				d.nextEvent = i + 1
			}
		}
	}
	if out.StopWatch {
		d.watching = false
	}
	if len(out.Fetch) > 0 {
		d.pendingFetches = append(d.pendingFetches, out.Fetch)
	}
	if out.Err != nil {
		sim.fail("daemon %s: %v", d.id, out.Err)
	}
	if out.Install != nil {
		sim.checkInstall(d, *out.Install)
	}
}

// checkInstall checks that no installed revision is followed by a lower
// one, and the installed content is the accepted one.
func (sim *simulation) checkInstall(d *simDaemon, in InstalledConfig) {
	switch {
	case in.Revision <= d.revision:
		sim.fail("daemon %s: revision %d installed after %d", d.id, in.Revision, d.revision)
	case in.Revision >= uint64(len(sim.expected)):
		sim.fail("daemon %s: revision %d was never accepted", d.id, in.Revision)
	case !maps.Equal(weights(in.Config), sim.expected[in.Revision]):
		sim.fail("daemon %s: revision %d has %v, want %v", d.id, in.Revision, weights(in.Config), sim.expected[in.Revision])
	case d.revision == 0 && !d.mayMissUpdates && sim.now.Sub(d.startedAt) < time.Second && in.Revision < d.minRevision:
		sim.fail("daemon %s: restarted with revision %d, its failure domain had %d", d.id, in.Revision, d.minRevision)
	}
	d.revision = in.Revision
}

func weights(c *config.Config) map[string]int {
	m := make(map[string]int)
	for name, a := range c.Accounts {
		m[name] = a.Weight
	}
	return m
}

func configOf(content map[string]int) *config.Config {
	c := config.New()
	for name, weight := range content {
		c.Accounts[name] = config.Account{Weight: weight}
	}
	return c
}

// startOperation starts an operation that is based on one of the last revisions.
func (sim *simulation) startOperation(action Action) {
	sim.nextOp++
	newest := uint64(len(sim.expected) - 1)
	op := operation{edit: Edit{Action: action, OpID: fmt.Sprintf("op-%d", sim.nextOp), Base: newest - uint64(sim.choose(int(min(newest, 3)+1))),
		HasSpend: func(string) bool { return false },
		Entry:    audit.Entry{Actor: "ana", Team: "north", Kind: audit.KindApply, Reason: "test"}}}
	switch action {
	case ActionApply:
		op.account, op.weight = fmt.Sprintf("a%d", sim.choose(sim.accountCount)), sim.choose(sim.weightCount)
		content := maps.Clone(sim.expected[op.edit.Base])
		op.applyTo(content)
		op.edit.Config = configOf(content)
	case ActionRollback:
		op.edit.Base, op.edit.TargetRevision = newest, 1+uint64(sim.choose(int(newest)+1))
	case ActionAppendAudit:
		op.edit.Entry.Kind, op.edit.FirstAttemptAt = audit.KindTopUp, sim.now
	}
	sim.openSession(op)
}

func (o operation) applyTo(content map[string]int) {
	if o.weight == 0 {
		delete(content, o.account)
	} else {
		content[o.account] = o.weight
	}
}

func (sim *simulation) openSession(op operation) {
	e := NewEditor(op.edit, nil)
	e.faults = sim.faults.editor
	// Low limits make rotations and searches of segments frequent.
	e.retainedEntries, e.forcedRotationThreshold, e.retainedRevisions = 2, 6, 2
	sim.sessions = append(sim.sessions, &session{op: op, editor: e})
}

// stepSession executes the next store calls of one editor.
func (sim *simulation) stepSession(faulty bool) {
	if len(sim.sessions) == 0 {
		return
	}
	i := sim.choose(len(sim.sessions))
	s := sim.sessions[i]
	var responses []Response
	outage := faulty && sim.choose(12) == 0
	for _, key := range s.editor.Request().Get {
		item, err := sim.store.Get(context.Background(), key)
		if outage {
			item, err = platform.Item{}, platform.ErrUnavailable
		}
		responses = append(responses, Response{item, err})
	}
	for _, put := range s.editor.Request().Put {
		responses = append(responses, sim.write(put, faulty, outage))
	}
	for _, d := range s.editor.Request().Delete {
		err := sim.store.Delete(context.Background(), d.Key, d.Expected)
		responses = append(responses, Response{Err: err})
	}
	if len(s.editor.Request().Delete) > 0 {
		sim.checkNewest()
	}
	s.editor.Step(sim.now, responses)
	if s.editor.Done() {
		sim.sessions = append(sim.sessions[:i:i], sim.sessions[i+1:]...)
		sim.checkOutcome(s)
	}
}

func (sim *simulation) write(put platform.Write, faulty, outage bool) Response {
	if outage {
		return Response{Err: platform.ErrUnavailable}
	}
	outcome := 0
	if faulty {
		outcome = sim.choose(6)
	}
	if outcome == 1 {
		sim.delayedWrites = append(sim.delayedWrites, put)
		return Response{Err: platform.ErrOutcomeUnknown}
	}
	item, err := sim.writeStore(put)
	if outcome == 2 && err == nil {
		return Response{Err: platform.ErrOutcomeUnknown}
	}
	return Response{item, err}
}

// writeStore writes to the store, and records and checks each new version of the
// head.
func (sim *simulation) writeStore(put platform.Write) (platform.Item, error) {
	item, err := sim.store.CompareAndSwap(context.Background(), put)
	if err == nil && put.Key == HeadKey && (len(sim.heads) == 0 || item.Revision > sim.heads[len(sim.heads)-1].Revision) {
		sim.heads = append(sim.heads, item)
		sim.checkHead()
	}
	return item, err
}

// checkOutcome checks the result of a session against the oracle.
func (sim *simulation) checkOutcome(s *session) {
	result, err := s.editor.Result()
	id := s.op.edit.OpID
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		s.op.outcomeUnknown = true
		sim.openSession(s.op)
	case err != nil && s.op.outcomeUnknown:
		// The operator gives up; the edit may still take effect.
		sim.undecided = append(sim.undecided, s.op)
	case err != nil:
		sim.refused[id] = err
		if revision, ok := sim.accepted[id]; ok {
			sim.fail("%s ended with %v, but was accepted as revision %d", id, err, revision)
		}
		sim.checkConflict(s.op, err)
	case s.op.edit.Action == ActionRotate || s.op.edit.Action == ActionCollect || result.Unchanged:
	case sim.accepted[id] == 0:
		sim.fail("%s was reported as accepted, but is not in the audit trail", id)
	case s.op.edit.Action != ActionAppendAudit && sim.accepted[id] != result.Revision:
		sim.fail("%s was reported as revision %d, but is %d", id, result.Revision, sim.accepted[id])
	}
}
