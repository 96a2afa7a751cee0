package soak

import (
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// replaceFaults returns replacements of endpoints at their addresses, and what overlaps them.
func replaceFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.replaceEndpoint, s.replaceEndpoint, s.replaceEndpoint, s.reconfigure, s.drainEndpoint, s.crashEndpoint,
		s.disturbStorePath, s.pauseDaemon, s.stopDaemon,
	}
}

func (s *scenario) runEndpointFault(e *endpoint, d time.Duration, begin, end func()) {
	if !s.claim(e) {
		return
	}
	s.runFault(d, func() { s.bed.recordFault(&s.bed.lastEndpointFault, &s.bed.openEndpointFaults, 1); begin() }, func() {
		end()
		s.bed.recordFault(&s.bed.lastEndpointFault, &s.bed.openEndpointFaults, -1)
		s.release(e)
	})
}

func (s *scenario) disturbEndpointPath(d time.Duration) {
	e, f := s.randomEndpoint(), s.randomFault()
	s.logFault("path of %s %v for %v", e.ID, f, d)
	s.runEndpointFault(e, d, func() { e.proxy.setFault(f) }, func() { e.proxy.setFault(healthy) })
}

func (s *scenario) crashEndpoint(d time.Duration) {
	e := s.randomEndpoint()
	s.logFault("%s crashes for %v", e.ID, d)
	s.runEndpointFault(e, d, e.Crash, func() {
		if err := e.Start(e.backendAddr); err != nil {
			s.bed.t.Errorf("start of %s: %v", e.ID, err)
		}
		s.bed.announce(e)
	})
}

// drainEndpoint lets an endpoint say in its responses that it leaves, and mostly in its entry
// as well. It stays for longer than drainBound, after which it must not get new requests, and
// is replaced by a new process then.
func (s *scenario) drainEndpoint(d time.Duration) {
	e, byEntry := s.randomEndpoint(), s.rng.IntN(3) > 0
	if !s.claim(e) {
		return
	}
	s.logFault("%s drains, by its entry: %v", e.ID, byEntry)
	e.SetLeaving(true)
	e.SetDraining(byEntry)
	s.bed.announce(e)
	announcedAt := time.Now()
	s.wg.Go(func() {
		time.Sleep(drainBound + d)
		delay := e.LastArrival().Sub(announcedAt)
		if byEntry && delay > drainBound && !s.bed.stalledSince(announcedAt) && !s.bed.storeDisturbedSince(announcedAt) &&
			!s.bed.anyDaemonDisturbedSince(announcedAt) {
			s.bed.addViolation("%s got a request %v after it announced that it is draining", e.ID, delay)
		}
		s.restartEndpoint(e)
		s.release(e)
	})
}

// restartEndpoint replaces the process of an endpoint.
func (s *scenario) restartEndpoint(e *endpoint) {
	s.bed.recordFault(&s.bed.lastEndpointFault, &s.bed.openEndpointFaults, 1)
	defer s.bed.recordFault(&s.bed.lastEndpointFault, &s.bed.openEndpointFaults, -1)
	e.Crash()
	if err := e.Start(e.backendAddr); err != nil {
		s.bed.t.Errorf("start of %s: %v", e.ID, err)
	}
	s.bed.announce(e)
}

// replaceEndpoint lets an endpoint crash and start again at its address under a new id. The
// entry of the former id stays for a while, and requests to it are refused twice.
func (s *scenario) replaceEndpoint(d time.Duration) {
	e := s.randomEndpoint()
	s.logFault("%s is replaced at its address; its former entry stays for %v", e.ID, d)
	former, _ := e.Entry("")
	s.runEndpointFault(e, d, func() {
		if err := e.Replace(); err != nil {
			s.bed.t.Errorf("replacement of %s: %v", e.ID, err)
		}
		s.bed.announce(e)
	}, func() { s.bed.removeEntry(former) })
}

// corruptEndpoint lets an endpoint send responses that are none, or not only the request's.
func (s *scenario) corruptEndpoint(d time.Duration) {
	e, m := s.randomEndpoint(), platformtest.Misbehaviours[s.rng.IntN(len(platformtest.Misbehaviours))]
	s.logFault("%s: %s for %v", e.ID, m, d)
	s.runEndpointFault(e, d, func() { e.SetMisbehaviour(m) }, func() { e.SetMisbehaviour("") })
}

// overloadEndpoint lets an endpoint refuse all requests and ask for pauses.
func (s *scenario) overloadEndpoint(d time.Duration) {
	e, wait := s.randomEndpoint(), time.Duration(800+s.rng.IntN(2500))*time.Millisecond
	if !s.claim(e) {
		return
	}
	s.logFault("%s wants no requests for %v, over %v", e.ID, wait, d)
	s.runFault(d, func() { e.SetPause(wait) }, func() { e.SetPause(0); s.release(e) })
}

// limitFaults returns endpoints that name limits, and what overlaps them.
func limitFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.limitEndpoint, s.limitEndpoint, s.limitEndpoint, s.crashEndpoint, s.drainEndpoint, s.disturbEndpointPath,
		s.killDaemon, s.pauseDaemon, s.stopDaemon, s.disturbStorePath,
	}
}

// limitEndpoint lets an endpoint name the requests a second that it takes from all daemons.
func (s *scenario) limitEndpoint(d time.Duration) {
	e, limit := s.randomEndpoint(), 0.5+3.5*s.rng.Float64()
	if !s.claim(e) {
		return
	}
	d += limitWindow
	s.logFault("%s takes %.2f requests a second for %v", e.ID, limit, d)
	s.runFault(d, func() { e.SetLimit(limit) }, func() { e.SetLimit(0); s.release(e) })
}

// coldFaults returns engines that are cold after each start or become cold at some moment, and what
// overlaps that.
func coldFaults(s *scenario) []func(time.Duration) {
	s.bed.cold = true
	for _, e := range s.bed.endpoints {
		e.SetColdPeriod(coldPeriod)
	}
	s.bed.publishConfig(nil)
	return []func(time.Duration){
		s.coolEndpoint, s.coolEndpoint, s.coolEndpoint, s.crashEndpoint, s.crashEndpoint, s.drainEndpoint,
		s.killDaemon, s.pauseDaemon, s.stopDaemon, s.reconfigure,
	}
}

// coolEndpoint lets an endpoint become cold without a restart.
func (s *scenario) coolEndpoint(d time.Duration) {
	e := s.randomEndpoint()
	if !s.claim(e) {
		return
	}
	d = max(d, coldPeriod)
	s.logFault("%s is cold for %v", e.ID, d)
	s.runFault(d, func() { e.BecomeCold(d); s.bed.announce(e) }, func() { s.bed.announce(e); s.release(e) })
}
