package front

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// endpoints keeps the list of endpoints and applies its changes to the pools.
type endpoints struct {
	pools *pools
	log   zerolog.Logger

	mu   sync.Mutex
	list *discovery.Table
	// listed is true once the first list has been applied.
	listed bool
}

func newEndpoints(decode discovery.Decode, p *pools, log zerolog.Logger) *endpoints {
	return &endpoints{pools: p, log: log, list: discovery.NewTable(decode)}
}

func (e *endpoints) replace(r reading, items []platform.Item, at platform.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyToPools(r, e.list.Replace(r.at, items, at))
	e.listed = true
}

func (e *endpoints) apply(r reading, events []platform.Event, at platform.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyToPools(r, e.list.Apply(r.at, events, at))
}

func (e *endpoints) storeUnreachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.StoreUnreachable()
}

func (e *endpoints) storeReachable(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.StoreReachable(now)
}

func (e *endpoints) storeRegained(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.StoreRegainedByPeer(at)
}

func (e *endpoints) storeReadByPeer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.StoreReadByPeer()
}

func (e *endpoints) precedes(item, other platform.Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list.Precedes(item, other)
}

func (e *endpoints) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyToPools(reading{at: now, origin: fromGracePeriod}, e.list.Tick(now))
}

func (e *endpoints) applyToPools(r reading, changes []discovery.Change) {
	for _, d := range e.list.TakeDeferred() {
		regained := -time.Millisecond
		if !d.RegainedAt.IsZero() {
			regained = r.at.Sub(d.RegainedAt)
		}
		e.log.Info().Str("endpoint", d.Entry.ID).Str("service", d.Entry.Service).Stringer("revision", d.Revision).
			Str("origin", string(r.origin)).Bool("store_unreachable", d.StoreUnreachable).
			Int64("store_regained_ms", regained.Milliseconds()).Dur("for_ms", d.Until.Sub(r.at)).
			Msg("removal of an endpoint deferred: its entry may have expired in an outage of the store")
	}
	kinds := map[discovery.ChangeKind]string{
		discovery.Put: "put", discovery.Restarted: "restarted", discovery.Removed: "removed",
	}
	for _, c := range changes {
		e.log.Info().Str("endpoint", c.Entry.ID).Str("service", c.Entry.Service).Str("peer", c.Entry.Addr).
			Bool("leaving", c.Entry.Leaving).Stringer("revision", c.Revision).Str("change", kinds[c.Kind]).
			Str("origin", string(r.origin)).Dur("behind_ms", r.behind).Msg("endpoint changed")
		endpoint := balance.Endpoint{
			ID: c.Entry.ID, Addr: c.Entry.Addr, Domain: c.Entry.Domain, Slots: c.Entry.Slots, Leaving: c.Entry.Leaving,
			Incarnation: c.Entry.Incarnation,
		}
		e.pools.applyChange(c.Kind, c.Entry.Service, endpoint)
		if c.Kind != discovery.Removed {
			e.pools.recordEntry(c.Entry.Service, endpoint, balance.Report{
				Sequence: c.Entry.Sequence, ColdFor: c.Entry.ColdFor, Initial: !e.listed,
			})
		}
	}
}
