package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
)

const (
	// readsPerTick limits the endpoints of a service whose state is read each
	// second. The two answers have about 500 bytes, so 10 endpoints use 5 of the
	// daemon's 21 KB/s; 187 endpoints are read in 19 s.
	readsPerTick = 10
	// resumeInterval is the interval at which the holder of a halted rollout
	// checks whether an operator has resumed it.
	resumeInterval = 5 * time.Second
	// resumePrefix is the prefix of the store keys of order.Desired.Resume.
	resumePrefix = "order-resume/"
)

// service runs the duty and the controller of one service. Its fields are
// guarded by Manager.mu.
type service struct {
	m          *Manager
	name       string
	duty       *duty
	controller *order.Controller
	desired    order.Desired
	endpoints  []endpoint
	// reports are the last reports by endpoint id since the duty was taken.
	reports map[string]endpointReport
	// nextEndpoint is, modulo their number, the index of the endpoint to read next.
	nextEndpoint int
	nextTickAt   time.Time
	// resumeKnown is true once Desired.Resume was read since the duty was taken.
	// Before that, a recorded halt could have a Resume that is too low and would
	// be ended by an earlier resume.
	resumeKnown, resumeReading bool
	resumeReadAt               time.Time
}

func newService(m *Manager, name string) *service {
	return &service{
		m: m, name: name, duty: newDuty(m, order.DutyPrefix+name),
		controller: order.NewController(m.opts.Self, name), reports: make(map[string]endpointReport),
	}
}

func (s *service) configure(d order.Desired, endpoints []endpoint) {
	d.Resume = s.desired.Resume
	s.desired, s.endpoints = d, endpoints
	s.controller.SetDesired(d)
}

// tick drives the duty, and once per order.TickInterval the controller. The
// caller holds Manager.mu.
func (s *service) tick(now time.Time) {
	s.duty.tick(now)
	if now.Before(s.nextTickAt) {
		return
	}
	s.nextTickAt = now.Add(order.TickInterval)
	if s.duty.holder.State(now) == lease.Idle {
		s.resumeKnown = false
		clear(s.reports)
		s.execute(s.controller.Tick(now, order.Duty{}))
		return
	}
	s.readReports()
	s.checkResume(now)
	observed, complete := s.observed()
	if !complete || !s.resumeKnown {
		// Orders based on a part of the reports could take too many endpoints
		// out of service.
		return
	}
	s.controller.SetObserved(observed)
	fence, until, held := s.duty.holder.Fence(now)
	s.execute(s.controller.Tick(now, order.Duty{Held: held, Fence: fence, Until: until}))
}

// observed returns the observed state of the endpoints, and whether all of them
// were read.
func (s *service) observed() ([]order.Observed, bool) {
	leaving := s.m.leavingAddrs()
	list := make([]order.Observed, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		r, ok := s.reports[e.id]
		if !ok {
			return nil, false
		}
		list = append(list, r.observedState(s.desired, e, e.leaving || leaving[e.addr]))
	}
	return list, true
}

// readReports starts reading the next readsPerTick endpoints.
func (s *service) readReports() {
	for range min(readsPerTick, len(s.endpoints)) {
		e := s.endpoints[s.nextEndpoint%len(s.endpoints)]
		s.nextEndpoint++
		s.m.spawn(func() {
			r := s.m.readEndpoint(s.m.ctx, e)
			s.m.mu.Lock()
			defer s.m.mu.Unlock()
			if old, ok := s.reports[e.id]; ok && old.startedAt.After(r.startedAt) {
				return
			}
			s.reports[e.id] = r
		})
	}
}

// execute logs the events of the controller and starts its calls. The caller
// holds Manager.mu.
func (s *service) execute(out order.Output) {
	s.log(out.Events)
	if out.Read != "" {
		s.m.startCall(func() { s.readRecord(out.Read) })
	}
	if out.Write != nil {
		s.m.startCall(func() { s.writeRecord(*out.Write) })
	}
	for _, send := range out.Sends {
		addr := ""
		for _, e := range s.endpoints {
			if e.id == send.Order.Endpoint {
				addr = e.addr
			}
		}
		s.m.startCall(func() { s.send(send, addr) })
	}
	if out.Renew {
		s.duty.renew(time.Now())
	}
}

