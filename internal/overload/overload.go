// Package overload decides what a daemon does with more requests than its machine's link carries.
//
// The load it answers: the callers' connections are distributed by a hash, so that one daemon of a
// failure domain may get half of the domain's requests, several times what its link carries, while the
// others are idle. Each request crosses the link four times: its body and its response come in on one
// connection and go out on another one, and the body of a refused request comes in all the same. A daemon
// that takes everything queues its own calls for tokens, permits and connections behind bodies, until
// nothing ends in time.
//
// A Link admits the requests that fit, most urgent and smallest first, and refuses the others at once, so
// that callers return to another daemon while there is time. Client accounts that use less than an even
// share of the link go before those that use more. While more is asked of it than fits, it does not want new
// connections and ends some of those that it has.
//
// A Link performs no I/O and is not safe for concurrent use: the caller serializes the calls and passes
// the current time.
package overload

import (
	"math"
	"time"
)

// Shares of the link.
const (
	// usableShare of the link is used; the rest is for packet headers, which are not counted, and for
	// bursts of control messages.
	usableShare = 0.85
	// leastShare is what responses may use although bodies and control messages leave less: some must
	// come in even while the bodies of refused requests fill the link. It is crowdedLeastShare while no
	// other daemon has room for the callers: a request that is refused then comes again, and its body
	// crosses a full link once more. With 0.1 the links stayed full for twice as long after a burst.
	leastShare        = 0.1
	crowdedLeastShare = 0.5
	// The daemon is overloaded while the demand is above tripShare of the link and until it is below
	// clearShare: the callers that it has lost then come back.
	tripShare  = 0.85
	clearShare = 0.5
	// keptShare is the demand down to which connections are ended. The daemon goes on serving what is
	// left.
	keptShare = 0.75
)

// Times.
const (
	// baseDelay is the queue at which no request of the least urgency is admitted, urgentDelay what the
	// most urgent ones are allowed beyond it. Plain requests have objectives from about 100 ms, of which
	// the network and the endpoint need some 50 ms.
	baseDelay   = 30 * time.Millisecond
	urgentDelay = 50 * time.Millisecond
	// incomingFactor is how much longer the queue of what comes in may be: streams send their responses
	// over a second or more, so that it is not on the link at once.
	incomingFactor = 3
	// rateTime and demandTime are the time constants of the mean rates of traffic and of the demand.
	rateTime = 300 * time.Millisecond
	// maxDemandTime is the time of the link that one request counts for at most, less than baseDelay: other
	// connections share the link with a large body.
	maxDemandTime = 20 * time.Millisecond
	demandTime    = 500 * time.Millisecond
	// An overloaded daemon does not want new connections for firstHold at least. Whoever distributes
	// the connections notices a change after 2 or 3 s, in which the callers who return overload the
	// daemon again: a tenth of the time. The hold doubles up to maxHold if the daemon is overloaded
	// again within againTime of its end.
	firstHold = 30 * time.Second
	maxHold   = 2 * time.Minute
	againTime = 10 * time.Second
	// noticeTime is how long new connections still arrive after the daemon has become overloaded: two
	// readiness checks, one a second, and what is on its way.
	noticeTime = 2500 * time.Millisecond
	// retryAfterElsewhere is for callers whose next connection reaches another daemon, retryAfterHere
	// for those who come back here, where a queue lasts for less than baseDelay + urgentDelay.
	retryAfterElsewhere = 50 * time.Millisecond
	retryAfterHere      = 150 * time.Millisecond
)

// widerLink is the ratio to the own bandwidth from which a link counts as wider.
const widerLink = 2

// headBytes are the headers of a request and of its response in one direction.
const headBytes = 700

// Request describes a request for its admission.
type Request struct {
	// Body and Answer are the sizes of its body and, as expected, of its response in bytes.
	Body, Answer int64
	// Urgency is from 0 to 1, 1 being the most urgent.
	Urgency float64
	// Account is the client account; requests without one share the empty name.
	Account string
}

// outgoing returns the bytes that the request puts on the outgoing link, incoming those that come in
// after it is admitted.
func (r Request) outgoing() float64 { return float64(r.Body + r.Answer + headBytes) }
func (r Request) incoming() float64 { return float64(r.Answer + headBytes/2) }

// Traffic holds the bytes of a daemon's connections since its start.
type Traffic struct {
	// CallersIn are those received from callers, ControlIn and ControlOut those of connections to other
	// daemons and the store.
	CallersIn, ControlIn, ControlOut int64
}

