package front

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/settings"
	wire "github.com/azurehatch/azurehatch/platform"
	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// startUnseeded starts a daemon that finds others by the store only. It reads the registrations again
// each findInterval, 0 for the usual interval.
func startUnseeded(t *testing.T, name string, store func(tally.Scope, func(net.Conn) net.Conn) Store, findInterval time.Duration) *Daemon {
	t.Helper()
	s := settings.DefaultFront()
	s.Instance = settings.FrontInstance{Name: name, FailureDomain: "z", FirstStart: true}
	s.Listen = settings.FrontListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Mesh: "127.0.0.1:0"}
	o := Options{Settings: s, Log: zerolog.Nop(), Wire: testWire, Store: store}
	if findInterval > 0 {
		o.findInterval = func(int) time.Duration { return findInterval }
	}
	d, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Guards against a daemon that stays unknown to all others, and grants permits beside them, because the
// response to the write of its registration is lost.
func TestDaemonsFindEachOtherAfterALostRegistrationResponse(t *testing.T) {
	standIn := platformtest.NewStore()
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	store := func(scope tally.Scope, wrap func(net.Conn) net.Conn) Store {
		return wire.NewStore(strings.TrimPrefix(server.URL, "http://"), wire.StoreOptions{Scope: scope, Wrap: wrap})
	}
	first := startUnseeded(t, "d1", store, 0)
	awaitCondition(t, "the first daemon is registered", func() bool { return first.otherDaemons() >= 0 })
	standIn.SetFaults(memstore.Faults{LoseAnswers: 1})
	second := startUnseeded(t, "d2", store, 0)
	awaitCondition(t, "the daemons know each other", func() bool {
		return first.mesh.Count() == 2 && second.mesh.Count() == 2
	})
	if standIn.Faults().LoseAnswers > 0 {
		t.Error("no response was lost")
	}
}

// Guards against daemons that forget each other in a long cut and stay apart after it: nothing but the
// registrations tells one of the other then.
func TestForgottenDaemonsFindEachOther(t *testing.T) {
	const interval = 100 * time.Millisecond
	stores := []*memstore.Store{memstore.New(nil), memstore.New(nil)}
	var daemons []*Daemon
	for i, s := range stores {
		d := startUnseeded(t, fmt.Sprint("d", i), func(tally.Scope, func(net.Conn) net.Conn) Store { return s }, interval)
		awaitCondition(t, "the daemon is registered", func() bool { return d.otherDaemons() == 0 })
		daemons = append(daemons, d)
	}
	// A daemon that has ended is registered as well. It must not count as a peer.
	for name, addr := range map[string]string{"d1": daemons[1].mesh.Addr, "ended": "127.0.0.1:1"} {
		write := platform.Write{Key: registryPrefix + name, Value: registration(addr, "z")}
		if _, err := stores[0].CompareAndSwap(t.Context(), write); err != nil {
			t.Fatal(err)
		}
	}
	awaitCondition(t, "the daemons know each other", func() bool {
		return daemons[0].mesh.Count() == 2 && daemons[1].mesh.Count() == 2
	})
	if n := len(daemons[0].mesh.Members()); n != 1 {
		t.Errorf("%d peers, want 1", n)
	}
}

// Guards against a daemon whose registration is gone, which daemons that start later do not find.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	s := memstore.New(nil)
	store := func(tally.Scope, func(net.Conn) net.Conn) Store { return s }
	d := startUnseeded(t, "d1", store, 100*time.Millisecond)
	awaitCondition(t, "the daemon is registered", func() bool { return d.otherDaemons() >= 0 })
	item, err := s.Get(t.Context(), registryPrefix+"d1")
	if err == nil {
		err = s.Delete(t.Context(), item.Key, item.Revision)
	}
	if err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "it is registered again", func() bool {
		_, err := s.Get(t.Context(), registryPrefix+"d1")
		return err == nil
	})
}

// Guards against reads of the registrations that grow with the fleet, and against a fleet that finds
// forgotten daemons later the larger it is.
func TestReadsOfRegistrationsAreShared(t *testing.T) {
	for _, c := range []struct {
		daemons int
		want    time.Duration
	}{{1, minFindInterval}, {4, minFindInterval}, {7, 7 * sharedFindInterval}, {300, 300 * sharedFindInterval}} {
		if got := findInterval(c.daemons); got != c.want {
			t.Errorf("%d daemons: %v, want %v", c.daemons, got, c.want)
		}
	}
}
