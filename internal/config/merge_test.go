package config

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse("t.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a merge that loses one team's edit or hides a conflict.
func TestMerge(t *testing.T) {
	base := mustParse(t, sampleText)
	weight := func(w int) *Config {
		c := base.Clone()
		c.Accounts["acme"] = Account{Keys: c.Accounts["acme"].Keys, Weight: w}
		return c
	}
	leaving := base.Clone()
	e := leaving.Endpoints["e1"]
	e.State = StateLeaving
	leaving.Endpoints["e1"] = e

	merged, err := Merge(base, weight(3), leaving)
	if err != nil {
		t.Fatal(err)
	}
	if merged.Accounts["acme"].Weight != 3 || merged.Endpoints["e1"].State != StateLeaving {
		t.Errorf("merge lost an edit: %+v", merged)
	}
	if merged, err = Merge(base, weight(3), weight(3)); err != nil || merged.Accounts["acme"].Weight != 3 {
		t.Errorf("merge of equal edits: %v", err)
	}
	_, err = Merge(base, weight(3), weight(4))
	var conflict *MergeError
	if !errors.As(err, &conflict) || len(conflict.Conflicts) != 1 {
		t.Fatalf("got %v, want one conflict", err)
	}
	got := conflict.Conflicts[0]
	want := Conflict{ID: ID{EntryAccount, "acme"}, Base: base.Accounts["acme"],
		Mine: weight(3).Accounts["acme"], Theirs: weight(4).Accounts["acme"]}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("conflict (-want +got):\n%s", diff)
	}
}

// Guards against accepting an invalid merge of two valid edits: one team removes
// an account while the other adds a budget to it.
func TestMergeInvalidCombination(t *testing.T) {
	base := mustParse(t, sampleText)
	removed, added := base.Clone(), base.Clone()
	delete(removed.Accounts, "acme")
	delete(removed.Budgets, "acme/main")
	added.Budgets["acme/new"] = Budget{}
	_, err := Merge(base, removed, added)
	var conflict *MergeError
	if !errors.As(err, &conflict) || len(conflict.Invalid) != 1 {
		t.Fatalf("got %v, want one invalid entry", err)
	}
}

func TestDiff(t *testing.T) {
	a := mustParse(t, sampleText)
	b := a.Clone()
	delete(b.Operators, "ana")
	b.Accounts["new"] = Account{Weight: 2}
	e := b.Endpoints["e1"]
	e.Weight = 5
	b.Endpoints["e1"] = e
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, string(c.Op)+" "+c.String())
		if c.Name == "e1" {
			if diff := cmp.Diff([]FieldChange{{Key: "weight", New: "5"}}, c.Fields); diff != "" {
				t.Errorf("fields (-want +got):\n%s", diff)
			}
		}
	}
	want := []string{"changed endpoint e1", "added account new", "removed operator ana"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// Guards against edits that unintentionally stop a service or remove an account
// that has spent tokens.
func TestGuards(t *testing.T) {
	withStock := mustParse(t, sampleText+`
[endpoint.s1]
service = "stock"
address = "127.0.0.1:9002"
domain = "a"
`)
	spent := func(account string) bool { return account == "acme" }
	for _, test := range []struct {
		name string
		edit func(*Config)
		want []Guard
	}{
		{"last endpoint of a service in use", func(c *Config) { delete(c.Endpoints, "e1") }, []Guard{GuardLastEndpoint}},
		{"drain of the last endpoint", func(c *Config) {
			c.Endpoints["e1"] = Endpoint{Service: "chat", Address: "127.0.0.1:9001", Domain: "a", State: StateLeaving}
		}, []Guard{GuardLastEndpoint}},
		{"dependency", func(c *Config) { delete(c.Endpoints, "s1") }, []Guard{GuardDependency}},
		{"spend", func(c *Config) { delete(c.Accounts, "acme"); delete(c.Budgets, "acme/main") }, []Guard{GuardSpend}},
		{"weight", func(c *Config) { c.Accounts["acme"] = Account{Weight: 2} }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			after := withStock.Clone()
			test.edit(after)
			var got []Guard
			var refused *GuardError
			if err := CheckGuards(withStock, after, spent, nil); errors.As(err, &refused) {
				for _, r := range refused.Refusals {
					got = append(got, r.Guard)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("guards (-want +got):\n%s", diff)
			}
			if err := CheckGuards(withStock, after, spent, Guards); err != nil {
				t.Errorf("allowed change is rejected: %v", err)
			}
		})
	}
}
