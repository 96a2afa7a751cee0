package outlier

import "slices"

// Started records the dispatch of a request to endpoint i.
func (d *Detector) Started(now int64, i int32) {
	s := &d.states[i]
	if s.open == 0 {
		s.moved = now
	}
	s.open++
	s.waiting++
}

// FirstToken records the first token of a request, elapsed ns after dispatch.
func (d *Detector) FirstToken(now int64, i int32, elapsed int64) {
	s := &d.states[i]
	s.moved = now
	s.waiting = max(0, s.waiting-1)
	s.connect, s.broken = 0, 0
	if s.firstToken == 0 {
		s.firstToken = float64(elapsed)
		return
	}
	s.firstToken += gapWeight * (float64(elapsed) - s.firstToken)
}

// Token records a token that came gap ns after the one before.
func (d *Detector) Token(now int64, i int32, gap int64) {
	s := &d.states[i]
	s.moved = now
	s.gapAt = now
	g := float64(gap)
	if s.gap == 0 {
		s.gap = g
	} else {
		s.gap += gapWeight * (g - s.gap)
	}
	if d.medianGap == 0 {
		return
	}
	if g > d.opts.SlowRatio*d.medianGap {
		s.slowRun++
	} else {
		s.slowRun = 0
	}
	if g < recoveredRatio*d.medianGap {
		s.fastRun++
	} else {
		s.fastRun = 0
	}
}

// Finished records the end of a request; first tells whether it had a first
// token. ok is false if the request was cancelled, which says nothing.
func (d *Detector) Finished(now int64, i int32, first, ok bool) {
	s := &d.states[i]
	s.open = max(0, s.open-1)
	if !first {
		s.waiting = max(0, s.waiting-1)
	}
	if ok {
		s.moved = now
		s.connect, s.broken = 0, 0
	}
}

// ConnectFailed records a request that could not be sent.
func (d *Detector) ConnectFailed(now int64, i int32) {
	s := &d.states[i]
	d.Finished(now, i, false, false)
	s.connect++
	if s.connect >= d.opts.ConsecutiveFailures {
		d.eject(now, i, Unreachable)
	}
}

// Broken records a request that the endpoint broke off.
func (d *Detector) FailedAfterDispatch(now int64, i int32, first bool) {
	s := &d.states[i]
	d.Finished(now, i, first, false)
	s.broken++
	if s.broken >= d.opts.ConsecutiveFailures {
		d.eject(now, i, Failing)
	}
}

// Tick updates the pool's medians, ejects and returns endpoints. It returns
// the endpoints whose weight changed; the slice is valid until the next Tick.
// The caller calls it every 100 to 250 ms.
func (d *Detector) Tick(now int64) []int32 {
	d.updateMedians(now)
	for i := range d.states {
		s := &d.states[i]
		if !s.present {
			continue
		}
		if s.reason != None {
			d.maybeReturn(now, int32(i))
			continue
		}
		if r := d.judge(now, s); r != None {
			d.eject(now, int32(i), r)
			continue
		}
		if s.rampFrom != 0 {
			d.changed = append(d.changed, int32(i))
			if now-s.rampFrom >= int64(d.opts.RampUpTime) {
				s.rampFrom = 0
			}
		}
	}
	d.changed, d.reported = d.reported[:0], d.changed
	return d.reported
}

// judge returns the reason to eject an endpoint by its measurements.
func (d *Detector) judge(now int64, s *state) Reason {
	if d.medianGap > 0 && s.slowRun >= minSamples && s.gap > d.opts.SlowRatio*d.medianGap && now-s.gapAt < recentWindow {
		return Slow
	}
	if s.open == 0 {
		return None
	}
	idle := float64(now - s.moved)
	if s.waiting == s.open {
		if d.medianFirst > 0 && idle > max(firstTokenRatio*d.medianFirst, float64(d.opts.MinFirstTokenStallTime)) {
			return Stalled
		}
		return None
	}
	if d.medianGap > 0 && idle > max(stallRatio*d.medianGap, float64(d.opts.MinStallTime)) {
		return Stalled
	}
	return None
}

func (d *Detector) eject(now int64, i int32, r Reason) {
	s := &d.states[i]
	if s.reason != None || !s.present || !d.mayEject(r) {
		return
	}
	if s.returned != 0 && now-s.returned < repeatWindow {
		s.repeats++
	} else {
		s.repeats = 0
	}
	span := d.opts.BaseEjectionTime << min(s.repeats, 10)
	s.reason, s.until = r, now+int64(min(span, d.opts.MaxEjectionTime))
	s.slowRun, s.fastRun = 0, 0
	d.count(r)
	d.changed = append(d.changed, i)
}

// mayEject applies the caps on the ejected share. A pool of three or more may
// always eject one endpoint.
func (d *Detector) mayEject(r Reason) bool {
	if d.broken == "cap" {
		return true
	}
	n := float64(d.present)
	if float64(d.slow+d.failed+1) > max(d.opts.MaxFailedShare*n, oneOfThree(d.present)) {
		return false
	}
	if r == Slow || r == Stalled {
		return float64(d.slow+1) <= max(d.opts.MaxSlowShare*n, oneOfThree(d.present))
	}
	return true
}

func oneOfThree(n int) float64 {
	if n >= 3 {
		return 1
	}
	return 0
}

func (d *Detector) maybeReturn(now int64, i int32) {
	s := &d.states[i]
	early := (s.reason == Slow || s.reason == Stalled) && s.fastRun >= recoveredSamples && now-s.gapAt < recentWindow
	if now < s.until && !early {
		return
	}
	d.uncount(s.reason)
	s.reason = None
	s.rampFrom, s.returned = now, now
	s.slowRun, s.connect, s.broken = 0, 0, 0
	s.gap = 0
	s.moved = now
	d.changed = append(d.changed, i)
}

func (d *Detector) count(r Reason) {
	if r == Slow || r == Stalled {
		d.slow++
	} else {
		d.failed++
	}
}

func (d *Detector) uncount(r Reason) {
	switch r {
	case None:
	case Slow, Stalled:
		d.slow--
	default:
		d.failed--
	}
}

// updateMedians keeps the old medians while too few endpoints are measured. In
// a large pool it takes the medians of a sample that moves with each call.
func (d *Detector) updateMedians(now int64) {
	stride := 1 + len(d.states)/medianSample
	d.offset = (d.offset + 1) % stride
	gaps, firsts := d.gaps[:0], d.firsts[:0]
	for i := d.offset; i < len(d.states); i += stride {
		s := &d.states[i]
		if !s.present {
			continue
		}
		if s.gap > 0 && now-s.gapAt < recentWindow {
			gaps = append(gaps, s.gap)
		}
		if s.firstToken > 0 {
			firsts = append(firsts, s.firstToken)
		}
	}
	if len(gaps) >= baselineEndpoints {
		d.medianGap = lowerMedian(gaps)
	}
	if len(firsts) >= baselineEndpoints {
		d.medianFirst = lowerMedian(firsts)
	}
	d.gaps, d.firsts = gaps, firsts
}

func lowerMedian(v []float64) float64 {
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
