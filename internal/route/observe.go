package route

import "time"

// Started records the dispatch of r to the chosen endpoint in a.
func (p *Pool) Started(now time.Time, c Choice, r *Request, a *Attempt) {
	t := now.UnixNano()
	ep := &p.endpoints[c.index]
	*a = Attempt{
		Endpoint: c.Endpoint, index: c.index, generation: ep.generation, open: true,
		nonStreaming: r.NonStreaming, remainingTokens: int32(max(r.PredictedTokens, 1)), prefixHash: r.PrefixHash,
		startedAt: t, lastTokenAt: t,
	}
	if !ep.inUse || ep.ID != c.Endpoint {
		a.open = false
		return
	}
	ep.ownInFlight++
	ep.ownTokens += int64(a.remainingTokens)
	p.ownInFlight++
	if !a.nonStreaming {
		p.detector.Started(t, c.index)
	}
	if r.PrefixHash != 0 && r.PrefixTokens >= minAffinityTokens {
		p.prefixes.put(t, r.PrefixHash, c.index, ep.generation)
	}
}

// endpointOf returns the endpoint of an open attempt, nil if the attempt has
// ended or the endpoint was removed.
func (p *Pool) endpointOf(a *Attempt) *endpoint {
	if !a.open || int(a.index) >= len(p.endpoints) {
		return nil
	}
	ep := &p.endpoints[a.index]
	if !ep.inUse || ep.generation != a.generation {
		return nil
	}
	return ep
}

// FirstToken records the first token of an attempt, or the complete response of
// a plain service.
func (p *Pool) FirstToken(now time.Time, a *Attempt) Observation {
	ep := p.endpointOf(a)
	if ep == nil || a.hasFirstToken || a.nonStreaming {
		return Observation{}
	}
	t := now.UnixNano()
	a.hasFirstToken = true
	a.lastTokenAt = t
	if p.opts.PlainService {
		p.detector.Token(t, a.index, (t-a.startedAt)/int64(a.remainingTokens))
	}
	p.subtractTokens(ep, a, 1)
	p.detector.FirstToken(t, a.index, t-a.startedAt)
	return Observation{FirstToken: time.Duration(t - a.startedAt), InFlight: int(ep.inFlight())}
}

// Tokens records n further tokens of an attempt.
func (p *Pool) Tokens(now time.Time, a *Attempt, n int) Observation {
	ep := p.endpointOf(a)
	if ep == nil || n <= 0 {
		return Observation{}
	}
	t := now.UnixNano()
	gap := max(0, t-a.lastTokenAt) / int64(n)
	a.lastTokenAt = t
	p.subtractTokens(ep, a, int32(n))
	p.detector.Token(t, a.index, gap)
	return Observation{Gap: time.Duration(gap), InFlight: int(ep.inFlight())}
}

// subtractTokens subtracts received tokens from the predicted ones. One token
// remains until the end of the attempt, because a response that is longer than
// predicted still causes load.
func (p *Pool) subtractTokens(ep *endpoint, a *Attempt, n int32) {
	n = min(n, a.remainingTokens-1)
	a.remainingTokens -= n
	ep.ownTokens -= int64(n)
}

// Finished records the end of an attempt. Further calls have no effect.
func (p *Pool) Finished(now time.Time, a *Attempt, o Outcome) {
	ep := p.endpointOf(a)
	if ep == nil {
		a.open = false
		return
	}
	a.open = false
	t := now.UnixNano()
	ep.ownInFlight--
	ep.ownTokens -= int64(a.remainingTokens)
	p.ownInFlight--
	if a.nonStreaming {
		// The detector is informed at the end only: until then, a long
		// response cannot be distinguished from a stall.
		p.detector.Started(t, a.index)
	}
	switch o {
	case Completed:
		p.detector.Finished(t, a.index, a.hasFirstToken, true)
	case Cancelled:
		p.detector.Finished(t, a.index, a.hasFirstToken, false)
	case ConnectFailed:
		p.detector.ConnectFailed(t, a.index)
	case FailedAfterDispatch:
		p.detector.FailedAfterDispatch(t, a.index, a.hasFirstToken)
		p.prefixes.remove(a.prefixHash, a.index)
	}
	p.updateReady(t, a.index)
}

const (
	// reportTolerance and reportToleranceShare are the absolute and the
	// relative difference between a load report and the known load that is
	// attributed to delayed digests.
	reportTolerance      = 2
	reportToleranceShare = 0.25
	// unattributedMaxAge is the age at which the unattributed load of a report
	// is dropped.
	unattributedMaxAge = int64(6 * time.Second)
)

// RecordReport records the load report of an endpoint. Only the part that
// exceeds the load known at the time of the report is kept: it stems from
// daemons whose digests do not arrive.
func (p *Pool) RecordReport(now time.Time, id EndpointID, r LoadReport) {
	i, ok := p.byID[id]
	if !ok {
		return
	}
	ep := &p.endpoints[i]
	t := now.UnixNano()
	known := float64(ep.history.countAt(t-int64(r.Age), ep.ownInFlight+ep.peersInFlight))
	unknown := float64(r.Running+r.Waiting) - known
	ep.reportedAt = t
	ep.unattributed = 0
	if unknown > reportTolerance+reportToleranceShare*known {
		ep.unattributed = int32(unknown)
	}
}

// loadHistory is the known number of requests on an endpoint over the last
// seconds, for comparison with delayed load reports.
type loadHistory struct {
	times  [historySize]int64
	counts [historySize]int32
	next   int32
}

const (
	// historySize times historyStep is the age of the oldest report that can be
	// compared, 4 s.
	historySize = 16
	historyStep = int64(250 * time.Millisecond)
)

// record adds an entry unless the last one is more recent than historyStep.
func (h *loadHistory) record(now int64, count int32) {
	last := (h.next + historySize - 1) % historySize
	if now-h.times[last] < historyStep {
		return
	}
	h.times[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historySize
}

// countAt returns the count of the last entry at or before time t, fallback if
// there is none.
func (h *loadHistory) countAt(t int64, fallback int32) int32 {
	best, bestAt := fallback, int64(0)
	for k := range h.times {
		if h.times[k] != 0 && h.times[k] <= t && h.times[k] > bestAt {
			best, bestAt = h.counts[k], h.times[k]
		}
	}
	return best
}
