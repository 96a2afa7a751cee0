package evacuation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/platform"
)

const prefix = "op/evacuate/"

var start = time.Unix(1000, 0)

// rev returns a revision of an era.
func rev(era, number int64) platform.Revision {
	r, err := platform.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

func item(domain string, at platform.Revision) platform.Item {
	return platform.Item{Key: prefix + domain, Value: []byte("{}"), Revision: at}
}

// Guards against an evacuation that a list, a change or a restored store ends although the
// operator has not taken it back, and against one that stands although it was.
func TestEvacuations(t *testing.T) {
	list := func(at platform.Revision, items ...platform.Item) func(*Set, time.Time) []Change {
		return func(s *Set, now time.Time) []Change { return s.Replace(now, items, at) }
	}
	event := func(i platform.Item, deleted bool) func(*Set, time.Time) []Change {
		return func(s *Set, now time.Time) []Change {
			return s.Apply(now, []platform.Event{{Item: i, Deleted: deleted}})
		}
	}
	tick := func(s *Set, now time.Time) []Change { return s.Tick(now) }
	type step struct {
		do      func(*Set, time.Time) []Change
		after   time.Duration
		domains []string
		causes  []Cause
	}
	for name, steps := range map[string][]step{
		"ordered and taken back": {
			{event(item("a", 3), false), 0, []string{"a"}, []Cause{Ordered}},
			{event(item("a", 4), false), 0, []string{"a"}, nil},
			{event(item("a", 5), true), 0, nil, []Cause{TakenBack}},
		},
		"deletion found in a list": {
			{list(3, item("a", 2), item("b", 3)), 0, []string{"a", "b"}, []Cause{Ordered, Ordered}},
			{list(9, item("b", 3)), 0, []string{"b"}, []Cause{TakenBack}},
		},
		"lost by a restored store, ordered again and taken back": {
			{list(9, item("a", 9)), 0, []string{"a"}, []Cause{Ordered}},
			{list(rev(1, 5)), 0, []string{"a"}, []Cause{Lost}},
			{list(rev(1, 6)), 0, []string{"a"}, nil},
			{event(item("a", rev(1, 7)), false), LostPeriod / 2, []string{"a"}, nil},
			{tick, 2 * LostPeriod, []string{"a"}, nil},
			{event(item("a", rev(1, 8)), true), 2 * LostPeriod, nil, []Cause{TakenBack}},
		},
		"lost by a restored store and not ordered again": {
			{list(9, item("a", 9)), 0, []string{"a"}, []Cause{Ordered}},
			{event(item("a", rev(1, 5)), true), 0, []string{"a"}, []Cause{Lost}}, // a removal that a peer derived from a list
			{tick, LostPeriod, []string{"a"}, nil},
			{tick, LostPeriod + 1, nil, []Cause{Expired}},
		},
		"brought back by a restored store": {
			{list(9), 0, nil, nil},
			{list(rev(1, 5), item("a", rev(1, 4))), 0, []string{"a"}, []Cause{Ordered}},
			{event(item("a", rev(1, 6)), true), 0, nil, []Cause{TakenBack}},
		},
		"odd keys and values": {
			{list(3, platform.Item{Key: prefix, Revision: 1}, platform.Item{Key: "op/config", Revision: 2}), 0, nil, nil},
			{event(platform.Item{Key: prefix + "a", Value: []byte("\xff["), Revision: 4}, false), 0, []string{"a"}, []Cause{Ordered}},
			{event(platform.Item{Key: prefix + "a/b", Revision: 5}, false), 0, []string{"a", "a/b"}, []Cause{Ordered}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSet(prefix)
			for n, step := range steps {
				var causes []Cause
				for _, c := range step.do(s, start.Add(step.after)) {
					causes = append(causes, c.Cause)
				}
				if d := cmp.Diff(step.causes, causes) + cmp.Diff(step.domains, s.Domains()); d != "" {
					t.Errorf("step %d: causes and domains (-want +got)\n%s", n, d)
				}
			}
		})
	}
}
