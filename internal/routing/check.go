package routing

import (
	"fmt"
	"strings"
)

// Severity says whether a finding keeps a configuration from being used.
type Severity string

// The severities of findings.
const (
	// Fault is an entry that can't do what it says.
	Fault Severity = "error"
	// Doubt is an entry that works, but probably not as meant.
	Doubt Severity = "warning"
)

// Finding is something that Check has found in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// List and Index name the entry: an index of routes, services or accounts.
	List  string `json:"list"`
	Index int    `json:"index"`
	Name  string `json:"name"`
	Text  string `json:"text"`
}

// The lists of a configuration.
const (
	ListRoutes   = "routes"
	ListServices = "services"
	ListAccounts = "accounts"
)

// checker collects findings.
type checker struct {
	services map[string]bool
	findings []Finding
}

func (c *checker) add(s Severity, list string, index int, name, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, List: list, Index: index, Name: name, Text: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong or doubtful in a configuration. It answers an operator who is
// about to put it into force: entries that can never match, and limits that contradict each
// other. API keys are not part of the findings.
func Check(c Config) []Finding {
	k := &checker{services: make(map[string]bool)}
	for _, s := range c.Services {
		k.services[s.Name] = true
	}
	used := make(map[string]bool)
	matches := make(map[string]string)
	for i, r := range c.Routes {
		k.route(i, r)
		where := strings.ToLower(r.Host) + r.Prefix
		if first, ok := matches[where]; ok {
			k.add(Fault, ListRoutes, i, r.Name, "never matches: route %q has the same host and prefix", first)
		} else {
			matches[where] = r.Name
		}
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	names := make(map[string]bool)
	for i, s := range c.Services {
		k.service(i, s)
		if names[s.Name] {
			k.add(Fault, ListServices, i, s.Name, "another service has the same name")
		}
		names[s.Name] = true
		if !used[s.Name] {
			k.add(Doubt, ListServices, i, s.Name, "no route names the service")
		}
	}
	k.accounts(c.Accounts)
	return k.findings
}

func (c *checker) route(i int, r Route) {
	if r.Host == "" {
		c.add(Fault, ListRoutes, i, r.Name, "never matches: it has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		c.add(Fault, ListRoutes, i, r.Name, "prefix %q does not begin with a slash", r.Prefix)
	}
	c.targets(i, r)
	c.times(i, r)
	if r.MaxAttempts > 1 && !r.Idempotent() {
		c.add(Doubt, ListRoutes, i, r.Name, "%d attempts are allowed, but its requests run at most once", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != Streaming {
		c.add(Doubt, ListRoutes, i, r.Name, "only streams can be resumed")
	}
}

// targets checks the services of a route.
func (c *checker) targets(i int, r Route) {
	weights := 0
	for _, t := range r.Targets {
		if !c.services[t.Service] {
			c.add(Fault, ListRoutes, i, r.Name, "service %q does not exist", t.Service)
		}
		if t.Weight < 0 {
			c.add(Fault, ListRoutes, i, r.Name, "the weight of service %q is negative", t.Service)
		}
		weights += max(t.Weight, 0)
	}
	if len(r.Targets) > 1 && weights == 0 {
		c.add(Doubt, ListRoutes, i, r.Name, "no service has a weight; %q gets all requests", r.Targets[0].Service)
	}
	for _, t := range r.Targets {
		if weights > 0 && t.Weight == 0 {
			c.add(Doubt, ListRoutes, i, r.Name, "service %q has no weight and gets no requests", t.Service)
		}
	}
}

// times checks the times of a route.
func (c *checker) times(i int, r Route) {
	if r.Timeout < 0 || r.LatencyObjective < 0 || r.MaxEventGap < 0 {
		c.add(Fault, ListRoutes, i, r.Name, "a time is negative")
	}
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.add(Fault, ListRoutes, i, r.Name, "the latency objective of %v is above the time limit of %v", r.LatencyObjective, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		c.add(Fault, ListRoutes, i, r.Name, "the longest pause between events of %v is above the time limit of %v", r.MaxEventGap, r.Timeout)
	}
}

func (c *checker) service(i int, s Service) {
	switch {
	case s.ColdPeriod < 0 || s.ColdRate < 0 || s.MaxConnections < 0:
		c.add(Fault, ListServices, i, s.Name, "a limit is negative")
	case s.ColdRate > 0 && s.ColdPeriod == 0:
		c.add(Fault, ListServices, i, s.Name, "a rate for cold endpoints is set without the time for which they are cold")
	}
}

func (c *checker) accounts(accounts []Account) {
	names, owners := make(map[string]bool), make(map[string]string)
	for i, a := range accounts {
		if names[a.Name] {
			c.add(Fault, ListAccounts, i, a.Name, "another account has the same name")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			c.add(Doubt, ListAccounts, i, a.Name, "has no API keys, so nobody can use it")
		}
		for n, key := range a.Keys {
			switch owner, ok := owners[key]; {
			case key == "":
				c.add(Fault, ListAccounts, i, a.Name, "API key %d is empty", n+1)
			case ok && owner != a.Name:
				c.add(Fault, ListAccounts, i, a.Name, "API key %d also belongs to account %q", n+1, owner)
			}
			owners[key] = a.Name
		}
		if !a.Unlimited && a.PrepaidTokens <= 0 {
			c.add(Doubt, ListAccounts, i, a.Name, "its budget is %d tokens", a.PrepaidTokens)
		}
	}
}