func (s *service) log(events []order.Event) {
	for _, ev := range events {
		o := ev.Order
		log := s.m.opts.Log.Info().Str("service", s.name).Str("detail", ev.Detail)
		if o.ID != 0 {
			log = log.Uint64("order", o.ID).Str("peer", o.Endpoint).Str("kind", string(o.Action.Kind)).
				Str("value", o.Action.Value)
			s.m.trail.add(s.duty.name, o.Endpoint,
				string(o.Action.Kind)+" "+o.Action.Value+" "+string(o.State))
		} else {
			s.m.trail.add(s.duty.name, "", ev.Detail)
		}
		log.Msg("order changed")
	}
}

// update passes a result to the controller with f and executes the output.
func (s *service) update(f func(now time.Time) order.Output) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	out := f(time.Now())
	if s.m.draining {
		// A recorded intent is not sent any more; the next holder treats its
		// outcome as unknown.
		out.Sends = nil
	}
	s.execute(out)
}

func (s *service) readRecord(key string) {
	ctx, cancel := context.WithTimeout(s.m.ctx, storeTimeout)
	defer cancel()
	item, err := s.m.opts.Store.Get(ctx, key)
	s.logError(err, "orders.read", storePeer)
	s.update(func(time.Time) order.Output { return s.controller.HandleRead(item, err) })
}

// writeRecord does not need to check the duty: a holder that was superseded has
// an old revision, so the store refuses the write.
func (s *service) writeRecord(w platform.Write) {
	ctx, cancel := context.WithTimeout(s.m.ctx, storeTimeout)
	defer cancel()
	item, err := s.m.opts.Store.CompareAndSwap(ctx, w)
	s.logError(err, "orders.write", storePeer)
	s.update(func(now time.Time) order.Output { return s.controller.HandleWrite(now, w.OpID, item, err) })
}

func (s *service) send(send order.Send, addr string) {
	result, err := s.m.sendOrder(s.name, send, addr, func() bool {
		return s.duty.holds(send.Order.Fence, send.Timeout) && !time.Now().After(send.NotAfter)
	})
	s.logError(err, "orders.send", addr)
	s.update(func(time.Time) order.Output { return s.controller.HandleSend(send.Order.ID, result) })
}

// logError logs an error other than ErrNotFound with its step and peer.
func (s *service) logError(err error, step, peer string) {
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.m.opts.Log.Warn().Err(failure.At(err, step, peer)).Str("service", s.name).
			Msg("store or endpoint call for orders failed")
	}
}

// checkResume reads Desired.Resume after the duty was taken, and repeatedly
// while the rollout is halted.
func (s *service) checkResume(now time.Time) {
	r := s.controller.Record()
	halted := r != nil && r.Halt != nil
	if s.resumeReading || s.resumeKnown && (!halted || now.Sub(s.resumeReadAt) < resumeInterval) {
		return
	}
	s.resumeReading, s.resumeReadAt = true, now
	s.m.startCall(func() {
		ctx, cancel := context.WithTimeout(s.m.ctx, storeTimeout)
		defer cancel()
		resume, _, err := s.m.readResume(ctx, s.name)
		s.logError(err, "orders.resume", storePeer)
		s.m.mu.Lock()
		defer s.m.mu.Unlock()
		s.resumeReading = false
		if err == nil {
			s.resumeKnown = true
			s.desired.Resume = max(s.desired.Resume, resume)
			s.controller.SetDesired(s.desired)
		}
	})
}

// readResume returns order.Desired.Resume of a service and its store item.
func (m *Manager) readResume(ctx context.Context, service string) (uint64, platform.Item, error) {
	item, err := m.opts.Store.Get(ctx, resumePrefix+service)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, platform.Item{}, nil
	}
	if err != nil {
		return 0, item, err
	}
	var resume uint64
	err = json.Unmarshal(item.Value, &resume)
	return resume, item, errors.Wrap(err, "decode the resume number")
}
