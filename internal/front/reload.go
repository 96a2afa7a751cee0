package front

import (
	"github.com/azurehatch/azurehatch/internal/retry"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// Reload applies the settings that may change while the daemon runs: the bounds
// and the seeds. All others, such as addresses, regions and the bandwidth of the link, take effect at the
// next start, as do bounds that a flag or the environment overrides.
func (d *Daemon) Reload(s settings.Front) {
	for _, seed := range s.Listen.Seeds {
		d.mesh.Add(seed, "")
	}
	d.retryBudget.setOptions(retryOptions(s.Bounds))
	d.setBounds(s.Bounds)
	d.log.Info().Float64("retry_ratio", s.Bounds.RetryRatio).Float64("retry_slack", s.Bounds.RetrySlack).
		Dur("grace_ms", s.Bounds.Grace.Duration).Float64("cold_ratio", s.Bounds.ColdRatio).Float64("cold_slack", s.Bounds.ColdSlack).
		Msg("settings reloaded")
}

// setBounds applies the bounds that are not those of the retry budget. What the operator writes
// is read with the configuration: the shorter of its bounds holds for all of it.
func (d *Daemon) setBounds(b settings.Bounds) {
	d.grace.Store(int64(b.Grace.Duration))
	operatorBound := min(b.Configuration.Duration, b.Evacuation.Duration)
	d.maxOutdated.Store(int64(operatorBound / 2))
	d.configFeed.setChangeBound(operatorBound)
	d.endpointFeed.setChangeBound(b.Draining.Duration)
	d.pools.setColdBound(b.ColdRatio, b.ColdSlack)
}

func retryOptions(b settings.Bounds) retry.WindowOptions {
	return retry.WindowOptions{Ratio: b.RetryRatio, Slack: b.RetrySlack, Span: b.RetryWindow.Duration, UsableShare: retryMargin}
}
