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

// world runs editors and followers over a store in virtual time. Each step of
// it is chosen by pick, so that a test can run it with any source of choices.
// The oracle is contents: the accounts' weights at each revision.
type world struct {
	pick   func(n int) int
	now    time.Time
	store  *memstore.Store
	faults struct {
		editor   editorFaults
		follower followerFaults
	}

	// heads are all versions of the head record that the store ever had.
	heads    []platform.Item
	contents []map[string]int
	accepted map[string]uint64
	// lastSeq is the newest audit entry.
	lastSeq uint64
	// refused are the operations that ended with a definite error.
	refused map[string]error
	nextOp  int
	// accounts and weights bound the edits; low bounds make content recur.
	accounts, weights int
	sessions          []*session
	// undecided are given up with an unknown outcome.
	undecided []operation
	delayed   []platform.Write
	daemons   []*simDaemon
	net       []packet
	err       error
}

type operation struct {
	edit    Edit
	account string
	// weight is the account's new weight; 0 removes it.
	weight int
	// unknown is set once an attempt ended without a known outcome. The error of
	// a repeat then tells nothing of that attempt, whose write may still arrive.
	unknown bool
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
	id, domain string
	follower   *Follower
	revision   uint64
	cut        bool
	isolated   bool
	// paused stops the daemon's clock and input, as a long garbage collection or a
	// suspended machine does.
	paused   bool
	watching bool
	// seen is the index in heads of the next event of the watch.
	seen    int
	reads   int
	fetches [][]config.Hash
	// floor is the highest revision in the failure domain when the daemon started;
	// disturbed is set when a fault since then may keep the daemon from hearing of it.
	floor     uint64
	disturbed bool
	started   time.Time
}

func newWorld(pick func(n int) int) *world {
	w := &world{pick: pick, accounts: 4, weights: 6, now: time.Unix(1_000_000, 0), contents: []map[string]int{{}},
		accepted: make(map[string]uint64), refused: make(map[string]error)}
	w.store = memstore.New(func() time.Time { return w.now })
	for i := range 6 {
		w.daemons = append(w.daemons, &simDaemon{id: fmt.Sprintf("d%d", i), domain: []string{"a", "b"}[i%2]})
	}
	return w
}

func (w *world) start() {
	for _, d := range w.daemons {
		w.boot(d)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Errorf(format, args...)
	}
}

// boot starts or restarts a daemon, which loses all its state.
func (w *world) boot(d *simDaemon) {
	d.floor, d.disturbed, d.started, d.paused = 0, d.isolated, w.now, false
	for _, o := range w.daemons {
		if o != d && o.domain == d.domain && o.follower != nil && !o.isolated {
			d.floor = max(d.floor, o.revision)
			// What this daemon knew and had not yet told is lost to the others.
			o.disturbed = true
		}
	}
	w.net = keep(w.net, func(p packet) bool { return p.from != d.id && p.to != d.id })
	d.revision, d.watching, d.reads, d.fetches = 0, false, 0, nil
	f, out := NewFollower(Options{Self: d.id, Domain: d.domain}, w.now)
	f.faults = w.faults.follower
	d.follower = f
	w.perform(d, out)
	w.perform(d, f.Members(w.now, w.members(d.domain)))
}

