// Package pace finds how many requests an endpoint bears that has just started or come back.
//
// The load that it answers: an endpoint returns to a fleet of many daemons. It has no open requests, so all
// daemons prefer it at once. With a bound for each daemon, even of one request, 70 daemons send it 70
// requests; with a bound by time it is left idle if it is fast, and flooded if it is slow. One
// daemon therefore grants the requests of all of them, in a window that the answers open and close.
//
// The package performs no I/O. A Regulator is not safe for concurrent use, and the caller passes
// the current time.
package pace

import "time"

const (
	// firstShare is the part of an endpoint's slots with which a window begins.
	firstShare = 1.0 / 8
	// lateFactor and failedFactor close a window after a late and a failed answer, at most once for the
	// requests that were under way together.
	lateFactor   = 0.7
	failedFactor = 0.5
	// cautiousGrowth is the growth by an answer in time once the window has been too wide. Before, each one
	// adds a request, which doubles the window with each round of answers.
	cautiousGrowth = 0.5
	// answerTimeout is the time after which a request without a word of its answer counts as late. It is
	// longer than callers wait gladly for the first byte of any answer.
	answerTimeout = 3 * time.Second
	// maxOfSlots is the widest window, in slots of the endpoint: those that run, and as many that wait
	// for less than the time of one.
	maxOfSlots = 2
	// quietTime ends the pace of an endpoint that has answered and whose window has denied no request
	// for that time: it gets what is wanted of it.
	quietTime = time.Second
	// overFor is the time after the end of a pace in which a daemon that hears late of the return of
	// the endpoint does not begin it anew.
	overFor = 3 * time.Second
	// expiry is the time without a use after which an endpoint is forgotten.
	expiry = time.Minute
	// minWait and maxWait bound the time after which a denied daemon asks again.
	minWait = 10 * time.Millisecond
	maxWait = 250 * time.Millisecond
)

// Key identifies one life of an endpoint's process.
type Key struct {
	Endpoint    string
	Incarnation int64
}

// Answers counts how the requests that were granted ended or began to be answered.
type Answers struct {
	// OnTime answers began in time, Slow ones took most of the time that callers accept, Late ones more.
	OnTime, Slow, Late int
	// Failed requests were refused, or ended with an error or without an answer.
	Failed int
}

// Total returns the number of requests.
func (a Answers) Total() int { return a.OnTime + a.Slow + a.Late + a.Failed }

// Add adds the counts of b.
func (a *Answers) Add(b Answers) {
	a.OnTime, a.Slow, a.Late, a.Failed = a.OnTime+b.OnTime, a.Slow+b.Slow, a.Late+b.Late, a.Failed+b.Failed
}

// Decision is the answer to a daemon that wants to send a request.
type Decision struct {
	Granted bool
	// Over is true if the endpoint needs no pace any more. The request is granted then.
	Over bool
	// Wait is the time after which the daemon may ask again if the request is not granted.
	Wait time.Duration
	// Began and Ended are true for the decision that began or ended the pace. Took is its time,
	// Narrowed how often the window was made narrower.
	Began, Ended bool
	Took         time.Duration
	Narrowed     int
}

// Regulator grants requests to endpoints that have just returned.
type Regulator struct{ windows map[Key]*window }

// window is the number of requests that an endpoint may have without a word of their answers.
type window struct {
	size, widest float64
	// granted holds when the requests without an answer were granted, the oldest first.
	granted []time.Time
	// answerTime is the moving average of the time to an answer.
	answerTime time.Duration
	began      time.Time
	deniedAt   time.Time
	// closedAt is when the window was last made narrower.
	closedAt time.Time
	narrowed int
	answered int
	overAt   time.Time
	usedAt   time.Time
}

// NewRegulator returns a Regulator that knows no endpoint.
func NewRegulator() *Regulator { return &Regulator{windows: make(map[Key]*window)} }

// Take decides on a request to an endpoint with some slots that returned at the given time.
func (r *Regulator) Take(now time.Time, k Key, slots int, returnedAt time.Time) Decision {
	w, began := r.window(now, k, slots, returnedAt)
	w.usedAt = now
	if !w.overAt.IsZero() {
		return Decision{Granted: true, Over: true}
	}
	w.expire(now)
	if w.finished(now) {
		w.overAt = now
		return Decision{Granted: true, Over: true, Ended: true, Took: now.Sub(w.began), Narrowed: w.narrowed}
	}
	if float64(len(w.granted)+1) > w.size {
		w.deniedAt = now
		return Decision{Wait: w.wait(now), Began: began}
	}
	w.granted = append(w.granted, now)
	return Decision{Granted: true, Began: began}
}

// Answered records answers to requests that were granted.
func (r *Regulator) Answered(now time.Time, k Key, a Answers) {
	w, ok := r.windows[k]
	if !ok || !w.overAt.IsZero() {
		return
	}
	for range a.Failed {
		w.close(w.pop(now), now, failedFactor)
	}
	for range a.Late {
		w.close(w.pop(now), now, lateFactor)
	}
	for range a.Slow {
		w.pop(now)
	}
	for range a.OnTime {
		used := 2*len(w.granted) >= int(w.size)
		w.pop(now)
		switch {
		case !used:
		case w.closedAt.IsZero():
			w.size = min(w.size+1, w.widest)
		default:
			w.size = min(w.size+cautiousGrowth, w.widest)
		}
	}
	w.answered += a.OnTime + a.Slow
}

// window returns the window of an endpoint, a new one if the pace of its former return is over.
func (r *Regulator) window(now time.Time, k Key, slots int, returnedAt time.Time) (w *window, began bool) {
	w, ok := r.windows[k]
	if ok && (w.overAt.IsZero() || !returnedAt.After(w.overAt.Add(overFor))) {
		return w, false
	}
	if !ok {
		r.prune(now)
	}
	w = &window{size: max(1, float64(slots)*firstShare), widest: max(1, float64(slots)*maxOfSlots), began: now, deniedAt: now}
	r.windows[k] = w
	return w, true
}

func (r *Regulator) prune(now time.Time) {
	for k, w := range r.windows {
		if now.Sub(w.usedAt) > expiry {
			delete(r.windows, k)
		}
	}
}

// finished reports whether the endpoint needs no pace any more: it gets what is wanted of it. A wide window
// does not show that: an endpoint may answer all requests that it runs in time, but not more.
func (w *window) finished(now time.Time) bool {
	return w.answered > 0 && now.Sub(w.deniedAt) >= quietTime
}

// expire counts requests as late that were granted long ago. Their daemon may have died as well.
func (w *window) expire(now time.Time) {
	for len(w.granted) > 0 && now.Sub(w.granted[0]) > answerTimeout {
		w.close(w.pop(now), now, lateFactor)
	}
}

// pop removes the oldest request without an answer and returns when it was granted.
func (w *window) pop(now time.Time) time.Time {
	if len(w.granted) == 0 {
		return now
	}
	at := w.granted[0]
	w.granted = w.granted[1:]
	const weight = 4
	w.answerTime += (now.Sub(at) - w.answerTime) / weight
	return at
}

// close makes the window narrower, unless the request was granted before that was last done.
func (w *window) close(grantedAt, now time.Time, factor float64) {
	if !grantedAt.After(w.closedAt) {
		return
	}
	w.size, w.closedAt = max(1, w.size*factor), now
	w.narrowed++
}

// wait returns the time until an answer is expected that makes room.
func (w *window) wait(now time.Time) time.Duration {
	d := maxWait
	if len(w.granted) > 0 {
		d = w.answerTime - now.Sub(w.granted[0])
	}
	return min(max(d, minWait), maxWait)
}
