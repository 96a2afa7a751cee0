package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/route"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Timing and limits of reading the endpoints' own load reports.
const (
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
	// reportsPerRound limits the reports read every reportInterval. A report is
	// about 300 bytes, so 20 of them use 6 of the 21 KB/s that a daemon may use
	// for control traffic.
	reportsPerRound = 20
	maxReportBytes  = 4 << 10
	reportPath      = "/load"
)

// loadReport contains the fields of an endpoint's report that the daemon uses.
type loadReport struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
}

// reportTarget is an endpoint whose report is read.
type reportTarget struct{ id, addr, service string }

// readReports reads the reports of the next endpoints of this failure domain, in
// round-robin order. A report that can't be read is ignored, since the daemon's own
// observations show earlier that an endpoint is down.
func (b *backgroundTasks) readReports() {
	targets := b.reportTargets()
	if len(targets) == 0 {
		return
	}
	for range min(reportsPerRound, len(targets)) {
		t := targets[b.nextReport%len(targets)]
		b.nextReport++
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			if err := b.readReport(t); err != nil {
				b.d.log.Debug().Err(err).Str("peer", t.addr).Msg("load report not read")
			}
		}()
	}
}

func (b *backgroundTasks) reportTargets() []reportTarget {
	cfg := b.d.directory.Config()
	if cfg == nil {
		return nil
	}
	var list []reportTarget
	for id, e := range cfg.Endpoints {
		if e.Domain == b.d.settings.Instance.FailureDomain && e.State != config.StateLeaving {
			list = append(list, reportTarget{id: id, addr: e.Address, service: e.Service})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

func (b *backgroundTasks) readReport(t reportTarget) error {
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	resp, err := b.d.upstream.Do(ctx, upstream.Call{
		Endpoint: t.id, Addr: t.addr, Method: http.MethodGet, Path: reportPath, Header: http.Header{},
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var r loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return errors.Wrap(err, "decode load report")
	}
	age := max(0, time.Since(r.At))
	b.d.pools.RecordLoadReport(t.service, t.id, route.LoadReport{Running: r.Running, Waiting: r.Queued, Age: age})
	return nil
}
