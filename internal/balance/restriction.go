package balance

import "time"

// Restriction is why no endpoint of a service may get a request, although some are registered.
type Restriction uint8

// The restrictions.
const (
	// Unrestricted means that the request may go to some failure domain with endpoints.
	Unrestricted Restriction = iota
	// Evacuated means that all failure domains to which the request may go are evacuated.
	Evacuated
	// OutsideDomains means that the request may go to no failure domain with endpoints.
	OutsideDomains
)

// String returns the restriction as in logs and metrics.
func (r Restriction) String() string {
	switch r {
	case Evacuated:
		return "evacuated"
	case OutsideDomains:
		return "outside_regions"
	default:
		return "none"
	}
}

// SetEvacuated sets the failure domains whose endpoints get no new requests. Requests in progress
// there are not affected.
func (p *Pool) SetEvacuated(now time.Time, domains map[string]bool) {
	former := p.evacuated
	p.evacuated = domains
	for _, e := range p.endpoints {
		e.evacuated = domains[e.Domain]
	}
	for domain := range former {
		if !domains[domain] {
			p.Recovered(now, domain)
		}
	}
}

// admits reports whether the request may go to the endpoint's failure domain.
func (r Request) admits(e *endpointState) bool {
	return !e.evacuated && (r.Domains == nil || r.Domains[e.Domain])
}

// Restriction returns why no endpoint may get a request that may go to the given failure domains;
// nil means all.
func (p *Pool) Restriction(domains map[string]bool) Restriction {
	if domains != nil && len(domains) == 0 {
		return OutsideDomains
	}
	evacuated, outside := false, false
	for _, e := range p.endpoints {
		switch {
		case p.leaves(e):
		case domains != nil && !domains[e.Domain]:
			outside = true
		case e.evacuated:
			evacuated = true
		default:
			return Unrestricted
		}
	}
	switch {
	case evacuated:
		return Evacuated
	case outside:
		return OutsideDomains
	}
	return Unrestricted
}

// OpenRequests returns the number of this daemon's open requests at the endpoints of a failure
// domain.
func (p *Pool) OpenRequests(domain string) int {
	n := 0
	for _, e := range p.endpoints {
		if e.Domain == domain {
			n += e.openRequests
		}
	}
	return n
}

// HasDomain reports whether an endpoint belongs to a failure domain.
func (p *Pool) HasDomain(domain string) bool {
	for _, e := range p.endpoints {
		if e.Domain == domain {
			return true
		}
	}
	return false
}
