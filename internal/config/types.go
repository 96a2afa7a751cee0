// Package config implements the operators' configuration: one TOML document that
// declares services, endpoints, client accounts with their budgets, and operators.
// It parses, validates, formats, compares and merges configurations, and splits
// them into sections for storage. It performs no I/O.
package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/unit"
)

// ServiceKind distinguishes a model pool from a plain HTTP service.
type ServiceKind string

// The kinds of a service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// EndpointState is the desired state of an endpoint.
type EndpointState string

// The states of an endpoint. A leaving endpoint receives no new requests.
const (
	StateLive    EndpointState = "live"
	StateLeaving EndpointState = "leaving"
)

// OperatorRole defines the permissions of an operator.
type OperatorRole string

// The roles of an operator. All roles may read; RoleOperator may also edit the
// configuration, RoleBilling may also top up accounts.
const (
	RoleViewer   OperatorRole = "viewer"
	RoleOperator OperatorRole = "operator"
	RoleBilling  OperatorRole = "billing"
)

// Default values of keys that the configuration does not set.
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
	// DependsOn lists the services that this one needs in order to work.
	DependsOn []string `toml:"depends_on,omitempty" json:"depends_on,omitempty"`
	// NonIdempotent marks all calls of the service as non-idempotent.
	NonIdempotent bool `toml:"non_idempotent,omitempty" json:"non_idempotent,omitempty"`
	// NonIdempotentCalls marks matching calls as non-idempotent. Patterns are
	// "METHOD", "/path", "/path/*" and "METHOD /path".
	NonIdempotentCalls []string `toml:"non_idempotent_calls,omitempty" json:"non_idempotent_calls,omitempty"`
	// RequireIdempotencyKey rejects non-idempotent requests without an idempotency key.
	RequireIdempotencyKey bool `toml:"require_idempotency_key,omitempty" json:"require_idempotency_key,omitempty"`
	// MaxOutputTokens limits the tokens of a model's response.
	MaxOutputTokens int64 `toml:"max_output_tokens,omitempty" json:"max_output_tokens,omitempty"`
	// PriceTokens is the price, in tokens, of one call to a plain service.
	PriceTokens       int64         `toml:"price_tokens,omitempty" json:"price_tokens,omitempty"`
	Timeout           unit.Duration `toml:"timeout,omitzero" json:"timeout,omitzero"`
	FirstTokenTimeout unit.Duration `toml:"first_token_timeout,omitzero" json:"first_token_timeout,omitzero"`
	// MaxBody is the maximum size of a request body.
	MaxBody unit.Size `toml:"max_body,omitzero" json:"max_body,omitzero"`
	// Priority orders services that share engines; higher values are served first.
	Priority         int `toml:"priority,omitempty" json:"priority,omitempty"`
	SlotsPerEndpoint int `toml:"slots_per_endpoint,omitempty" json:"slots_per_endpoint,omitempty"`
	// Version is the model version that the endpoints must run.
	Version string `toml:"version,omitempty" json:"version,omitempty"`
	// Adapters are the adapters that the endpoints must have loaded.
	Adapters []string `toml:"adapters,omitempty" json:"adapters,omitempty"`
	// IgnoresFencing is set if the endpoints do not check the fencing token of an
	// order.
	IgnoresFencing bool `toml:"ignores_fencing,omitempty" json:"ignores_fencing,omitempty"`
}

// Endpoint is one back end of a service.
type Endpoint struct {
	Service string `toml:"service" json:"service"`
	// Address has the form IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain.
	Domain string        `toml:"domain" json:"domain"`
	State  EndpointState `toml:"state,omitempty" json:"state,omitempty"`
	Weight int           `toml:"weight,omitempty" json:"weight,omitempty"`
}

// Account is a client account. Its budgets are separate entries.
type Account struct {
	// Keys are the hashes of the callers' API keys: "sha256:" followed by the
	// hexadecimal SHA-256.
	Keys []string `toml:"keys,omitempty" json:"keys,omitempty"`
	// Weight is the account's share when demand exceeds capacity.
	Weight int `toml:"weight,omitempty" json:"weight,omitempty"`
}

// Budget is a prepaid budget of an account. The balance is not part of the
// configuration: it is kept in the store and changed by top-ups.
type Budget struct {
	// Services are the services that the budget covers; empty means all.
	Services []string `toml:"services,omitempty" json:"services,omitempty"`
	// Order determines which budget of an account is charged first: of those that
	// cover the service, the one with the lowest order, then the lowest name.
	Order int `toml:"order,omitempty" json:"order,omitempty"`
}

// Operator is a person or a program that uses the administration API.
type Operator struct {
	Team string       `toml:"office" json:"office"`
	Role OperatorRole `toml:"role" json:"role"`
	// Token is the hash of the operator's token: "sha256:" followed by the
	// hexadecimal SHA-256.
	Token string `toml:"token" json:"token"`
}

// Config is a complete configuration. The maps are keyed by the entry's name,
// Budgets by "<account>/<budget>". A Config must not be modified once it is in use.
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

// WithDefaults returns s with default values for keys that are not set.
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

// IsNonIdempotent reports whether a call with this method and path must not be
// retried.
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

// WithDefaults returns e with default values for keys that are not set.
func (e Endpoint) WithDefaults() Endpoint {
	e.State = cmp.Or(e.State, StateLive)
	e.Weight = cmp.Or(e.Weight, DefaultWeight)
	return e
}

// WithDefaults returns a with default values for keys that are not set.
func (a Account) WithDefaults() Account {
	a.Weight = cmp.Or(a.Weight, DefaultWeight)
	return a
}

// Covers reports whether the budget can be charged for the service.
func (b Budget) Covers(service string) bool {
	return len(b.Services) == 0 || slices.Contains(b.Services, service)
}

// BudgetID returns the id of an account's budget.
func BudgetID(account, name string) string { return account + "/" + name }

// AccountOfBudget returns the account name in a budget id.
func AccountOfBudget(id string) string {
	account, _, _ := strings.Cut(id, "/")
	return account
}

// AccountBudgets returns the ids of the account's budgets in the order in
// which they are charged. It scans all budgets, so callers on the request path
// must keep an index.
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

// SortBudgets sorts the budget ids of one account in the order in which they
// are charged.
func (c *Config) SortBudgets(ids []string) {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Budgets[a].Order, c.Budgets[b].Order), cmp.Compare(a, b))
	})
}
