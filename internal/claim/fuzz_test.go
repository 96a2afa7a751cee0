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
// same verdict. Flags given on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is several daemons with one claim shard and a store with faults. The
// oracle is the list of attempts that were dispatched.
type world struct {
	t       *rapid.T
	flaws   flaw
	now     time.Time
	value   []byte
	rev     int64
	op      string
	outage  bool
	lose    bool
	daemons []*daemon
	net     []func()
	tries   []*try
}

type daemon struct {
	name string
	w    *Writer
	dead bool
	runs []*try
}

type try struct {
	id         ID
	token      string
	answered   Result
	dispatched bool
	released   bool
	done       bool
	body       string
}

func (w *world) add() {
	d := &daemon{name: fmt.Sprint("d", len(w.daemons))}
	d.w = New(Options{Daemon: d.name, flaws: w.flaws})
	w.daemons = append(w.daemons, d)
}

func (w *world) take(d *daemon) {
	if d.dead {
		return
	}
	out := d.w.Take()
	for _, a := range out.Answers {
		w.answered(d, a)
	}
	reply := func(f func()) {
		w.net = append(w.net, func() {
			if !d.dead {
				f()
				w.take(d)
			}
		})
	}
	if out.Read {
		w.net = append(w.net, func() {
			value, rev, ok := w.value, w.rev, !w.outage
			reply(func() { d.w.HandleRead(w.now, value, rev, ok) })
		})
	}
	if out.Write != nil {
		wr := *out.Write
		w.net = append(w.net, func() {
			o, value, rev := w.swap(wr)
			reply(func() { d.w.HandleWrite(w.now, o, value, rev) })
		})
	}
}

func (w *world) swap(wr Write) (Outcome, []byte, int64) {
	switch {
	case w.outage:
		return NotApplied, nil, 0
	case w.op != wr.OpID && w.rev != wr.Expected:
		return Conflict, w.value, w.rev
	case w.op != wr.OpID:
		w.value, w.op = wr.Value, wr.OpID
		w.rev++
		if w.lose {
			w.lose = false
			return UnknownOutcome, nil, 0
		}
	}
	return Applied, nil, w.rev
}

func (w *world) answered(d *daemon, a Answer) {
	for _, r := range w.tries {
		if r.token != a.Token {
			continue
		}
		if r.answered != 0 {
			w.t.Fatalf("attempt %s answered %d and then %d", r.token, r.answered, a.Result)
		}
		r.answered = a.Result
		w.judge(r, a)
		if a.Result == Granted {
			r.dispatched = true
			d.runs = append(d.runs, r)
		}
	}
}

// judge compares an answer with what really happened to the request.
func (w *world) judge(r *try, a Answer) {
	var dispatched, done int
	body := ""
	for _, o := range w.tries {
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

func (w *world) pick() *daemon {
	for {
		if d := rapid.SampledFrom(w.daemons).Draw(w.t, "daemon"); !d.dead {
			return d
		}
	}
}

func (w *world) end(d *daemon) {
	if len(d.runs) == 0 {
		return
	}
	r := d.runs[0]
	d.runs = d.runs[1:]
	switch rapid.IntRange(0, 3).Draw(w.t, "end") {
	case 0:
		r.dispatched, r.released = false, true // it was never sent
		d.w.Release(w.now, r.id, r.token)
	case 1:
		d.w.Finish(w.now, r.id, r.token, Unknown, 0, nil)
	default:
		r.done, r.body = true, "answer of "+r.token
		d.w.Finish(w.now, r.id, r.token, Done, 200, []byte(r.body))
	}
	w.take(d)
}

func (w *world) deliver(i int) {
	f := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	f()
}

func (w *world) tick(ms int) {
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
	for _, d := range w.daemons {
		if !d.dead {
			d.w.Tick(w.now)
			w.take(d)
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	attempt := func(*rapid.T) {
		d := w.pick()
		r := &try{id: ID{"acme", "order", fmt.Sprint(rapid.IntRange(0, 6).Draw(w.t, "key"))}, token: fmt.Sprint("t", len(w.tries))}
		w.tries = append(w.tries, r)
		d.w.Attempt(w.now, r.id, r.token)
		w.take(d)
	}
	cycle := func(*rapid.T) {
		for range 3 {
			w.tick(60)
			for n := 0; len(w.net) > 0 && n < 100; n++ {
				w.deliver(0)
			}
		}
	}
	return map[string]func(*rapid.T){
		"attempt 1": attempt, "attempt 2": attempt, "attempt 3": attempt,
		"cycle 1": cycle, "cycle 2": cycle,
		"tick": func(t *rapid.T) { w.tick(rapid.IntRange(10, 700).Draw(t, "ms")) },
		"deliver": func(t *rapid.T) {
			if len(w.net) > 0 {
				w.deliver(rapid.IntRange(0, len(w.net)-1).Draw(t, "packet"))
			}
		},
		"end 1": func(*rapid.T) { w.end(w.pick()) },
		"end 2": func(*rapid.T) { w.end(w.pick()) },
		"crash": func(*rapid.T) {
			d := w.pick()
			d.dead = true
			w.add()
			for _, o := range w.daemons {
				o.w.SetEnded(w.now, d.name)
				w.take(o)
			}
		},
		"outage": func(*rapid.T) { w.outage = !w.outage },
		"lose":   func(*rapid.T) { w.lose = true },
	}
}

func property(flaws flaw) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &world{t: t, flaws: flaws, now: time.Unix(1000, 0)}
		for range 3 {
			w.add()
		}
		t.Repeat(w.actions())
		w.outage = false
		for range 60 {
			w.tick(100)
			for n := 0; len(w.net) > 0 && n < 100; n++ {
				w.deliver(0)
			}
		}
		for _, d := range w.daemons {
			if !d.dead && !d.w.Idle() {
				t.Fatalf("daemon %s does not come to rest", d.name)
			}
		}
	}
}

// Guards against a non-idempotent request that is dispatched twice, an answer
// of another request, and an attempt that is never answered.
func TestFuzzAtMostOnce(t *testing.T) { rapid.Check(t, property(0)) }

// recorder is a rapid.TB that notes a failure instead of failing the test.
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

// Guards against a fuzz that cannot fail: with each of these rules switched
// off, it must find a violation.
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
				t.Fatal("the fuzz did not find the flaw")
			}
			t.Log(r.failed)
		})
	}
}

// Guards against a record that outgrows its bound, and against a lost claim
// when answers are dropped for room.
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
	if granted < 3000 || refused == 0 || granted+refused != groups*group || len(w.rec.Claims) != granted {
		t.Fatalf("granted %d, refused %d, kept %d", granted, refused, len(w.rec.Claims))
	}
	t.Logf("granted %d of %d", granted, groups*group)
}

// Guards against a change that is forgotten because it came while a write was
// under way.
func TestChangeDuringWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(Options{Daemon: "d"})
	later := func() Output {
		now = now.Add(60 * time.Millisecond)
		w.Tick(now)
		return w.Take()
	}
	id := ID{"acme", "order", "1"}
	w.Attempt(now, id, "t1")
	if out := later(); !out.Read {
		t.Fatal("no read")
	}
	w.HandleRead(now, nil, 0, true)
	if w.Take().Write == nil {
		t.Fatal("no write")
	}
	w.pending[0].deadline = now // refused while the write is under way
	later()
	w.HandleWrite(now, Applied, nil, 1)
	w.Take()
	if out := later(); out.Write == nil {
		t.Fatal("the claim of the refused attempt is not released")
	}
}
