package front

import (
	"bytes"
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
	item        platform.Item
}

// configuration holds the newest valid configuration. It never returns to an
// older one.
type configuration struct {
	wire Wire
	log  zerolog.Logger
	// regions holds the region of each failure domain.
	regions   map[string]string
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

// version returns the current version, 0 if there is none.
func (c *configuration) version() int64 {
	t := c.current.Load()
	if t == nil {
		return 0
	}
	return t.Version
}

// precedes implements consumer: the operators' versions increase. An item that can't be
// decoded precedes each valid one.
func (c *configuration) precedes(item, other platform.Item) bool {
	if item.Key != c.wire.ConfigKey {
		return false
	}
	later, err := c.wire.DecodeConfig(other)
	if err != nil {
		return false
	}
	earlier, err := c.wire.DecodeConfig(item)
	return err != nil || earlier.Version < later.Version
}

func (c *configuration) replace(r reading, items []platform.Item, _ platform.Revision) {
	for _, i := range items {
		c.install(r, i)
	}
}

func (c *configuration) apply(r reading, events []platform.Event, _ platform.Revision) {
	for _, ev := range events {
		if ev.Item.Key != c.wire.ConfigKey {
			continue
		}
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

func (c *configuration) storeReadByPeer() {}

func (c *configuration) install(r reading, i platform.Item) {
	if i.Key != c.wire.ConfigKey {
		return
	}
	old := c.current.Load()
	if old != nil && (i.Revision == old.item.Revision || bytes.Equal(i.Value, old.item.Value)) {
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
	if old != nil && (table.Version < old.Version || table.Version == old.Version && i.Revision < old.item.Revision) {
		c.log.Warn().Int64("version", table.Version).Int64("current", old.Version).Stringer("revision", i.Revision).
			Stringer("current_revision", old.item.Revision).Msg("older version of the configuration not installed")
		return
	}
	c.bindRegions(table)
	c.onInstall(table)
	c.current.Store(&installedTable{Table: table, installedAt: r.at, item: i})
	var former int64
	if old != nil {
		former = old.Version
	}
	c.log.Info().Int64("version", table.Version).Int64("former", former).Stringer("revision", i.Revision).
		Int("routes", len(table.Routes)).Int("accounts", len(table.Accounts)).
		Str("origin", string(r.origin)).Dur("behind_ms", r.behind).Msg("configuration installed")
}

// maxRegionWarnings bounds the log lines about regions of one version of the configuration.
const maxRegionWarnings = 10

// bindRegions resolves the regions in a configuration. One without failure domains is most
// likely misspelled, but the rest of the configuration has to come into force.
func (c *configuration) bindRegions(t *routing.Table) {
	unknown := t.BindRegions(c.regions)
	for _, u := range unknown[:min(len(unknown), maxRegionWarnings)] {
		c.log.Warn().Int64("version", t.Version).Str("owner", u.Owner).Str("region", u.Region).Int("regions_unknown", len(unknown)).
			Msg("configuration names a region without failure domains")
	}
}
