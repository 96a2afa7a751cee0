package balance

import (
	"math"
	"slices"
	"time"
)

// Parameters of the speeds of endpoints.
const (
	// speedReports is the number of reports of which the median is an endpoint's usual time,
	// so that a slowdown of half a second is not taken for it.
	speedReports = 9
	// speedReportSpacing is the least time between two of these reports.
	speedReportSpacing = 250 * time.Millisecond
	// sureReports is the number of own reports with which a daemon needs no peers' ones.
	sureReports = 3
	// toldSpeedMaxAge is the age at which what a peer told is dropped.
	toldSpeedMaxAge = 10 * time.Second
	// slowClassRatio is the ratio of an endpoint's usual time to the service's median from
	// which on it counts as slow, normalClassRatio the one up to which it stops to.
	slowClassRatio   = 1.5
	normalClassRatio = 1.25
	// usualTimeMaxAge is the age at which a service's median is computed again.
	usualTimeMaxAge = 500 * time.Millisecond
	// minReportedTime and maxReportedTime bound what a report is taken for, and
	// fastestRatio bounds it by the service's median: an endpoint in trouble may state
	// anything, and one that seems very fast would get all requests.
	minReportedTime = 0.1
	maxReportedTime = 20.0
	fastestRatio    = 1.0 / 3
)

// speed is what a daemon knows of the time that work takes at one endpoint, relative to the
// service's data sheet. It answers a load in which the endpoints of a service differ in speed
// and slow down by turns, while each of many daemons hears from an endpoint only now and then:
// the endpoint's usual time is learned from reports of some seconds and shared with peers, and
// the last report counts for what is left of its time.
type speed struct {
	// reports holds the last reports in a ring, count the number of all reports kept.
	reports [speedReports]float64
	count   int
	keptAt  time.Time
	// usual is the median of reports, 0 without one.
	usual float64
	// told is the usual time of this incarnation that a peer told, toldReports the number of reports behind it.
	told        float64
	toldReports int
	toldAt      time.Time
	// slow is true if the endpoint counts as slow in its service.
	slow bool
}

// report records a report of the endpoint.
func (s *speed) report(now time.Time, time float64) {
	if !(time > 0) || s.count > 0 && now.Sub(s.keptAt) < speedReportSpacing {
		return
	}
	s.reports[s.count%speedReports] = boundedTime(time)
	s.count++
	s.keptAt = now
	kept := slices.Clone(s.reports[:min(s.count, speedReports)])
	slices.Sort(kept)
	s.usual = kept[(len(kept)-1)/2]
}

// tell records the usual time that a peer knows. Of several peers, the one with the most
// reports counts.
func (s *speed) tell(now time.Time, usual float64, reports int) {
	if !(usual > 0) || reports <= 0 || reports < s.toldReports && now.Sub(s.toldAt) < toldSpeedMaxAge {
		return
	}
	s.told, s.toldReports, s.toldAt = boundedTime(usual), reports, now
}

// usualTime returns the endpoint's usual time, false if it is not known.
func (s *speed) usualTime(now time.Time) (float64, bool) {
	switch {
	case s.count >= sureReports:
		return s.usual, true
	case s.told > 0 && now.Sub(s.toldAt) < toldSpeedMaxAge:
		return s.told, true
	}
	return s.usual, s.count > 0
}

// timeNow returns the factor by which work takes longer at the endpoint than the data sheet
// says, given its last report of the given age and the service's median. A report counts
// less the older it is.
func (s *speed) timeNow(now time.Time, last float64, age time.Duration, median float64) float64 {
	usual, ok := s.usualTime(now)
	if !ok {
		usual = median
	}
	if last > 0 && age < reportMaxAge {
		weight := 1 - float64(age)/float64(reportMaxAge)
		usual *= math.Pow(boundedTime(last)/usual, weight)
	}
	return max(usual, fastestRatio*median)
}

// classify updates whether the endpoint counts as slow, and returns true if that changes.
func (s *speed) classify(now time.Time, median float64) bool {
	before := s.slow
	usual, ok := s.usualTime(now)
	switch {
	case !ok || usual <= normalClassRatio*median:
		s.slow = false
	case usual >= slowClassRatio*median:
		s.slow = true
	}
	return s.slow != before
}

func boundedTime(t float64) float64 { return min(max(t, minReportedTime), maxReportedTime) }

// updateMedian computes the median of the usual times of the pool's endpoints, 1 if none is
// known, and classifies the endpoints, each usualTimeMaxAge.
func (p *Pool) updateMedian(now time.Time) {
	if p.medianTime > 0 && now.Sub(p.medianAt) < usualTimeMaxAge {
		return
	}
	var times []float64
	for _, e := range p.endpoints {
		if t, ok := e.usualTime(now); ok {
			times = append(times, t)
		}
	}
	p.medianTime, p.medianAt = 1, now
	if len(times) > 0 {
		slices.Sort(times)
		p.medianTime = times[(len(times)-1)/2]
	}
	for id, e := range p.endpoints {
		if e.classify(now, p.medianTime) {
			p.speedChanged[id] = true
		}
	}
}

// SlowEndpoints are the endpoints of a pool that count as slow.
type SlowEndpoints struct {
	Count int
	// Slower and Faster are the endpoints that count as slow, or do no more, since the last
	// call.
	Slower, Faster []string
	// Median is the median of the endpoints' usual times.
	Median float64
}

// SlowEndpoints returns the endpoints that count as slow and what has changed since the last
// call.
func (p *Pool) SlowEndpoints() SlowEndpoints {
	s := SlowEndpoints{Median: p.medianTime}
	for id, e := range p.endpoints {
		if e.slow {
			s.Count++
		}
		switch {
		case !p.speedChanged[id]:
		case e.slow:
			s.Slower = append(s.Slower, id)
		default:
			s.Faster = append(s.Faster, id)
		}
	}
	clear(p.speedChanged)
	return s
}
