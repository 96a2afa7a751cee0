// Package routing holds one version of the operators' configuration in the form
// in which requests ask for it: which route a request matches, which account a
// key belongs to, and how each service is reached. It does no input or output.
package routing

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe
	// Stream requests are answered by a series of events; they run at most
	// once unless the route is resumable.
	Streaming
)

// Target is one of the services that share a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the configuration.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Targets            []Target
	// Timeout is the longest time from a request's arrival to its final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer earns full credit.
	LatencyObjective time.Duration
	// EventGap is the longest pause between events of a stream that is on time.
	MaxEventGap time.Duration
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Anonymous requests need no key.
	AllowAnonymous bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model endpoints of a service.
type Engine struct {
	// KVTokens is an endpoint's memory for prompts, in tokens.
	KVTokens int64
	// TokensPerEvent is the largest number of output tokens in one event.
	MaxTokensPerEvent int64
}

// Service is a pool of endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from the fleet.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority, if set, takes precedence over the route's.
	Priority *int
	// Prepaid is the account's budget in tokens; Unlimited accounts have none.
	PrepaidTokens int64
	Unlimited     bool
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the largest body; 0 means no limit of the configuration.
	BodyBytes int64
}

// Config is the content of a version, as an adapter decodes it.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table answers requests from one version. It is immutable.
type Table struct {
	Config
	routesByHost  map[string][]*Route
	accountsByKey map[string]*Account
	services      map[string]*Service
}

// NewTable indexes a configuration. It refuses one that no request could be
// served from consistently.
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
// the host, which may carry a port.
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

// Authenticate returns the account of a key.
func (t *Table) Authenticate(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick returns the service of a request by the targets' weights; point is
// uniform in [0, 1).
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
