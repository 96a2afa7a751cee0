package membership

import "time"

// missingAfter is how long a failure domain's digests may leave out a member
// before it is held to be dead, beyond Options.DeadAfter. Its representatives
// need that long to learn of a new member.
const missingAfter = 10 * time.Second

// youngFor is the time in which a new daemon has heard of all members.
const youngFor = 15 * time.Second

// provenBeats is more than the beats by which two relays of a failure domain
// can differ.
const provenBeats = 5

// newer reports whether (inc, beat) is above what is known of n.
func (n *node) newer(inc, beat uint32) bool {
	return inc > n.Incarnation || inc == n.Incarnation && beat > n.beat
}

// contact notes the sender of a message. A delayed message that shows nothing
// new is no sign of life.
func (t *Table) contact(m Message) *node {
	n := t.nodes[m.From.ID]
	if n == nil {
		n = t.add(m.From, t.last)
	}
	first := n.Incarnation == 0 && t.young() && m.Kind != Changes
	fresh := n.newer(m.Incarnation, m.HeartbeatSeq) || t.broken.staleBeats
	news := t.merge(n, MemberChange{Identity: m.From, Incarnation: m.Incarnation, HeartbeatSeq: m.HeartbeatSeq, Leaving: m.Leaving}, true)
	if fresh {
		t.endIsolation()
		if t.broken.staleBeats {
			n.heard = t.last
		}
		t.hearDomain(n.domain)
	}
	if news && !first && n.domain != t.self.domain {
		t.announce([]MemberChange{t.change(n)}, nil, toDomain)
	}
	if n.dead {
		t.accuse(n)
	}
	return n
}

// isolated reports whether this daemon hears from nobody. The limit is above two
// exchanges, because the last member of a failure domain hears only those.
func (t *Table) isolated() bool { return t.last.Sub(t.heardAny) >= 5*t.o.Exchange/2 }

// endIsolation notes that somebody is heard. After a time in which nobody was,
// the others get a new chance to be heard before they are judged.
func (t *Table) endIsolation() {
	if t.isolated() {
		for _, n := range t.domains[t.self.Domain].members {
			if t.last.Sub(n.heard) >= t.o.SuspectAfter {
				n.heard = t.last
			}
		}
	}
	t.heardAny = t.last
}

// young reports whether this daemon has just started. What it hears first is
// then news to it alone.
func (t *Table) young() bool { return t.last.Sub(t.started) < youngFor }

// accuse tells a member that gives signs of life that it is held to be dead,
// so that it raises its incarnation.
func (t *Table) accuse(n *node) {
	if t.last.Sub(n.accused) < t.o.Heartbeat {
		return
	}
	n.accused = t.last
	m := t.message(Ping, n)
	m.Digest = []DigestEntry{{Hash: n.hash, Incarnation: n.Incarnation, HeartbeatSeq: n.beat, Leaving: n.Leaving, Dead: true}}
	t.send(m)
}

// merge applies what is reported of n and reports whether it is news for
// others. Reports commute: the higher incarnation counts, a death counts over
// a life at the same incarnation, and leaving is final.
func (t *Table) merge(n *node, c MemberChange, direct bool) bool {
	if n == t.self {
		t.refute(c)
		return false
	}
	var news bool
	if c.Dead {
		news = t.mergeDeath(n, c)
	} else {
		news = t.mergeLife(n, c, direct)
	}
	if c.Leaving && !n.Leaving {
		n.Leaving, news = true, true
	}
	t.viewDirty = t.viewDirty || news
	if news {
		t.assessNode(n)
	}
	return news
}

// mergeDeath takes the report of a death from another failure domain. In its
// own failure domain each daemon judges by the beats alone.
func (t *Table) mergeDeath(n *node, c MemberChange) bool {
	known := n.dead && c.Incarnation == n.Incarnation
	if n.domain == t.self.domain || known || c.Incarnation < n.Incarnation {
		return false
	}
	n.Incarnation = c.Incarnation
	t.bury(n, "reported dead by its failure domain")
	return true
}

func (t *Table) mergeLife(n *node, c MemberChange, direct bool) bool {
	if !n.newer(c.Incarnation, c.HeartbeatSeq) {
		return false
	}
	if n.dead && !direct && n.domain == t.self.domain && !n.proven(c) {
		return false
	}
	news := c.Incarnation > n.Incarnation
	if news {
		n.dead = false
	}
	n.Incarnation, n.beat = c.Incarnation, c.HeartbeatSeq
	if !n.dead {
		n.heard, n.attested = t.last, t.last
	}
	return news
}

