package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
)

// Deployment is the shape of a fleet.
type Deployment struct {
	Name    string
	Domains []string
	Daemons int
	// Model is the model that the pool serves, Pool its service name.
	Model, Pool string
	Engines     int
	// Service is the plain service; its OrderPath may run only once a call.
	Service, OrderPath string
	ServiceEndpoints   int
	Accounts           []string
	// InterToken is the engines' time between tokens of a single request.
	InterToken time.Duration
}

// deployments are the fleets of today, as docs/design.md states them.
var deployments = map[string]Deployment{
	"maracas": {
		Name: "maracas", Domains: []string{"port", "hill", "bay", "quay"}, Daemons: 7,
		Model: "tray-planner", Pool: "planner", Engines: 12, Service: "tray-stock", OrderPath: "/reserve", ServiceEndpoints: 4,
		Accounts: accountNames("shop", 10), InterToken: 5 * time.Millisecond,
	},
	"verstraeten": {
		Name: "verstraeten", Domains: []string{"hall-a", "hall-b", "hall-c"}, Daemons: 7,
		Model: "badge-writer", Pool: "wording", Engines: 20, Service: "print-orders", OrderPath: "/reprint", ServiceEndpoints: 3,
		Accounts: accountNames("congress", 10), InterToken: 5 * time.Millisecond,
	},
}

func accountNames(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return names
}

// DeploymentNames returns the known deployments in order.
func DeploymentNames() []string {
	names := make([]string, 0, len(deployments))
	for name := range deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// DeploymentByName returns a known deployment.
func DeploymentByName(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return Deployment{}, errors.Errorf("deployment %q does not exist; known are %v", name, DeploymentNames())
	}
	return d, nil
}

// domain returns the failure domain of the i-th member of a group.
func (d Deployment) domain(i int) string { return d.Domains[i%len(d.Domains)] }

// Key returns the API key of an account. It is derived from the name, since a
// development fleet has no secrets.
func Key(account string) string { return "dev-" + account }

// Tokens of the operators that a development fleet knows, and of the one that
// makes the first revision.
const (
	OperatorToken  = "dev-operator"
	BillingToken   = "dev-billing"
	bootstrapToken = "dev-bootstrap"
)

func hashed(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// configuration returns the operators' text for endpoints at the addresses.
func (d Deployment) configuration(engines, services []string) *config.Config {
	c := config.New()
	c.Services[d.Pool] = config.Service{Kind: config.KindModel, Models: []string{d.Model}, MaxOutputTokens: 512, SlotsPerEndpoint: 16}
	c.Services[d.Service] = config.Service{
		Kind: config.KindPlain, PriceTokens: 10, SlotsPerEndpoint: 64, NonIdempotentCalls: []string{"POST " + d.OrderPath},
	}
	for i, addr := range engines {
		c.Endpoints[fmt.Sprintf("%s-%d", d.Pool, i+1)] = config.Endpoint{Service: d.Pool, Address: addr, Domain: d.domain(i)}
	}
	for i, addr := range services {
		c.Endpoints[fmt.Sprintf("%s-%d", d.Service, i+1)] = config.Endpoint{Service: d.Service, Address: addr, Domain: d.domain(i)}
	}
	for _, name := range append([]string{TrialAccount}, d.Accounts...) {
		c.Accounts[name] = config.Account{Keys: []string{hashed(Key(name))}, Weight: 1}
		c.Budgets[config.BudgetID(name, budgetName)] = config.Budget{}
	}
	c.Operators["dev"] = config.Operator{Team: "dev", Role: config.RoleOperator, Token: hashed(OperatorToken)}
	c.Operators["dev-billing"] = config.Operator{Team: "dev", Role: config.RoleBilling, Token: hashed(BillingToken)}
	return c
}

// budgetName is the name of each account's only budget.
const budgetName = "main"
