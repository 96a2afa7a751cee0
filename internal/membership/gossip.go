package membership

import (
	"slices"
	"time"
)

const (
	// syncAfter is how long two views may differ before the whole view is
	// requested. Changes in transit take less time.
	syncAfter = 5 * time.Second
	// probeRelays is the number of members that are asked to probe a silent one.
	probeRelays = 3
	// heartbeatsPerDeadContact is the number of heartbeat rounds between two
	// messages to a dead member. Without them, a partition inside a failure
	// domain would not heal.
	heartbeatsPerDeadContact = 5
)

// digest returns the digest of this daemon's failure domain.
func (t *Table) digest() []DigestEntry {
	members := t.domains[t.self.Domain].members
	entries := make([]DigestEntry, 0, len(members))
	for _, n := range members {
		if n.dead && t.now.Sub(n.deadSince) > deadDigestPeriod || n.Incarnation == 0 {
			continue
		}
		entries = append(entries, DigestEntry{
			Hash: n.hash, Incarnation: n.Incarnation, HeartbeatSeq: n.heartbeatSeq, Leaving: n.Leaving, Dead: n.dead,
		})
	}
	return entries
}

// sendHeartbeats sends one round of heartbeats.
func (t *Table) sendHeartbeats() {
	t.heartbeatRound++
	digest, domains := t.digest(), t.domainHeartbeats()
	for _, n := range t.heartbeatTargets() {
		m := t.newMessage(Heartbeat, n)
		m.Digest, m.Domains = digest, domains
		m.ViewHash, m.ListHash = t.currentViewHash(), t.listHash
		t.send(m)
	}
	if t.heartbeatRound%heartbeatsPerDeadContact == 0 {
		if n := t.randomDeadMember(); n != nil {
			m := t.newMessage(Heartbeat, n)
			m.Digest = digest
			t.send(m)
		}
	}
}

// heartbeatTargets returns the receivers of heartbeats: all other members of a
// small failure domain, or those at ring distances 1, 2, 4, 8... in a larger one.
func (t *Table) heartbeatTargets() []*node {
	ring := make([]*node, 0, len(t.domains[t.self.Domain].members))
	at := 0
	for _, n := range t.domains[t.self.Domain].members {
		if n == t.self {
			at = len(ring)
		}
		if !n.dead {
			ring = append(ring, n)
		}
	}
	if len(ring) <= t.options.FullMeshLimit {
		return append(append([]*node(nil), ring[at+1:]...), ring[:at]...)
	}
	var targets []*node
	for step := 1; step < len(ring); step *= 2 {
		targets = append(targets, ring[(at+step)%len(ring)])
	}
	return targets
}

