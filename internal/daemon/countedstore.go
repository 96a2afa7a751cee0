package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// countedStore counts the calls to the store and their failures by call name.
type countedStore struct {
	platform.Store
	calls, failures map[string]tally.Counter
}

// storeCallNames are the values of the label "call". All counters are created at
// the start, so that the first failure is visible as an increase.
var storeCallNames = []string{
	"get", "list", "compare_and_swap", "delete", "watch", "grant_lease", "keep_alive", "revoke", "instances",
}

func newCountedStore(store platform.Store, scope tally.Scope) *countedStore {
	c := &countedStore{Store: store, calls: make(map[string]tally.Counter), failures: make(map[string]tally.Counter)}
	for _, name := range storeCallNames {
		tagged := scope.Tagged(map[string]string{"call": name})
		c.calls[name], c.failures[name] = tagged.Counter("store_calls"), tagged.Counter("store_failures")
	}
	return c
}

// count counts one call. A missing key and a write conflict are answers of a
// healthy store, and a cancelled call says nothing about the store, so none of
// them counts as a failure.
func (c *countedStore) count(name string, err error) {
	c.calls[name].Inc(1)
	var conflict *platform.ConflictError
	if err == nil || errors.Is(err, platform.ErrNotFound) || errors.As(err, &conflict) || errors.Is(err, context.Canceled) {
		return
	}
	c.failures[name].Inc(1)
}

// Get implements platform.Store.
func (c *countedStore) Get(ctx context.Context, key string) (platform.Item, error) {
	item, err := c.Store.Get(ctx, key)
	c.count("get", err)
	return item, err
}

// List implements platform.Store.
func (c *countedStore) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, err := c.Store.List(ctx, prefix)
	c.count("list", err)
	return items, err
}

// CompareAndSwap implements platform.Store.
func (c *countedStore) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	item, err := c.Store.CompareAndSwap(ctx, w)
	c.count("compare_and_swap", err)
	return item, err
}

// Delete implements platform.Store.
func (c *countedStore) Delete(ctx context.Context, key string, expected platform.Revision) error {
	err := c.Store.Delete(ctx, key, expected)
	c.count("delete", err)
	return err
}

// Watch implements platform.Store.
func (c *countedStore) Watch(ctx context.Context, prefix string, after platform.Revision) (<-chan platform.Event, error) {
	events, err := c.Store.Watch(ctx, prefix, after)
	c.count("watch", err)
	return events, err
}

// GrantLease implements platform.Store.
func (c *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	id, err := c.Store.GrantLease(ctx, ttl)
	c.count("grant_lease", err)
	return id, err
}

// KeepAlive implements platform.Store.
func (c *countedStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	err := c.Store.KeepAlive(ctx, id)
	c.count("keep_alive", err)
	return err
}

// Revoke implements platform.Store.
func (c *countedStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	err := c.Store.Revoke(ctx, id)
	c.count("revoke", err)
	return err
}

// Instances implements platform.Store.
func (c *countedStore) Instances(ctx context.Context) ([]platform.Instance, error) {
	list, err := c.Store.Instances(ctx)
	c.count("instances", err)
	return list, err
}

// updateGauges sets the gauges of the daemon as a whole.
func (b *backgroundTasks) updateGauges() {
	d := b.d
	ready := 0.0
	if d.Ready() {
		ready = 1
	}
	status := d.follower.Status()
	d.scope.Gauge("ready").Update(ready)
	d.scope.Gauge("requests_active").Update(float64(d.gateway.Active()))
	d.scope.Gauge("peers_live").Update(float64(d.Peers()))
	d.scope.Gauge("configuration_revision").Update(float64(status.Revision))
	d.scope.Gauge("configuration_age_seconds").Update(status.Age.Seconds())
}
