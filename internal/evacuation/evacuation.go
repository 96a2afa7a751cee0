// Package evacuation holds the failure domains to whose endpoints an operator wants nothing
// more to be sent. It answers the load of an operator who empties a failure domain, or takes
// it back, while daemons restart, are cut off, and the store comes back from an older copy.
//
// The package performs no I/O; a Set is not safe for concurrent use, and the caller passes the
// current time.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// LostPeriod is how long an evacuation stands that a restored store has lost. What an operator
// wrote after the copy is written again within some seconds; sending requests to a failure
// domain that may be about to lose its power harms callers more than its idle endpoints do.
const LostPeriod = time.Minute

// Cause is the reason of a Change.
type Cause string

// The causes of changes.
const (
	// Ordered and TakenBack are changes by the operator.
	Ordered   Cause = "ordered"
	TakenBack Cause = "taken back"
	// Lost is an evacuation that a restored store has lost and that still stands; Expired is
	// its end after LostPeriod.
	Lost    Cause = "lost by the restored store"
	Expired Cause = "not ordered again"
)

// Change is a change of a failure domain's evacuation.
type Change struct {
	Domain string
	Cause  Cause
	// Revision is that of the store item, or of the list that lacks it.
	Revision platform.Revision
}

// order is the store item that evacuates a failure domain.
type order struct {
	revision platform.Revision
	// lostAt is when a restored store turned out to have lost the item, zero if it has not.
	lostAt time.Time
}

// Set is the set of evacuated failure domains. The key of a store item alone names the failure
// domain; its value does not matter.
type Set struct {
	prefix string
	orders map[string]order
}

// NewSet returns an empty set, for store items whose keys are prefix and a failure domain.
func NewSet(prefix string) *Set { return &Set{prefix: prefix, orders: make(map[string]order)} }

// Prefix returns the prefix of the keys.
func (s *Set) Prefix() string { return s.prefix }

// DomainOf returns the failure domain that a key names, and whether it names one.
func (s *Set) DomainOf(key string) (string, bool) {
	domain, ok := strings.CutPrefix(key, s.prefix)
	return domain, ok && s.prefix != "" && domain != ""
}

// Replace replaces the orders by those in a list of the store at a revision.
func (s *Set) Replace(now time.Time, items []platform.Item, at platform.Revision) []Change {
	var changes []Change
	listed := make(map[string]bool)
	for _, i := range items {
		if domain, ok := s.DomainOf(i.Key); ok {
			listed[domain] = true
			changes = append(changes, s.put(domain, i.Revision)...)
		}
	}
	for _, domain := range s.Domains() {
		if !listed[domain] {
			changes = append(changes, s.remove(now, domain, at)...)
		}
	}
	return changes
}

// Apply applies changes of the store.
func (s *Set) Apply(now time.Time, events []platform.Event) []Change {
	var changes []Change
	for _, ev := range events {
		domain, ok := s.DomainOf(ev.Item.Key)
		switch {
		case !ok:
		case ev.Deleted:
			changes = append(changes, s.remove(now, domain, ev.Item.Revision)...)
		default:
			changes = append(changes, s.put(domain, ev.Item.Revision)...)
		}
	}
	return changes
}

// Tick ends the evacuations that a restored store lost LostPeriod ago.
func (s *Set) Tick(now time.Time) []Change {
	var changes []Change
	for _, domain := range s.Domains() {
		if o := s.orders[domain]; !o.lostAt.IsZero() && now.Sub(o.lostAt) > LostPeriod {
			delete(s.orders, domain)
			changes = append(changes, Change{Domain: domain, Cause: Expired, Revision: o.revision})
		}
	}
	return changes
}

// Domains returns the evacuated failure domains in order.
func (s *Set) Domains() []string { return slices.Sorted(maps.Keys(s.orders)) }

func (s *Set) put(domain string, at platform.Revision) []Change {
	_, known := s.orders[domain]
	s.orders[domain] = order{revision: at}
	if known {
		return nil
	}
	return []Change{{Domain: domain, Cause: Ordered, Revision: at}}
}

// remove ends an evacuation, unless its item belongs to an earlier era than the removal: then the
// restored store has lost it, and the operator has not taken it back.
func (s *Set) remove(now time.Time, domain string, at platform.Revision) []Change {
	o, ok := s.orders[domain]
	switch {
	case !ok || !o.lostAt.IsZero():
		return nil
	case at.Era() > o.revision.Era():
		o.lostAt = now
		s.orders[domain] = o
		return []Change{{Domain: domain, Cause: Lost, Revision: at}}
	}
	delete(s.orders, domain)
	return []Change{{Domain: domain, Cause: TakenBack, Revision: at}}
}
