package routing

import (
	"strings"
	"testing"
)

func equalTargets(names ...string) []Target {
	var targets []Target
	for _, n := range names {
		targets = append(targets, Target{Service: n, Weight: 50})
	}
	return targets
}

// Guards against matching a route other than the one with the longest prefix of
// the request's host, and against assigning an API key to the wrong account.
func TestTable(t *testing.T) {
	table, err := NewTable(Config{
		Routes: []Route{
			{Name: "short", Host: "H.example", Prefix: "/a/", Targets: equalTargets("s")},
			{Name: "long", Host: "h.example", Prefix: "/a/b/", Targets: equalTargets("s")},
			{Name: "other", Host: "i.example", Prefix: "/", Targets: equalTargets("s")},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "x", Keys: []string{"1", "2"}}, {Name: "y", Keys: []string{"3"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example:80", "/a/b/x", "long"}, {"h.example", "/a/b", "short"},
		{"i.example", "/a/b/x", "other"}, {"h.example", "/c/", ""}, {"none", "/a/", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s matched route %v, want %q", c.host, c.path, r, c.want)
		}
	}
	if a, ok := table.Authenticate("2"); !ok || a.Name != "x" {
		t.Errorf("key 2 belongs to %v, want account x", a)
	}
	if _, ok := table.Authenticate("4"); ok {
		t.Error("an unknown key was accepted")
	}
}

// Guards against accepting a configuration with routes that lead to no service.
func TestTableRefuses(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  string
	}{
		{Route{Name: "r", Prefix: "a/", Targets: equalTargets("s")}, "slash"},
		{Route{Name: "r", Prefix: "/a/"}, "names no service"},
		{Route{Name: "r", Prefix: "/a/", Targets: equalTargets("t")}, "does not exist"},
	} {
		if _, err := NewTable(Config{Routes: []Route{c.route}, Services: []Service{{Name: "s"}}}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("route %+v: %v, want an error with %q", c.route, err, c.want)
		}
	}
}

// Guards against a split of the requests that does not follow the weights.
func TestPickService(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("requests by service: %v, want 900 for a and 100 for b", counts)
	}
}
