package membership

import "time"

// missingGrace is added to Options.DeadAfter for a member of another failure domain:
// it is declared dead once the digests of that domain have omitted it for the sum.
// The domain's representatives need that long to learn of a new member.
const missingGrace = 10 * time.Second

// startupPeriod is the time within which a new daemon learns of all members.
const startupPeriod = 15 * time.Second

// revivalHeartbeats is the number of heartbeats that relayed reports must advance
// before they revive a dead member. It exceeds the difference that two relays of a
// failure domain can have.
const revivalHeartbeats = 5

// isNewer reports whether the pair is higher than the last one received from or
// about n.
func (n *node) isNewer(incarnation, heartbeatSeq uint32) bool {
	return incarnation > n.Incarnation || incarnation == n.Incarnation && heartbeatSeq > n.heartbeatSeq
}

// recordSender updates the node of the sender of a message. A delayed message
// without a higher heartbeat sequence is not a sign of life.
func (t *Table) recordSender(m Message) *node {
	n := t.nodes[m.From.ID]
	if n == nil {
		n = t.addNode(m.From, t.now)
	}
	first := n.Incarnation == 0 && t.inStartup() && m.Kind != Changes
	fresh := n.isNewer(m.Incarnation, m.HeartbeatSeq) || t.disabled.acceptStaleHeartbeats
	changed := t.merge(n, MemberChange{
		Identity: m.From, Incarnation: m.Incarnation, HeartbeatSeq: m.HeartbeatSeq, Leaving: m.Leaving,
	}, true)
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

// isolated reports whether this daemon receives messages from no other daemon. The
// limit exceeds two exchange intervals, because the last member of a failure domain
// receives nothing but exchanges.
func (t *Table) isolated() bool { return t.now.Sub(t.lastReceived) >= 5*t.options.ExchangeInterval/2 }

// recordReceipt records that a new message has arrived. If this ends an isolation,
// the silence of the members of this failure domain is counted from now on.
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

// inStartup reports whether this daemon has just started. What it then learns is
// new only to itself and need not be announced.
func (t *Table) inStartup() bool { return t.now.Sub(t.started) < startupPeriod }

// requestRefutation tells a member that shows signs of life that it is considered
// dead, so that it raises its incarnation.
func (t *Table) requestRefutation(n *node) {
	if t.now.Sub(n.lastRefutationRequest) < t.options.HeartbeatInterval {
		return
	}
	n.lastRefutationRequest = t.now
	m := t.newMessage(Ping, n)
	m.Digest = []DigestEntry{{
		Hash: n.hash, Incarnation: n.Incarnation, HeartbeatSeq: n.heartbeatSeq, Leaving: n.Leaving, Dead: true,
	}}
	t.send(m)
}

// merge applies a report about n and returns whether it is to be announced. Reports
// commute: the higher incarnation wins, at the same incarnation dead wins over
// alive, and leaving is final.
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

// mergeDeath applies a report that a member of another failure domain is dead.
// Within its own failure domain, a daemon relies on heartbeats alone.
func (t *Table) mergeDeath(n *node, c MemberChange) bool {
	known := n.dead && c.Incarnation == n.Incarnation
	if n.domain == t.self.domain || known || c.Incarnation < n.Incarnation {
		return false
	}
	n.Incarnation = c.Incarnation
	t.markDead(n, "reported dead by its failure domain")
	return true
}

// mergeAlive applies a report that n is alive and returns whether its incarnation
// rose.
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

// confirmsRevival reports whether relayed signs of life revive n. A daemon that was
// paused relays stale information about a member that has died meanwhile, so the
// heartbeat sequence must keep rising.
func (n *node) confirmsRevival(c MemberChange) bool {
	if c.Incarnation <= n.Incarnation {
		return false
	}
	if c.Incarnation != n.revivalIncarnation {
		n.revivalIncarnation, n.revivalHeartbeatSeq = c.Incarnation, c.HeartbeatSeq
	}
	return c.HeartbeatSeq >= n.revivalHeartbeatSeq+revivalHeartbeats
}

// refute raises this daemon's incarnation above that of a report of its death.
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
	if t.now.Sub(d.lastCounted) >= t.options.HeartbeatInterval {
		d.contactCount++
		d.lastCounted = t.now
	}
	d.lastContact = t.now
}

// updateStates derives the states of all members from the evidence at the current
// time. Members of other failure domains change state mostly on messages, so they are
// evaluated only once per heartbeat interval.
func (t *Table) updateStates() {
	remoteDue := !t.now.Before(t.nextRemoteUpdate)
	if remoteDue {
		t.nextRemoteUpdate = t.now.Add(t.options.HeartbeatInterval)
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

// updateDomainState returns whether the reachability of the failure domain changed.
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

// updateLocalState evaluates a member of this failure domain by its heartbeats.
func (t *Table) updateLocalState(n *node) {
	silence := t.now.Sub(n.lastAlive)
	isolated := t.isolated() && !t.disabled.ignorePartitions
	switch {
	case silence >= t.options.SuspectAfter && t.removedFromList(n):
		t.declareDead(n, "silent and removed from the platform's list")
	case silence >= t.options.DeadAfter && isolated:
		t.setState(n, Unreachable, "no messages from any daemon")
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

// updateRemoteState evaluates a member of another failure domain by the reports of
// that domain.
func (t *Table) updateRemoteState(n *node) {
	d := n.domain
	limit := t.options.DeadAfter + missingGrace
	reporting := t.now.Sub(d.lastDigest) < 3*t.options.ExchangeInterval && t.now.Sub(d.digestsSince) >= limit
	switch {
	case d.unreachable && t.removedFromList(n):
		t.declareDead(n, "silent and removed from the platform's list")
	case d.unreachable && t.disabled.ignorePartitions:
		t.declareDead(n, "failure domain is silent")
	case d.unreachable:
		t.setState(n, Unreachable, "failure domain is silent")
	case reporting && t.now.Sub(n.lastReported) >= limit:
		t.declareDead(n, "missing from the digests of its failure domain")
	case n.Incarnation > 0:
		t.setState(n, n.activeState(), "sign of life")
	}
}

// activeState returns the state of a member that shows signs of life.
func (n *node) activeState() State {
	if n.Leaving {
		return Leaving
	}
	return Live
}

// declareDead marks n dead on this daemon's own evidence; a representative also
// announces it. The death of a member of another failure domain is announced only
// in this one, because the remaining failure domains evaluate it themselves.
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

// scheduleForget removes the node at the end of the call, because the callers
// iterate over the nodes.
func (t *Table) scheduleForget(n *node) { t.forgotten = append(t.forgotten, n) }
