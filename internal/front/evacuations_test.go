package front

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/platform"
	wire "github.com/azurehatch/azurehatch/platform"
)

// twoDomains adds endpoints of the service desk in two failure domains to a fleet.
func (f *fleet) twoDomains() (z0, z1 *cappedEndpoint) {
	known := func(n int) func() bool {
		return func() bool {
			for _, d := range f.daemons {
				if d.pools.available("desk") != n {
					return false
				}
			}
			return true
		}
	}
	// With the former endpoint, two would be known before both new ones are.
	f.remove("servers/i-2")
	f.eventually("no daemon knows the former endpoint", known(0))
	z0, z1 = f.startCapped(""), f.startCapped("")
	for domain, e := range map[string]*cappedEndpoint{"z0": z0, "z1": z1} {
		f.put("servers/desk-"+domain, map[string]any{"service": "desk", "address": e.addr, "zone": domain, "slots": 6, "state": "ready"})
	}
	f.eventually("all daemons know both endpoints", known(2))
	return z0, z1
}

// evacuated reports whether all daemons follow an evacuation, or its end.
func (f *fleet) evacuated(domain string, want bool) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			d.pools.mu.Lock()
			got := d.pools.evacuated[domain]
			d.pools.mu.Unlock()
			if got != want {
				return false
			}
		}
		return true
	}
}

// sendOnlyTo sends requests to all daemons and checks that one of two endpoints gets all of them.
func (f *fleet) sendOnlyTo(step string, used, unused *cappedEndpoint) {
	f.t.Helper()
	start := time.Now()
	const n = 24
	for i := range n {
		if status := f.send(i%len(f.daemons), "/order/x", false); status != http.StatusOK {
			f.t.Errorf("%s: status %d", step, status)
		}
	}
	if got, other := used.between(start, time.Now()), unused.between(start, time.Now()); got != n || other != 0 {
		f.t.Errorf("%s: %d requests at the endpoint in use and %d at the other, want %d and 0", step, got, other, n)
	}
}

// Guards against requests to an evacuated failure domain from any daemon, also one that starts
// meanwhile or is cut off from the store; against callers that wait where no endpoint is left;
// and against a failure domain that stays empty after it is taken back.
func TestEvacuation(t *testing.T) {
	f := newFleet(t, 1_000_000)
	z0, z1 := f.twoDomains()
	f.putRaw(wire.EvacuationPrefix+"z0", "[\xff") // the key alone counts
	f.putRaw(wire.EvacuationPrefix+"nowhere", "{}")
	f.putRaw(wire.EvacuationPrefix, "{}")
	f.eventually("all daemons follow the evacuation", f.evacuated("z0", true))
	f.sendOnlyTo("z0 evacuated", z1, z0)
	start := time.Now()
	if status := f.send(0, "/plan/x", true); status != http.StatusServiceUnavailable || time.Since(start) > time.Second {
		t.Errorf("a request whose endpoints are all evacuated got status %d after %v", status, time.Since(start))
	}
	f.daemons[1].Close()
	f.start(1, false)
	f.eventually("a daemon that starts serves", func() bool { return f.send(1, "/order/x", false) == http.StatusOK })
	f.sendOnlyTo("after the start of a daemon", z1, z0)

	f.stores[2].partitioned.Store(true)
	f.putRaw(wire.EvacuationPrefix+"z1", "{}")
	f.remove(wire.EvacuationPrefix + "z0")
	f.eventually("also the daemon that is cut off follows", func() bool { return f.evacuated("z0", false)() && f.evacuated("z1", true)() })
	f.sendOnlyTo("z1 evacuated, one daemon cut off", z0, z1)
	f.remove(wire.EvacuationPrefix + "z1")
	f.eventually("requests go to both again", func() bool {
		since := time.Now()
		f.send(1, "/order/x", false)
		return f.evacuated("z1", false)() && z1.between(since, time.Now()) > 0
	})
}

