// Package config holds the operators' configuration: one TOML text that names
// services, endpoints, client accounts with their budgets, and operators. It
// parses, validates, formats, compares, merges and splits configurations. It
// does no input or output.
package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/unit"
)

// ServiceKind tells a model pool from a plain HTTP service.
type ServiceKind string

// The kinds of a service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// EndpointState is the state that operators want for an endpoint.
type EndpointState string

// The states of an endpoint. A leaving endpoint gets no new work.
const (
	StateLive    EndpointState = "live"
	StateLeaving EndpointState = "leaving"
)

// OperatorRole is what an operator may do.
type OperatorRole string

// The roles of an operator. All roles read; operator also edits the
// configuration, billing also tops up accounts.
const (
	RoleViewer   OperatorRole = "viewer"
	RoleOperator OperatorRole = "operator"
	RoleBilling  OperatorRole = "billing"
)

// Defaults of keys that the text does not set.
const (
	DefaultTimeout           = 10 * time.Minute
	DefaultPlainTimeout      = 30 * time.Second
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultMaxOutputTokens   = 4096
	DefaultSlotsPerEndpoint  = 32
	DefaultMaxBody           = 1 << 20
	DefaultPriceTokens       = 1
	DefaultWeight            = 1
)

// Service is a model pool or a plain service.
type Service struct {
	Kind ServiceKind `toml:"kind" json:"kind"`
	// Models are the model names that a model pool serves.
	Models []string `toml:"models,omitempty" json:"models,omitempty"`
	// DependsOn names services without which this one cannot work.
	DependsOn []string `toml:"depends_on,omitempty" json:"depends_on,omitempty"`
	// NonIdempotent marks all calls of the service.
	NonIdempotent bool `toml:"non_idempotent,omitempty" json:"non_idempotent,omitempty"`
	// NonIdempotentCalls marks single calls: "METHOD", "/path", "/path/*" or
	// "METHOD /path".
	NonIdempotentCalls []string `toml:"non_idempotent_calls,omitempty" json:"non_idempotent_calls,omitempty"`
	// RequireIdempotencyKey refuses a non-idempotent request without a key.
	RequireIdempotencyKey bool `toml:"require_idempotency_key,omitempty" json:"require_idempotency_key,omitempty"`
	// MaxOutputTokens caps the answer of a model.
	MaxOutputTokens int64 `toml:"max_output_tokens,omitempty" json:"max_output_tokens,omitempty"`
	// PriceTokens is the price of one call of a plain service.
	PriceTokens       int64         `toml:"price_tokens,omitempty" json:"price_tokens,omitempty"`
	Timeout           unit.Duration `toml:"timeout,omitzero" json:"timeout,omitzero"`
	FirstTokenTimeout unit.Duration `toml:"first_token_timeout,omitzero" json:"first_token_timeout,omitzero"`
	// MaxBody limits the size of a request body.
	MaxBody unit.Size `toml:"max_body,omitzero" json:"max_body,omitzero"`
	// Priority orders services that share engines; a higher one goes first.
	Priority         int `toml:"priority,omitempty" json:"priority,omitempty"`
	SlotsPerEndpoint int `toml:"slots_per_endpoint,omitempty" json:"slots_per_endpoint,omitempty"`
	// Version is the model version that the endpoints shall run.
	Version string `toml:"version,omitempty" json:"version,omitempty"`
	// Adapters are the adapters that the endpoints shall have loaded.
	Adapters []string `toml:"adapters,omitempty" json:"adapters,omitempty"`
	// IgnoresFencing is set if the endpoints ignore the fencing number of an
	// order.
	IgnoresFencing bool `toml:"ignores_fencing,omitempty" json:"ignores_fencing,omitempty"`
}

// Endpoint is one back end of a service.
type Endpoint struct {
	Service string `toml:"service" json:"service"`
	// Address is IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain.
	Domain string        `toml:"domain" json:"domain"`
	State  EndpointState `toml:"state,omitempty" json:"state,omitempty"`
	Weight int           `toml:"weight,omitempty" json:"weight,omitempty"`
}

// Account is a client account. Its budgets are entries of their own.
type Account struct {
	// Keys are "sha256:" and the hexadecimal SHA-256 of a caller's API key.
	Keys []string `toml:"keys,omitempty" json:"keys,omitempty"`
	// Weight is the account's share when demand exceeds capacity.
	Weight int `toml:"weight,omitempty" json:"weight,omitempty"`
}

