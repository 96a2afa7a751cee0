package route

import "time"

// Started records the dispatch of r to the chosen endpoint in a.
func (p *Pool) Started(now time.Time, c Choice, r *Request, a *Attempt) {
	t := now.UnixNano()
	ep := &p.eps[c.index]
	*a = Attempt{
		Endpoint: c.Endpoint, index: c.index, generation: ep.generation, open: true,
		opaque: r.NonStreaming, tokens: int32(max(r.PredictedTokens, 1)), prefix: r.PrefixHash, started: t, last: t,
	}
	if !ep.present || ep.ID != c.Endpoint {
		a.open = false
		return
	}
	ep.own++
	ep.ownTokens += int64(a.tokens)
	p.own++
	if !a.opaque {
		p.det.Started(t, c.index)
	}
	if r.PrefixHash != 0 && r.PrefixTokens >= minPrefixTokens {
		p.prefix.put(t, r.PrefixHash, c.index, ep.generation)
	}
}

// of returns the endpoint of an open attempt, nil if the attempt has ended or
// the endpoint was forgotten.
func (p *Pool) of(a *Attempt) *endpoint {
	if !a.open || int(a.index) >= len(p.eps) {
		return nil
	}
	ep := &p.eps[a.index]
	if !ep.present || ep.generation != a.generation {
		return nil
	}
	return ep
}

// FirstToken records the first token of an attempt, or the whole answer of a
// service endpoint.
func (p *Pool) FirstToken(now time.Time, a *Attempt) Observation {
	ep := p.of(a)
	if ep == nil || a.first || a.opaque {
		return Observation{}
	}
	t := now.UnixNano()
	a.first = true
	a.last = t
	if p.opts.PlainService {
		p.det.Token(t, a.index, (t-a.started)/int64(a.tokens))
	}
	p.takeTokens(ep, a, 1)
	p.det.FirstToken(t, a.index, t-a.started)
	return Observation{FirstToken: time.Duration(t - a.started), InFlight: int(ep.inFlight())}
}

// Tokens records n further tokens of an attempt.
func (p *Pool) Tokens(now time.Time, a *Attempt, n int) Observation {
	ep := p.of(a)
	if ep == nil || n <= 0 {
		return Observation{}
	}
	t := now.UnixNano()
	gap := max(0, t-a.last) / int64(n)
	a.last = t
	p.takeTokens(ep, a, int32(n))
	p.det.Token(t, a.index, gap)
	return Observation{Gap: time.Duration(gap), InFlight: int(ep.inFlight())}
}

// takeTokens subtracts seen tokens. One predicted token remains until the end,
// because an answer longer than predicted is still work.
func (p *Pool) takeTokens(ep *endpoint, a *Attempt, n int32) {
	n = min(n, a.tokens-1)
	a.tokens -= n
	ep.ownTokens -= int64(n)
}

// Finished records the end of an attempt. Further calls have no effect.
func (p *Pool) Finished(now time.Time, a *Attempt, o Outcome) {
	ep := p.of(a)
	if ep == nil {
		a.open = false
		return
	}
	a.open = false
	t := now.UnixNano()
	ep.own--
	ep.ownTokens -= int64(a.tokens)
	p.own--
	if a.opaque {
		// The detector hears of the attempt at its end only.
		p.det.Started(t, a.index)
	}
	switch o {
	case Completed:
		p.det.Finished(t, a.index, a.first, true)
	case Cancelled:
		p.det.Finished(t, a.index, a.first, false)
	case ConnectFailed:
		p.det.ConnectFailed(t, a.index)
	case FailedAfterDispatch:
		p.det.Broken(t, a.index, a.first)
		p.prefix.remove(a.prefix, a.index)
	}
	p.refresh(t, a.index)
}

const (
	// reportSlack and reportSlackShare are the difference between a report and
	// the known load that delays of digests explain.
	reportSlack      = 2
	reportSlackShare = 0.25
	// foreignMaxAge is the age at which the result of a report is dropped.
	foreignMaxAge = int64(6 * time.Second)
)

// Report records an endpoint's load report. Only the part that the known load
// at the time of the report does not explain is kept: it is work of daemons
// whose digests do not arrive.
func (p *Pool) RecordReport(now time.Time, id EndpointID, r LoadReport) {
	i, ok := p.byID[id]
	if !ok {
		return
	}
	ep := &p.eps[i]
	t := now.UnixNano()
	known := float64(ep.history.at(t-int64(r.Age), ep.own+ep.peers))
	rest := float64(r.Running+r.Waiting) - known
	ep.foreignAt = t
	ep.foreign = 0
	if rest > reportSlack+reportSlackShare*known {
		ep.foreign = int32(rest)
	}
}

// loadHistory is the known number of requests on an endpoint over the last
// seconds, to compare with late reports.
type loadHistory struct {
	times  [historySize]int64
	counts [historySize]int32
	next   int32
}

const (
	// historySize times historyStep is the age of the oldest report that can
	// be compared, 4 s.
	historySize = 16
	historyStep = int64(250 * time.Millisecond)
)

func (h *loadHistory) push(now int64, count int32) {
	last := (h.next + historySize - 1) % historySize
	if now-h.times[last] < historyStep {
		return
	}
	h.times[h.next], h.counts[h.next] = now, count
	h.next = (h.next + 1) % historySize
}

// at returns the count at time t, def if t is later than every entry.
func (h *loadHistory) at(t int64, def int32) int32 {
	best, bestAt := def, int64(0)
	for k := range h.times {
		if h.times[k] != 0 && h.times[k] <= t && h.times[k] > bestAt {
			best, bestAt = h.counts[k], h.times[k]
		}
	}
	return best
}
