package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of cases, so that each run has the
// same result. Flags given on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation runs several daemons with one claim shard and a store with faults.
// The oracle is the list of attempts with what happened to each.
type simulation struct {
	t              *rapid.T
	flaws          flaw
	now            time.Time
	value          []byte
	rev            int64
	lastOpID       string
	outage         bool
	loseNextAnswer bool
	daemons        []*daemon
	packets        []func()
	attempts       []*simAttempt
}

type daemon struct {
	name    string
	w       *Writer
	dead    bool
	running []*simAttempt
}

type simAttempt struct {
	id         ID
	token      string
	result     Result
	dispatched bool
	released   bool
	done       bool
	body       string
}

func (w *simulation) addDaemon() {
	d := &daemon{name: fmt.Sprint("d", len(w.daemons))}
	d.w = New(Options{Daemon: d.name, flaws: w.flaws})
	w.daemons = append(w.daemons, d)
}

func (w *simulation) takeOutput(d *daemon) {
	if d.dead {
		return
	}
	out := d.w.Take()
	for _, a := range out.Answers {
		w.handleAnswer(d, a)
	}
	reply := func(f func()) {
		w.packets = append(w.packets, func() {
			if !d.dead {
				f()
				w.takeOutput(d)
			}
		})
	}
	if out.Read {
		w.packets = append(w.packets, func() {
			value, rev, ok := w.value, w.rev, !w.outage
			reply(func() { d.w.HandleRead(w.now, value, rev, ok) })
		})
	}
	if out.Write != nil {
		wr := *out.Write
		w.packets = append(w.packets, func() {
			o, value, rev := w.compareAndSwap(wr)
			reply(func() { d.w.HandleWrite(w.now, o, value, rev) })
		})
	}
}

func (w *simulation) compareAndSwap(wr Write) (Outcome, []byte, int64) {
	switch {
	case w.outage:
		return NotApplied, nil, 0
	case w.lastOpID != wr.OpID && w.rev != wr.Expected:
		return Conflict, w.value, w.rev
	case w.lastOpID != wr.OpID:
		w.value, w.lastOpID = wr.Value, wr.OpID
		w.rev++
		if w.loseNextAnswer {
			w.loseNextAnswer = false
			return UnknownOutcome, nil, 0
		}
	}
	return Applied, nil, w.rev
}

func (w *simulation) handleAnswer(d *daemon, a Answer) {
	for _, r := range w.attempts {
		if r.token != a.Token {
			continue
		}
		if r.result != 0 {
			w.t.Fatalf("attempt %s was answered %d and then %d", r.token, r.result, a.Result)
		}
		r.result = a.Result
		w.checkAnswer(r, a)
		if a.Result == Granted {
			r.dispatched = true
			d.running = append(d.running, r)
		}
	}
}

// checkAnswer compares an answer with what happened to the request.
func (w *simulation) checkAnswer(r *simAttempt, a Answer) {
	var dispatched, done int
	body := ""
	for _, o := range w.attempts {
		if o.id == r.id && o.dispatched {
			dispatched++
			if o.done {
				done++
				body = o.body
			}
		}
	}
	switch {
	case a.Result == Granted && dispatched > 0:
		w.t.Fatalf("request %v dispatched twice", r.id)
	case a.Result == AlreadyRan && (done == 0 || string(a.Body) != body):
		w.t.Fatalf("request %v: answer %q, but its answer is %q", r.id, a.Body, body)
	}
}

func (w *simulation) drawDaemon() *daemon {
	for {
		if d := rapid.SampledFrom(w.daemons).Draw(w.t, "daemon"); !d.dead {
			return d
		}
	}
}

func (w *simulation) endRun(d *daemon) {
	if len(d.running) == 0 {
		return
	}
	r := d.running[0]
	d.running = d.running[1:]
	switch rapid.IntRange(0, 3).Draw(w.t, "end") {
	case 0:
		r.dispatched, r.released = false, true // the request was never sent
		d.w.Release(w.now, r.id, r.token)
	case 1:
		d.w.Finish(w.now, r.id, r.token, Unknown, 0, nil)
	default:
		r.done, r.body = true, "answer of "+r.token
		d.w.Finish(w.now, r.id, r.token, Done, 200, []byte(r.body))
	}
	w.takeOutput(d)
}

func (w *simulation) deliver(i int) {
	f := w.packets[i]
	w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
	f()
}

