// Package routing holds one version of the operators' configuration, indexed
// for lookups by requests: the route that matches a request, the account that
// owns an API key, and the endpoints' properties of each service. It performs
// no I/O.
package routing

import (
	"math"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind determines whether a request of a route may run more than once.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once per call of the client.
	Unsafe
	// Streaming requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// Target is one of the services that share the requests of a route.
type Target struct {
	Service string
	Weight  int
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Targets            []Target
	// Timeout is the longest time from the arrival of a request to the end of
	// its response.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response earns full
	// credit.
	LatencyObjective time.Duration
	// MaxEventGap is the target for the longest pause between events of a
	// stream.
	MaxEventGap time.Duration
	// MaxAttempts limits the number of endpoints to which one request is sent.
	MaxAttempts int
	// Priority ranks the requests; 0 is the most urgent.
	Priority int
	// AllowAnonymous admits requests without an API key.
	AllowAnonymous bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Regions lists the regions in which endpoints may serve the route; empty means all.
	Regions []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines behind the endpoints of a service.
type Engine struct {
	// KVTokens is the size of an endpoint's KV cache in tokens.
	KVTokens int64
	// MaxTokensPerEvent is the largest number of output tokens in one event.
	MaxTokensPerEvent int64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections limits the connections of the whole fleet to one endpoint.
	MaxConnections int
	// ColdPeriod is how long an endpoint is cold after its start; 0 if never.
	ColdPeriod time.Duration
	// ColdRate is the number of requests a second that a cold endpoint takes from all daemons
	// together; 0 means no limit.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the account's API keys.
	Keys []string
	// Priority, if set, overrides the priority of the route.
	Priority *int
	// PrepaidTokens is the account's budget. It does not apply to Unlimited
	// accounts.
	PrepaidTokens int64
	Unlimited     bool
	// Regions lists the regions in which endpoints may serve the account; empty means all.
	Regions []string
}

// Limits restrict the requests that callers may send.
type Limits struct {
	// BodyBytes is the size limit of a request body; 0 means that the
	// configuration sets none.
	BodyBytes int64
}

// Config is one version of the configuration as decoded by the platform
// adapter.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table serves lookups in one version of the configuration. It is immutable.
type Table struct {
	Config
	// routesByHost holds the routes of each lower-case host, the longest prefix
	// first.
	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
	services      map[string]*Service
	// mostUrgent is the lowest priority value of the routes to engines.
	mostUrgent int
	regions    regionBindings
}

// NewTable indexes a configuration. It returns an error if a route has an
// invalid prefix or does not name existing services.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		Config: c, routesByHost: make(map[string][]*Route), accountsByKey: make(map[string]*Account),
		services: make(map[string]*Service),
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		for _, key := range a.Keys {
			t.accountsByKey[key] = a
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	t.mostUrgent = math.MaxInt
	for _, r := range t.Routes {
		if t.services[r.Targets[0].Service].Engine != nil {
			t.mostUrgent = min(t.mostUrgent, r.Priority)
		}
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.Errorf("route %q names no service", r.Name)
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return errors.Errorf("route %q names service %q, which does not exist", r.Name, target.Service)
		}
	}
	return nil
}

// Match returns the route with the longest prefix of path among the routes of
// host, whose port, if any, is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// MostUrgent reports whether no route to an engine is more urgent than r.
func (t *Table) MostUrgent(r *Route) bool { return r.Priority <= t.mostUrgent }

// Authenticate returns the account that owns an API key.
func (t *Table) Authenticate(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService selects the service of a request in proportion to the weights of
// the targets. fraction is a random number, uniform in [0, 1).
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	remaining := int(fraction * float64(total))
	for _, t := range r.Targets {
		remaining -= max(t.Weight, 0)
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
