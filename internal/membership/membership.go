// Package membership decides which members of the fleet are live, leaving,
// suspected, dead or unreachable. It is a state machine: the time and the
// messages are arguments, and the messages to send and the changes of state
// are returned. Sockets and timers belong to the caller.
package membership

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// TickInterval is how often the caller calls Tick. It bounds the delay of
// retries, which must fit several times into the 3 s of a leaving instance.
const TickInterval = 250 * time.Millisecond

// State is what a daemon holds about a member.
type State uint8

// The states of a member.
const (
	// Live members answer and accept work.
	Live State = iota
	// Leaving members answer, finish their work and accept none.
	Leaving
	// Suspected members have given no direct or relayed sign of life for
	// Options.SuspectAfter.
	Suspected
	// Unreachable members are silent together with their whole failure domain,
	// or the daemon itself hears from nobody.
	Unreachable
	// Dead members are silent for Options.DeadAfter while others are heard.
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"live", "leaving", "suspected", "unreachable", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Identity names a daemon. An ID is never used again after a restart.
type Identity struct {
	ID, Addr, Domain, Region string
}

// Member is a daemon as the table holds it.
type Member struct {
	Identity
	State State
	// Incarnation grows when the member contradicts a report of its death or
	// starts to leave. Invariant: it never falls for an ID.
	Incarnation uint32
	// Leaving is true once the member was seen to leave, whatever its State is
	// now. Invariant: it never returns to false for an ID.
	Leaving bool
}

// Endpoint is an engine or a service endpoint of the platform's list.
type Endpoint struct {
	platform.Instance
	// Gone is true if the list has stopped showing the endpoint.
	Removed bool
}

// EventKind tells what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	MemberChanged EventKind = iota
	EndpointChanged
	DomainUnreachable
	DomainReachable
)

// Event is one change of state. Events of one member form a chain: Previous
// equals the State of the event before it.
type Event struct {
	Kind EventKind
	// Member is the new state, for MemberChanged.
	Member Member
	// Previous is the state before, for MemberChanged; New is true for the
	// first event of an ID.
	Previous State
	New      bool
	// Endpoint is the new state, for EndpointChanged.
	Endpoint Endpoint
	// Domain is set for DomainSilent and DomainHeard.
	Domain string
	// Cause names the evidence, for logs.
	Cause string
}

// Output is what the caller does after a call: send the messages in order,
// without waiting, and publish the events.
type Output struct {
	Messages []Message
	Events   []Event
}

// Options are the settings of a table. Zero durations and counts take the
// defaults stated beside them.
type Options struct {
	Self Identity
	// Heartbeat is the interval of heartbeats in the failure domain; 1 s.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which a member is suspected; 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is dead; 10 s.
	DeadAfter time.Duration
	// Exchange is the interval of messages between representatives of two
	// failure domains; 2 s.
	Exchange time.Duration
	// DomainSilentAfter is the silence after which a failure domain is
	// unreachable; 7 s, so that three lost exchanges are needed.
	DomainUnreachableAfter time.Duration
	// ListInterval is how often a list reader reads the platform's list; 1 s.
	ListInterval time.Duration
	// Representatives is the number of daemons of a failure domain that
	// exchange with others, and of those that read the list; 2.
	Representatives int
	// MeshLimit is the largest failure domain in which each member sends
	// heartbeats to all; in a larger one it sends them to the members at
	// distances 1, 2, 4, 8... of the ring of IDs; 6.
	MeshLimit int
	// Seed varies the choice of relays between daemons; any value will do.
	Seed uint64
}

func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	duration(&o.Heartbeat, time.Second)
	duration(&o.SuspectAfter, 3*time.Second)
	duration(&o.DeadAfter, 10*time.Second)
	duration(&o.Exchange, 2*time.Second)
	duration(&o.DomainUnreachableAfter, 7*time.Second)
	duration(&o.ListInterval, time.Second)
	if o.Representatives <= 0 {
		o.Representatives = 2
	}
	if o.MeshLimit <= 0 {
		o.MeshLimit = 6
	}
	return o
}
