// Package route selects an endpoint of a pool for each request.
//
// A Pool holds what one daemon knows about the endpoints of one service: its
// own requests on them, the requests of other daemons from their load digests,
// and the load reports of the endpoints, which arrive with a delay. It performs
// no I/O and is not safe for concurrent use: the caller serializes the calls
// and passes the current time and the source of randomness.
package route

import (
	"errors"
	"time"
)

// EndpointID identifies an endpoint within a pool.
type EndpointID string

// State is the state of an endpoint in the platform's list.
type State uint8

const (
	// Live endpoints accept new requests.
	Live State = iota
	// Leaving endpoints finish their requests in flight and get no new ones.
	Leaving
)

// Class separates requests by predicted length.
type Class uint8

const (
	// Short requests avoid endpoints that run long requests.
	Short Class = iota
	// Long requests run for many times the duration of a short one.
	Long
)

// Endpoint is one element of the set passed to Update.
type Endpoint struct {
	ID     EndpointID
	Domain string
	State  State
	// Slots is the number of requests that the endpoint runs concurrently; 0
	// means Options.DefaultSlots.
	Slots int
}

// Request holds the properties of a request that affect the choice of an
// endpoint.
type Request struct {
	// PredictedTokens is the predicted number of output tokens.
	PredictedTokens int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// PrefixHash identifies the cacheable prefix of the prompt; 0 means none.
	PrefixHash uint64
	// PrefixTokens is the length of the cacheable prefix in tokens.
	PrefixTokens int
	// Domain is the failure domain of the daemon.
	Domain string
	// NonStreaming is true if the response is sent at once when complete, so
	// that a long response cannot be distinguished from a stall before its end.
	NonStreaming bool
	// Class is the length class of the request.
	Class Class
	// Exclude lists endpoints that must not be chosen, for example because the
	// request has already failed on them.
	Exclude []EndpointID
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint EndpointID
	Domain   string
	// Affinity is true if the endpoint was chosen for the prompt prefix.
	Affinity bool
	// Saturated is true if the endpoint already runs as many requests as it has
	// slots, by the estimate of the pool.
	Saturated bool

	index int32
}

// Errors of Choose. Each means that the request was not run.
var (
	// ErrNoEndpoint reports that the pool has no live endpoint.
	ErrNoEndpoint = errors.New("route: no live endpoint")
	// ErrAllExcluded reports that every live endpoint is excluded.
	ErrAllExcluded = errors.New("route: every live endpoint is excluded")
)

// Attempt is one dispatch of a request to an endpoint. The caller allocates it,
// starts it with Pool.Started and passes it to the methods that record its
// progress.
type Attempt struct {
	Endpoint EndpointID

	// index and generation identify the endpoint within the pool.
	index           int32
	generation      uint32
	open            bool
	hasFirstToken   bool
	nonStreaming    bool
	remainingTokens int32 // predicted tokens not yet received
	prefixHash      uint64
	// startedAt and lastTokenAt are in Unix nanoseconds.
	startedAt   int64
	lastTokenAt int64
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

const (
	// Completed means that the complete response arrived.
	Completed Outcome = iota
	// Cancelled means that the attempt was cancelled by the caller or because
	// another attempt won; it does not reflect on the endpoint.
	Cancelled
	// ConnectFailed means that no connection was established, so the request
	// did not run.
	ConnectFailed
	// FailedAfterDispatch means that the endpoint failed after the request was
	// dispatched.
	FailedAfterDispatch
)

// Observation is the information about an endpoint derived from received
// tokens. The caller passes it to admission.Queue.Observe.
type Observation struct {
	// Gap is the mean time per token since the previous tokens; 0 for a first
	// token.
	Gap time.Duration
	// InFlight is the estimated number of requests of all daemons on the
	// endpoint.
	InFlight int
	// FirstToken is the time to first token of the attempt, set by FirstToken.
	FirstToken time.Duration
}

// LoadReport is the load reported by an endpoint.
type LoadReport struct {
	Running int
	Waiting int
	// Age is the time since the endpoint measured the load.
	Age time.Duration
}

// CacheEvent is a notification of an endpoint about a change of its prefix
// cache. Events may be delayed or lost.
type CacheEvent struct {
	Endpoint EndpointID
	Prefix   uint64
	Evicted  bool
}

// EndpointStatus is the pool's view of one endpoint, for display.
type EndpointStatus struct {
	Endpoint
	OwnInFlight   int
	PeersInFlight int
	OwnTokens     int
	PeersTokens   int
	// Weight is 0 for an ejected endpoint, below 1 during ramp-up, else 1.
	Weight      float64
	FirstToken  time.Duration
	InterToken  time.Duration
	EjectReason string
}

// Capacity summarizes a pool for admission.
type Capacity struct {
	// Endpoints is the number of live endpoints, weighted by ramp-up; ejected
	// endpoints do not count.
	Endpoints float64
	// Slots is the weighted sum of their slots.
	Slots float64
	// OwnInFlight is the number of this daemon's open attempts.
	OwnInFlight int
	// PeersInFlight is the number of attempts of other daemons, according to
	// their digests.
	PeersInFlight int
	// Peers is the number of other daemons with a current digest.
	Peers int
}
