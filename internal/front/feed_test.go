package front

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// gappedLog is a store whose first poll misses a change but reports a revision
// after it; the next poll finds the history compacted.
type gappedLog struct {
	polls int
	lists int
}

func (l *gappedLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	l.lists++
	if l.lists == 1 {
		return []platform.Item{{Key: "p/a", Value: []byte("1"), Revision: 1}}, 1, nil
	}
	return []platform.Item{{Key: "p/a", Value: []byte("2"), Revision: 5}}, 9, nil
}

func (*gappedLog) Probe(context.Context) error { return nil }

func (l *gappedLog) Poll(
	ctx context.Context, _ string, after platform.Revision, _ time.Duration,
) (platform.Changes, error) {
	l.polls++
	switch {
	case l.polls == 1:
		return platform.Changes{Revision: 7}, nil // the change at revision 5 is missing
	case after < 7 && l.lists == 1:
		return platform.Changes{}, platform.ErrCompacted
	}
	<-ctx.Done()
	return platform.Changes{}, platform.ErrUnavailable
}

// recorder is a consumer that sends each value it receives to a channel.
type recorder struct{ value chan string }

func (r recorder) replace(_ reading, items []platform.Item, _ platform.Revision) {
	for _, i := range items {
		r.value <- string(i.Value)
	}
}
func (r recorder) apply(_ reading, events []platform.Event, _ platform.Revision) {
	for _, ev := range events {
		r.value <- string(ev.Item.Value)
	}
}
func (recorder) precedes(platform.Item, platform.Item) bool { return false }
func (recorder) storeUnreachable()                          {}
func (recorder) storeReachable(time.Time)                   {}
func (recorder) storeRegained(time.Time)                    {}
func (recorder) storeReadByPeer()                           {}

// want waits for values in order, each for at most limit.
func (r recorder) want(t *testing.T, limit time.Duration, values ...string) {
	t.Helper()
	for _, want := range values {
		select {
		case got := <-r.value:
			if got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		case <-time.After(limit):
			t.Fatalf("%q did not arrive in time", want)
		}
	}
}

// fixedFleet is a fleet with a fixed number of other daemons, wide unless small, in which
// this daemon follows the store or not.
type fixedFleet struct {
	follows bool
	daemons int
	// followers is the number of followers of a wide fleet, 0 for that of 64 daemons.
	followers int
	small     bool
	broadcast chan *meshpb.Changes
}

func (f fixedFleet) Count() int { return f.daemons + 1 }
func (f fixedFleet) Followers() int {
	switch {
	case f.small:
		return f.daemons + 1
	case f.followers > 0:
		return f.followers
	}
	return 8
}
func (f fixedFleet) Wide() bool              { return !f.small }
func (f fixedFleet) FollowsStore() bool      { return f.follows }
func (f fixedFleet) PreferredFollower() bool { return f.follows }
func (f fixedFleet) Broadcast(c *meshpb.Changes) {
	if f.broadcast != nil {
		f.broadcast <- c
	}
}

