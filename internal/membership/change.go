package membership

import "time"

const (
	// retryInterval is the time before the first repetition. It grows by half
	// of itself with each one, so that there are three within the 3 s in which
	// a leaving instance must be known everywhere.
	retryInterval = 500 * time.Millisecond
	// maxTries ends the repetition; the comparison of views covers the rest.
	maxTries = 6
	// relayAfter is the number of unacknowledged attempts after which the
	// change is sent through other members, around a one-way link.
	relayAfter = 2
	// maxChanges bounds the entries of one message to about 6 KB.
	maxChanges = 50
)

// scope tells to whom a change is announced.
type scope uint8

const (
	// toDomain is each member of the own failure domain.
	toDomain scope = iota
	// toFleet is also the representatives of the other failure domains, which
	// announce it in theirs.
	toFleet
	scopes
)

// pending is a change that waits for its acknowledgement.
type pending struct {
	to      *node
	message Message
	tries   int
	next    time.Time
}

func (t *Table) change(n *node) MemberChange {
	return MemberChange{Identity: n.Identity, Incarnation: n.Incarnation, HeartbeatSeq: n.beat, Leaving: n.Leaving, Dead: n.dead}
}

func (t *Table) allMembers() []MemberChange {
	changes := make([]MemberChange, 0, len(t.sorted))
	for _, n := range t.sorted {
		if n.Incarnation > 0 {
			changes = append(changes, t.change(n))
		}
	}
	return changes
}

// news collects changes until the next tick, so that a mass restart costs one
// message for each receiver and tick instead of one for each change.
type news struct {
	members []MemberChange
	list    []ListChange
}

// announce queues the changes for the receivers of the scope.
func (t *Table) announce(members []MemberChange, list []ListChange, s scope) {
	t.queue[s].members = append(t.queue[s].members, members...)
	t.queue[s].list = append(t.queue[s].list, list...)
}

// flush sends the queued changes.
func (t *Table) flush() {
	for s := range t.queue {
		if q := t.queue[s]; len(q.members)+len(q.list) > 0 {
			t.queue[s] = news{}
			t.sendNews(q.members, q.list, scope(s))
		}
	}
}

// sendNews sends the changes to all receivers of the scope.
func (t *Table) sendNews(members []MemberChange, list []ListChange, s scope) {
	var receivers []*node
	for _, n := range t.domains[t.self.Domain].members {
		if n != t.self && !n.dead {
			receivers = append(receivers, n)
		}
	}
	if s == toFleet {
		for _, d := range t.byName {
			if d.name != t.self.Domain && !d.silent {
				receivers = append(receivers, t.farReceivers(d, len(members) == 0)...)
			}
		}
	}
	for len(members) > 0 || len(list) > 0 {
		m, l := min(len(members), maxChanges), min(len(list), maxChanges)
		t.seq++
		for _, n := range receivers {
			t.push(n, members[:m], list[:l])
		}
		members, list = members[m:], list[l:]
	}
}

// farReceivers returns the representatives that get a change. News of the list
// goes to the one of the same rank only, because both readers send it.
func (t *Table) farReceivers(d *domain, listOnly bool) []*node {
	reps := t.representatives(d.name)
	if rank := t.rank(); listOnly && rank >= 0 && len(reps) > 0 {
		return reps[rank%len(reps):][:1]
	}
	return reps
}

func (t *Table) push(n *node, members []MemberChange, list []ListChange) {
	m := t.message(Changes, n)
	m.Seq, m.Members, m.List = t.seq, members, list
	t.send(m)
	t.pending = append(t.pending, &pending{to: n, message: m, tries: 1, next: t.last.Add(retryInterval)})
}

// retry repeats changes that were not acknowledged in time.
func (t *Table) retry() {
	kept := t.pending[:0]
	for _, p := range t.pending {
		silent := p.to.State == Suspected || p.to.State == Unreachable
		if p.to.dead || p.tries >= maxTries || p.tries > relayAfter && silent {
			continue
		}
		kept = append(kept, p)
		if t.last.Before(p.next) {
			continue
		}
		p.tries++
		p.next = t.last.Add(retryInterval * time.Duration(1+p.tries) / 2)
		t.send(p.message)
		if p.tries > relayAfter {
			t.relay(p)
		}
	}
	t.pending = kept
}

// relay sends a change through another member.
func (t *Table) relay(p *pending) {
	var relays []*node
	for _, r := range t.sorted {
		if r != p.to && r != t.self && r.State == Live {
			relays = append(relays, r)
		}
	}
	if len(relays) == 0 {
		return
	}
	r := relays[t.next(len(relays))]
	m := p.message
	m.To, m.Addr, m.Target = r.ID, r.Addr, p.to.Identity
	t.send(m)
}

func (t *Table) stepAck(from *node, seq uint64) {
	kept := t.pending[:0]
	for _, p := range t.pending {
		if p.to != from || p.message.Seq != seq {
			kept = append(kept, p)
		}
	}
	t.pending = kept
}

// stepChanges applies a change and passes it on if it came from another
// failure domain or is to be relayed.
func (t *Table) stepChanges(from *node, m Message) {
	if n := t.nodes[m.Target.ID]; m.Target.ID != "" && n != t.self {
		// The origin repeats; a relay that did so too would multiply messages.
		if n != nil {
			forward := t.message(Changes, n)
			forward.Members, forward.List = m.Members, m.List
			t.send(forward)
		}
	} else {
		ack := t.message(Ack, from)
		ack.Seq = m.Seq
		t.send(ack)
	}
	news := t.mergeMemberChanges(m.Members)
	list := t.mergeListChanges(m.List)
	if from.Domain != t.self.Domain && (len(news) > 0 || len(list) > 0) {
		t.announce(news, list, toDomain)
	}
}

// applyMembers merges the changes and returns the news among them.
func (t *Table) mergeMemberChanges(changes []MemberChange) []MemberChange {
	var news []MemberChange
	for _, c := range changes {
		n := t.nodes[c.ID]
		if n == nil {
			if c.Dead || c.ID == "" {
				continue
			}
			n = t.add(c.Identity, t.last)
		}
		if t.merge(n, c, false) {
			news = append(news, t.change(n))
		}
	}
	return news
}