// Budget is a prepaid budget of an account. The prepaid tokens themselves are
// in the store and change by top-ups, not here.
type Budget struct {
	// Services that the budget covers; empty means all.
	Services []string `toml:"services,omitempty" json:"services,omitempty"`
	// Order decides which of an account's budgets is drawn on first: the lowest
	// order that covers the service, then the lowest name.
	Order int `toml:"order,omitempty" json:"order,omitempty"`
}

// Operator is a person or a script that uses the administration API.
type Operator struct {
	Team string       `toml:"office" json:"office"`
	Role OperatorRole `toml:"role" json:"role"`
	// Token is "sha256:" and the hexadecimal SHA-256 of the operator's token.
	Token string `toml:"token" json:"token"`
}

// Config is a whole configuration. The maps are keyed by the entry's name, the
// budgets by "<account>/<budget>". A Config in use is not modified.
type Config struct {
	Services  map[string]Service
	Endpoints map[string]Endpoint
	Accounts  map[string]Account
	Budgets   map[string]Budget
	Operators map[string]Operator
}

// New returns an empty configuration.
func New() *Config {
	return &Config{
		Services:  make(map[string]Service),
		Endpoints: make(map[string]Endpoint),
		Accounts:  make(map[string]Account),
		Budgets:   make(map[string]Budget),
		Operators: make(map[string]Operator),
	}
}

// WithDefaults returns s with defaults for keys that are not set.
func (s Service) WithDefaults() Service {
	if s.Timeout.Duration == 0 {
		s.Timeout.Duration = DefaultTimeout
		if s.Kind == KindPlain {
			s.Timeout.Duration = DefaultPlainTimeout
		}
	}
	s.FirstTokenTimeout.Duration = cmp.Or(s.FirstTokenTimeout.Duration, DefaultFirstTokenTimeout)
	s.MaxBody.Bytes = cmp.Or(s.MaxBody.Bytes, DefaultMaxBody)
	s.SlotsPerEndpoint = cmp.Or(s.SlotsPerEndpoint, DefaultSlotsPerEndpoint)
	if s.Kind == KindModel {
		s.MaxOutputTokens = cmp.Or(s.MaxOutputTokens, DefaultMaxOutputTokens)
	} else {
		s.PriceTokens = cmp.Or(s.PriceTokens, DefaultPriceTokens)
	}
	return s
}

// IsNonIdempotent reports whether a call must not be repeated.
func (s Service) IsNonIdempotent(method, path string) bool {
	if s.NonIdempotent {
		return true
	}
	for _, call := range s.NonIdempotentCalls {
		m, p, _ := strings.Cut(call, " ")
		if strings.HasPrefix(m, "/") {
			m, p = "", m
		}
		if (m == "" || m == method) && (p == "" || matchPath(p, path)) {
			return true
		}
	}
	return false
}

func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// WithDefaults returns e with defaults for keys that are not set.
func (e Endpoint) WithDefaults() Endpoint {
	e.State = cmp.Or(e.State, StateLive)
	e.Weight = cmp.Or(e.Weight, DefaultWeight)
	return e
}

// WithDefaults returns a with defaults for keys that are not set.
func (a Account) WithDefaults() Account {
	a.Weight = cmp.Or(a.Weight, DefaultWeight)
	return a
}

// Covers reports whether the budget pays for the service.
func (b Budget) Covers(service string) bool {
	return len(b.Services) == 0 || slices.Contains(b.Services, service)
}

// BudgetID returns the id of an account's budget.
func BudgetID(account, name string) string { return account + "/" + name }

// AccountOfBudget returns the account in a budget's id.
func AccountOfBudget(id string) string {
	account, _, _ := strings.Cut(id, "/")
	return account
}

// AccountBudgets returns the ids of the account's budgets in the order in
// which they are drawn on. It reads all budgets; a caller on the request path
// keeps an index.
func (c *Config) AccountBudgets(account string) []string {
	var ids []string
	for id := range c.Budgets {
		if AccountOfBudget(id) == account {
			ids = append(ids, id)
		}
	}
	c.SortBudgets(ids)
	return ids
}

// SortBudgets sorts budget ids of one account by the order of drawing.
func (c *Config) SortBudgets(ids []string) {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Budgets[a].Order, c.Budgets[b].Order), cmp.Compare(a, b))
	})
}