// Guards against a restored store that ends an evacuation, or keeps one in force that the operator
// takes back.
func TestEvacuationInARestoredStore(t *testing.T) {
	f := newFleet(t, 1_000_000)
	z0, z1 := f.twoDomains()
	before := f.store.Copy()
	f.putRaw(wire.EvacuationPrefix+"z0", "{}")
	f.eventually("all daemons follow the evacuation", f.evacuated("z0", true))
	during := f.store.Copy()
	f.restore(before)
	f.sendOnlyTo("the copy lacks the evacuation", z1, z0)
	f.putRaw(wire.EvacuationPrefix+"z0", "{}")
	f.remove(wire.EvacuationPrefix + "z0")
	f.eventually("it is taken back", f.evacuated("z0", false))
	f.restore(during)
	f.eventually("the copy's evacuation is followed", f.evacuated("z0", true))
	f.remove(wire.EvacuationPrefix + "z0")
	f.eventually("it is taken back again", f.evacuated("z0", false))
}

// Guards against a removal that a follower or a peer derived from a restored store's list and that
// ends an evacuation, and against one within an era that doesn't.
func TestEvacuationsAcrossEras(t *testing.T) {
	c := &configuration{wire: Wire{ConfigKey: wire.ConfigKey, DecodeConfig: wire.DecodeConfig}, log: zerolog.Nop()}
	p := newPools("z", zerolog.Nop(), tally.NoopScope)
	e := newEvacuations(wire.EvacuationPrefix, p, zerolog.Nop(), tally.NoopScope)
	f := newFeed(wire.ConfigPrefix, nil, operatorItems{c, e}, fixedFleet{}, func() {}, zerolog.Nop())
	order := func(at platform.Revision) platform.Item {
		return platform.Item{Key: wire.EvacuationPrefix + "z0", Value: []byte("{}"), Revision: at}
	}
	for n, step := range []struct {
		from  origin
		items []platform.Item
		at    platform.Revision
		want  bool
	}{
		{fromPush, []platform.Item{order(5)}, 5, true},
		{fromPush, nil, inEra(1, 3), true},
		{fromPeerCopy, nil, inEra(1, 4), true},
		{fromPeerCopy, []platform.Item{order(5)}, 6, true}, // a copy of the former era
		{fromPush, []platform.Item{order(inEra(1, 6))}, inEra(1, 6), true},
		{fromPush, nil, inEra(1, 7), false},
		{fromList, []platform.Item{order(inEra(2, 4))}, inEra(2, 5), true},
		{fromPeerCopy, nil, inEra(2, 6), false},
	} {
		if step.from == fromPush {
			list := mesh.ChangeList{Listed: true}
			for _, i := range step.items {
				list.Keys, list.Events = append(list.Keys, i.Key), append(list.Events, platform.Event{Item: i})
			}
			f.applyPushed(list, step.at)
		} else {
			f.replace(step.from, step.items, step.at)
		}
		if p.evacuated["z0"] != step.want {
			t.Errorf("step %d: evacuated %v, want %v", n, !step.want, step.want)
		}
	}
}

// Guards against requests that leave the regions of their account or their route, and against
// callers that wait where no endpoint is in them.
func TestRegionsOfRoutesAndAccounts(t *testing.T) {
	f := newFleet(t, 1_000_000)
	z0, z1 := f.twoDomains()
	configure := func(version int, route, account []string) {
		f.put(wire.ConfigKey, map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "order", "host": "h", "prefix": "/order/", "route_type": "unsafe", "timeout_ms": 3000, "service": "desk", "allowed_regions": route,
			}},
			"services": []map[string]any{{"name": "desk"}},
			"tenants":  []map[string]any{{"name": "t", "api_keys": []string{"k"}, "allowed_regions": account}},
		})
		f.eventually(fmt.Sprint("version ", version), func() bool {
			for _, d := range f.daemons {
				if d.config.version() != int64(version) {
					return false
				}
			}
			return true
		})
	}
	configure(2, []string{"south"}, nil)
	f.sendOnlyTo("route bound to z1", z1, z0)
	configure(3, []string{"north", "south"}, []string{"north"})
	f.sendOnlyTo("account bound to z0", z0, z1)
	configure(4, []string{"north"}, []string{"south"})
	start := time.Now()
	if status := f.send(0, "/order/x", false); status != http.StatusServiceUnavailable || time.Since(start) > time.Second {
		t.Errorf("a request without an endpoint in its regions got status %d after %v", status, time.Since(start))
	}
}