// Link is the state of one machine's link.
type Link struct {
	// rate is the bandwidth in bytes a second in each direction; 0 if unknown.
	rate float64
	// traffic is what was counted at trafficAt.
	traffic                          Traffic
	callersIn, controlIn, controlOut mean
	// incoming and outgoing are the queues of what admitted requests put on the link, as of drainedAt.
	incoming, outgoing float64
	drainedAt          time.Time
	// answers and bodies are the rates of what all requests would put on the link if admitted.
	answers, bodies mean
	accounts        accounts

	overloaded bool
	// crowded is true if the others have no room for this daemon's callers.
	crowded bool
	// trippedAt is when the daemon was last overloaded, hold how long it stays so at least, clearedAt
	// when that last ended.
	trippedAt, clearedAt time.Time
	hold                 time.Duration
	// closing accumulates the share of the responses that end their connections.
	closing float64
}

// New returns a Link with a bandwidth in Mbit/s; 0 means unknown, and nothing is refused.
func New(mbps float64) *Link {
	return &Link{
		rate: mbps * 1e6 / 8, callersIn: mean{time: rateTime}, controlIn: mean{time: rateTime},
		controlOut: mean{time: rateTime}, answers: mean{time: demandTime}, bodies: mean{time: demandTime},
		accounts: newAccounts(),
	}
}

// Limited reports whether the bandwidth is known.
func (l *Link) Limited() bool { return l.rate > 0 }

// Observe records the traffic so far.
func (l *Link) Observe(now time.Time, t Traffic) {
	l.drain(now)
	l.callersIn.add(now, float64(t.CallersIn-l.traffic.CallersIn))
	l.controlIn.add(now, float64(t.ControlIn-l.traffic.ControlIn))
	l.controlOut.add(now, float64(t.ControlOut-l.traffic.ControlOut))
	l.traffic = t
}

// drain removes from the queues what has crossed the link.
func (l *Link) drain(now time.Time) {
	elapsed := now.Sub(l.drainedAt).Seconds()
	l.incoming = math.Max(0, l.incoming-elapsed*l.freeIn())
	l.outgoing = math.Max(0, l.outgoing-elapsed*l.freeOut())
	l.drainedAt = now
}

// freeIn returns the bytes a second that come in beside callers' bodies and control messages.
func (l *Link) freeIn() float64 {
	least := leastShare
	if l.crowded {
		least = crowdedLeastShare
	}
	return math.Max(least*l.rate, usableShare*l.rate-l.callersIn.value-l.controlIn.value)
}

func (l *Link) freeOut() float64 {
	return math.Max(leastShare*l.rate, usableShare*l.rate-l.controlOut.value)
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Close ends the caller's connection with the response.
	Close bool
	// RetryAfter is when a caller who is refused should come back.
	RetryAfter time.Duration
}

// maxDemand returns the bytes that one request adds to the demand and to a queue at most: one large body,
// which may never come, is no reason to turn other callers away.
func (l *Link) maxDemand() float64 { return maxDemandTime.Seconds() * l.rate }

// Admit decides on a request that has arrived.
func (l *Link) Admit(now time.Time, r Request) Decision {
	if !l.Limited() {
		return Decision{Admitted: true}
	}
	l.drain(now)
	l.answers.add(now, min(r.incoming(), l.maxDemand()))
	l.bodies.add(now, min(r.outgoing(), l.maxDemand()))
	l.accounts.asked(now, r.Account)
	limit := l.queueLimit(now, r).Seconds()
	d := Decision{Close: l.closes()}
	// While little is asked of the link, a large request only takes its time.
	busy := l.demand() > clearShare
	d.Admitted = fits(l.incoming, r.incoming(), incomingFactor*limit, l.freeIn(), l.rate, busy) &&
		fits(l.outgoing, r.outgoing(), limit, l.freeOut(), l.rate, busy)
	if d.Admitted {
		l.incoming += min(r.incoming(), l.maxDemand())
		l.outgoing += min(r.outgoing(), l.maxDemand())
		l.accounts.admitted(now, r.Account, min(r.outgoing(), l.maxDemand()))
	} else {
		d.RetryAfter = l.retryAfter(now)
	}
	return d
}

// queueLimit returns the queue up to which a request is admitted.
func (l *Link) queueLimit(now time.Time, r Request) time.Duration {
	limit := baseDelay + time.Duration(r.Urgency*float64(urgentDelay))
	if l.accounts.withinShare(now, r.Account) {
		limit += shareDelay
	}
	return limit
}

// retryAfter returns when a caller who is refused should come back. The hash sends it to this daemon
// again until whoever distributes the connections has noticed that the daemon is overloaded: requests that
// return before take the link from those that come for the first time.
func (l *Link) retryAfter(now time.Time) time.Duration {
	if !l.overloaded {
		return retryAfterHere
	}
	return max(retryAfterElsewhere, noticeTime-now.Sub(l.trippedAt))
}

// fits reports whether bytes may join a queue that drains at the rate free: the queue must drain within
// limit seconds and, on a busy link with a queue, the link at its full rate must carry both in that time.
func fits(queue, bytes, limit, free, rate float64, busy bool) bool {
	return queue <= limit*free && (!busy || queue == 0 || queue+bytes <= limit*rate)
}

