package outlier

import "slices"

// Started records the dispatch of a request to endpoint i.
func (d *Detector) Started(now int64, i int32) {
	s := &d.states[i]
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	s.awaitingFirstToken++
}

// FirstToken records the first token of a request, elapsed ns after dispatch.
func (d *Detector) FirstToken(now int64, i int32, elapsed int64) {
	s := &d.states[i]
	s.lastProgress = now
	s.awaitingFirstToken = max(0, s.awaitingFirstToken-1)
	s.connectFailures, s.requestFailures = 0, 0
	if s.averageFirstToken == 0 {
		s.averageFirstToken = float64(elapsed)
		return
	}
	s.averageFirstToken += averageWeight * (float64(elapsed) - s.averageFirstToken)
}

// Token records a token that arrived gap ns after the previous one.
func (d *Detector) Token(now int64, i int32, gap int64) {
	s := &d.states[i]
	s.lastProgress = now
	s.lastGapAt = now
	g := float64(gap)
	if s.averageGap == 0 {
		s.averageGap = g
	} else {
		s.averageGap += averageWeight * (g - s.averageGap)
	}
	if d.medianGap == 0 {
		return
	}
	if g > d.opts.SlowRatio*d.medianGap {
		s.slowStreak++
	} else {
		s.slowStreak = 0
	}
	if g < recoveredRatio*d.medianGap {
		s.fastStreak++
	} else {
		s.fastStreak = 0
	}
}

// Finished records the end of a request. gotFirstToken reports whether its first
// token arrived. ok is false if the request was cancelled, which is no evidence
// about the endpoint's health.
func (d *Detector) Finished(now int64, i int32, gotFirstToken, ok bool) {
	s := &d.states[i]
	s.inFlight = max(0, s.inFlight-1)
	if !gotFirstToken {
		s.awaitingFirstToken = max(0, s.awaitingFirstToken-1)
	}
	if ok {
		s.lastProgress = now
		s.connectFailures, s.requestFailures = 0, 0
	}
}

// ConnectFailed records a request that could not be sent because the connection
// failed.
func (d *Detector) ConnectFailed(now int64, i int32) {
	s := &d.states[i]
	d.Finished(now, i, false, false)
	s.connectFailures++
	if s.connectFailures >= d.opts.ConsecutiveFailures {
		d.eject(now, i, Unreachable)
	}
}

// FailedAfterDispatch records a request that failed after it was sent to the
// endpoint.
func (d *Detector) FailedAfterDispatch(now int64, i int32, gotFirstToken bool) {
	s := &d.states[i]
	d.Finished(now, i, gotFirstToken, false)
	s.requestFailures++
	if s.requestFailures >= d.opts.ConsecutiveFailures {
		d.eject(now, i, Failing)
	}
}

// Tick updates the pool's medians, and ejects and reinstates endpoints. It
// returns the endpoints whose weight changed; the slice is valid until the next
// Tick. Tick must be called every 100 to 250 ms.
func (d *Detector) Tick(now int64) []int32 {
	d.updateMedians(now)
	for i := range d.states {
		s := &d.states[i]
		if !s.present {
			continue
		}
		if s.reason != None {
			d.maybeReinstate(now, int32(i))
			continue
		}
		if r := d.ejectionReason(now, s); r != None {
			d.eject(now, int32(i), r)
			continue
		}
		if s.rampStart != 0 {
			d.changed = append(d.changed, int32(i))
			if now-s.rampStart >= int64(d.opts.RampUpTime) {
				s.rampStart = 0
			}
		}
	}
	d.changed, d.lastChanged = d.lastChanged[:0], d.changed
	return d.lastChanged
}

