package front

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// installedTable is a configuration with its store revision and the time of its
// installation.
type installedTable struct {
	*routing.Table
	installedAt time.Time
	revision    platform.Revision
}

// configuration holds the newest valid configuration. It never returns to an
// older one.
type configuration struct {
	wire      Wire
	log       zerolog.Logger
	onInstall func(*routing.Table)
	current   atomic.Pointer[installedTable]
}

// table returns the current configuration and the time since its installation.
func (c *configuration) table() (*routing.Table, time.Duration) {
	t := c.current.Load()
	if t == nil {
		return nil, 0
	}
	return t.Table, time.Since(t.installedAt)
}

func (c *configuration) replace(r reading, items []platform.Item, _ platform.Revision) {
	for _, i := range items {
		c.install(r, i)
	}
}

func (c *configuration) apply(r reading, events []platform.Event, _ platform.Revision) {
	for _, ev := range events {
		if ev.Deleted {
			c.log.Warn().Str("key", ev.Item.Key).Stringer("revision", ev.Item.Revision).
				Msg("configuration deleted; the last one stays")
			continue
		}
		c.install(r, ev.Item)
	}
}

// The current configuration stays in effect while the store is unreachable.
func (c *configuration) storeUnreachable() {}

func (c *configuration) storeReachable(time.Time) {}

func (c *configuration) storeRegained(time.Time) {}

func (c *configuration) install(r reading, i platform.Item) {
	if i.Key != c.wire.ConfigKey {
		return
	}
	old := c.current.Load()
	if old != nil && i.Revision <= old.revision {
		return
	}
	decoded, err := c.wire.DecodeConfig(i)
	var table *routing.Table
	if err == nil {
		table, err = routing.NewTable(decoded)
	}
	if err != nil {
		c.log.Error().Err(err).Stringer("revision", i.Revision).Msg("configuration refused; the last one stays")
		return
	}
	c.onInstall(table)
	c.current.Store(&installedTable{Table: table, installedAt: r.at, revision: i.Revision})
	var former int64
	if old != nil {
		former = old.Version
	}
	c.log.Info().Int64("version", table.Version).Int64("former", former).Stringer("revision", i.Revision).
		Int("routes", len(table.Routes)).Int("accounts", len(table.Accounts)).
		Str("origin", string(r.origin)).Dur("behind_ms", r.behind).Msg("configuration installed")
}
