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

// Deployment describes a fleet: its failure domains, daemons, services and
// accounts.
type Deployment struct {
	Name    string
	Domains []string
	Daemons int
	// Model is the model that the engines serve under the service name
	// ModelService.
	Model, ModelService string
	Engines             int
	// PlainService is the name of the plain service. Calls to its OrderPath are not
	// idempotent.
	PlainService, OrderPath string
	PlainEndpoints          int
	Accounts                []string
	// InterToken is the time between two tokens of an engine that runs a single
	// request.
	InterToken time.Duration
}

// deployments are the deployments that docs/design.md describes.
var deployments = map[string]Deployment{
	"maracas": {
		Name: "maracas", Domains: []string{"port", "hill", "bay", "quay"}, Daemons: 7,
		Model: "tray-planner", ModelService: "planner", Engines: 12,
		PlainService: "tray-stock", OrderPath: "/reserve", PlainEndpoints: 4,
		Accounts: accountNames("shop", 10), InterToken: 5 * time.Millisecond,
	},
	"verstraeten": {
		Name: "verstraeten", Domains: []string{"hall-a", "hall-b", "hall-c"}, Daemons: 7,
		Model: "badge-writer", ModelService: "wording", Engines: 20,
		PlainService: "print-orders", OrderPath: "/reprint", PlainEndpoints: 3,
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

// DeploymentNames returns the names of the known deployments, sorted.
func DeploymentNames() []string {
	names := make([]string, 0, len(deployments))
	for name := range deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// DeploymentByName returns the known deployment of that name.
func DeploymentByName(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return Deployment{}, errors.Errorf("deployment %q does not exist; known are %v", name, DeploymentNames())
	}
	return d, nil
}

// domain returns the failure domain of the i-th instance of a kind; instances are
// spread over the domains in turn.
func (d Deployment) domain(i int) string { return d.Domains[i%len(d.Domains)] }

// APIKey returns the API key of an account. It is derived from the name, since a
// development fleet has no secrets.
func APIKey(account string) string { return "dev-" + account }

// Operator tokens of a development fleet. bootstrapToken is used only to create
// the first revision of the configuration.
const (
	OperatorToken  = "dev-operator"
	BillingToken   = "dev-billing"
	bootstrapToken = "dev-bootstrap"
)

// hashToken returns the form in which the configuration and the settings store a
// secret.
func hashToken(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// configuration returns the operators' configuration with endpoints at the given
// addresses of engines and plain services.
func (d Deployment) configuration(engines, services []string) *config.Config {
	c := config.New()
	c.Services[d.ModelService] = config.Service{
		Kind: config.KindModel, Models: []string{d.Model}, MaxOutputTokens: 512, SlotsPerEndpoint: 16,
	}
	c.Services[d.PlainService] = config.Service{
		Kind: config.KindPlain, PriceTokens: 10, SlotsPerEndpoint: 64, NonIdempotentCalls: []string{"POST " + d.OrderPath},
	}
	for i, addr := range engines {
		c.Endpoints[fmt.Sprintf("%s-%d", d.ModelService, i+1)] = config.Endpoint{
			Service: d.ModelService, Address: addr, Domain: d.domain(i),
		}
	}
	for i, addr := range services {
		c.Endpoints[fmt.Sprintf("%s-%d", d.PlainService, i+1)] = config.Endpoint{
			Service: d.PlainService, Address: addr, Domain: d.domain(i),
		}
	}
	for _, name := range append([]string{TrialAccount}, d.Accounts...) {
		c.Accounts[name] = config.Account{Keys: []string{hashToken(APIKey(name))}, Weight: 1}
		c.Budgets[config.BudgetID(name, budgetName)] = config.Budget{}
	}
	c.Operators["dev"] = config.Operator{Team: "dev", Role: config.RoleOperator, Token: hashToken(OperatorToken)}
	c.Operators["dev-billing"] = config.Operator{Team: "dev", Role: config.RoleBilling, Token: hashToken(BillingToken)}
	return c
}

// budgetName is the name of each account's only budget.
const budgetName = "main"
