package routing

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// Guards against requests that leave the regions of their route or their account, against both
// bound to disjoint regions being taken for unbound, and against endpoints in failure domains of
// no region.
func TestAllowedDomains(t *testing.T) {
	table, err := NewTable(Config{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "free", Prefix: "/", Targets: equalTargets("s")}, {Name: "north", Prefix: "/n/", Targets: equalTargets("s"), Regions: []string{"north"}},
			{Name: "both", Prefix: "/b/", Targets: equalTargets("s"), Regions: []string{"south", "north"}},
			{Name: "odd", Prefix: "/o/", Targets: equalTargets("s"), Regions: []string{"nowhere"}},
		},
		Accounts: []Account{{Name: "free"}, {Name: "south", Regions: []string{"south"}}, {Name: "empty", Regions: []string{}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	unknown := table.BindRegions(map[string]string{"n1": "north", "n2": "north", "s1": "south", "e1": "east"})
	if !slices.Equal(unknown, []UnknownRegion{{Owner: "route odd", Region: "nowhere"}}) {
		t.Errorf("unknown regions %v", unknown)
	}
	// Rows are routes; columns an anonymous request and the accounts.
	for i, row := range [][]string{
		{"all", "all", "s1", "all"}, {"n1 n2", "n1 n2", "", "n1 n2"}, {"n1 n2 s1", "n1 n2 s1", "s1", "n1 n2 s1"}, {"", "", "", ""},
	} {
		for j, want := range row {
			var account *Account
			if j > 0 {
				account = &table.Accounts[j-1]
			}
			domains := table.AllowedDomains(&table.Routes[i], account)
			got := strings.Join(slices.Sorted(maps.Keys(domains)), " ")
			if domains == nil {
				got = "all"
			}
			if got != want {
				t.Errorf("route %s, account %v: %q, want %q", table.Routes[i].Name, account, got, want)
			}
		}
	}
}
