// Package order brings the endpoints of a service to their desired state by
// orders: load a model, a version or an adapter, or change a role. An order is
// recorded as an intent in the platform's store, sent once with the fencing
// token of the duty, and recorded with its outcome. The package is a state
// machine: times, reports and responses are arguments, calls are returned.
package order

import (
	"encoding/json"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

// KeyPrefix is the prefix of the store keys of services' records.
const KeyPrefix = "order/"

// DutyPrefix is the prefix of the names of the duties of services.
const DutyPrefix = "orders-"

// maxClosedOrders limits the closed orders in a record; with 200 endpoints and
// 200 bytes per order the record stays far below a megabyte.
const maxClosedOrders = 400

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	// LoadModel loads a model in a version; the value is "model@version".
	LoadModel Kind = "load-model"
	// LoadVersion replaces the version of the loaded model.
	LoadVersion Kind = "load-version"
	// LoadAdapter loads an adapter of the loaded model.
	LoadAdapter Kind = "load-adapter"
	// ChangeRole changes the role of the endpoint.
	ChangeRole Kind = "change-role"
)

// Action is the content of an order.
type Action struct {
	Kind  Kind   `json:"kind"`
	Value string `json:"value"`
}

// readsWeights reports whether the action reads from the weight store.
func (a Action) readsWeights() bool { return a.Kind != ChangeRole }

// State is the state of an order.
type State string

// The states of an order. Intended, Accepted and Unknown orders are open; an
// endpoint has at most one open order.
const (
	// Intended orders are recorded and may be sent.
	Intended State = "intended"
	// Accepted orders were accepted by the endpoint, which executes them.
	Accepted State = "accepted"
	// Unknown orders may have been accepted.
	Unknown State = "unknown"
	// Done orders had their effect, as a report showed.
	Done State = "done"
	// Failed orders were certainly not accepted, or had no effect.
	Failed State = "failed"
	// NotSent orders were abandoned before anything was sent.
	NotSent State = "not-sent"
	// Refused orders carried a stale fencing token.
	Refused State = "refused"
	// NotSeen orders had an unknown outcome, and no report showed an effect. An
	// endpoint that ignores fencing tokens may still accept one that arrives
	// late because its sender or the endpoint was paused.
	NotSeen State = "not-seen"
)

// Order is one order to one endpoint.
type Order struct {
	// ID numbers the orders of a service. Invariant: an order is sent at most
	// once, by the daemon that recorded it.
	ID       uint64            `json:"id"`
	Endpoint string            `json:"endpoint"`
	Action   Action            `json:"action"`
	Fence    platform.Revision `json:"fence"`
	State    State             `json:"state"`
	// NotBefore is the earliest time of the send; it spaces out loads.
	NotBefore time.Time `json:"not_before,omitzero"`
	// At is the time of the last change of State.
	At     time.Time `json:"at"`
	Detail string    `json:"detail,omitempty"`
	// AnswerLost is true if the answer was lost. The order may then still
	// arrive, even if its effect was reported, because an earlier order may have
	// had the same effect.
	AnswerLost bool `json:"lost,omitempty"`
}

// Open reports whether the outcome is not final.
func (o *Order) Open() bool {
	return o.State == Intended || o.State == Accepted || o.State == Unknown
}

// Halt is the record of a rollout that was halted automatically.
type Halt struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
	// Resume is the value of Desired.Resume at the halt; a higher value ends
	// the halt.
	Resume uint64 `json:"resume"`
}

// Record is the value of the store key order/<service>.
type Record struct {
	Service string `json:"service"`
	// Fence is the highest fencing token with which the record was written.
	// Invariant: it never decreases; a holder with a lower one must not write.
	Fence platform.Revision `json:"fence"`
	// LastID is the highest order ID. Invariant: it never decreases.
	LastID uint64  `json:"last"`
	Orders []Order `json:"orders"`
	// LastLoad is the NotBefore of the last load order.
	LastLoad time.Time `json:"last_load"`
	Halt     *Halt     `json:"halt,omitempty"`
	// ResumedAt is when the last halt ended; earlier failures do not count.
	ResumedAt time.Time `json:"resumed_at"`
}

// Marshal encodes the record.
func (r *Record) Marshal() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode the order record")
}

// Unmarshal decodes a record.
func Unmarshal(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, errors.Wrap(err, "decode the order record")
	}
	return &r, nil
}

func (r *Record) clone() *Record {
	c := *r
	c.Orders = append([]Order(nil), r.Orders...)
	if r.Halt != nil {
		h := *r.Halt
		c.Halt = &h
	}
	return &c
}

// openOrder returns the open order of the endpoint, or nil.
func (r *Record) openOrder(endpoint string) *Order {
	for i := range r.Orders {
		if o := &r.Orders[i]; o.Endpoint == endpoint && o.Open() {
			return o
		}
	}
	return nil
}

// noAnswerPending reports whether no order is intended or of unknown outcome.
func (r *Record) noAnswerPending() bool {
	for i := range r.Orders {
		if s := r.Orders[i].State; s == Intended || s == Unknown {
			return false
		}
	}
	return true
}

// findOrder returns the order with the ID, or nil.
func (r *Record) findOrder(id uint64) *Order {
	for i := range r.Orders {
		if r.Orders[i].ID == id {
			return &r.Orders[i]
		}
	}
	return nil
}

// prune removes the oldest closed orders in excess of maxClosedOrders.
func (r *Record) prune() {
	closed := 0
	for i := range r.Orders {
		if !r.Orders[i].Open() {
			closed++
		}
	}
	kept := r.Orders[:0]
	for _, o := range r.Orders {
		if !o.Open() && closed > maxClosedOrders {
			closed--
			continue
		}
		kept = append(kept, o)
	}
	r.Orders = kept
}

// Desired is the desired state of a service's endpoints and the limits of its
// rollout.
type Desired struct {
	Service        string
	Model, Version string
	Adapters       []string
	// Roles are the desired roles by endpoint; other endpoints keep their role.
	Roles map[string]string
	// MaxUnavailableShare is the share of the service's endpoints that may be out
	// of service at a time, at least one endpoint; 0.1 if zero.
	MaxUnavailableShare float64
	// LoadInterval is the minimum time between two loads from the weight store;
	// 10 s if zero.
	LoadInterval time.Duration
	// MaxLoadTime is the longest time of a load; 5 min if zero. A load of unknown
	// outcome blocks further orders to its endpoint for that long, and an accepted
	// one for up to three times as long.
	MaxLoadTime time.Duration
	// MaxUnhealthyShare is the share of the changed endpoints that may be
	// unhealthy before the rollout halts; 0.1 if zero.
	MaxUnhealthyShare float64
	// Resume is increased by an operator to continue after a halt.
	Resume uint64
}

func (d Desired) withDefaults() Desired {
	if d.MaxUnavailableShare <= 0 {
		d.MaxUnavailableShare = 0.1
	}
	if d.LoadInterval <= 0 {
		d.LoadInterval = 10 * time.Second
	}
	if d.MaxLoadTime <= 0 {
		d.MaxLoadTime = 5 * time.Minute
	}
	if d.MaxUnhealthyShare <= 0 {
		d.MaxUnhealthyShare = 0.1
	}
	return d
}

// Observed is the last report of an endpoint.
type Observed struct {
	Endpoint       string
	Model, Version string
	Adapters       []string
	Role           string
	Healthy        bool
	Leaving        bool
	// ChecksFencing is true if the endpoint refuses stale fencing tokens.
	ChecksFencing bool
	// At is a lower bound on the time of the reported state: the time of the report
	// minus its lag.
	At time.Time
}