// closes reports whether one more connection ends, so that the demand falls to keptShare.
func (l *Link) closes() bool {
	demand := l.demand()
	if !l.overloaded || demand <= keptShare {
		return false
	}
	l.closing += 1 - keptShare/demand
	if l.closing < 1 {
		return false
	}
	l.closing--
	return true
}

// demand returns what is asked over the bandwidth, in the direction of which more is asked.
func (l *Link) demand() float64 {
	in := l.callersIn.value + l.controlIn.value + l.answers.value
	out := l.bodies.value + l.controlOut.value
	return math.Max(in, out) / l.rate
}

// Update brings the state up to date and reports whether it changed. A daemon becomes overloaded only
// if its peers can take its callers.
func (l *Link) Update(now time.Time, peers Peers) (changed bool) {
	if !l.Limited() {
		return false
	}
	l.drain(now)
	l.answers.add(now, 0)
	l.bodies.add(now, 0)
	l.accounts.expire(now)
	demand := l.demand()
	l.crowded = !peers.carry(demand * l.rate)
	switch {
	case !l.overloaded && demand > tripShare && peers.allow(demand*l.rate):
		l.trip(now)
		return true
	case l.overloaded && l.crowded:
		// A burst in the whole failure domain overloads most daemons before they hear of each other.
		// They take this back before whoever distributes the connections has noticed it.
		l.overloaded, l.hold = false, 0
		return true
	case l.overloaded && demand < clearShare && l.holdEnded(now, peers):
		l.overloaded, l.clearedAt = false, now
		return true
	}
	return false
}

func (l *Link) trip(now time.Time) {
	if l.hold > 0 && now.Sub(l.clearedAt) < againTime {
		l.hold = min(2*l.hold, maxHold)
	} else {
		l.hold = firstHold
	}
	l.overloaded, l.trippedAt = true, now
}

// holdEnded reports whether callers may come back. While a daemon with a wider link is asked for a good part
// of what this link carries, these are probably the callers that this one lost, who would overload it again.
func (l *Link) holdEnded(now time.Time, peers Peers) bool {
	held := now.Sub(l.trippedAt)
	return held >= maxHold || held >= l.hold && !peers.anyOther(func(peer Peer) bool {
		return peer.Demand+peer.Free > widerLink*l.rate && peer.Demand > clearShare*l.rate
	})
}

// Demand returns the bytes a second that are asked of the link; 0 if its bandwidth is unknown.
func (l *Link) Demand() float64 {
	if !l.Limited() {
		return 0
	}
	return l.demand() * l.rate
}

// unknownFree stands for the free bandwidth of a link whose bandwidth is unknown.
const unknownFree = 1e9

// Free returns the bytes a second that the link carries beyond what is asked.
func (l *Link) Free() float64 {
	if !l.Limited() {
		return unknownFree
	}
	return math.Max(0, usableShare-l.demand()) * l.rate
}

// Overloaded reports whether the daemon wants no new connections.
func (l *Link) Overloaded() bool { return l.overloaded }

// State is a Link's state for logs and metrics.
type State struct {
	// Overloaded is true while the daemon wants no new connections.
	Overloaded bool
	// Demand is what is asked over the bandwidth. CallersIn and Control are the shares of the link that
	// callers' bodies and control messages use.
	Demand, CallersIn, Control float64
	// Queue is the time in which what was admitted crosses the link.
	Queue, Hold time.Duration
	// Accounts is the number of client accounts that ask for something, Largest the one with the largest
	// part of what is admitted, LargestPart that part.
	Accounts    int
	Largest     string
	LargestPart float64
}

// State returns the state as of the last Update.
func (l *Link) State() State {
	if !l.Limited() {
		return State{}
	}
	queue := math.Max(l.incoming/l.freeIn(), l.outgoing/l.freeOut())
	largest, part := l.accounts.largest(l.drainedAt)
	return State{
		Accounts: len(l.accounts.uses), Largest: largest, LargestPart: part,
		Overloaded: l.overloaded, Demand: l.demand(), Hold: l.hold,
		CallersIn: l.callersIn.value / l.rate, Control: math.Max(l.controlIn.value, l.controlOut.value) / l.rate,
		Queue: time.Duration(queue * float64(time.Second)),
	}
}

// mean is an exponential mean of a rate.
type mean struct {
	time  time.Duration
	value float64
	at    time.Time
}

// add adds an amount that has come since the last call.
func (m *mean) add(now time.Time, amount float64) {
	elapsed := math.Max(0, now.Sub(m.at).Seconds())
	m.value = m.value*math.Exp(-elapsed/m.time.Seconds()) + amount/m.time.Seconds()
	m.at = now
}
