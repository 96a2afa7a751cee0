package budget

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// mirrorStream is the ordered sequence of mirror requests to one member. One
// request is in flight at a time, so that a delayed one cannot undo a later one.
type mirrorStream struct {
	// incarnation is that of the member, seq the number of the last request.
	incarnation, seq uint64
	// puts are the reservations to add to the mirror with the next request, and
	// clears those to remove.
	puts   map[Key]Reservation
	clears map[Key]bool
	// sent is the request in flight, nil if there is none.
	sent *MirrorRequest
	// firstAt and sentAt are the times at which sent was first and last sent.
	firstAt, sentAt time.Time
}

func (a *Allocator) mirrorStream(member string) *mirrorStream {
	s := a.mirrorStreams[member]
	if s == nil {
		s = &mirrorStream{
			incarnation: a.clients[member].incarnation,
			puts:        make(map[Key]Reservation), clears: make(map[Key]bool),
		}
		a.mirrorStreams[member] = s
	}
	return s
}

// ensureRecoverable reports whether a successor would learn of the reservation
// if this allocator died now; if not, it requests the mirror or the flush that
// is needed for that.
func (a *Allocator) ensureRecoverable(now time.Time, e *openReservation) bool {
	if a.recoverable(e, "") {
		return true
	}
	if m := a.chooseMirror(now, e.res.Key.Holder); m != "" {
		a.queuePut(m, e)
		return false
	}
	if e.res.Key.Holder == a.opts.Owner {
		alone := !slices.ContainsFunc(slices.Collect(maps.Keys(a.liveHolders)), func(h string) bool {
			return h != a.opts.Owner && !a.goneHolders[h]
		})
		a.wantUnmirrored = a.wantUnmirrored || alone || now.Sub(a.tookOver) > requestWaitLimit
	}
	// The record must name a member or say that there are unmirrored reservations.
	a.dirty, a.urgent = true, true
	return false
}

// recoverable reports whether the reservation is known to a holder that a
// successor waits for, not counting the holder except.
func (a *Allocator) recoverable(e *openReservation, except string) bool {
	h := e.res.Key.Holder
	// If the record says unmirrored, a successor waits for the owner itself, so
	// that reservations of any holder are recoverable.
	if a.opts.disabledRules&ruleMirror != 0 || a.unmirrored {
		return true
	}
	if h != a.opts.Owner && h != except && a.awaitedBySuccessor(h) {
		return true
	}
	for m, tokens := range e.mirrors {
		if m != except && tokens >= e.res.Tokens && a.awaitedBySuccessor(m) {
			return true
		}
	}
	return false
}

// awaitedBySuccessor reports whether a successor would wait for the holder to
// register.
func (a *Allocator) awaitedBySuccessor(holder string) bool {
	c := a.clients[holder]
	return c != nil && c.member && c.registered && !c.closing
}

// isOnlyMirror reports whether an open reservation of another holder is
// recoverable only through its mirror at h.
func (a *Allocator) isOnlyMirror(h string) bool {
	for _, e := range a.open {
		if _, ok := e.mirrors[h]; ok && e.granted && e.res.Key.Holder != h && !a.recoverable(e, h) {
			return true
		}
	}
	return false
}

// remirror mirrors adopted reservations, and those whose mirror is gone, with
// another member.
func (a *Allocator) remirror(now time.Time) {
	if len(a.goneHolders) == 0 && !a.recovering && !a.unmirrored {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(a.open), Key.compare) {
		e := a.open[key]
		if !e.granted || e.requested > 0 || a.mirrored(e) {
			continue
		}
		if m := a.chooseMirror(now, key.Holder); m != "" {
			a.queuePut(m, e)
		} else {
			a.ensureRecoverable(now, e)
		}
	}
}

// mirrored reports whether the reservation is recoverable without the owner and
// without a mirror that is gone.
func (a *Allocator) mirrored(e *openReservation) bool {
	unmirrored := a.unmirrored
	a.unmirrored = false
	defer func() { a.unmirrored = unmirrored }()
	for m := range e.mirrors {
		if a.goneHolders[m] {
			return a.recoverable(e, m)
		}
	}
	return a.recoverable(e, "")
}

