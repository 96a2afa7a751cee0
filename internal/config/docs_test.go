package config

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var tomlSnippet = regexp.MustCompile("(?s)```toml\n(.*?)```")

// Guards against examples in the documentation that the parser rejects, and
// against undocumented keys.
func TestDocumentationSnippets(t *testing.T) {
	for page, minSnippets := range map[string]int{"configuration.md": 8, "two-offices.md": 1} {
		content, err := os.ReadFile(filepath.Join("..", "..", "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		found := tomlSnippet.FindAllSubmatch(content, -1)
		if len(found) < minSnippets {
			t.Errorf("%s: %d snippets, want at least %d", page, len(found), minSnippets)
		}
		for _, m := range found {
			if _, err := Parse(page, m[1]); err != nil {
				t.Errorf("%s: %v\n%s", page, err, m[1])
			}
		}
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, parent := range [][]string{{"service", "x"}, {"endpoint", "x"}, {"account", "x"},
		{"account", "x", "budget", "y"}, {"operator", "x"}} {
		typ, _, _ := typeAtPath(parent)
		for i := range typ.NumField() {
			if key := tomlKey(typ.Field(i)); !strings.Contains(string(page), "| `"+key+"`") && key != "budget" {
				t.Errorf("key %s of %s is not documented", key, strings.Join(parent, "."))
			}
		}
	}
}

// Guards against example configurations whose sizes differ from the deployments
// in the design document.
func TestSamples(t *testing.T) {
	for _, want := range []struct {
		name                                                    string
		model, plain                                            string
		workers, endpoints, domains, accounts, weightedAccounts int
	}{
		{"maracas", "planner", "tray-stock", 12, 4, 4, 10, 3},
		{"verstraeten", "layout", "print-order", 20, 3, 3, 10, 2},
	} {
		file := filepath.Join("..", "..", "examples", want.name+".toml")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		c, err := Parse(file, text)
		if err != nil {
			t.Fatal(err)
		}
		domains := make(map[string]bool)
		for id, e := range c.Endpoints {
			domains[e.Domain] = true
			if !strings.HasPrefix(e.Address, "127.") {
				t.Errorf("%s: endpoint %s is not on loopback: %s", want.name, id, e.Address)
			}
		}
		weightedAccounts := 0
		for name, a := range c.Accounts {
			if a.WithDefaults().Weight > 1 {
				weightedAccounts++
			}
			if len(c.AccountBudgets(name)) == 0 {
				t.Errorf("%s: account %s has no budget", want.name, name)
			}
		}
		live := c.liveEndpointCounts()
		if live[want.model] != want.workers || live[want.plain] != want.endpoints || len(domains) != want.domains ||
			len(c.Accounts) != want.accounts || weightedAccounts != want.weightedAccounts {
			t.Errorf("%s: %v live endpoints, %d domains, %d accounts, %d large",
				want.name, live, len(domains), len(c.Accounts), weightedAccounts)
		}
	}
}
