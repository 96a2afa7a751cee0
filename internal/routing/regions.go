package routing

import (
	"slices"
	"strings"
)

// regionBindings bind routes and accounts to the failure domains of some regions: requests go only to
// endpoints there. The zero value binds none.
type regionBindings struct {
	// routes and accounts hold the index of each list of regions that is not empty; 0 stands
	// for all regions.
	routes   map[*Route]int
	accounts map[*Account]int
	// domains holds the failure domains by the indices of a route's and an account's list; nil
	// means all.
	domains [][]map[string]bool
}

// UnknownRegion is a region that a route or an account names and no failure domain belongs to.
type UnknownRegion struct{ Owner, Region string }

// BindRegions resolves the regions of routes and accounts to failure domains, given the region of
// each failure domain. It must be called before the table is used. It returns the regions that
// have no failure domain.
func (t *Table) BindRegions(regionOf map[string]string) []UnknownRegion {
	t.regions = regionBindings{routes: make(map[*Route]int), accounts: make(map[*Account]int)}
	var unknown []UnknownRegion
	lists := [][]string{nil}
	indices := make(map[string]int)
	add := func(owner string, regions []string) int {
		if len(regions) == 0 {
			return 0
		}
		for _, region := range regions {
			if len(domainsOf(regionOf, []string{region})) == 0 {
				unknown = append(unknown, UnknownRegion{Owner: owner, Region: region})
			}
		}
		key := strings.Join(slices.Sorted(slices.Values(regions)), "\x00")
		if _, ok := indices[key]; !ok {
			indices[key] = len(lists)
			lists = append(lists, regions)
		}
		return indices[key]
	}
	for i := range t.Routes {
		if n := add("route "+t.Routes[i].Name, t.Routes[i].Regions); n > 0 {
			t.regions.routes[&t.Routes[i]] = n
		}
	}
	for i := range t.Accounts {
		if n := add("account "+t.Accounts[i].Name, t.Accounts[i].Regions); n > 0 {
			t.regions.accounts[&t.Accounts[i]] = n
		}
	}
	t.regions.domains = intersections(regionOf, lists)
	return unknown
}

// AllowedDomains returns the failure domains to which requests of a route and an account may go;
// nil means all. Where both are bound to regions, both bind. a may be nil.
func (t *Table) AllowedDomains(r *Route, a *Account) map[string]bool {
	if t.regions.domains == nil {
		return nil
	}
	return t.regions.domains[t.regions.routes[r]][t.regions.accounts[a]]
}

// intersections returns the failure domains of each pair of lists of regions.
func intersections(regionOf map[string]string, lists [][]string) [][]map[string]bool {
	out := make([][]map[string]bool, len(lists))
	for i, first := range lists {
		out[i] = make([]map[string]bool, len(lists))
		for j, second := range lists {
			if i > 0 || j > 0 {
				out[i][j] = domainsOf(regionOf, first, second)
			}
		}
	}
	return out
}

// domainsOf returns the failure domains whose region is in each of the lists that are not empty.
func domainsOf(regionOf map[string]string, lists ...[]string) map[string]bool {
	domains := make(map[string]bool)
	for domain, region := range regionOf {
		in := true
		for _, list := range lists {
			in = in && (len(list) == 0 || slices.Contains(list, region))
		}
		if in {
			domains[domain] = true
		}
	}
	return domains
}