// chooseMirror returns a member that can mirror reservations of holder, or the
// empty string if there is none.
func (a *Allocator) chooseMirror(now time.Time, holder string) string {
	usable := func(m string) bool {
		if m == a.opts.Owner || m == holder || !a.liveHolders[m] || a.goneHolders[m] || !a.awaitedBySuccessor(m) {
			return false
		}
		s := a.mirrorStreams[m]
		return s == nil || s.sent == nil || now.Sub(s.firstAt) < 2*mirrorResendInterval
	}
	if usable(a.preferredMirror) {
		return a.preferredMirror
	}
	for _, m := range slices.Sorted(maps.Keys(a.clients)) {
		if usable(m) {
			a.preferredMirror = m
			return m
		}
	}
	return ""
}

// queuePut queues the reservation for the member's mirror unless it is there or
// in flight.
func (a *Allocator) queuePut(member string, e *openReservation) {
	if tokens, ok := e.mirrors[member]; ok && tokens >= e.res.Tokens {
		return
	}
	s := a.mirrorStream(member)
	if s.sent != nil && slices.Contains(s.sent.Put, e.res) {
		return
	}
	if e.mirrors == nil {
		e.mirrors = make(map[string]int64)
	}
	if _, ok := e.mirrors[member]; !ok {
		e.mirrors[member] = -1
	}
	s.puts[e.res.Key] = e.res
}

// queueClears queues the removal of finished reservations from the mirrors that
// may hold them, once the record contains their tombstones.
func (a *Allocator) queueClears() {
	for t, durable := range a.tombstones {
		if c := a.clients[t.Member]; durable && c != nil && c.registered && !c.closing {
			s := a.mirrorStream(t.Member)
			delete(s.puts, t.Key)
			if s.sent == nil || !slices.Contains(s.sent.Clear, t.Key) {
				s.clears[t.Key] = true
			}
		}
	}
}

// sendMirrors sends the queued mirror requests and repeats unanswered ones.
func (a *Allocator) sendMirrors(now time.Time) {
	for _, m := range slices.Sorted(maps.Keys(a.mirrorStreams)) {
		s := a.mirrorStreams[m]
		switch {
		case s.sent == nil && len(s.puts)+len(s.clears) > 0:
			s.seq++
			r := MirrorRequest{Shard: a.opts.Shard, Epoch: a.epoch, Member: m, Incarnation: s.incarnation, Seq: s.seq}
			r.Put = slices.SortedFunc(maps.Values(s.puts), func(x, y Reservation) int { return x.Key.compare(y.Key) })
			r.Clear = slices.SortedFunc(maps.Keys(s.clears), Key.compare)
			clear(s.puts)
			clear(s.clears)
			s.sent, s.firstAt = &r, now
		case s.sent == nil || now.Sub(s.sentAt) < mirrorResendInterval:
			continue
		}
		s.sentAt = now
		a.out.Mirrors = append(a.out.Mirrors, *s.sent)
	}
}

// MirrorAnswered handles a member's answer to a MirrorRequest.
func (a *Allocator) MirrorAnswered(now time.Time, m MirrorAnswer) {
	if m.Epoch > a.epoch && a.epoch != 0 {
		a.depose()
	}
	if s := a.mirrorStreams[m.Member]; s != nil && m.OK && m.Incarnation == s.incarnation &&
		s.sent != nil && m.Seq == s.sent.Seq && m.Epoch == a.epoch {
		for _, res := range s.sent.Put {
			if e := a.open[res.Key]; e != nil {
				e.mirrors[m.Member] = res.Tokens
			}
		}
		for _, key := range s.sent.Clear {
			delete(a.tombstones, Tombstone{m.Member, key})
		}
		s.sent = nil
	}
	a.advance(now)
}

// forgetMirror drops the state of a member's mirror after the member's
// incarnation was closed: the member drops its mirror when it learns of that.
func (a *Allocator) forgetMirror(member string) {
	delete(a.mirrorStreams, member)
	for _, e := range a.open {
		delete(e.mirrors, member)
	}
	for t := range a.tombstones {
		if t.Member == member {
			delete(a.tombstones, t)
		}
	}
}

func (k Key) compare(o Key) int {
	if c := strings.Compare(k.Holder, o.Holder); c != 0 {
		return c
	}
	if k.Incarnation != o.Incarnation {
		return int(int64(k.Incarnation - o.Incarnation))
	}
	return int(int64(k.N - o.N))
}

func (t Tombstone) compare(o Tombstone) int {
	if n := t.Key.compare(o.Key); n != 0 {
		return n
	}
	return strings.Compare(t.Member, o.Member)
}
