// Package directory resolves the gateway's lookups against the current
// configuration: the account of an API key, the service that provides a model, and
// the budget that a request is charged to.
package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/gateway"
)

// hashPrefix precedes the hexadecimal SHA-256 of a key in the configuration.
const hashPrefix = "sha256:"

// Directory implements gateway.Directory. The zero value has no configuration, and
// its lookups find nothing.
type Directory struct {
	// ServiceAvailable reports whether a service has an endpoint that accepts requests.
	// If nil, all services count as available.
	ServiceAvailable func(service string) bool

	current atomic.Pointer[snapshot]
}

// snapshot is one configuration with indexes for request lookups. It is immutable
// once it is published.
type snapshot struct {
	config *config.Config
	// accountsByKeyHash is keyed by the SHA-256 of an API key.
	accountsByKeyHash map[[sha256.Size]byte]gateway.Account
	services          map[string]gateway.Service
	serviceByModel    map[string]string
	modelNames        []string
	budgetsByAccount  map[string][]string
}

// SetConfig replaces the current configuration. API keys that are not a SHA-256 are
// ignored; config.Config.Validate rejects them.
func (d *Directory) SetConfig(c *config.Config) {
	v := &snapshot{
		config: c, accountsByKeyHash: make(map[[sha256.Size]byte]gateway.Account), services: make(map[string]gateway.Service),
		serviceByModel: make(map[string]string), budgetsByAccount: make(map[string][]string),
	}
	for name, a := range c.Accounts {
		v.addAccount(name, a.WithDefaults())
	}
	for name, s := range c.Services {
		v.addService(name, s.WithDefaults())
	}
	for id := range c.Budgets {
		account := config.AccountOfBudget(id)
		v.budgetsByAccount[account] = append(v.budgetsByAccount[account], id)
	}
	for _, ids := range v.budgetsByAccount {
		c.SortBudgets(ids)
	}
	sort.Strings(v.modelNames)
	d.current.Store(v)
}

func (v *snapshot) addAccount(name string, a config.Account) {
	for _, key := range a.Keys {
		raw, err := hex.DecodeString(strings.TrimPrefix(key, hashPrefix))
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		v.accountsByKeyHash[[sha256.Size]byte(raw)] = gateway.Account{Name: name, Weight: float64(a.Weight)}
	}
}

func (v *snapshot) addService(name string, s config.Service) {
	v.services[name] = gateway.Service{
		Name: name, Model: s.Kind == config.KindModel, MaxOutput: s.MaxOutputTokens, Price: s.PriceTokens,
		MaxBody: s.MaxBody.Bytes, Timeout: s.Timeout.Duration, FirstTokenTimeout: s.FirstTokenTimeout.Duration,
		RequireKey: s.RequireIdempotencyKey, NonIdempotent: s.IsNonIdempotent,
		// The configuration's higher number goes first, an engine's lower one.
		Priority: -s.Priority,
	}
	for _, m := range s.Models {
		v.serviceByModel[m] = name
		v.modelNames = append(v.modelNames, m)
	}
}

// Config returns the current configuration, or nil if there is none yet.
func (d *Directory) Config() *config.Config {
	if v := d.current.Load(); v != nil {
		return v.config
	}
	return nil
}

// Authenticate implements gateway.Directory. The map is keyed by the hash of the
// API key, so the duration of a lookup reveals nothing about the keys.
func (d *Directory) Authenticate(key string) (gateway.Account, bool) {
	v := d.current.Load()
	if v == nil {
		return gateway.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := v.accountsByKeyHash[sum]
	return account, ok
}

// Service implements gateway.Directory.
func (d *Directory) Service(name string) (gateway.Service, bool) {
	v := d.current.Load()
	if v == nil {
		return gateway.Service{}, false
	}
	s, ok := v.services[name]
	return s, ok && !s.Model
}

// Model implements gateway.Directory.
func (d *Directory) Model(model string) (gateway.Service, bool) {
	v := d.current.Load()
	if v == nil {
		return gateway.Service{}, false
	}
	s, ok := v.services[v.serviceByModel[model]]
	return s, ok
}

// Models implements gateway.Directory.
func (d *Directory) Models() []string {
	if v := d.current.Load(); v != nil {
		return v.modelNames
	}
	return nil
}

// Endpoint implements gateway.Directory.
func (d *Directory) Endpoint(id string) (string, bool) {
	v := d.current.Load()
	if v == nil {
		return "", false
	}
	e, ok := v.config.Endpoints[id]
	return e.Address, ok
}

// DependencyDown implements gateway.Directory: it returns the first unavailable
// service that s depends on, directly or transitively, or "". The recursion ends,
// since a valid configuration has no dependency cycles.
func (d *Directory) DependencyDown(s gateway.Service) string {
	v := d.current.Load()
	if v == nil || d.ServiceAvailable == nil {
		return ""
	}
	return v.unavailableDependency(d.ServiceAvailable, s.Name)
}

func (v *snapshot) unavailableDependency(available func(string) bool, service string) string {
	for _, dependency := range v.config.Services[service].DependsOn {
		if !available(dependency) {
			return dependency
		}
		if indirect := v.unavailableDependency(available, dependency); indirect != "" {
			return indirect
		}
	}
	return ""
}

// BudgetFor returns the id of the account's first budget that covers the service.
func (d *Directory) BudgetFor(account, service string) (string, bool) {
	v := d.current.Load()
	if v == nil {
		return "", false
	}
	for _, id := range v.budgetsByAccount[account] {
		if v.config.Budgets[id].Covers(service) {
			return id, true
		}
	}
	return "", false
}

// Operator is an authenticated operator.
type Operator struct {
	Name string
	config.Operator
}

// Operator returns the operator with the given token. Operators are few, so their
// token hashes are compared one by one, each in constant time.
func (d *Directory) Operator(token string) (Operator, bool) {
	v := d.current.Load()
	if v == nil || token == "" {
		return Operator{}, false
	}
	sum := sha256.Sum256([]byte(token))
	text := []byte(hashPrefix + hex.EncodeToString(sum[:]))
	for name, o := range v.config.Operators {
		if subtle.ConstantTimeCompare([]byte(o.Token), text) == 1 {
			return Operator{Name: name, Operator: o}, true
		}
	}
	return Operator{}, false
}
