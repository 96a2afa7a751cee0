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
	writer  *Writer
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

func (s *simulation) addDaemon() {
	d := &daemon{name: fmt.Sprint("d", len(s.daemons))}
	d.writer = New(Options{Daemon: d.name, flaws: s.flaws})
	s.daemons = append(s.daemons, d)
}

func (s *simulation) takeOutput(d *daemon) {
	if d.dead {
		return
	}
	out := d.writer.Take()
	for _, a := range out.Answers {
		s.handleAnswer(d, a)
	}
	reply := func(f func()) {
		s.packets = append(s.packets, func() {
			if !d.dead {
				f()
				s.takeOutput(d)
			}
		})
	}
	if out.Read {
		s.packets = append(s.packets, func() {
			value, rev, ok := s.value, s.rev, !s.outage
			reply(func() { d.writer.HandleRead(s.now, value, rev, ok) })
		})
	}
	if out.Write != nil {
		wr := *out.Write
		s.packets = append(s.packets, func() {
			o, value, rev := s.compareAndSwap(wr)
			reply(func() { d.writer.HandleWrite(s.now, o, value, rev) })
		})
	}
}

func (s *simulation) compareAndSwap(wr Write) (Outcome, []byte, int64) {
	switch {
	case s.outage:
		return NotApplied, nil, 0
	case s.lastOpID != wr.OpID && s.rev != wr.Expected:
		return Conflict, s.value, s.rev
	case s.lastOpID != wr.OpID:
		s.value, s.lastOpID = wr.Value, wr.OpID
		s.rev++
		if s.loseNextAnswer {
			s.loseNextAnswer = false
			return MaybeApplied, nil, 0
		}
	}
	return Applied, nil, s.rev
}

func (s *simulation) handleAnswer(d *daemon, a Answer) {
	for _, r := range s.attempts {
		if r.token != a.Token {
			continue
		}
		if r.result != 0 {
			s.t.Fatalf("attempt %s was answered %d and then %d", r.token, r.result, a.Result)
		}
		r.result = a.Result
		s.checkAnswer(r, a)
		if a.Result == Granted {
			r.dispatched = true
			d.running = append(d.running, r)
		}
	}
}

// checkAnswer compares an answer with what happened to the request.
func (s *simulation) checkAnswer(r *simAttempt, a Answer) {
	var dispatched, done int
	body := ""
	for _, o := range s.attempts {
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
		s.t.Fatalf("request %v dispatched twice", r.id)
	case a.Result == AlreadyRan && (done == 0 || string(a.Body) != body):
		s.t.Fatalf("request %v: answer %q, but its answer is %q", r.id, a.Body, body)
	}
}

func (s *simulation) drawDaemon() *daemon {
	for {
		if d := rapid.SampledFrom(s.daemons).Draw(s.t, "daemon"); !d.dead {
			return d
		}
	}
}

func (s *simulation) endRun(d *daemon) {
	if len(d.running) == 0 {
		return
	}
	r := d.running[0]
	d.running = d.running[1:]
	switch rapid.IntRange(0, 3).Draw(s.t, "end") {
	case 0:
		r.dispatched, r.released = false, true // the request was never sent
		d.writer.Release(s.now, r.id, r.token)
	case 1:
		d.writer.Finish(s.now, r.id, r.token, Unknown, 0, nil)
	default:
		r.done, r.body = true, "answer of "+r.token
		d.writer.Finish(s.now, r.id, r.token, Done, 200, []byte(r.body))
	}
	s.takeOutput(d)
}

func (s *simulation) deliver(i int) {
	f := s.packets[i]
	s.packets = append(s.packets[:i:i], s.packets[i+1:]...)
	f()
}

func (s *simulation) tick(ms int) {
	s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	for _, d := range s.daemons {
		if !d.dead {
			d.writer.Tick(s.now)
			s.takeOutput(d)
		}
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	attempt := func(*rapid.T) {
		d := s.drawDaemon()
		r := &simAttempt{
			id:    ID{"acme", "order", fmt.Sprint(rapid.IntRange(0, 6).Draw(s.t, "key"))},
			token: fmt.Sprint("t", len(s.attempts)),
		}
		s.attempts = append(s.attempts, r)
		d.writer.Attempt(s.now, r.id, r.token)
		s.takeOutput(d)
	}
	cycle := func(*rapid.T) {
		for range 3 {
			s.tick(60)
			for n := 0; len(s.packets) > 0 && n < 100; n++ {
				s.deliver(0)
			}
		}
	}
	return map[string]func(*rapid.T){
		"attempt 1": attempt, "attempt 2": attempt, "attempt 3": attempt,
		"cycle 1": cycle, "cycle 2": cycle,
		"tick": func(t *rapid.T) { s.tick(rapid.IntRange(10, 700).Draw(t, "ms")) },
		"deliver": func(t *rapid.T) {
			if len(s.packets) > 0 {
				s.deliver(rapid.IntRange(0, len(s.packets)-1).Draw(t, "packet"))
			}
		},
		"end 1": func(*rapid.T) { s.endRun(s.drawDaemon()) },
		"end 2": func(*rapid.T) { s.endRun(s.drawDaemon()) },
		"crash": func(*rapid.T) {
			d := s.drawDaemon()
			d.dead = true
			s.addDaemon()
			for _, o := range s.daemons {
				o.writer.SetEnded(s.now, d.name)
				s.takeOutput(o)
			}
		},
		"outage": func(*rapid.T) { s.outage = !s.outage },
		"lose":   func(*rapid.T) { s.loseNextAnswer = true },
	}
}

func property(flaws flaw) func(*rapid.T) {
	return func(t *rapid.T) {
		s := &simulation{t: t, flaws: flaws, now: time.Unix(1000, 0)}
		for range 3 {
			s.addDaemon()
		}
		t.Repeat(s.actions())
		s.outage = false
		for range 60 {
			s.tick(100)
			for n := 0; len(s.packets) > 0 && n < 100; n++ {
				s.deliver(0)
			}
		}
		for _, d := range s.daemons {
			if !d.dead && !d.writer.Idle() {
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
	const groups, groupSize = 60, 100
	w := New(Options{Daemon: "d"})
	now := time.Unix(1000, 0)
	ids := map[string]ID{}
	var granted, refused int
	rev := int64(0)
	for g := range groups {
		for i := range groupSize {
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
	if granted < 3000 || refused == 0 || granted+refused != groups*groupSize || len(w.record.Claims) != granted {
		t.Fatalf("granted %d, refused %d, kept %d", granted, refused, len(w.record.Claims))
	}
	t.Logf("granted %d of %d", granted, groups*groupSize)
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