// Guards against a change that is never applied because a watch missed it and the
// store reported a later revision.
func TestFeedDoesNotSkipWhatItMissed(t *testing.T) {
	r := recorder{value: make(chan string, 8)}
	f := newFeed("p/", &gappedLog{}, r, fixedFleet{follows: true}, func() {}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	r.want(t, 2*time.Second, "1", "2")
}

// Guards against a feed that fetches a peer's copy before its own watch could
// deliver the change, or never does.
func TestFeedFetchesWhenBehind(t *testing.T) {
	f := newFeed("p/", &gappedLog{}, recorder{value: make(chan string, 8)}, fixedFleet{follows: true},
		func() {}, zerolog.Nop())
	f.replace(fromList, []platform.Item{{Key: "p/a", Revision: 3}}, 4)
	now := time.Unix(100, 0)
	for _, c := range []struct {
		after   time.Duration
		changed platform.Revision
		want    bool
	}{
		{0, 4, false}, {0, 6, false}, {peerFetchDelay / 2, 6, false}, {peerFetchDelay, 6, true},
		{peerFetchDelay, 6, false}, {3 * peerFetchDelay, 4, false},
	} {
		if got := f.shouldFetch(now.Add(c.after), c.changed); got != c.want {
			t.Errorf("%v after the first digest, peer at %d: fetch %v, want %v", c.after, c.changed, got, c.want)
		}
	}
}

// Guards against a follower of the store that is replaced only seconds after it has lost the
// store: until then nobody in its failure domain learns of changes.
func TestFollowerThatLostTheStoreSaysSoAtOnce(t *testing.T) {
	store := memstore.New(nil)
	if _, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "p/a", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	r := recorder{value: make(chan string, 8)}
	f := newFeed("p/", store, r, fixedFleet{follows: true}, func() {}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	r.want(t, 2*time.Second, "1")
	if age := f.contactAge(time.Now()); age < 0 {
		t.Errorf("contact age %d ms while the store responds", age)
	}
	store.SetFaults(memstore.Faults{Outage: true})
	awaitCondition(t, "the feed has noticed the loss", f.failing.Load)
	if age := f.contactAge(time.Now()); age != -1 {
		t.Errorf("contact age %d ms after the loss, want -1", age)
	}
	store.SetFaults(memstore.Faults{})
	awaitCondition(t, "the store is back", func() bool { return f.contactAge(time.Now()) >= 0 })
}

// Guards against a daemon that reads the store although others follow it, and
// against one that misses what they broadcast: changes in the message, changes too
// large for a message, and changes that leave a gap after its own revision.
func TestFeedOfADaemonThatDoesNotFollow(t *testing.T) {
	store := memstore.New(nil)
	put := func(value string, expected platform.Revision) platform.Revision {
		t.Helper()
		item, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "p/a", Value: []byte(value), Expected: expected})
		if err != nil {
			t.Fatal(err)
		}
		return item.Revision
	}
	first := put("1", 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pushed := make(chan *meshpb.Changes, 8)
	followerRead := recorder{value: make(chan string, 8)}
	follower := newFeed("p/", store, followerRead, fixedFleet{follows: true, broadcast: pushed}, func() {}, zerolog.Nop())
	got := recorder{value: make(chan string, 8)}
	f := newFeed("p/", store, got, fixedFleet{}, func() {}, zerolog.Nop())
	go follower.run(ctx)
	go f.run(ctx)
	got.want(t, 2*time.Second, "1")
	// A follower that first reads the store after the write has no change to push.
	followerRead.want(t, 2*time.Second, "1")
	second := put("2", first)
	c := <-pushed
	select {
	case v := <-got.value:
		t.Fatalf("%q was read from the store before a message arrived", v)
	case <-time.After(2 * followCheckInterval):
	}
	f.receive(time.Now(), c)
	got.want(t, 2*time.Second, "2")
	noise := make([]byte, 2*maxBroadcastBytes)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise)
	third := put(string(noise), second)
	large := <-pushed
	if len(large.Packed) > 0 {
		t.Error("changes above the limit are in the message")
	}
	f.receive(time.Now(), large)
	got.want(t, 2*time.Second, string(noise))
	put("4", third)
	f.receive(time.Now(), &meshpb.Changes{Prefix: "p/", Since: 1 << 40, Revision: 1<<40 + 1, Packed: c.Packed})
	got.want(t, 2*time.Second, "4")
}

// Guards against a daemon that does not follow the store and, after an outage of
// the store, removes expired entries without the grace period.
func TestRegainedStoreIsBroadcast(t *testing.T) {
	e := newEndpoints(func(i platform.Item) (discovery.Entry, bool) {
		return discovery.Entry{ID: i.Key, Service: "s"}, true
	}, newPools("z", zerolog.Nop(), tally.NoopScope), zerolog.Nop())
	f := newFeed("p/", &gappedLog{}, e, fixedFleet{}, func() {}, zerolog.Nop())
	f.replace(fromList, []platform.Item{{Key: "p/a", Revision: 3}}, 3)
	removal := platform.Event{Item: platform.Item{Key: "p/a", Revision: 5}, Deleted: true}
	packed, err := mesh.Pack(mesh.ChangeList{Events: []platform.Event{removal}})
	if err != nil {
		t.Fatal(err)
	}
	f.receive(time.Now(), &meshpb.Changes{Prefix: "p/", Since: 3, Revision: 5, BackAgeMs: 200, Packed: packed})
	if !e.pools.hasEndpoints() {
		t.Error("an entry that expired during the outage was removed immediately")
	}
	e.tick(time.Now().Add(3 * time.Second))
	if e.pools.hasEndpoints() {
		t.Error("an expired entry was not removed after the grace period")
	}
}

// slowLog is a store behind a slow link: its first poll fails, and the transfer of
// a change takes longer than probeTimeout.
type slowLog struct{ polls atomic.Int64 }

func (*slowLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	return []platform.Item{{Key: "p/a", Value: []byte("1"), Revision: 1}}, 1, nil
}

func (*slowLog) Probe(context.Context) error { return nil }

