package balance

import "testing"

// Guards against a request, also with a shared prefix whose usual endpoint is evacuated, that goes
// to an endpoint of an evacuated failure domain or outside those allowed, whatever order
// endpoints, evacuations and restarts become known in.
func TestRestrictedDomains(t *testing.T) {
	newEvacuated := func() *Pool {
		p := newPool(9, 64)
		p.SetEvacuated(start, map[string]bool{"z1": true})
		p.Reset("e01")
		p.Put(Endpoint{ID: "e99", Domain: "z1", Slots: 64})
		return p
	}
	for name, c := range map[string]struct {
		domains     map[string]bool
		want        string
		restriction Restriction
	}{
		"all":                      {nil, "z0 z2", Unrestricted},
		"two allowed":              {map[string]bool{"z1": true, "z2": true}, "z2", Unrestricted},
		"only the evacuated":       {map[string]bool{"z1": true}, "", Evacuated},
		"one without endpoints":    {map[string]bool{"z7": true}, "", OutsideDomains},
		"that and the evacuated":   {map[string]bool{"z1": true, "z7": true}, "", Evacuated},
		"none by two restrictions": {map[string]bool{}, "", OutsideDomains},
	} {
		p, got := newEvacuated(), map[string]bool{}
		for i := range 200 {
			r := prompt(string(rune('a'+i%20)), 5000, 100)
			r.Domains = c.domains
			choice, ok := p.Choose(start, r)
			if ok != (c.want != "") || choice.Restriction != c.restriction {
				t.Fatalf("%s: choice %+v", name, choice)
			}
			if !ok {
				break
			}
			got[choice.Domain] = true
			p.Done(choice, false)
			if preferred := p.preferredEndpoint(r); preferred.evacuated {
				t.Fatalf("%s: %s of an evacuated failure domain is preferred", name, preferred.ID)
			}
		}
		if got["z0"] != (c.want == "z0 z2") || got["z1"] || got["z2"] != (c.want != "") {
			t.Errorf("%s: requests went to %v, want %s", name, got, c.want)
		}
		if r := p.Restriction(c.domains); r != c.restriction {
			t.Errorf("%s: restriction %s, want %s", name, r, c.restriction)
		}
	}
	p := newEvacuated()
	p.SetEvacuated(start, nil)
	if r := p.Restriction(map[string]bool{"z1": true}); r != Unrestricted {
		t.Errorf("restriction %s after the failure domain was taken back", r)
	}
	if r := New(Options{}).Restriction(nil); r != Unrestricted {
		t.Errorf("restriction %s without endpoints, which is no restriction", r)
	}
}
