package orders

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
)

const (
	// maxConcurrentReads limits the endpoints read at the same time for a
	// status request.
	maxConcurrentReads = 32
	// maxStatusAge is the maximum age of reports that are shown to operators.
	maxStatusAge = 5 * time.Second
	// resumeAttempts limits the writes of Resume if they conflict with those of
	// other operators.
	resumeAttempts = 4
)

// Status implements admin.Orders. Every daemon can answer, whichever holds the
// duty, because it reads the records in the store and the endpoints.
func (m *Manager) Status(ctx context.Context, service string) ([]admin.ServiceOrders, error) {
	c := m.config.Load()
	if c == nil {
		return []admin.ServiceOrders{}, nil
	}
	if service != "" {
		if !hasOrders(c.Services[service]) {
			return nil, errors.Wrapf(platform.ErrNotFound, "service %q has no version and no adapters", service)
		}
		return m.Preview(ctx, c, []string{service})
	}
	var names []string
	for name := range c.Services {
		names = append(names, name)
	}
	return m.Preview(ctx, c, names)
}

// Preview implements admin.Orders.
func (m *Manager) Preview(ctx context.Context, c *config.Config, services []string) ([]admin.ServiceOrders, error) {
	sort.Strings(services)
	list := []admin.ServiceOrders{}
	for _, name := range services {
		if !hasOrders(c.Services[name]) {
			continue
		}
		s, err := m.serviceStatus(ctx, c, name)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// serviceStatus returns the status and the plan of one service for a
// configuration.
func (m *Manager) serviceStatus(ctx context.Context, c *config.Config, name string) (admin.ServiceOrders, error) {
	d, endpoints := desiredOf(name, c.Services[name]), endpointsOf(c, name)
	record, err := m.readRecord(ctx, name)
	if err != nil {
		return admin.ServiceOrders{}, failure.At(err, "orders.status", storePeer)
	}
	if d.Resume, _, err = m.readResume(ctx, name); err != nil {
		return admin.ServiceOrders{}, failure.At(err, "orders.status", storePeer)
	}
	duty, err := m.opts.Store.Get(ctx, lease.KeyPrefix+order.DutyPrefix+name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return admin.ServiceOrders{}, failure.At(err, "orders.status", storePeer)
	}
	reports := m.readEndpoints(ctx, endpoints)
	observed := make([]order.Observed, len(endpoints))
	out := admin.ServiceOrders{
		Service: name, Model: d.Model, Version: d.Version, Adapters: d.Adapters,
		Holder: string(duty.Value), Fence: int64(duty.Revision),
		IgnoresFencing: c.Services[name].IgnoresFencing, Plan: []admin.PlannedOrder{}, Orders: []admin.OpenOrder{},
	}
	listed := m.leavingAddrs()
	for i, e := range endpoints {
		leaving := e.leaving || listed[e.addr]
		observed[i] = reports[i].observedState(d, e, leaving)
		switch {
		case leaving:
		case !reports[i].reachable:
			out.Unreachable = append(out.Unreachable, e.id)
		case !reports[i].healthy:
			out.Unhealthy = append(out.Unhealthy, e.id)
		}
	}
	p := order.NewProgress(d, observed, record)
	out.Total, out.Ready, out.Open, out.Unknown, out.Failed = p.Total, p.Ready, p.Open, p.Unknown, p.Failed
	if p.Halt != nil {
		out.Halt = &admin.Halt{
			Version: p.Halt.Version, Reason: p.Halt.Reason, At: p.Halt.At, Resumed: d.Resume > p.Halt.Resume,
		}
	}
	for _, step := range order.Plan(d, observed, record, time.Now()) {
		out.Plan = append(out.Plan, admin.PlannedOrder{
			Step: step.Step, Endpoint: step.Endpoint, Kind: string(step.Action.Kind), Value: step.Action.Value,
			WaitsFor: step.WaitsFor, Risk: step.Risk,
		})
	}
	for _, o := range record.Orders {
		if o.Open() {
			out.Orders = append(out.Orders, admin.OpenOrder{
				ID: o.ID, Endpoint: o.Endpoint, Kind: string(o.Action.Kind), Value: o.Action.Value,
				State: string(o.State), At: o.At, Detail: o.Detail,
			})
		}
	}
	return out, nil
}

func (m *Manager) readRecord(ctx context.Context, service string) (*order.Record, error) {
	item, err := m.opts.Store.Get(ctx, order.KeyPrefix+service)
	if errors.Is(err, platform.ErrNotFound) {
		return &order.Record{Service: service}, nil
	}
	if err != nil {
		return nil, err
	}
	return order.Unmarshal(item.Value)
}

// readEndpoints returns the reports of the endpoints. It reads those without a
// report of at most maxStatusAge.
func (m *Manager) readEndpoints(ctx context.Context, endpoints []endpoint) []endpointReport {
	m.statusMu.Lock()
	defer m.statusMu.Unlock()
	now := time.Now()
	for addr, r := range m.statusReports {
		if now.Sub(r.startedAt) > maxStatusAge {
			delete(m.statusReports, addr)
		}
	}
	list := make([]endpointReport, len(endpoints))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for i, e := range endpoints {
		if r, ok := m.statusReports[e.addr]; ok {
			list[i] = r
			continue
		}
		g.Go(func() error {
			list[i] = m.readEndpoint(ctx, e)
			return nil
		})
	}
	// The reports show which endpoints did not answer.
	_ = g.Wait()
	for i, e := range endpoints {
		// A read may have failed because the operator cancelled the request, so
		// failures are not cached.
		if list[i].reachable {
			m.statusReports[e.addr] = list[i]
		}
	}
	return list
}

// Resume implements admin.Orders. The number that it writes is derived from the
// halt, so a repeated call for the same halt has no further effect.
func (m *Manager) Resume(ctx context.Context, service string) error {
	const step = "orders.resume"
	if c := m.config.Load(); c == nil || !hasOrders(c.Services[service]) {
		return errors.Wrapf(platform.ErrNotFound, "service %q has no version and no adapters", service)
	}
	record, err := m.readRecord(ctx, service)
	if err != nil {
		return failure.At(err, step, storePeer)
	}
	if record.Halt == nil {
		return admin.ErrNotHalted
	}
	want := record.Halt.Resume + 1
	for range resumeAttempts {
		var have uint64
		var item platform.Item
		if have, item, err = m.readResume(ctx, service); err != nil || have >= want {
			return failure.At(err, step, storePeer)
		}
		_, err = m.opts.Store.CompareAndSwap(ctx, platform.Write{
			Key: resumePrefix + service, Value: fmt.Appendf(nil, "%d", want), Expected: item.Revision,
			OpID: fmt.Sprintf("resume/%s/%d", service, want),
		})
		if _, conflict := platform.AsConflict(err); !conflict {
			break
		}
	}
	return failure.At(err, step, storePeer)
}