func (w *world) members(domain string) []string {
	var ids []string
	for _, d := range w.daemons {
		if d.domain == domain {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func keep[T any](list []T, ok func(T) bool) []T {
	var result []T
	for _, v := range list {
		if ok(v) {
			result = append(result, v)
		}
	}
	return result
}

// perform executes the output of a follower and checks what it puts in force.
func (w *world) perform(d *simDaemon, out Output) {
	for _, e := range out.Send {
		w.net = append(w.net, packet{d.id, e.To, e.Message})
	}
	if out.ReadHead {
		d.reads++
	}
	if out.StartWatch {
		d.watching, d.seen = true, 0
		for i, item := range w.heads {
			if item.Revision <= out.WatchAfter {
				d.seen = i + 1
			}
		}
	}
	if out.StopWatch {
		d.watching = false
	}
	if len(out.Fetch) > 0 {
		d.fetches = append(d.fetches, out.Fetch)
	}
	if out.Err != nil {
		w.fail("daemon %s: %v", d.id, out.Err)
	}
	if out.Install != nil {
		w.checkInstall(d, *out.Install)
	}
}

// checkInstall checks invariant 8: no revision in force is followed by a lower
// one, and the content is the accepted one.
func (w *world) checkInstall(d *simDaemon, in Installed) {
	switch {
	case in.Revision <= d.revision:
		w.fail("daemon %s: revision %d put in force after %d", d.id, in.Revision, d.revision)
	case in.Revision >= uint64(len(w.contents)):
		w.fail("daemon %s: revision %d was never accepted", d.id, in.Revision)
	case !maps.Equal(weights(in.Config), w.contents[in.Revision]):
		w.fail("daemon %s: revision %d has %v, want %v", d.id, in.Revision, weights(in.Config), w.contents[in.Revision])
	case d.revision == 0 && !d.disturbed && w.now.Sub(d.started) < time.Second && in.Revision < d.floor:
		w.fail("daemon %s: restarted with revision %d, its failure domain had %d", d.id, in.Revision, d.floor)
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

// begin starts an operation of an operator who saw some earlier revision.
func (w *world) begin(action Action) {
	w.nextOp++
	newest := uint64(len(w.contents) - 1)
	op := operation{edit: Edit{Action: action, OpID: fmt.Sprintf("op-%d", w.nextOp), Base: newest - uint64(w.pick(int(min(newest, 3)+1))),
		Spent: func(string) bool { return false },
		Entry: audit.Entry{Actor: "ana", Team: "north", Kind: audit.KindApply, Reason: "test"}}}
	switch action {
	case ActionApply:
		op.account, op.weight = fmt.Sprintf("a%d", w.pick(w.accounts)), w.pick(w.weights)
		content := maps.Clone(w.contents[op.edit.Base])
		op.change(content)
		op.edit.Config = configOf(content)
	case ActionRollback:
		op.edit.Base, op.edit.To = newest, 1+uint64(w.pick(int(newest)+1))
	case ActionRecord:
		op.edit.Entry.Kind, op.edit.Since = audit.KindTopUp, w.now
	}
	w.open(op)
}

func (o operation) change(content map[string]int) {
	if o.weight == 0 {
		delete(content, o.account)
	} else {
		content[o.account] = o.weight
	}
}

func (w *world) open(op operation) {
	e := NewEditor(op.edit, nil)
	e.faults = w.faults.editor
	// Low limits make rotations and searches through segments frequent.
	e.keep, e.rotateAnyway, e.keepRevisions = 2, 6, 2
	w.sessions = append(w.sessions, &session{op: op, editor: e})
}

// stepSession executes the next store calls of one editor.
func (w *world) stepSession(faulty bool) {
	if len(w.sessions) == 0 {
		return
	}
	i := w.pick(len(w.sessions))
	s := w.sessions[i]
	var answers []Answer
	outage := faulty && w.pick(12) == 0
	for _, key := range s.editor.Request().Get {
		item, err := w.store.Get(context.Background(), key)
		if outage {
			item, err = platform.Item{}, platform.ErrUnavailable
		}
		answers = append(answers, Answer{item, err})
	}
	for _, put := range s.editor.Request().Put {
		answers = append(answers, w.write(put, faulty, outage))
	}
	for _, d := range s.editor.Request().Delete {
		err := w.store.Delete(context.Background(), d.Key, d.Expected)
		answers = append(answers, Answer{Err: err})
	}
	if len(s.editor.Request().Delete) > 0 {
		w.checkNewest()
	}
	s.editor.Step(w.now, answers)
	if s.editor.Done() {
		w.sessions = append(w.sessions[:i:i], w.sessions[i+1:]...)
		w.finished(s)
	}
}

func (w *world) write(put platform.Write, faulty, outage bool) Answer {
	if outage {
		return Answer{Err: platform.ErrUnavailable}
	}
	outcome := 0
	if faulty {
		outcome = w.pick(6)
	}
	if outcome == 1 {
		w.delayed = append(w.delayed, put)
		return Answer{Err: platform.ErrOutcomeUnknown}
	}
	item, err := w.commit(put)
	if outcome == 2 && err == nil {
		return Answer{Err: platform.ErrOutcomeUnknown}
	}
	return Answer{item, err}
}

// commit writes to the store and follows each new version of the head.
func (w *world) commit(put platform.Write) (platform.Item, error) {
	item, err := w.store.CompareAndSwap(context.Background(), put)
	if err == nil && put.Key == HeadKey && (len(w.heads) == 0 || item.Revision > w.heads[len(w.heads)-1].Revision) {
		w.heads = append(w.heads, item)
		w.checkHead()
	}
	return item, err
}

// finished checks what an operator was told.
func (w *world) finished(s *session) {
	result, err := s.editor.Result()
	id := s.op.edit.OpID
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		s.op.unknown = true
		w.open(s.op)
	case err != nil && s.op.unknown:
		// The operator gives up; the edit may take effect or not.
		w.undecided = append(w.undecided, s.op)
	case err != nil:
		w.refused[id] = err
		if revision, ok := w.accepted[id]; ok {
			w.fail("%s ended with %v and is revision %d", id, err, revision)
		}
		w.checkRefusal(s.op, err)
	case s.op.edit.Action == ActionRotate || s.op.edit.Action == ActionCollect || result.Unchanged:
	case w.accepted[id] == 0:
		w.fail("%s was reported as accepted and is not in the trail", id)
	case s.op.edit.Action != ActionRecord && w.accepted[id] != result.Revision:
		w.fail("%s was reported as revision %d, is %d", id, result.Revision, w.accepted[id])
	}
}
