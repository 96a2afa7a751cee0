package permit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldLoad is a cold endpoint in a failure domain of several daemons, in virtual time, while the
// fleet is cut: all daemons of the domain press for permits without a pause.
type coldLoad struct {
	rate     float64
	issuers  []*ColdIssuer
	noticeAt [][]time.Duration
	arrivals []time.Duration
}

// run plays the load. Daemons up to cut are on one side from cutAt on, and each notices the loss of each
// daemon of the other side at a moment of its own within 2.5 s.
func (l *coldLoad) run(rng *rand.Rand, daemons, cut int, cutAt, end time.Duration) {
	l.noticeAt = make([][]time.Duration, daemons)
	for d := range daemons {
		l.issuers = append(l.issuers, NewColdIssuer())
		l.noticeAt[d] = make([]time.Duration, daemons)
		for other := range daemons {
			l.noticeAt[d][other] = end
			if (d < cut) != (other < cut) {
				l.noticeAt[d][other] = cutAt + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
			}
		}
	}
	for now := time.Duration(0); now < end; now += time.Millisecond {
		for d := range daemons {
			if !l.grantsAlone(d, now) {
				continue
			}
			if ok, _ := l.issuers[d].Take(start.Add(now), "e", l.rate); ok {
				l.arrivals = append(l.arrivals, now+time.Duration(rng.Int64N(int64(UseWithin))))
			}
		}
	}
}

func (l *coldLoad) grantsAlone(d int, now time.Duration) bool {
	var others []Candidate
	for other, noticed := range l.noticeAt[d] {
		if other != d {
			others = append(others, Candidate{Rank: uint64(len(l.issuers) - other), Heard: now < noticed})
		}
	}
	return GrantsAlone(uint64(len(l.issuers)-d), others)
}

// most returns the most arrivals within any second.
func (l *coldLoad) most() int {
	slices.Sort(l.arrivals)
	most, first := 0, 0
	for i, at := range l.arrivals {
		for at-l.arrivals[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold endpoint that gets more than it bears: from both sides of a cut of its failure
// domain, while the daemons notice the cut one after another, and beside daemons that don't know yet that it is
// cold; and against one that is left idle by the side that may use it.
func TestColdEndpointWhileTheFleetIsCut(t *testing.T) {
	const perSecond, ratio, slack, bound = 12, 1.5, 5, 23
	const cutAt, end = 3 * time.Second, 9 * time.Second
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		daemons := 1 + rng.IntN(20)
		l := &coldLoad{rate: GrantRate(perSecond, ratio, slack)}
		l.run(rng, daemons, rng.IntN(daemons+1), cutAt, end)
		before := 0
		for _, at := range l.arrivals {
			if at < cutAt {
				before++
			}
		}
		if least := int(0.9*l.rate*cutAt.Seconds()) - 1; before < least {
			t.Errorf("seed %d: %d requests in %v before the cut, want at least %d", seed, before, cutAt, least)
		}
		if most := l.most(); most > bound {
			t.Errorf("seed %d: %d requests in one second, allowed are %d", seed, most, bound)
		}
		// Daemons that have not heard of it send what a daemon of a fleet of 79 does; once
		// the cut is noticed there is one grantor.
		for at := cutAt + 3*time.Second; at < end; at += 250 * time.Millisecond {
			l.arrivals = append(l.arrivals, at)
		}
		if most := l.most(); most > bound {
			t.Errorf("seed %d: %d requests in one second with those of daemons that don't know of it, allowed are %d", seed, most, bound)
		}
	}
}

// Guards against a rate that breaks a narrow bound, and against one above what the endpoint takes.
func TestGrantRate(t *testing.T) {
	for _, c := range []struct{ perSecond, ratio, slack, want float64 }{
		{12, 1.5, 5, 10.5 / 1.15}, {4, 10, 5, 4}, {1, 1, 0, 0}, {0, 1.5, 5, 0},
	} {
		if got := GrantRate(c.perSecond, c.ratio, c.slack); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("GrantRate(%v, %v, %v) = %v, want %v", c.perSecond, c.ratio, c.slack, got, c.want)
		}
	}
}
