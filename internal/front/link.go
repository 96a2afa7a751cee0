package front

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/overload"
	"github.com/azurehatch/azurehatch/internal/relay"
)

// link guards the admission of requests by the machine's link.
type link struct {
	log     zerolog.Logger
	metrics linkMetrics
	// callers and control count the bytes of callers' connections, and of those to other daemons and the
	// store.
	callers, control traffic

	mu    sync.Mutex
	link  *overload.Link
	sizes *overload.Sizes
	// asked and refused count requests since the last change of the state.
	asked, refused int64
}

type linkMetrics struct {
	demand, callersIn, control, overloaded tally.Gauge
	refused                                tally.Counter
}

var _ relay.Link = (*link)(nil)

func newLink(mbps float64, log zerolog.Logger, scope tally.Scope) *link {
	return &link{
		log: log, link: overload.New(mbps), sizes: overload.NewSizes(),
		metrics: linkMetrics{
			demand: scope.Gauge("link_demand"), callersIn: scope.Gauge("link_callers"), control: scope.Gauge("link_control"),
			overloaded: scope.Gauge("link_overloaded"), refused: scope.Counter("link_refusals"),
		},
	}
}

// Admit implements relay.Link.
func (l *link) Admit(route string, r overload.Request) overload.Decision {
	if !l.link.Limited() {
		return overload.Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.observe(now)
	l.asked++
	d := l.link.Admit(now, l.sizes.Expect(route, r))
	if !d.Admitted {
		l.refused++
		l.metrics.refused.Inc(1)
	}
	return d
}

// Ended implements relay.Link.
func (l *link) Ended(route string, body, response int64) {
	if !l.link.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes.Record(route, body, response)
}

// observe brings the traffic up to date. The caller holds l.mu.
func (l *link) observe(now time.Time) {
	l.link.Observe(now, overload.Traffic{
		CallersIn: l.callers.in.Load(), ControlIn: l.control.in.Load(), ControlOut: l.control.out.Load(),
	})
}

// overloaded reports whether the daemon wants no new connections.
func (l *link) overloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link.Overloaded()
}

// forPeers returns what digests tell: whether the daemon is overloaded, and the bytes a second that the
// link carries beyond what is asked, and that are asked.
func (l *link) forPeers() (overloaded bool, free, demand int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link.Overloaded(), int64(l.link.Free()), int64(l.link.Demand())
}

// tick updates the state. others describes the links of the other daemons in the failure domain.
func (l *link) tick(now time.Time, others overload.Peers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.link.Limited() {
		return
	}
	l.observe(now)
	changed := l.link.Update(now, others)
	s := l.link.State()
	l.metrics.update(s)
	if changed {
		l.log.Warn().Bool("overloaded", s.Overloaded).Float64("demand", s.Demand).Float64("callers", s.CallersIn).
			Float64("control", s.Control).Dur("queue_ms", s.Queue).Dur("hold_ms", s.Hold).Int("others", len(others)).
			Int("others_overloaded", others.Overloaded()).Int("accounts", s.Accounts).Str("largest_account", s.Largest).
			Float64("largest_part", s.LargestPart).Int64("asked", l.asked).Int64("refused", l.refused).Msg("load of the link changed")
		l.asked, l.refused = 0, 0
	}
}

func (m linkMetrics) update(s overload.State) {
	m.demand.Update(s.Demand)
	m.callersIn.Update(s.CallersIn)
	m.control.Update(s.Control)
	overloaded := 0.0
	if s.Overloaded {
		overloaded = 1
	}
	m.overloaded.Update(overloaded)
}
