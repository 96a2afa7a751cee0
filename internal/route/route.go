// Package route chooses the endpoint of a pool that runs a request.
//
// A Pool holds everything that one daemon knows about the endpoints of one
// service: its own work on them, the work of other daemons by their digests,
// and the endpoints' late load reports. It does no input or output. The caller
// holds the lock, passes the time, and passes the source of randomness.
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
	// Live endpoints take new work.
	Live State = iota
	// Leaving endpoints finish their work and get no new work.
	Leaving
)

// Class separates requests by predicted length.
type Class uint8

const (
	// Short requests are placed away from endpoints that run long work.
	Short Class = iota
	// Long requests run for many times the duration of a short one.
	Long
)

// Endpoint is one member of the set passed to Update.
type Endpoint struct {
	ID     EndpointID
	Domain string
	State  State
	// Slots is the number of requests that the endpoint runs at once; 0 means
	// Options.DefaultSlots.
	Slots int
}

// Request has the features of a request that decide where it runs.
type Request struct {
	// PredictedTokens is the predicted length of the answer.
	PredictedTokens int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixHash identifies the cacheable prefix of the prompt; 0 means none.
	PrefixHash uint64
	// PrefixTokens is the length of that prefix.
	PrefixTokens int
	// Domain is the failure domain of the daemon.
	Domain string
	// Opaque is true if the answer comes whole, so that a long one can't be
	// told from a stall before its end.
	NonStreaming bool
	// Class is the length class of the request.
	Class Class
	// Exclude lists endpoints that must not be chosen, for example those
	// that already failed this request.
	Exclude []EndpointID
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint EndpointID
	Domain   string
	// Affinity is true if the prompt prefix decided the choice.
	Affinity bool
	// Crowded is true if the endpoint already runs as many requests as it
	// has slots, by the pool's estimate.
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

// Attempt is one dispatch of a request to an endpoint. The zero value is
// ready for Started; the caller owns it and passes it to each observation.
type Attempt struct {
	Endpoint EndpointID

	index           int32
	generation      uint32
	open            bool
	hasFirstToken   bool
	nonStreaming    bool
	remainingTokens int32 // predicted tokens not yet seen
	prefixHash      uint64
	startedAt       int64
	lastTokenAt     int64
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

const (
	// Completed means that the answer arrived whole.
	Completed Outcome = iota
	// Cancelled means that the caller or a hedge ended the attempt; it says
	// nothing about the endpoint.
	Cancelled
	// ConnectFailed means that no connection was made, so nothing ran.
	ConnectFailed
	// Broken means that the endpoint failed after dispatch.
	FailedAfterDispatch
)

// Observation is what one or more tokens say about an endpoint. The caller
// passes it to admission.Queue.Observe.
type Observation struct {
	// Gap is the time per token since the last one; 0 for a first token.
	Gap time.Duration
	// InFlight is the estimated number of requests on the endpoint, of all
	// daemons.
	InFlight int
	// FirstToken is the time to first token of the attempt, set by FirstToken.
	FirstToken time.Duration
}

// LoadReport is an endpoint's own report of its load.
type LoadReport struct {
	Running int
	Waiting int
	// Age is the time since the endpoint measured the load.
	Age time.Duration
}

// CacheEvent is an endpoint's late and possibly incomplete report about its
// prefix cache.
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

// Capacity summarises a pool for admission.
type Capacity struct {
	// Endpoints is the number of live endpoints, weighted by ramp-up; ejected
	// endpoints count as 0.
	Endpoints float64
	// Slots is the weighted sum of their slots.
	Slots float64
	// OwnInFlight is the number of this daemon's open attempts.
	OwnInFlight int
	// PeersInFlight is the number of other daemons' attempts by their digests.
	PeersInFlight int
	// Peers is the number of other daemons with a recent digest.
	Peers int
}