// randomDeadMember returns a dead member of this failure domain that the platform
// still lists, or nil if there is none.
func (t *Table) randomDeadMember() *node {
	var dead []*node
	for _, n := range t.domains[t.self.Domain].members {
		if n.dead && !t.removedFromList(n) {
			dead = append(dead, n)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[t.randomIndex(len(dead))]
}

func (t *Table) domainHeartbeats() []DomainHeartbeat {
	var heartbeats []DomainHeartbeat
	for _, d := range t.sortedDomains {
		if d.name != t.self.Domain && d.contactCount > 0 {
			heartbeats = append(heartbeats, DomainHeartbeat{Hash: d.hash, Count: d.contactCount})
		}
	}
	return heartbeats
}

// sendExchanges sends an Exchange to one daemon of each other failure domain,
// alternately to the representative of the same rank and to a random member that
// is asked for a reply.
func (t *Table) sendExchanges() {
	rank := t.rank()
	if rank < 0 {
		return
	}
	digest := t.digest()
	for i, d := range t.sortedDomains {
		name := d.name
		if name == t.self.Domain {
			continue
		}
		candidates := t.representatives(name)
		wantReply := (t.heartbeatRound/2+uint64(i))%2 == 0
		if wantReply {
			candidates = t.candidates(name)
		}
		if len(candidates) == 0 {
			continue
		}
		n := candidates[rank%len(candidates)]
		if wantReply {
			n = candidates[t.randomIndex(len(candidates))]
		}
		m := t.newMessage(Exchange, n)
		m.Digest = digest
		if wantReply {
			m.Seq = 1
		}
		t.send(m)
	}
}

// handleDigest processes a Heartbeat or an Exchange.
func (t *Table) handleDigest(from *node, m Message) {
	sameDomain := from.Domain == t.self.Domain
	d := t.domains[from.Domain]
	if !sameDomain {
		if t.now.Sub(d.lastDigest) > 3*t.options.ExchangeInterval {
			d.digestsSince = t.now
		}
		d.lastDigest = t.now
		from.lastReported = t.now
	}
	if !sameDomain {
		t.syncUnknownMembers(from, m.Digest)
	}
	if updates := t.applyDigest(m.Digest); len(updates) > 0 && !sameDomain {
		t.announce(updates, nil, toDomain)
	}
	if m.Kind == Exchange {
		if m.Seq > 0 {
			reply := t.newMessage(Exchange, from)
			reply.Digest = t.digest()
			t.send(reply)
		}
		return
	}
	for _, b := range m.Domains {
		t.applyDomainHeartbeat(b)
	}
	t.compareHashes(from, m)
}

func (t *Table) applyDomainHeartbeat(b DomainHeartbeat) {
	for _, d := range t.sortedDomains {
		if d.hash == b.Hash && b.Count > d.contactCount {
			d.contactCount, d.lastContact = b.Count, t.now
		}
	}
}

// applyDigest merges the entries and returns the changes that others may not have.
func (t *Table) applyDigest(entries []DigestEntry) []MemberChange {
	var updates []MemberChange
	for _, e := range entries {
		n := t.byHash[e.Hash]
		if n == nil {
			// The identity arrives with the platform's list, a change or a sync.
			continue
		}
		if !e.Dead && n.Domain != t.self.Domain {
			n.lastReported = t.now
		}
		if n != t.self {
			t.resolveDeathConflict(n, e)
		}
		first := n.Incarnation == 0 && t.inStartup()
		if t.disabled.ignoreRelayed && !e.Dead && n.Domain == t.self.Domain {
			continue
		}
		if t.merge(n, MemberChange{
			Identity: n.Identity, Incarnation: e.Incarnation, HeartbeatSeq: e.HeartbeatSeq, Leaving: e.Leaving, Dead: e.Dead,
		}, false) && !first {
			updates = append(updates, t.memberChange(n))
		}
	}
	return updates
}

// syncUnknownMembers requests the whole view if digests of another failure domain
// have named unknown members for longer than a change takes to arrive.
func (t *Table) syncUnknownMembers(from *node, entries []DigestEntry) {
	unknown := slices.ContainsFunc(entries, func(e DigestEntry) bool { return !e.Dead && t.byHash[e.Hash] == nil })
	switch d := from.domain; {
	case !unknown:
		d.unknownSince = time.Time{}
	case d.unknownSince.IsZero():
		d.unknownSince = t.now
	case t.now.Sub(d.unknownSince) >= syncAfter:
		t.requestSync(from)
	}
}

// requestSync requests the whole view, at most once per syncAfter.
func (t *Table) requestSync(from *node) {
	if !t.now.Before(t.nextSync) {
		t.nextSync = t.now.Add(syncAfter)
		t.send(t.newMessage(SyncRequest, from))
	}
}

// resolveDeathConflict contacts a member that either this daemon or the sender of
// the entry considers dead while the other does not. A live member refutes.
func (t *Table) resolveDeathConflict(n *node, e DigestEntry) {
	switch {
	case n.dead && !e.Dead && e.Incarnation == n.Incarnation && e.HeartbeatSeq > n.heartbeatSeq:
		t.requestRefutation(n)
	case e.Dead && !n.dead && e.Incarnation == n.Incarnation && n.Domain == t.self.Domain &&
		t.now.Sub(n.lastAlive) < t.options.SuspectAfter:
		t.requestRefutation(n)
	}
}

// compareHashes compares the sender's hashes with those of this table. If they
// differ for syncAfter, it requests the whole view or lets the list be read.
func (t *Table) compareHashes(from *node, m Message) {
	if m.ViewHash == 0 {
		return
	}
	switch {
	case m.ViewHash == t.currentViewHash():
		from.viewDiffersSince = time.Time{}
	case from.viewDiffersSince.IsZero():
		from.viewDiffersSince = t.now
	case t.now.Sub(from.viewDiffersSince) >= syncAfter:
		t.requestSync(from)
	}
	switch {
	case m.ListHash == t.listHash:
		from.listDiffersSince = time.Time{}
	case from.listDiffersSince.IsZero():
		from.listDiffersSince = t.now
	case t.now.Sub(from.listDiffersSince) >= syncAfter:
		t.listStale = true
	}
}

// probeSilentMembers pings silent members of this failure domain, directly and
// through others. It starts one heartbeat interval before they would be suspected,
// so that a reply prevents the suspicion.
func (t *Table) probeSilentMembers() {
	limit := t.options.SuspectAfter - t.options.HeartbeatInterval
	for _, n := range t.domains[t.self.Domain].members {
		if n != t.self && !n.dead && t.now.Sub(n.lastAlive) >= limit && !t.now.Before(n.nextProbe) {
			t.probe(n)
		}
	}
}

func (t *Table) probe(n *node) {
	n.nextProbe = t.now.Add(t.options.HeartbeatInterval)
	t.send(t.newMessage(Ping, n))
	var relays []*node
	for _, r := range t.sortedNodes {
		if r != n && r != t.self && (r.State == Live || r.State == Leaving) {
			relays = append(relays, r)
		}
	}
	for i := 0; i < probeRelays && len(relays) > 0; i++ {
		k := t.randomIndex(len(relays))
		m := t.newMessage(Probe, relays[k])
		m.Target = n.Identity
		t.send(m)
		relays = append(relays[:k], relays[k+1:]...)
	}
}

func (t *Table) handleProbe(from *node, target Identity) {
	n := t.nodes[target.ID]
	if n == nil {
		n = t.addNode(target, t.now)
	}
	if n == t.self {
		t.send(t.newMessage(Pong, from))
		return
	}
	m := t.newMessage(Ping, n)
	m.Target = from.Identity
	t.send(m)
}

func (t *Table) handlePing(from *node, m Message) {
	t.applyDigest(m.Digest)
	pong := t.newMessage(Pong, from)
	pong.Target = m.Target
	t.send(pong)
}

// handlePong forwards the sign of life to the daemon that requested the probe.
func (t *Table) handlePong(from *node, m Message) {
	t.applyDigest(m.Digest)
	requester := t.nodes[m.Target.ID]
	if requester == nil || requester == t.self {
		return
	}
	pong := t.newMessage(Pong, requester)
	pong.Digest = []DigestEntry{{
		Hash: from.hash, Incarnation: from.Incarnation, HeartbeatSeq: from.heartbeatSeq, Leaving: from.Leaving,
	}}
	t.send(pong)
}