// proven reports whether relayed signs of life end the death of n. A daemon
// that was paused passes on what it knew of a member that has died meanwhile,
// so the beats must go on rising.
func (n *node) proven(c MemberChange) bool {
	if c.Incarnation <= n.Incarnation {
		return false
	}
	if c.Incarnation != n.rumourInc {
		n.rumourInc, n.rumourBeat = c.Incarnation, c.HeartbeatSeq
	}
	return c.HeartbeatSeq >= n.rumourBeat+provenBeats
}

// refute raises the own incarnation above that of a report of the own death.
func (t *Table) refute(c MemberChange) {
	if !c.Dead || c.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = c.Incarnation + 1
	t.viewDirty = true
	t.announce([]MemberChange{t.change(t.self)}, nil, toFleet)
}

func (t *Table) bury(n *node, cause string) {
	n.dead, n.deadSince = true, t.last
	t.viewDirty = true
	t.setState(n, Dead, cause)
}

func (t *Table) hearDomain(d *domain) {
	if t.last.Sub(d.counted) >= t.o.Heartbeat {
		d.count++
		d.counted = t.last
	}
	d.heard = t.last
}

// assess derives the states from the evidence at the present time. Those of
// other failure domains change with messages, so they are looked at seldom.
func (t *Table) assess() {
	far := !t.last.Before(t.nextFar)
	if far {
		t.nextFar = t.last.Add(t.o.Heartbeat)
	}
	for _, d := range t.byName {
		near := d == t.self.domain
		if !near && !t.assessDomain(d) && !far {
			continue
		}
		for _, n := range d.members {
			if n != t.self {
				t.assessNode(n)
			}
		}
	}
}

// assessDomain reports whether the failure domain became silent or heard.
func (t *Table) assessDomain(d *domain) bool {
	silent := t.last.Sub(d.heard) >= t.o.DomainUnreachableAfter
	if silent == d.silent {
		return false
	}
	d.silent = silent
	kind := DomainReachable
	if silent {
		kind = DomainUnreachable
	} else {
		for _, n := range d.members {
			n.attested = t.last
		}
	}
	t.out.Events = append(t.out.Events, Event{Kind: kind, Domain: d.name})
	return true
}

func (t *Table) assessNode(n *node) {
	if n.dead {
		t.setState(n, Dead, "held dead")
		if t.last.Sub(n.deadSince) > forgetAfter {
			t.forgetLater(n)
		}
		return
	}
	if n.domain == t.self.domain {
		t.assessNear(n)
		return
	}
	t.assessFar(n)
}

// assessNear judges a member of the own failure domain by its beats.
func (t *Table) assessNear(n *node) {
	silence := t.last.Sub(n.heard)
	isolated := t.isolated() && !t.broken.noPartition
	switch {
	case silence >= t.o.SuspectAfter && t.listGone(n):
		t.declareDead(n, "silent and gone from the list")
	case silence >= t.o.DeadAfter && isolated:
		t.setState(n, Unreachable, "nobody is heard")
	case silence >= t.o.DeadAfter:
		t.declareDead(n, "no sign of life")
	case silence >= t.o.SuspectAfter:
		if n.State != Unreachable {
			t.setState(n, Suspected, "no sign of life")
		}
	case n.Incarnation > 0:
		t.setState(n, n.healthy(), "sign of life")
	}
}

// assessFar judges a member of another failure domain by what that one says.
func (t *Table) assessFar(n *node) {
	d := n.domain
	limit := t.o.DeadAfter + missingAfter
	speaks := t.last.Sub(d.digestLast) < 3*t.o.Exchange && t.last.Sub(d.digestSince) >= limit
	switch {
	case d.silent && t.listGone(n):
		t.declareDead(n, "silent and gone from the list")
	case d.silent && t.broken.noPartition:
		t.declareDead(n, "failure domain is silent")
	case d.silent:
		t.setState(n, Unreachable, "failure domain is silent")
	case speaks && t.last.Sub(n.attested) >= limit:
		t.declareDead(n, "not known in its failure domain")
	case n.Incarnation > 0:
		t.setState(n, n.healthy(), "sign of life")
	}
}

func (n *node) healthy() State {
	if n.Leaving {
		return Leaving
	}
	return Live
}

// declareDead buries n on own evidence and, in a representative, tells others.
// Other failure domains judge members that are far from both by themselves.
func (t *Table) declareDead(n *node, cause string) {
	t.bury(n, cause)
	if t.isRepresentative() {
		s := toFleet
		if n.Domain != t.self.Domain {
			s = toDomain
		}
		t.announce([]MemberChange{t.change(n)}, nil, s)
	}
}

// forgetLater drops the node outside of the loops over the nodes.
func (t *Table) forgetLater(n *node) { t.forgotten = append(t.forgotten, n) }
