// Package directory answers the gateway's questions from the configuration in
// force: who a caller is, which service serves a model, which budget pays.
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

// Directory implements gateway.Directory. Its zero value knows nothing.
type Directory struct {
	// Up reports whether a service has an endpoint that takes work.
	Up func(service string) bool

	view atomic.Pointer[view]
}

// view is one configuration with the indexes that requests need. It is not
// modified once it is published.
type view struct {
	config *config.Config
	// accounts maps the SHA-256 of an API key.
	accounts map[[sha256.Size]byte]gateway.Account
	services map[string]gateway.Service
	models   map[string]string
	names    []string
	budgets  map[string][]string
}

// Set puts a configuration in force. Keys that are not a SHA-256 are ignored;
// the configuration's own validation refuses them.
func (d *Directory) Set(c *config.Config) {
	v := &view{
		config: c, accounts: make(map[[sha256.Size]byte]gateway.Account), services: make(map[string]gateway.Service),
		models: make(map[string]string), budgets: make(map[string][]string),
	}
	for name, a := range c.Accounts {
		v.addAccount(name, a.WithDefaults())
	}
	for name, s := range c.Services {
		v.addService(name, s.WithDefaults())
	}
	for id := range c.Budgets {
		account := config.AccountOfBudget(id)
		v.budgets[account] = append(v.budgets[account], id)
	}
	for _, ids := range v.budgets {
		c.SortBudgets(ids)
	}
	sort.Strings(v.names)
	d.view.Store(v)
}

func (v *view) addAccount(name string, a config.Account) {
	for _, key := range a.Keys {
		raw, err := hex.DecodeString(strings.TrimPrefix(key, hashPrefix))
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		v.accounts[[sha256.Size]byte(raw)] = gateway.Account{Name: name, Weight: float64(a.Weight)}
	}
}

func (v *view) addService(name string, s config.Service) {
	v.services[name] = gateway.Service{
		Name: name, Model: s.Kind == config.KindModel, MaxOutput: s.MaxOutputTokens, Price: s.PriceTokens,
		MaxBody: s.MaxBody.Bytes, Timeout: s.Timeout.Duration, FirstTokenTimeout: s.FirstTokenTimeout.Duration, RequireKey: s.RequireIdempotencyKey, Priority: s.Priority, NonIdempotent: s.IsNonIdempotent,
	}
	for _, m := range s.Models {
		v.models[m] = name
		v.names = append(v.names, m)
	}
}

// Config returns the configuration in force, nil if there is none yet.
func (d *Directory) Config() *config.Config {
	if v := d.view.Load(); v != nil {
		return v.config
	}
	return nil
}

// Authenticate implements gateway.Directory. The map is keyed by the hash of
// the key, so the time of a lookup tells nothing about a key.
func (d *Directory) Authenticate(key string) (gateway.Account, bool) {
	v := d.view.Load()
	if v == nil {
		return gateway.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := v.accounts[sum]
	return account, ok
}

// Service implements gateway.Directory.
func (d *Directory) Service(name string) (gateway.Service, bool) {
	v := d.view.Load()
	if v == nil {
		return gateway.Service{}, false
	}
	s, ok := v.services[name]
	return s, ok && !s.Model
}

// Model implements gateway.Directory.
func (d *Directory) Model(model string) (gateway.Service, bool) {
	v := d.view.Load()
	if v == nil {
		return gateway.Service{}, false
	}
	s, ok := v.services[v.models[model]]
	return s, ok
}

// Models implements gateway.Directory.
func (d *Directory) Models() []string {
	if v := d.view.Load(); v != nil {
		return v.names
	}
	return nil
}

// Endpoint implements gateway.Directory.
func (d *Directory) Endpoint(id string) (string, bool) {
	v := d.view.Load()
	if v == nil {
		return "", false
	}
	e, ok := v.config.Endpoints[id]
	return e.Address, ok
}

// DependencyDown implements gateway.Directory: it names the first unavailable
// service that s depends on, directly or through others. The configuration
// has no cycles.
func (d *Directory) DependencyDown(s gateway.Service) string {
	v := d.view.Load()
	if v == nil || d.Up == nil {
		return ""
	}
	return v.down(d.Up, s.Name)
}

func (v *view) down(up func(string) bool, service string) string {
	for _, dependency := range v.config.Services[service].DependsOn {
		if !up(dependency) {
			return dependency
		}
		if further := v.down(up, dependency); further != "" {
			return further
		}
	}
	return ""
}

// BudgetFor returns the account's first budget that covers the service.
func (d *Directory) BudgetFor(account, service string) (string, bool) {
	v := d.view.Load()
	if v == nil {
		return "", false
	}
	for _, id := range v.budgets[account] {
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

// Operator returns the operator of a token. Each hash is compared in constant
// time, since operators are few.
func (d *Directory) Operator(token string) (Operator, bool) {
	v := d.view.Load()
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
