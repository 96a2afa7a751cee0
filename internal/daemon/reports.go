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

// Reading of the endpoints' own load reports.
const (
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
	// reportsPerRound bounds the reports read each second. A report is about
	// 300 bytes, so that 20 cost 6 of the daemon's 21 KB/s of control traffic.
	reportsPerRound = 20
	maxReportBytes  = 4 << 10
	reportPath      = "/load"
)

// loadReport is the part of an endpoint's report that is used.
type loadReport struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
}

// target is an endpoint whose report is read.
type target struct{ id, addr, service string }

// readReports reads the reports of the next endpoints of this failure domain,
// in turn. A report that can't be read is left out: the daemon's own
// observations tell sooner that an endpoint is down.
func (c *control) readReports() {
	targets := c.targets()
	if len(targets) == 0 {
		return
	}
	for range min(reportsPerRound, len(targets)) {
		t := targets[c.nextReport%len(targets)]
		c.nextReport++
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if err := c.readReport(t); err != nil {
				c.d.log.Debug().Err(err).Str("peer", t.addr).Msg("load report not read")
			}
		}()
	}
}

func (c *control) targets() []target {
	cfg := c.d.directory.Config()
	if cfg == nil {
		return nil
	}
	var list []target
	for id, e := range cfg.Endpoints {
		if e.Domain == c.d.s.Instance.FailureDomain && e.State != config.StateLeaving {
			list = append(list, target{id: id, addr: e.Address, service: e.Service})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

func (c *control) readReport(t target) error {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	resp, err := c.d.upstream.Do(ctx, upstream.Call{
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
	c.d.pools.RecordLoadReport(t.service, t.id, route.LoadReport{Running: r.Running, Waiting: r.Queued, Age: age})
	return nil
}
