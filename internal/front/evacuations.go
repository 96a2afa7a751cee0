package front

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/evacuation"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// unknownDomainDelay is how long a failure domain is evacuated before the log warns that no
// endpoint belongs to it: a daemon that starts reads the endpoints beside the evacuations.
const unknownDomainDelay = 2 * time.Second

// evacuations follows the evacuated failure domains and applies them to the pools.
type evacuations struct {
	pools *pools
	log   zerolog.Logger
	scope tally.Scope

	mu  sync.Mutex
	set *evacuation.Set
	// status holds what was logged of each evacuated failure domain.
	status map[string]*evacuationStatus
}

// evacuationStatus is what the log has told of an evacuated failure domain.
type evacuationStatus struct {
	since                     time.Time
	warnedUnknown, loggedIdle bool
}

func newEvacuations(prefix string, p *pools, log zerolog.Logger, scope tally.Scope) *evacuations {
	return &evacuations{
		pools: p, log: log, scope: scope, set: evacuation.NewSet(prefix), status: make(map[string]*evacuationStatus),
	}
}

func (e *evacuations) replace(r reading, items []platform.Item, at platform.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range items {
		e.checkKey(i)
	}
	e.update(r, e.set.Replace(r.at, items, at))
}

func (e *evacuations) apply(r reading, events []platform.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range events {
		if !ev.Deleted {
			e.checkKey(ev.Item)
		}
	}
	e.update(r, e.set.Apply(r.at, events))
}

// checkKey warns of an item that was meant to evacuate a failure domain and names none.
func (e *evacuations) checkKey(i platform.Item) {
	if i.Key == e.set.Prefix() {
		e.log.Warn().Str("key", i.Key).Stringer("revision", i.Revision).Msg("evacuation ignored: its key names no failure domain")
	}
}

// update applies changes to the pools and logs them. The caller holds e.mu.
func (e *evacuations) update(r reading, changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	domains := make(map[string]bool)
	for _, d := range e.set.Domains() {
		domains[d] = true
	}
	e.pools.evacuate(r.at, domains)
	for _, c := range changes {
		evacuated := domains[c.Domain]
		switch {
		case !evacuated:
			delete(e.status, c.Domain)
		case e.status[c.Domain] == nil:
			e.status[c.Domain] = &evacuationStatus{since: r.at}
		}
		e.gauges(c.Domain, evacuated, e.pools.openRequests(c.Domain))
		line := e.log.Info()
		if c.Cause == evacuation.Lost || c.Cause == evacuation.Expired {
			line = e.log.Warn()
		}
		line.Str("evacuated_domain", c.Domain).Bool("evacuated", evacuated).Str("cause", string(c.Cause)).
			Stringer("revision", c.Revision).Str("origin", string(r.origin)).Dur("behind_ms", r.behind).
			Int("open_requests", e.pools.openRequests(c.Domain)).Msg("evacuation of a failure domain changed")
	}
}

// gauges updates the gauges of a failure domain that is or was evacuated.
func (e *evacuations) gauges(domain string, evacuated bool, open int) {
	scope := e.scope.Tagged(map[string]string{"evacuated_domain": domain})
	value := 0.0
	if evacuated {
		value = 1
	}
	scope.Gauge("evacuated").Update(value)
	scope.Gauge("evacuated_open_requests").Update(float64(open))
}

// tick ends evacuations that were lost and are not ordered again, and tells the operator when the
// requests in progress have ended, or that a failure domain is not known.
func (e *evacuations) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update(reading{at: now, origin: fromGracePeriod}, e.set.Tick(now))
	for domain, s := range e.status {
		open := e.pools.openRequests(domain)
		e.gauges(domain, true, open)
		if open == 0 && !s.loggedIdle {
			s.loggedIdle = true
			e.log.Info().Str("evacuated_domain", domain).Dur("after_ms", now.Sub(s.since)).
				Msg("no open request left in the evacuated failure domain")
		}
		if !s.warnedUnknown && now.Sub(s.since) > unknownDomainDelay && !e.pools.knowsDomain(domain) {
			s.warnedUnknown = true
			e.log.Warn().Str("evacuated_domain", domain).Msg("evacuated failure domain has no endpoints: it may not exist")
		}
	}
}

// operatorItems passes what the operator writes on to the configuration and the evacuations. A
// daemon that has read a configuration knows the evacuations of the same reading.
type operatorItems struct {
	*configuration
	evacuations *evacuations
}

func (o operatorItems) replace(r reading, items []platform.Item, at platform.Revision) {
	o.evacuations.replace(r, items, at)
	o.configuration.replace(r, items, at)
}

func (o operatorItems) apply(r reading, events []platform.Event, at platform.Revision) {
	o.evacuations.apply(r, events)
	o.configuration.apply(r, events, at)
}

// precedes implements consumer. Of the evacuations of two eras, that of the later one counts,
// also if the former was taken back: the operator sees it in the store and takes it back again.
func (o operatorItems) precedes(item, other platform.Item) bool {
	if _, ok := o.evacuations.set.DomainOf(item.Key); ok {
		return item.Revision < other.Revision
	}
	return o.configuration.precedes(item, other)
}