// ejectionReason returns the reason to eject an endpoint according to its
// measurements, or None.
func (d *Detector) ejectionReason(now int64, s *state) Reason {
	if d.medianGap > 0 && s.slowStreak >= minSlowGaps && s.averageGap > d.opts.SlowRatio*d.medianGap &&
		now-s.lastGapAt < maxSampleAge {
		return Slow
	}
	if s.inFlight == 0 {
		return None
	}
	idle := float64(now - s.lastProgress)
	if s.awaitingFirstToken == s.inFlight {
		if d.medianFirstToken > 0 &&
			idle > max(firstTokenStallRatio*d.medianFirstToken, float64(d.opts.MinFirstTokenStallTime)) {
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
	if s.returnedAt != 0 && now-s.returnedAt < repeatEjectionWindow {
		s.repeatEjections++
	} else {
		s.repeatEjections = 0
	}
	duration := d.opts.BaseEjectionTime << min(s.repeatEjections, 10)
	s.reason, s.ejectedUntil = r, now+int64(min(duration, d.opts.MaxEjectionTime))
	s.slowStreak, s.fastStreak = 0, 0
	d.countEjection(r)
	d.changed = append(d.changed, i)
}

// mayEject reports whether the caps on the ejected share allow one more ejection
// for reason r. A pool of three or more may always eject one endpoint.
func (d *Detector) mayEject(r Reason) bool {
	if d.broken == "cap" {
		return true
	}
	n := float64(d.endpoints)
	if float64(d.slowEjected+d.failedEjected+1) > max(d.opts.MaxFailedShare*n, minEjections(d.endpoints)) {
		return false
	}
	if r == Slow || r == Stalled {
		return float64(d.slowEjected+1) <= max(d.opts.MaxSlowShare*n, minEjections(d.endpoints))
	}
	return true
}

// minEjections returns the number of ejections that are allowed whatever the
// caps in a pool of n endpoints.
func minEjections(n int) float64 {
	if n >= 3 {
		return 1
	}
	return 0
}

func (d *Detector) maybeReinstate(now int64, i int32) {
	s := &d.states[i]
	recovered := (s.reason == Slow || s.reason == Stalled) && s.fastStreak >= recoveredGaps && now-s.lastGapAt < maxSampleAge
	if now < s.ejectedUntil && !recovered {
		return
	}
	d.uncountEjection(s.reason)
	s.reason = None
	s.rampStart, s.returnedAt = now, now
	s.slowStreak, s.connectFailures, s.requestFailures = 0, 0, 0
	s.averageGap = 0
	s.lastProgress = now
	d.changed = append(d.changed, i)
}

func (d *Detector) countEjection(r Reason) {
	if r == Slow || r == Stalled {
		d.slowEjected++
	} else {
		d.failedEjected++
	}
}

func (d *Detector) uncountEjection(r Reason) {
	switch r {
	case None:
	case Slow, Stalled:
		d.slowEjected--
	default:
		d.failedEjected--
	}
}

// updateMedians updates the medians, unless too few endpoints have been measured.
// In a large pool it uses a sample of the endpoints, a different one in each call.
func (d *Detector) updateMedians(now int64) {
	stride := 1 + len(d.states)/medianSampleSize
	d.sampleOffset = (d.sampleOffset + 1) % stride
	gaps, firstTokens := d.gapBuf[:0], d.firstTokenBuf[:0]
	for i := d.sampleOffset; i < len(d.states); i += stride {
		s := &d.states[i]
		if !s.present {
			continue
		}
		if s.averageGap > 0 && now-s.lastGapAt < maxSampleAge {
			gaps = append(gaps, s.averageGap)
		}
		if s.averageFirstToken > 0 {
			firstTokens = append(firstTokens, s.averageFirstToken)
		}
	}
	if len(gaps) >= minMeasuredEndpoints {
		d.medianGap = lowerMedian(gaps)
	}
	if len(firstTokens) >= minMeasuredEndpoints {
		d.medianFirstToken = lowerMedian(firstTokens)
	}
	d.gapBuf, d.firstTokenBuf = gaps, firstTokens
}

func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
