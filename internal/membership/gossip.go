package membership

import (
	"slices"
	"time"
)

const (
	// differAfter is how long two views may differ before they are compared in
	// full; changes on their way take less.
	differAfter = 5 * time.Second
	// probeRelays is the number of members that probe a silent one.
	probeRelays = 3
	// deadContactEvery is the number of heartbeats between two attempts to
	// reach a member that is held to be dead, so that a partition inside a
	// failure domain heals.
	deadContactEvery = 5
)

// digest returns the digest of the own failure domain.
func (t *Table) digest() []DigestEntry {
	members := t.domains[t.self.Domain].members
	entries := make([]DigestEntry, 0, len(members))
	for _, n := range members {
		if n.dead && t.last.Sub(n.deadSince) > deadInDigest || n.Incarnation == 0 {
			continue
		}
		entries = append(entries, DigestEntry{Hash: n.hash, Incarnation: n.Incarnation, HeartbeatSeq: n.beat, Leaving: n.Leaving, Dead: n.dead})
	}
	return entries
}

// beat sends the heartbeats of one interval.
func (t *Table) beat() {
	t.round++
	digest, beats := t.digest(), t.domainBeats()
	for _, n := range t.targets() {
		m := t.message(Heartbeat, n)
		m.Digest, m.Domains = digest, beats
		m.ViewHash, m.ListHash = t.view(), t.listHash
		t.send(m)
	}
	if t.round%deadContactEvery == 0 {
		if n := t.deadMember(); n != nil {
			m := t.message(Heartbeat, n)
			m.Digest = digest
			t.send(m)
		}
	}
}

// targets returns the receivers of heartbeats: all members of a small failure
// domain, or those at distances 1, 2, 4, 8... of the ring in a larger one.
func (t *Table) targets() []*node {
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
	if len(ring) <= t.o.MeshLimit {
		return append(append([]*node(nil), ring[at+1:]...), ring[:at]...)
	}
	var targets []*node
	for step := 1; step < len(ring); step *= 2 {
		targets = append(targets, ring[(at+step)%len(ring)])
	}
	return targets
}

