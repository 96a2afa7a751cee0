package membership

import "time"

const (
	// retryInterval is the delay before the first retransmission. The delay
	// grows by half of retryInterval with each attempt, so that three
	// retransmissions fit into the 3 s within which all daemons must know that
	// an instance is leaving.
	retryInterval = 500 * time.Millisecond
	// maxAttempts limits the transmissions of a message. Daemons that miss all
	// of them catch up when the view hashes are compared.
	maxAttempts = 6
	// relayAfterAttempts is the number of unacknowledged attempts after which
	// the change is also sent through other members, around a one-way link.
	relayAfterAttempts = 2
	// maxChangesPerMessage limits the member changes of one message, and also
	// its list changes, so that it has about 6 KB.
	maxChangesPerMessage = 50
)

// scope is the set of daemons to which a change is announced.
type scope uint8

const (
	// toDomain selects all members of this daemon's failure domain.
	toDomain scope = iota
	// toFleet selects in addition the representatives of the other failure
	// domains, which announce the change in their own.
	toFleet
	scopeCount
)

// unackedMessage is a Changes message that has not been acknowledged yet.
type unackedMessage struct {
	to          *node
	message     Message
	attempts    int
	nextAttempt time.Time
}

func (t *Table) memberChange(n *node) MemberChange {
	return MemberChange{
		Identity: n.Identity, Incarnation: n.Incarnation, HeartbeatSeq: n.heartbeatSeq, Leaving: n.Leaving, Dead: n.dead,
	}
}

func (t *Table) allMembers() []MemberChange {
	changes := make([]MemberChange, 0, len(t.sortedNodes))
	for _, n := range t.sortedNodes {
		if n.Incarnation > 0 {
			changes = append(changes, t.memberChange(n))
		}
	}
	return changes
}

// changeQueue collects changes until the next tick, so that a mass restart costs
// one message per receiver and tick instead of one per change.
type changeQueue struct {
	members []MemberChange
	list    []ListChange
}

// announce queues the changes for the receivers of the scope.
func (t *Table) announce(members []MemberChange, list []ListChange, s scope) {
	t.queues[s].members = append(t.queues[s].members, members...)
	t.queues[s].list = append(t.queues[s].list, list...)
}

// flush sends the queued changes of all scopes.
func (t *Table) flush() {
	for s := range t.queues {
		if q := t.queues[s]; len(q.members)+len(q.list) > 0 {
			t.queues[s] = changeQueue{}
			t.sendChanges(q.members, q.list, scope(s))
		}
	}
}

// sendChanges sends the changes to all receivers of the scope.
func (t *Table) sendChanges(members []MemberChange, list []ListChange, s scope) {
	var receivers []*node
	for _, n := range t.domains[t.self.Domain].members {
		if n != t.self && !n.dead {
			receivers = append(receivers, n)
		}
	}
	if s == toFleet {
		for _, d := range t.sortedDomains {
			if d.name != t.self.Domain && !d.unreachable {
				receivers = append(receivers, t.remoteReceivers(d, len(members) == 0)...)
			}
		}
	}
	for len(members) > 0 || len(list) > 0 {
		m, l := min(len(members), maxChangesPerMessage), min(len(list), maxChangesPerMessage)
		t.seq++
		for _, n := range receivers {
			t.sendUntilAcked(n, members[:m], list[:l])
		}
		members, list = members[m:], list[l:]
	}
}

// remoteReceivers returns the representatives of another failure domain that
// receive a change. A change of the platform's list goes only to the
// representative of the same rank, because each list reader sends it.
func (t *Table) remoteReceivers(d *domain, listOnly bool) []*node {
	reps := t.representatives(d.name)
	if rank := t.rank(); listOnly && rank >= 0 && len(reps) > 0 {
		return reps[rank%len(reps):][:1]
	}
	return reps
}

// sendUntilAcked sends a Changes message and queues it for retransmission.
func (t *Table) sendUntilAcked(n *node, members []MemberChange, list []ListChange) {
	m := t.newMessage(Changes, n)
	m.Seq, m.Members, m.List = t.seq, members, list
	t.send(m)
	t.unacked = append(t.unacked, &unackedMessage{to: n, message: m, attempts: 1, nextAttempt: t.now.Add(retryInterval)})
}

// retry retransmits the messages that were not acknowledged in time.
func (t *Table) retry() {
	kept := t.unacked[:0]
	for _, p := range t.unacked {
		silent := p.to.State == Suspected || p.to.State == Unreachable
		if p.to.dead || p.attempts >= maxAttempts || p.attempts > relayAfterAttempts && silent {
			continue
		}
		kept = append(kept, p)
		if t.now.Before(p.nextAttempt) {
			continue
		}
		p.attempts++
		p.nextAttempt = t.now.Add(retryInterval * time.Duration(1+p.attempts) / 2)
		t.send(p.message)
		if p.attempts > relayAfterAttempts {
			t.sendViaRelay(p)
		}
	}
	t.unacked = kept
}

// sendViaRelay sends a message through a random live member.
func (t *Table) sendViaRelay(p *unackedMessage) {
	var relays []*node
	for _, r := range t.sortedNodes {
		if r != p.to && r != t.self && r.State == Live {
			relays = append(relays, r)
		}
	}
	if len(relays) == 0 {
		return
	}
	r := relays[t.randomIndex(len(relays))]
	m := p.message
	m.To, m.Addr, m.Target = r.ID, r.Addr, p.to.Identity
	t.send(m)
}

func (t *Table) handleAck(from *node, seq uint64) {
	kept := t.unacked[:0]
	for _, p := range t.unacked {
		if p.to != from || p.message.Seq != seq {
			kept = append(kept, p)
		}
	}
	t.unacked = kept
}

// handleChanges applies changes. It announces them in this failure domain if they
// came from another one, and forwards them if another member is the target.
func (t *Table) handleChanges(from *node, m Message) {
	if n := t.nodes[m.Target.ID]; m.Target.ID != "" && n != t.self {
		// Only the origin retransmits; if relays did too, messages would multiply.
		if n != nil {
			forward := t.newMessage(Changes, n)
			forward.Members, forward.List = m.Members, m.List
			t.send(forward)
		}
	} else {
		ack := t.newMessage(Ack, from)
		ack.Seq = m.Seq
		t.send(ack)
	}
	updates := t.mergeMemberChanges(m.Members)
	list := t.mergeListChanges(m.List)
	if from.Domain != t.self.Domain && (len(updates) > 0 || len(list) > 0) {
		t.announce(updates, list, toDomain)
	}
}

// mergeMemberChanges merges the changes and returns those that were new.
func (t *Table) mergeMemberChanges(changes []MemberChange) []MemberChange {
	var updates []MemberChange
	for _, c := range changes {
		n := t.nodes[c.ID]
		if n == nil {
			if c.Dead || c.ID == "" {
				continue
			}
			n = t.addNode(c.Identity, t.now)
		}
		if t.merge(n, c, false) {
			updates = append(updates, t.memberChange(n))
		}
	}
	return updates
}
