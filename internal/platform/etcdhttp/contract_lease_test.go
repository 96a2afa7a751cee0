package etcdhttp_test

import (
	"context"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

func testLeases(t *testing.T, b backend) {
	grant := func(key string) platform.LeaseID {
		id, err := b.GrantLease(t.Context(), 10*time.Second)
		wantErr(t, "grant", err, nil)
		put(t, b, platform.Write{Key: key, OpID: key, Lease: id})
		return id
	}
	exists := func(key string, want error) {
		t.Helper()
		_, err := b.Get(t.Context(), key)
		wantErr(t, key, err, want)
	}
	kept, unrefreshed, revoked, forced := grant("kept"), grant("unrefreshed"), grant("revoked"), grant("forced")
	wantErr(t, "revoke", b.Revoke(t.Context(), revoked), nil)
	wantErr(t, "second revoke", b.Revoke(t.Context(), revoked), nil)
	b.data.ExpireLease(forced)
	exists("revoked", platform.ErrNotFound)
	exists("forced", platform.ErrNotFound)
	b.clock.add(6 * time.Second)
	wantErr(t, "keep alive", b.KeepAlive(t.Context(), kept), nil)
	exists("unrefreshed", nil)
	b.clock.add(6 * time.Second)
	exists("kept", nil)
	exists("unrefreshed", platform.ErrNotFound)
	wantErr(t, "keep alive of an expired lease", b.KeepAlive(t.Context(), unrefreshed), platform.ErrLeaseExpired)
	_, err := b.CompareAndSwap(t.Context(), platform.Write{Key: "late", OpID: "1", Lease: unrefreshed})
	wantErr(t, "write with an expired lease", err, platform.ErrLeaseExpired)
}

func testWatch(t *testing.T, b backend) {
	first := put(t, b, platform.Write{Key: "a/old", OpID: "1"})
	replayed := put(t, b, platform.Write{Key: "a/1", OpID: "2", Value: []byte("v")})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, err := b.Watch(ctx, "a/", first.Revision)
	wantErr(t, "watch", err, nil)
	put(t, b, platform.Write{Key: "b/1", OpID: "3"})
	live := put(t, b, platform.Write{Key: "a/2", OpID: "4", Value: []byte("w")})
	wantErr(t, "delete", b.Delete(t.Context(), "a/1", replayed.Revision), nil)
	want := []platform.Event{
		{Item: replayed}, {Item: live},
		{Item: platform.Item{Key: "a/1", Revision: live.Revision + 1}, Deleted: true},
	}
	for _, ev := range want {
		wantSame(t, "event", ev, <-events)
	}
	cancel()
	if ev, open := <-events; open {
		t.Errorf("event %+v after the end of the watch", ev)
	}
}

func testBrokenWatch(t *testing.T, b backend) {
	events, err := b.Watch(t.Context(), "", 0)
	wantErr(t, "watch", err, nil)
	first := put(t, b, platform.Write{Key: "k", OpID: "1"})
	wantSame(t, "event", platform.Event{Item: first}, <-events)
	b.data.SetFaults(memstore.Faults{Outage: true})
	wantErr(t, "last event", (<-events).Err, platform.ErrUnavailable)
	if ev, open := <-events; open {
		t.Errorf("event %+v after the last one", ev)
	}
	_, err = b.Watch(t.Context(), "", first.Revision)
	wantErr(t, "watch in an outage", err, platform.ErrUnavailable)
	b.data.SetFaults(memstore.Faults{})
	second := put(t, b, platform.Write{Key: "k", OpID: "2", Expected: first.Revision})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, err = b.Watch(ctx, "", first.Revision)
	wantErr(t, "restarted watch", err, nil)
	wantSame(t, "event after the restart", platform.Event{Item: second}, <-events)
}

func testCompactedRevision(t *testing.T, b backend) {
	rev := platform.Revision(0)
	for range 9000 { // exceeds the length of memstore's history
		item, err := b.data.CompareAndSwap(t.Context(), platform.Write{Key: "azurehatch/k", Expected: rev})
		if err != nil {
			t.Fatal(err)
		}
		rev = item.Revision
	}
	// The store may refuse the watch or end it immediately with an error.
	events, err := b.Watch(t.Context(), "", 1)
	if err == nil {
		err = (<-events).Err
	}
	wantErr(t, "watch from a compacted revision", err, platform.ErrUnavailable)
}

func testOutage(t *testing.T, b backend) {
	b.data.SetFaults(memstore.Faults{Outage: true})
	ctx := t.Context()
	_, get := b.Get(ctx, "k")
	_, list := b.List(ctx, "")
	_, swap := b.CompareAndSwap(ctx, platform.Write{Key: "k", OpID: "1"})
	_, watch := b.Watch(ctx, "", 0)
	_, grant := b.GrantLease(ctx, time.Second)
	_, instances := b.Instances(ctx)
	for what, err := range map[string]error{
		"get": get, "list": list, "swap": swap, "watch": watch, "grant": grant, "instances": instances,
		"delete": b.Delete(ctx, "k", 0), "keep alive": b.KeepAlive(ctx, 1), "revoke": b.Revoke(ctx, 1),
	} {
		wantErr(t, what, err, platform.ErrUnavailable)
	}
}

func testInstances(t *testing.T, b backend) {
	d1 := platform.Instance{
		ID: "d1", Addr: "127.0.0.1:1", Domain: "fd-1", Region: "r", Role: platform.RoleDaemon, State: platform.InstanceLive,
	}
	e1 := platform.Instance{ID: "e1", Addr: "127.0.0.1:2", Role: platform.RoleEngine, State: platform.InstanceLeaving}
	b.data.SetFaults(memstore.Faults{ListLagMillis: 2000})
	b.data.SetInstance(e1)
	b.data.SetInstance(d1)
	check := func(what string, want ...platform.Instance) {
		t.Helper()
		got, err := b.Instances(t.Context())
		wantErr(t, what, err, nil)
		wantSame(t, what, want, got)
	}
	check("within the lag")
	b.clock.add(2 * time.Second)
	check("after the lag", d1, e1)
	b.data.RemoveInstance("e1")
	b.clock.add(2 * time.Second)
	check("after a removal", d1)
}
