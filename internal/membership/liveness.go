package membership

import "time"

// missingAfter is how long a failure domain's digests may leave out a member
// before it is held to be dead, beyond Options.DeadAfter. Its representatives
// need that long to learn of a new member.
const missingGrace = 10 * time.Second

// youngFor is the time in which a new daemon has heard of all members.
const startupPeriod = 15 * time.Second

// provenBeats is more than the beats by which two relays of a failure domain
// can differ.
const revivalHeartbeats = 5

// newer reports whether (inc, beat) is above what is known of n.
func (n *node) isNewer(incarnation, heartbeatSeq uint32) bool {
	return incarnation > n.Incarnation || incarnation == n.Incarnation && heartbeatSeq > n.heartbeatSeq
}

// contact notes the sender of a message. A delayed message that shows nothing
// new is no sign of life.
func (t *Table) recordSender(m Message) *node {
	n := t.nodes[m.From.ID]
	if n == nil {
		n = t.addNode(m.From, t.now)
	}
	first := n.Incarnation == 0 && t.inStartup() && m.Kind != Changes
	fresh := n.isNewer(m.Incarnation, m.HeartbeatSeq) || t.disabled.acceptStaleHeartbeats
	changed := t.merge(n, MemberChange{Identity: m.From, Incarnation: m.Incarnation, HeartbeatSeq: m.HeartbeatSeq, Leaving: m.Leaving}, true)
	if fresh {
		t.recordReceipt()
		if t.disabled.acceptStaleHeartbeats {
			n.lastAlive = t.now
		}
		t.recordDomainContact(n.domain)
	}
	if changed && !first && n.domain != t.self.domain {
		t.announce([]MemberChange{t.memberChange(n)}, nil, toDomain)
	}
	if n.dead {
		t.requestRefutation(n)
	}
	return n
}

// isolated reports whether this daemon hears from nobody. The limit is above two
// exchanges, because the last member of a failure domain hears only those.
func (t *Table) isolated() bool { return t.now.Sub(t.lastReceived) >= 5*t.options.Exchange/2 }

// endIsolation notes that somebody is heard. After a time in which nobody was,
// the others get a new chance to be heard before they are judged.
func (t *Table) recordReceipt() {
	if t.isolated() {
		for _, n := range t.domains[t.self.Domain].members {
			if t.now.Sub(n.lastAlive) >= t.options.SuspectAfter {
				n.lastAlive = t.now
			}
		}
	}
	t.lastReceived = t.now
}

// young reports whether this daemon has just started. What it hears first is
// then news to it alone.
func (t *Table) inStartup() bool { return t.now.Sub(t.started) < startupPeriod }

// accuse tells a member that gives signs of life that it is held to be dead,
// so that it raises its incarnation.
func (t *Table) requestRefutation(n *node) {
	if t.now.Sub(n.lastRefutationRequest) < t.options.Heartbeat {
		return
	}
	n.lastRefutationRequest = t.now
	m := t.newMessage(Ping, n)
	m.Digest = []DigestEntry{{Hash: n.hash, Incarnation: n.Incarnation, HeartbeatSeq: n.heartbeatSeq, Leaving: n.Leaving, Dead: true}}
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
	var changed bool
	if c.Dead {
		changed = t.mergeDeath(n, c)
	} else {
		changed = t.mergeAlive(n, c, direct)
	}
	if c.Leaving && !n.Leaving {
		n.Leaving, changed = true, true
	}
	t.viewDirty = t.viewDirty || changed
	if changed {
		t.updateState(n)
	}
	return changed
}

// mergeDeath takes the report of a death from another failure domain. In its
// own failure domain each daemon judges by the beats alone.
func (t *Table) mergeDeath(n *node, c MemberChange) bool {
	known := n.dead && c.Incarnation == n.Incarnation
	if n.domain == t.self.domain || known || c.Incarnation < n.Incarnation {
		return false
	}
	n.Incarnation = c.Incarnation
	t.markDead(n, "reported dead by its failure domain")
	return true
}

func (t *Table) mergeAlive(n *node, c MemberChange, direct bool) bool {
	if !n.isNewer(c.Incarnation, c.HeartbeatSeq) {
		return false
	}
	if n.dead && !direct && n.domain == t.self.domain && !n.confirmsRevival(c) {
		return false
	}
	newIncarnation := c.Incarnation > n.Incarnation
	if newIncarnation {
		n.dead = false
	}
	n.Incarnation, n.heartbeatSeq = c.Incarnation, c.HeartbeatSeq
	if !n.dead {
		n.lastAlive, n.lastReported = t.now, t.now
	}
	return newIncarnation
}

