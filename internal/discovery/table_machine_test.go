package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// lapse is an entry that is gone from the store and may still be used until its deadline.
type lapse struct {
	revision platform.Revision
	deadline time.Time
}

// tableMachine is a table that follows a store with outages. Its oracle keeps all states of the
// store, and the entries that lapsed.
type tableMachine struct {
	now    time.Time
	events []platform.Event
	states []map[string]platform.Item

	table *Table
	// used holds the item revision of each endpoint in use, by the table's changes.
	used   map[string]platform.Revision
	lapsed map[string]lapse
	// applied is the revision up to which the oracle has applied the store's changes.
	applied     platform.Revision
	unreachable bool
	regainedAt  time.Time
	// broken selects a deliberately faulty variant.
	broken string
}

func newTableMachine(broken string) *tableMachine {
	return &tableMachine{
		now: time.Unix(1000, 0), states: []map[string]platform.Item{{}}, table: NewTable(decode),
		used: make(map[string]platform.Revision), lapsed: make(map[string]lapse), broken: broken,
	}
}

func (m *tableMachine) head() platform.Revision { return platform.Revision(len(m.states) - 1) }

func (m *tableMachine) change(key, value string) {
	next := maps.Clone(m.states[m.head()])
	ev := platform.Event{Item: item(key, value, m.head()+1), Deleted: value == ""}
	if ev.Deleted {
		delete(next, key)
	} else {
		next[key] = ev.Item
	}
	m.events, m.states = append(m.events, ev), append(m.states, next)
}

// record follows the table's changes.
func (m *tableMachine) record(changes []Change) {
	for _, c := range changes {
		if c.Kind == Removed {
			delete(m.used, c.Entry.ID)
		} else {
			m.used[c.Entry.ID] = c.Revision
		}
	}
}

// advance lets the oracle apply the change of each key from its revision to another one. Only
// an entry that was valid, not leaving, and removed while the store was away or shortly after
// may be used on.
func (m *tableMachine) advance(to platform.Revision) {
	if to <= m.applied {
		return
	}
	for _, key := range machineKeys {
		old, was := m.states[m.applied][key]
		former, usable := decode(old)
		if l, pending := m.lapsed[key]; pending {
			former, usable, was = Entry{}, true, true
			old.Revision = l.revision
		}
		current, is := m.states[to][key]
		_, valid := decode(current)
		switch {
		case is && valid:
			delete(m.lapsed, key)
		case m.lapsed[key] != lapse{}:
		case was && usable && !former.Leaving && (m.unreachable || m.now.Sub(m.regainedAt) < reregisterGrace):
			deadline := m.now.Add(reregisterGrace)
			if !m.unreachable {
				deadline = m.regainedAt.Add(reregisterGrace)
			}
			m.lapsed[key] = lapse{revision: old.Revision, deadline: deadline}
		}
	}
	m.applied = to
}

var machineKeys = []string{"a", "b"}

func (m *tableMachine) check(t *rapid.T) {
	if at := m.table.Revision(); at != m.applied {
		t.Fatalf("the table is at revision %d, want %d", at, m.applied)
	}
	for _, key := range machineKeys {
		want := platform.Revision(0)
		if current, ok := m.states[m.applied][key]; ok {
			if _, valid := decode(current); valid {
				want = current.Revision
			}
		}
		if l, ok := m.lapsed[key]; ok {
			want = l.revision
		}
		if m.used[key] != want {
			t.Fatalf("at revision %d the endpoint of %s is used by its entry of revision %d, want %d", m.applied, key, m.used[key], want)
		}
	}
}

// changeAndApply changes a key and applies all events that the table lacks.
func (m *tableMachine) changeAndApply(key, value string) {
	m.change(key, value)
	from := m.applied
	for revision := m.applied + 1; revision <= m.head(); revision++ {
		m.advance(revision)
	}
	m.record(m.table.Apply(m.now, m.events[from:], m.head()))
}

func (m *tableMachine) run(t *rapid.T) {
	values := []string{"s 1", "s 1 leaving", "s 1 again", "", "garbage"}
	t.Repeat(map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			m.change(rapid.SampledFrom(machineKeys).Draw(t, "key"), rapid.SampledFrom(values).Draw(t, "value"))
		},
		"events": func(t *rapid.T) { // from an old revision as well, and not always all
			from := rapid.IntRange(0, int(m.applied)).Draw(t, "from")
			to := rapid.IntRange(from, int(m.head())).Draw(t, "to")
			for revision := int(m.applied) + 1; revision <= to; revision++ {
				m.advance(platform.Revision(revision))
			}
			m.record(m.table.Apply(m.now, m.events[from:to], platform.Revision(to)))
		},
		"register": func(t *rapid.T) { m.changeAndApply(rapid.SampledFrom(machineKeys).Draw(t, "key"), "s 1") },
		"expire":   func(t *rapid.T) { m.changeAndApply(rapid.SampledFrom(machineKeys).Draw(t, "key"), "") },
		"list": func(t *rapid.T) { // perhaps the copy of a peer that lags
			at := platform.Revision(rapid.IntRange(0, int(m.head())).Draw(t, "at"))
			if m.broken == "older list" {
				m.table.revision = min(m.table.revision, at)
			}
			m.advance(at)
			m.record(m.table.Replace(m.now, slices.Collect(maps.Values(m.states[at])), at))
		},
		"lose the store": func(*rapid.T) {
			m.unreachable = true
			m.table.StoreUnreachable()
		},
		"reach the store": func(*rapid.T) {
			if m.unreachable {
				m.unreachable, m.regainedAt = false, m.now
			}
			if m.broken != "no grace" {
				m.table.StoreReachable(m.now)
			}
			m.table.storeUnreachable = m.unreachable
		},
		"a peer regains the store": func(t *rapid.T) {
			at := m.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms ago")) * time.Millisecond)
			if at.After(m.regainedAt) {
				m.regainedAt = at
			}
			m.table.StoreRegainedByPeer(at)
		},
		"a peer reads the store": func(*rapid.T) {
			m.unreachable = false
			if m.broken != "own contact only" {
				m.table.StoreReadByPeer()
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if m.broken != "lapsed for ever" {
				m.record(m.table.Tick(m.now))
			}
			for key, l := range m.lapsed {
				if !m.unreachable && !m.now.Before(l.deadline) {
					delete(m.lapsed, key)
				}
			}
		},
		"": m.check,
	})
}

// Guards against an endpoint that is used although its entry is gone or says that it leaves,
// against one that is dropped because the store was away, and against a list that returns to
// an older state.
func TestTableMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newTableMachine("").run(t) })
}

// Guards against a check that can't fail: it must detect each broken variant.
func TestTableBrokenVariants(t *testing.T) {
	for _, broken := range []string{"older list", "no grace", "lapsed for ever", "own contact only"} {
		t.Run(broken, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { newTableMachine(broken).run(t) })
		})
	}
}