func (t *Table) deadMember() *node {
	var dead []*node
	for _, n := range t.domains[t.self.Domain].members {
		if n.dead && !t.listGone(n) {
			dead = append(dead, n)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[t.next(len(dead))]
}

func (t *Table) domainBeats() []DomainHeartbeat {
	var beats []DomainHeartbeat
	for _, d := range t.byName {
		if d.name != t.self.Domain && d.count > 0 {
			beats = append(beats, DomainHeartbeat{Hash: d.hash, Count: d.count})
		}
	}
	return beats
}

// exchange sends to one daemon of each other failure domain: by turns to the
// representative of the same rank and to any member, which answers.
func (t *Table) exchange() {
	rank := t.rank()
	if rank < 0 {
		return
	}
	digest := t.digest()
	for i, d := range t.byName {
		name := d.name
		if name == t.self.Domain {
			continue
		}
		candidates := t.representatives(name)
		answer := (t.round/2+uint64(i))%2 == 0
		if answer {
			candidates = t.candidates(name)
		}
		if len(candidates) == 0 {
			continue
		}
		n := candidates[rank%len(candidates)]
		if answer {
			n = candidates[t.next(len(candidates))]
		}
		m := t.message(Exchange, n)
		m.Digest = digest
		if answer {
			m.Seq = 1
		}
		t.send(m)
	}
}

// stepDigest takes a Heartbeat or an Exchange.
func (t *Table) stepDigest(from *node, m Message) {
	near := from.Domain == t.self.Domain
	d := t.domains[from.Domain]
	if !near {
		if t.last.Sub(d.digestLast) > 3*t.o.Exchange {
			d.digestSince = t.last
		}
		d.digestLast = t.last
		from.attested = t.last
	}
	if !near {
		t.noteUnknown(from, m.Digest)
	}
	if news := t.applyDigest(m.Digest); len(news) > 0 && !near {
		t.announce(news, nil, toDomain)
	}
	if m.Kind == Exchange {
		if m.Seq > 0 {
			reply := t.message(Exchange, from)
			reply.Digest = t.digest()
			t.send(reply)
		}
		return
	}
	for _, b := range m.Domains {
		t.applyDomainBeat(b)
	}
	t.compare(from, m)
}

func (t *Table) applyDomainBeat(b DomainHeartbeat) {
	for _, d := range t.byName {
		if d.hash == b.Hash && b.Count > d.count {
			d.count, d.heard = b.Count, t.last
		}
	}
}

// applyDigest merges the entries and returns the news among them.
func (t *Table) applyDigest(entries []DigestEntry) []MemberChange {
	var news []MemberChange
	for _, e := range entries {
		n := t.byHash[e.Hash]
		if n == nil {
			// The identity comes with the list, a change or a sync.
			continue
		}
		if !e.Dead && n.Domain != t.self.Domain {
			n.attested = t.last
		}
		if n != t.self {
			t.settle(n, e)
		}
		first := n.Incarnation == 0 && t.young()
		if t.broken.noRelay && !e.Dead && n.Domain == t.self.Domain {
			continue
		}
		if t.merge(n, MemberChange{Identity: n.Identity, Incarnation: e.Incarnation, HeartbeatSeq: e.HeartbeatSeq, Leaving: e.Leaving, Dead: e.Dead}, false) && !first {
			news = append(news, t.change(n))
		}
	}
	return news
}

// noteUnknown asks for the identities of members of another failure domain that
// are missing for longer than a change takes.
func (t *Table) noteUnknown(from *node, entries []DigestEntry) {
	unknown := slices.ContainsFunc(entries, func(e DigestEntry) bool { return !e.Dead && t.byHash[e.Hash] == nil })
	switch d := from.domain; {
	case !unknown:
		d.unknownSince = time.Time{}
	case d.unknownSince.IsZero():
		d.unknownSince = t.last
	case t.last.Sub(d.unknownSince) >= differAfter:
		t.sync(from)
	}
}

// sync asks for the whole view, at most once in differAfter.
func (t *Table) sync(from *node) {
	if !t.last.Before(t.nextSync) {
		t.nextSync = t.last.Add(differAfter)
		t.send(t.message(SyncRequest, from))
	}
}

// settle lets the member itself decide when one side holds it to be dead and
// the other does not.
func (t *Table) settle(n *node, e DigestEntry) {
	switch {
	case n.dead && !e.Dead && e.Incarnation == n.Incarnation && e.HeartbeatSeq > n.beat:
		t.accuse(n)
	case e.Dead && !n.dead && e.Incarnation == n.Incarnation && n.Domain == t.self.Domain && t.last.Sub(n.heard) < t.o.SuspectAfter:
		t.accuse(n)
	}
}

// compare looks for differences between the sender's view and the own one that
// last, and then asks for the whole view or reads the list.
func (t *Table) compare(from *node, m Message) {
	if m.ViewHash == 0 {
		return
	}
	switch {
	case m.ViewHash == t.view():
		from.viewDiffers = time.Time{}
	case from.viewDiffers.IsZero():
		from.viewDiffers = t.last
	case t.last.Sub(from.viewDiffers) >= differAfter:
		t.sync(from)
	}
	switch {
	case m.ListHash == t.listHash:
		from.listDiffers = time.Time{}
	case from.listDiffers.IsZero():
		from.listDiffers = t.last
	case t.last.Sub(from.listDiffers) >= differAfter:
		t.listStale = true
	}
}

// probeSuspected pings silent members of the own failure domain, directly and
// through others. It starts one heartbeat before they are suspected, so that an
// answer prevents the suspicion.
func (t *Table) probeSuspected() {
	limit := t.o.SuspectAfter - t.o.Heartbeat
	for _, n := range t.domains[t.self.Domain].members {
		if n != t.self && !n.dead && t.last.Sub(n.heard) >= limit && !t.last.Before(n.nextProbe) {
			t.probe(n)
		}
	}
}

func (t *Table) probe(n *node) {
	n.nextProbe = t.last.Add(t.o.Heartbeat)
	t.send(t.message(Ping, n))
	var relays []*node
	for _, r := range t.sorted {
		if r != n && r != t.self && (r.State == Live || r.State == Leaving) {
			relays = append(relays, r)
		}
	}
	for i := 0; i < probeRelays && len(relays) > 0; i++ {
		k := t.next(len(relays))
		m := t.message(Probe, relays[k])
		m.Target = n.Identity
		t.send(m)
		relays = append(relays[:k], relays[k+1:]...)
	}
}

func (t *Table) stepProbe(from *node, target Identity) {
	n := t.nodes[target.ID]
	if n == nil {
		n = t.add(target, t.last)
	}
	if n == t.self {
		t.send(t.message(Pong, from))
		return
	}
	m := t.message(Ping, n)
	m.Target = from.Identity
	t.send(m)
}

func (t *Table) stepPing(from *node, m Message) {
	t.applyDigest(m.Digest)
	pong := t.message(Pong, from)
	pong.Target = m.Target
	t.send(pong)
}

// stepPong passes the sign of life on to the daemon that asked for it.
func (t *Table) stepPong(from *node, m Message) {
	t.applyDigest(m.Digest)
	asker := t.nodes[m.Target.ID]
	if asker == nil || asker == t.self {
		return
	}
	pong := t.message(Pong, asker)
	pong.Digest = []DigestEntry{{Hash: from.hash, Incarnation: from.Incarnation, HeartbeatSeq: from.beat, Leaving: from.Leaving}}
	t.send(pong)
}