func (s *slowLog) Poll(
	ctx context.Context, prefix string, after platform.Revision, _ time.Duration,
) (platform.Changes, error) {
	if s.polls.Add(1) == 1 {
		return platform.Changes{}, platform.ErrUnavailable
	}
	if prefix != "p/" || after > 1 {
		pause.Sleep(ctx, 10*time.Millisecond)
		return platform.Changes{}, nil
	}
	pause.Sleep(ctx, probeTimeout+100*time.Millisecond)
	if ctx.Err() != nil {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return platform.Changes{
		Events: []platform.Event{{Item: platform.Item{Key: "p/a", Value: []byte("2"), Revision: 2}}}, Revision: 2,
	}, nil
}

// Guards against reading a large change within the timeout of a probe: after an
// outage, a daemon stayed 3.8 s behind a configuration with 1,520 more routes.
func TestFeedReadsLargeChangesAfterALoss(t *testing.T) {
	r := recorder{value: make(chan string, 8)}
	f := newFeed("p/", &slowLog{}, r, fixedFleet{follows: true}, func() {}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	r.want(t, 5*time.Second, "1", "2")
}

// Guards against followers in a wide fleet whose polls wait so long that the mesh
// replaces them (after 5 s without a response of the store).
func TestFollowersPollOften(t *testing.T) {
	f := newFeed("p/", &gappedLog{}, recorder{}, fixedFleet{follows: true, daemons: 63}, func() {}, zerolog.Nop())
	for range 100 {
		if wait := f.pollWait(); wait > 3*time.Second {
			t.Fatalf("the wait of a poll among 64 daemons is %v, want at most 3 s", wait)
		}
	}
}

// Guards against a daemon of a small fleet that hears of a leaving endpoint later than 2 s
// after the store does, because a watch heard nothing and the poll waited up to 2.1 s.
func TestSmallFleetsPollInTime(t *testing.T) {
	for _, daemons := range []int{1, 7, 9, 15} {
		f := newFeed("p/", &gappedLog{}, recorder{}, fixedFleet{follows: true, daemons: daemons - 1, small: true}, func() {}, zerolog.Nop())
		for range 200 {
			if wait := f.pollWait(); wait > 1500*time.Millisecond {
				t.Fatalf("the wait of a poll among %d daemons is %v, want at most 1.5 s", daemons, wait)
			}
		}
	}
}

// Guards against a registration that other daemons decode wrongly, also one without a
// failure domain.
func TestRegistration(t *testing.T) {
	for _, c := range []struct{ value, addr, domain string }{
		{string(registration("10.1.0.4:7340", "pos-a")), "10.1.0.4:7340", "pos-a"},
		{"10.1.0.4:7340", "10.1.0.4:7340", ""}, {"", "", ""},
	} {
		if addr, domain := decodeRegistration([]byte(c.value)); addr != c.addr || domain != c.domain {
			t.Errorf("%q decoded as %q in %q, want %q in %q", c.value, addr, domain, c.addr, c.domain)
		}
	}
}

// Guards against a daemon that, restarted while the store is lost, begins with the copy of
// a peer that lags: an endpoint that had left, or a key that had been withdrawn, would be
// in use again until it hears a peer that is up to date.
func TestRestartBeginsWithTheNewestCopy(t *testing.T) {
	f := newFeed("p/", &outageLog{}, recorder{}, fixedFleet{daemons: 3}, func() {}, zerolog.Nop())
	start := time.Now()
	if f.shouldFetch(start, 3) {
		t.Error("the copy of the first peer is fetched before others are heard")
	}
	if f.shouldFetch(start.Add(100*time.Millisecond), 9) {
		t.Error("a copy is fetched before all peers of a round are heard")
	}
	if f.shouldFetch(start.Add(peerFetchDelay), 3) {
		t.Error("the copy of a peer at 3 is fetched although another is at 9")
	}
	if !f.shouldFetch(start.Add(peerFetchDelay+10*time.Millisecond), 9) {
		t.Error("the newest copy is not fetched")
	}
	f.fetching = false
	if !f.shouldFetch(start.Add(maxNewestCopyWait+peerFetchDelay), 3) {
		t.Error("no copy is fetched if the peer with the newest one does not come back")
	}
}

// Guards against requests to an endpoint whose leaving a watch missed, by the sum of the steps that follow.
func TestPollsEndBeforeALeavingEndpointMustBeKnown(t *testing.T) {
	for _, c := range []struct {
		bound     time.Duration
		daemons   int
		followers int
	}{{2 * time.Second, 7, 7}, {3 * time.Second, 64, 8}, {4 * time.Second, 295, 12}, {3 * time.Second, 295, 12}, {1500 * time.Millisecond, 64, 8}} {
		fleet := fixedFleet{follows: true, daemons: c.daemons - 1, followers: c.followers, small: c.daemons <= 16}
		f := newFeed("p/", &gappedLog{}, recorder{}, fleet, func() {}, zerolog.Nop())
		f.setChangeBound(c.bound)
		rest := pollReadTime
		if fleet.Wide() {
			rest += passOnTime
		}
		for range 500 {
			if wait := f.pollWait(); wait+rest > c.bound {
				t.Errorf("%d daemons: a poll of %v and %v for the rest, but leaving endpoints must be known after %v", c.daemons, wait, rest, c.bound)
				break
			}
		}
	}
}
