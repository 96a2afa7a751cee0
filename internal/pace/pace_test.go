package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	slots     = 16
	objective = 400 * time.Millisecond
	// serviceTime is that of a warm endpoint, which bears 320 requests a second with 16 slots.
	serviceTime = 50 * time.Millisecond
)

// returnLoad plays the return of an endpoint to a fleet of 70 daemons in virtual time: each has a request ready
// when it returns, and together they want 250 a second of it from then on. A request that is not sent
// goes elsewhere.
type returnLoad struct {
	// warmUp is the time in which the endpoint works at a third of its speed.
	warmUp time.Duration
	// send decides on a request of a daemon that has some open ones; answered hears of each answer.
	send     func(now time.Duration, open int) bool
	answered func(now, elapsed time.Duration)

	sent, late, early int
	// fullAt is when the endpoint first got what was wanted of it for a whole 250 ms.
	fullAt time.Duration
}

type sentRequest struct {
	daemon       int
	at, finishes time.Duration
}

func (l *returnLoad) run(end time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	var queue, running []sentRequest
	open := make([]int, 70)
	deniedAt := time.Duration(0)
	offer := func(now time.Duration, daemon int) {
		if !l.send(now, open[daemon]) {
			deniedAt = now
			return
		}
		l.sent++
		open[daemon]++
		queue = append(queue, sentRequest{daemon: daemon, at: now})
	}
	for now := time.Duration(0); now < end; now += time.Millisecond {
		if now == 0 {
			for d := range open {
				offer(now, d)
			}
		} else if rng.Float64() < 0.25 {
			offer(now, rng.IntN(len(open)))
		}
		still := running[:0]
		for _, r := range running {
			if r.finishes > now {
				still = append(still, r)
				continue
			}
			open[r.daemon]--
			l.answered(now, now-r.at)
			if now-r.at > objective {
				l.late++
			} else if now < 2*time.Second {
				l.early++
			}
		}
		running = still
		for len(queue) > 0 && len(running) < slots {
			r := queue[0]
			queue, r.finishes = queue[1:], now+serviceTime
			if now < l.warmUp {
				r.finishes = now + 3*serviceTime
			}
			running = append(running, r)
		}
		if l.fullAt == 0 && now-deniedAt >= 250*time.Millisecond {
			l.fullAt = now
		}
	}
}

// runPaced plays the load with a Regulator.
func (l *returnLoad) runPaced(end time.Duration) {
	r, k := NewRegulator(), Key{Endpoint: "e", Incarnation: 1}
	l.send = func(now time.Duration, _ int) bool { return r.Take(start.Add(now), k, slots, start).Granted }
	l.answered = func(now, elapsed time.Duration) {
		a := Answers{OnTime: 1}
		if elapsed > objective {
			a = Answers{Late: 1}
		} else if elapsed > objective/2 {
			a = Answers{Slow: 1}
		}
		r.Answered(start.Add(now), k, a)
	}
	l.run(end)
}

// runRamp plays the load with a bound of open requests for each daemon that grows from one to its share of
// the slots in 2 s.
func (l *returnLoad) runRamp(end time.Duration) {
	l.send = func(now time.Duration, open int) bool { return now > 2*time.Second || open < 1 }
	l.answered = func(time.Duration, time.Duration) {}
	l.run(end)
}

// Guards against an endpoint that is flooded while it is slow, and against one that is left idle
// although it is fast.
func TestPaceOfAReturnedEndpoint(t *testing.T) {
	const end = 8 * time.Second
	for _, c := range []struct {
		name   string
		warmUp time.Duration
		// mostLate is the part of the late answers of a fixed ramp that a pace may cause.
		mostLate float64
		fullBy   time.Duration
	}{{"slow for 3 s", 3 * time.Second, 0.1, 5 * time.Second}, {"fast", 0, 1, time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			ramp, paced := returnLoad{warmUp: c.warmUp}, returnLoad{warmUp: c.warmUp}
			ramp.runRamp(end)
			paced.runPaced(end)
			t.Logf("ramp: %d sent, %d late, %d in time in the first 2 s, full after %v", ramp.sent, ramp.late, ramp.early, ramp.fullAt)
			t.Logf("pace: %d sent, %d late, %d in time in the first 2 s, full after %v", paced.sent, paced.late, paced.early, paced.fullAt)
			if most := int(c.mostLate * float64(ramp.late)); paced.late > most {
				t.Errorf("%d late answers, allowed are %d", paced.late, most)
			}
			if paced.early < ramp.early*8/10 {
				t.Errorf("%d answers in time in the first 2 s, %d with a fixed ramp", paced.early, ramp.early)
			}
			if paced.fullAt == 0 || paced.fullAt > c.fullBy {
				t.Errorf("full use after %v, want %v", paced.fullAt, c.fullBy)
			}
		})
	}
}

// Guards against a window that stays closed by daemons that die with their permits or by lost reports,
// and against a pace that begins anew at a daemon that hears of the return late.
func TestPaceEnds(t *testing.T) {
	r, k, now := NewRegulator(), Key{Endpoint: "e", Incarnation: 1}, start
	untilDenied := func() {
		for range 3 * slots {
			if !r.Take(now, k, slots, start).Granted {
				return
			}
		}
		t.Fatal("no request was denied")
	}
	untilDenied()
	now = now.Add(answerTimeout + time.Millisecond)
	if !r.Take(now, k, slots, start).Granted {
		t.Fatal("no permit after the time in which requests are answered")
	}
	untilDenied()
	r.Answered(now, k, Answers{OnTime: 1})
	if d := r.Take(now.Add(quietTime-1), k, slots, start); d.Over {
		t.Error("the pace ended although a request was denied a short time ago")
	}
	now = now.Add(quietTime)
	if d := r.Take(now, k, slots, start); !d.Over {
		t.Fatalf("got %+v after many answers in time, want the end of the pace", d)
	}
	if d := r.Take(now, k, slots, now.Add(overFor)); !d.Over {
		t.Error("the pace began anew for a daemon that heard late")
	}
	if d := r.Take(now, k, slots, now.Add(overFor+time.Millisecond)); d.Over {
		t.Error("no pace after the endpoint came back again")
	}
}
