// Package membership determines which members of the fleet are live, leaving,
// suspected, dead or unreachable. It is a state machine without input or output:
// the time and received messages are arguments, and the messages to send and the
// state changes are returned. The caller owns the sockets and timers.
//
// Members of one failure domain exchange heartbeats. Representatives of failure
// domains exchange digests of their members, and read the platform's list of
// instances.
package membership

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// TickInterval is how often the caller calls Tick. It bounds the delay of
// retransmissions, several of which must fit into the 3 s within which all
// daemons must know that an instance is leaving.
const TickInterval = 250 * time.Millisecond

// State is the state of a member as one daemon sees it.
type State uint8

// The states of a member.
const (
	// Live members respond and accept work.
	Live State = iota
	// Leaving members respond and finish their work, but accept no new work.
	Leaving
	// Suspected members have shown no direct or relayed sign of life for
	// Options.SuspectAfter.
	Suspected
	// Unreachable members are silent together with their whole failure domain,
	// or while this daemon receives no messages at all.
	Unreachable
	// Dead members are silent for Options.DeadAfter while messages from other
	// members arrive.
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

// Identity identifies a daemon. An ID is not reused after a restart.
type Identity struct {
	ID, Addr, Domain, Region string
}

// Member is a daemon as recorded in a table.
type Member struct {
	Identity
	State State
	// Incarnation rises when the member refutes a report of its death or
	// starts to leave. Invariant: it never decreases for an ID.
	Incarnation uint32
	// Leaving is true once the member was reported as leaving, whatever its
	// current State. Invariant: it never returns to false for an ID.
	Leaving bool
}

// Endpoint is an engine or a service endpoint in the platform's list.
type Endpoint struct {
	platform.Instance
	// Removed is true if the list no longer shows the endpoint.
	Removed bool
}

// EventKind is the kind of an Event.
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
	// Domain is set for DomainUnreachable and DomainReachable.
	Domain string
	// Cause names the evidence, for logs.
	Cause string
}

// Output is what the caller has to do after a call: send the messages in order,
// without blocking, and publish the events.
type Output struct {
	Messages []Message
	Events   []Event
}

// Options are the settings of a table. Zero durations and counts are replaced by
// the default that each field's comment ends with.
type Options struct {
	Self Identity
	// HeartbeatInterval is the interval of heartbeats within a failure domain; 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a member is suspected; 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is dead; 10 s.
	DeadAfter time.Duration
	// ExchangeInterval is the interval of digest exchanges between representatives of
	// two failure domains; 2 s.
	ExchangeInterval time.Duration
	// DomainUnreachableAfter is the silence after which a failure domain is
	// unreachable; 7 s, so that it takes three lost exchanges.
	DomainUnreachableAfter time.Duration
	// ListInterval is how often a list reader reads the platform's list; 1 s.
	ListInterval time.Duration
	// Representatives is the number of daemons of a failure domain that
	// exchange with others, and of those that read the list; 2.
	Representatives int
	// FullMeshLimit is the size of the largest failure domain in which each member
	// sends heartbeats to all others. In a larger one it sends them to the
	// members at distances 1, 2, 4, 8... on the ring of IDs; 6.
	FullMeshLimit int
	// Seed varies the random choice of relays between daemons; any value works.
	Seed uint64
}

func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	duration(&o.HeartbeatInterval, time.Second)
	duration(&o.SuspectAfter, 3*time.Second)
	duration(&o.DeadAfter, 10*time.Second)
	duration(&o.ExchangeInterval, 2*time.Second)
	duration(&o.DomainUnreachableAfter, 7*time.Second)
	duration(&o.ListInterval, time.Second)
	if o.Representatives <= 0 {
		o.Representatives = 2
	}
	if o.FullMeshLimit <= 0 {
		o.FullMeshLimit = 6
	}
	return o
}