// proven reports whether relayed signs of life end the death of n. A daemon
// that was paused passes on what it knew of a member that has died meanwhile,
// so the beats must go on rising.
func (n *node) confirmsRevival(c MemberChange) bool {
	if c.Incarnation <= n.Incarnation {
		return false
	}
	if c.Incarnation != n.revivalIncarnation {
		n.revivalIncarnation, n.revivalHeartbeatSeq = c.Incarnation, c.HeartbeatSeq
	}
	return c.HeartbeatSeq >= n.revivalHeartbeatSeq+revivalHeartbeats
}

// refute raises the own incarnation above that of a report of the own death.
func (t *Table) refute(c MemberChange) {
	if !c.Dead || c.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = c.Incarnation + 1
	t.viewDirty = true
	t.announce([]MemberChange{t.memberChange(t.self)}, nil, toFleet)
}

func (t *Table) markDead(n *node, cause string) {
	n.dead, n.deadSince = true, t.now
	t.viewDirty = true
	t.setState(n, Dead, cause)
}

func (t *Table) recordDomainContact(d *domain) {
	if t.now.Sub(d.lastCounted) >= t.options.Heartbeat {
		d.contactCount++
		d.lastCounted = t.now
	}
	d.lastContact = t.now
}

// assess derives the states from the evidence at the present time. Those of
// other failure domains change with messages, so they are looked at seldom.
func (t *Table) updateStates() {
	remoteDue := !t.now.Before(t.nextRemoteUpdate)
	if remoteDue {
		t.nextRemoteUpdate = t.now.Add(t.options.Heartbeat)
	}
	for _, d := range t.sortedDomains {
		sameDomain := d == t.self.domain
		if !sameDomain && !t.updateDomainState(d) && !remoteDue {
			continue
		}
		for _, n := range d.members {
			if n != t.self {
				t.updateState(n)
			}
		}
	}
}

// assessDomain reports whether the failure domain became silent or heard.
func (t *Table) updateDomainState(d *domain) bool {
	unreachable := t.now.Sub(d.lastContact) >= t.options.DomainUnreachableAfter
	if unreachable == d.unreachable {
		return false
	}
	d.unreachable = unreachable
	kind := DomainReachable
	if unreachable {
		kind = DomainUnreachable
	} else {
		for _, n := range d.members {
			n.lastReported = t.now
		}
	}
	t.out.Events = append(t.out.Events, Event{Kind: kind, Domain: d.name})
	return true
}

func (t *Table) updateState(n *node) {
	if n.dead {
		t.setState(n, Dead, "held dead")
		if t.now.Sub(n.deadSince) > forgetAfter {
			t.scheduleForget(n)
		}
		return
	}
	if n.domain == t.self.domain {
		t.updateLocalState(n)
		return
	}
	t.updateRemoteState(n)
}

// assessNear judges a member of the own failure domain by its beats.
func (t *Table) updateLocalState(n *node) {
	silence := t.now.Sub(n.lastAlive)
	isolated := t.isolated() && !t.disabled.ignorePartitions
	switch {
	case silence >= t.options.SuspectAfter && t.removedFromList(n):
		t.declareDead(n, "silent and gone from the list")
	case silence >= t.options.DeadAfter && isolated:
		t.setState(n, Unreachable, "nobody is heard")
	case silence >= t.options.DeadAfter:
		t.declareDead(n, "no sign of life")
	case silence >= t.options.SuspectAfter:
		if n.State != Unreachable {
			t.setState(n, Suspected, "no sign of life")
		}
	case n.Incarnation > 0:
		t.setState(n, n.activeState(), "sign of life")
	}
}

// assessFar judges a member of another failure domain by what that one says.
func (t *Table) updateRemoteState(n *node) {
	d := n.domain
	limit := t.options.DeadAfter + missingGrace
	reporting := t.now.Sub(d.lastDigest) < 3*t.options.Exchange && t.now.Sub(d.digestsSince) >= limit
	switch {
	case d.unreachable && t.removedFromList(n):
		t.declareDead(n, "silent and gone from the list")
	case d.unreachable && t.disabled.ignorePartitions:
		t.declareDead(n, "failure domain is silent")
	case d.unreachable:
		t.setState(n, Unreachable, "failure domain is silent")
	case reporting && t.now.Sub(n.lastReported) >= limit:
		t.declareDead(n, "not known in its failure domain")
	case n.Incarnation > 0:
		t.setState(n, n.activeState(), "sign of life")
	}
}

func (n *node) activeState() State {
	if n.Leaving {
		return Leaving
	}
	return Live
}

// declareDead buries n on own evidence and, in a representative, tells others.
// Other failure domains judge members that are far from both by themselves.
func (t *Table) declareDead(n *node, cause string) {
	t.markDead(n, cause)
	if t.isRepresentative() {
		s := toFleet
		if n.Domain != t.self.Domain {
			s = toDomain
		}
		t.announce([]MemberChange{t.memberChange(n)}, nil, s)
	}
}

// forgetLater drops the node outside of the loops over the nodes.
func (t *Table) scheduleForget(n *node) { t.forgotten = append(t.forgotten, n) }