func (w *simulation) tick(ms int) {
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
	for _, d := range w.daemons {
		if !d.dead {
			d.w.Tick(w.now)
			w.takeOutput(d)
		}
	}
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	attempt := func(*rapid.T) {
		d := w.drawDaemon()
		r := &simAttempt{
			id:    ID{"acme", "order", fmt.Sprint(rapid.IntRange(0, 6).Draw(w.t, "key"))},
			token: fmt.Sprint("t", len(w.attempts)),
		}
		w.attempts = append(w.attempts, r)
		d.w.Attempt(w.now, r.id, r.token)
		w.takeOutput(d)
	}
	cycle := func(*rapid.T) {
		for range 3 {
			w.tick(60)
			for n := 0; len(w.packets) > 0 && n < 100; n++ {
				w.deliver(0)
			}
		}
	}
	return map[string]func(*rapid.T){
		"attempt 1": attempt, "attempt 2": attempt, "attempt 3": attempt,
		"cycle 1": cycle, "cycle 2": cycle,
		"tick": func(t *rapid.T) { w.tick(rapid.IntRange(10, 700).Draw(t, "ms")) },
		"deliver": func(t *rapid.T) {
			if len(w.packets) > 0 {
				w.deliver(rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet"))
			}
		},
		"end 1": func(*rapid.T) { w.endRun(w.drawDaemon()) },
		"end 2": func(*rapid.T) { w.endRun(w.drawDaemon()) },
		"crash": func(*rapid.T) {
			d := w.drawDaemon()
			d.dead = true
			w.addDaemon()
			for _, o := range w.daemons {
				o.w.SetEnded(w.now, d.name)
				w.takeOutput(o)
			}
		},
		"outage": func(*rapid.T) { w.outage = !w.outage },
		"lose":   func(*rapid.T) { w.loseNextAnswer = true },
	}
}

func property(flaws flaw) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &simulation{t: t, flaws: flaws, now: time.Unix(1000, 0)}
		for range 3 {
			w.addDaemon()
		}
		t.Repeat(w.actions())
		w.outage = false
		for range 60 {
			w.tick(100)
			for n := 0; len(w.packets) > 0 && n < 100; n++ {
				w.deliver(0)
			}
		}
		for _, d := range w.daemons {
			if !d.dead && !d.w.Idle() {
				t.Fatalf("daemon %s does not become idle", d.name)
			}
		}
	}
}

// Guards against a non-idempotent request that is dispatched twice, an attempt
// that gets the answer of another request, and a writer that never becomes idle.
func TestFuzzAtMostOnce(t *testing.T) { rapid.Check(t, property(0)) }

// recorder is a rapid.TB that records a failure instead of failing the test.
type recorder struct {
	rapid.TB
	failed string
}

type stopped struct{}

func (r *recorder) Helper()                           {}
func (r *recorder) Name() string                      { return "flaw" }
func (r *recorder) Log(...any)                        {}
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) Failed() bool                      { return r.failed != "" }
func (r *recorder) FailNow()                          { panic(stopped{}) }
func (r *recorder) Errorf(format string, args ...any) { r.failed += fmt.Sprintf(format, args...) }

// Guards against a fuzz test that cannot fail: with each of these rules
// disabled, it must find a violation.
func TestFuzzFindsFlaws(t *testing.T) {
	if err := flag.Set("rapid.shrinktime", "0s"); err != nil {
		t.Fatal(err)
	}
	for name, f := range map[string]flaw{
		"reuse a claim after an unknown outcome": flawReuseUnknown,
		"grant before the write is confirmed":    flawGrantUnconfirmed,
		"overwrite another attempt's claim":      flawIgnoreOthers,
	} {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			func() {
				defer func() {
					if v := recover(); v != nil && v != any(stopped{}) {
						panic(v)
					}
				}()
				rapid.Check(r, property(f))
			}()
			if r.failed == "" {
				t.Fatal("the fuzz test did not find the flaw")
			}
			t.Log(r.failed)
		})
	}
}

// Guards against a record that exceeds MaxRecordBytes, and against a claim that
// is lost when answers are dropped to make room.
func TestRecordBound(t *testing.T) {
	const groups, group = 60, 100
	w := New(Options{Daemon: "d"})
	now := time.Unix(1000, 0)
	ids := map[string]ID{}
	var granted, refused int
	rev := int64(0)
	for g := range groups {
		for i := range group {
			token := fmt.Sprint("t", g, "/", i)
			ids[token] = ID{"acme", "order", token}
			w.Attempt(now, ids[token], token)
		}
		for range 12 {
			now = now.Add(10 * time.Millisecond)
			w.Tick(now)
			out := w.Take()
			if out.Read {
				w.HandleRead(now, nil, 0, true)
			}
			if out.Write != nil {
				if len(out.Write.Value) > MaxRecordBytes {
					t.Fatalf("record of %d bytes", len(out.Write.Value))
				}
				rev++
				w.HandleWrite(now, Applied, nil, rev)
			}
			for _, a := range out.Answers {
				switch a.Result {
				case Granted:
					granted++
					w.Finish(now, ids[a.Token], a.Token, Done, 200, make([]byte, MaxAnswerBytes))
				case Unavailable:
					refused++
				}
			}
		}
	}
	if granted < 3000 || refused == 0 || granted+refused != groups*group || len(w.record.Claims) != granted {
		t.Fatalf("granted %d, refused %d, kept %d", granted, refused, len(w.record.Claims))
	}
	t.Logf("granted %d of %d", granted, groups*group)
}

// Guards against a change that is lost because it was made during a write.
func TestChangeDuringWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(Options{Daemon: "d"})
	tickAndTake := func() Output {
		now = now.Add(60 * time.Millisecond)
		w.Tick(now)
		return w.Take()
	}
	id := ID{"acme", "order", "1"}
	w.Attempt(now, id, "t1")
	if out := tickAndTake(); !out.Read {
		t.Fatal("no read")
	}
	w.HandleRead(now, nil, 0, true)
	if w.Take().Write == nil {
		t.Fatal("no write")
	}
	w.pendingAttempts[0].deadline = now // refused during the write
	tickAndTake()
	w.HandleWrite(now, Applied, nil, 1)
	w.Take()
	if out := tickAndTake(); out.Write == nil {
		t.Fatal("the claim of the refused attempt is not released")
	}
}
