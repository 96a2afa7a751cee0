package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	system Digest = iota + 1
	deadly
	otherDeadly
	subject // and the ones after it
)

// crashes records n crashes of different endpoints, a second apart, of requests with the
// given parts; the requests' subjects differ.
func crashes(p *Parts, from float64, n int, parts ...Digest) (last time.Time) {
	for i := range n {
		last = at(from + float64(i))
		p.RecordCrash(last, fmt.Sprintf("e-%v-%d", from, i), append([]Digest{subject + Digest(i)}, parts...))
	}
	return last
}

func (p *Parts) requireBlocked(t *testing.T, now time.Time, want bool, parts ...Digest) {
	t.Helper()
	if _, _, got := p.Blocked(now, parts); got != want {
		t.Errorf("a request with parts %v is blocked: %v, want %v", parts, got, want)
	}
}

// Guards against requests of one kind that crash one endpoint after the other, no two of
// them alike, and against refusing sound requests that share their other parts.
func TestPartThatCrashesEndpointsIsBlocked(t *testing.T) {
	p := NewParts()
	crashes(p, 0, crashesToBlock-1, system, deadly)
	p.requireBlocked(t, at(5), false, system, subject, deadly)
	p.RecordAnswer(at(6), []Digest{system, subject + 7})
	blocked := p.RecordCrash(at(7), "e", []Digest{system, subject + 8, deadly})
	if len(blocked) != 1 || blocked[0] != deadly {
		t.Errorf("parts %v blocked by the last crash, want only %d", blocked, deadly)
	}
	p.requireBlocked(t, at(8), true, system, subject+9, deadly)
	p.requireBlocked(t, at(8), false, system, subject+9)
	p.requireBlocked(t, at(8), false, system, subject)
	p.Tick(at(7).Add(partCrashWindow + time.Second))
	if len(p.records) != 0 {
		t.Errorf("%d records after %v, want none", len(p.records), partCrashWindow)
	}
}

// Guards against blocking a part because a partition or a loss of machines broke several of
// its requests at the same moment.
func TestCrashesAtOneMomentBlockNoPart(t *testing.T) {
	p := NewParts()
	for i := range 8 {
		p.RecordCrash(at(1).Add(time.Duration(i)*20*time.Millisecond), fmt.Sprint("e", i), []Digest{subject})
	}
	p.requireBlocked(t, at(2), false, subject)
}

// Guards against blocking a part that is answered now and then: another part of its
// requests crashes the endpoints.
func TestAnsweredPartIsNotBlocked(t *testing.T) {
	p := NewParts()
	for i := range 20 {
		p.RecordCrash(at(float64(i)), fmt.Sprint("e", i), []Digest{subject})
		if i%4 == 0 {
			p.RecordAnswer(at(float64(i)+0.6), []Digest{subject})
		}
		p.requireBlocked(t, at(float64(i)+0.7), false, subject)
	}
	crashes(p, 30, crashesToBlockAnswered, subject)
	p.requireBlocked(t, at(40), true, subject)
}

// Guards against refusing sound requests with a part that was in all requests with the
// deadly one: only a request that has both is refused until one of them is answered.
func TestPartsOfTheSameCrashesAreToldApart(t *testing.T) {
	p := NewParts()
	for i := range crashesToBlock {
		p.RecordCrash(at(float64(i)), fmt.Sprint("e", i), []Digest{subject, deadly})
	}
	p.requireBlocked(t, at(5), true, subject, deadly)
	p.requireBlocked(t, at(5), false, subject)
	p.requireBlocked(t, at(5), false, subject+1, deadly)
	p.RecordAnswer(at(6), []Digest{subject})
	p.requireBlocked(t, at(7), true, subject+1, deadly)
	p.requireBlocked(t, at(7), false, subject)
}

// Guards against daemons that come to different decisions, depending on the order in which
// they learn of crashes and answers, or how often.
func TestPartsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewParts()
		now := at(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
			part := []Digest{subject + Digest(rapid.IntRange(0, 2).Draw(t, "part"))}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				source.RecordAnswer(now, part)
			} else {
				source.RecordCrash(now, fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint")), part)
			}
		}
		entries := source.Entries(now, time.Hour, 1000)
		merged := NewParts()
		for range 3 {
			merged.Merge(now, rapid.Permutation(entries).Draw(t, "order"))
		}
		for i := range Digest(3) {
			_, _, want := source.Blocked(now, []Digest{subject + i})
			if _, _, got := merged.Blocked(now, []Digest{subject + i}); got != want {
				t.Fatalf("part %d is blocked: %v after a merge, %v at the source", i, got, want)
			}
		}
	})
}

// Guards against memory and messages that grow with the parts of broken requests.
func TestPartsAreBounded(t *testing.T) {
	p := NewParts()
	crashes(p, 0, 3, deadly)
	for i := range 3 * maxParts {
		p.RecordCrash(at(10+float64(i)/1000), fmt.Sprint("e", i%50), []Digest{subject + 100 + Digest(i)})
	}
	for i := range 5 * maxPartCrashes {
		p.RecordCrash(at(20+float64(i)), fmt.Sprint("f", i), []Digest{otherDeadly})
	}
	now := at(100)
	p.requireBlocked(t, now, true, subject, deadly)
	if n := len(p.records); n > maxParts {
		t.Errorf("%d parts kept, want at most %d", n, maxParts)
	}
	if n := len(p.records[otherDeadly].crashes); n > maxPartCrashes {
		t.Errorf("%d crashes of a part kept, want at most %d", n, maxPartCrashes)
	}
	if n := len(p.Entries(at(14), time.Hour, 200)); n > 200+2*maxPartCrashes {
		t.Errorf("%d entries in a message", n)
	}
}
