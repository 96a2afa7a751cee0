package budget

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a Holder.
var (
	// ErrNotRegistered means that the holder must register with the shard's
	// allocator first.
	ErrNotRegistered = errors.New("not registered with the shard's allocator")
	// ErrNoReservation means that the holder has no such reservation.
	ErrNoReservation = errors.New("no such reservation")
	// ErrCharged means that the reservation was charged while this daemon was
	// presumed dead; it cannot be extended.
	ErrCharged = errors.New("reservation was charged while the daemon was presumed dead")
)

// Verdict is what a reply means for the request that waits for it.
type Verdict uint8

// The verdicts on a reply.
const (
	// Ignored means that the reply answers no pending request.
	Ignored Verdict = iota
	// Granted means that the request may be dispatched, the extension is in
	// effect, or the registration or settlement was accepted.
	Granted
	// Refused means that the request failed; Reply.Status holds the reason. A
	// new reservation was not made; an extension left the reservation unchanged.
	Refused
	// RegisterAndRetry means that the holder has to register; the caller then
	// tries again with a new reservation.
	RegisterAndRetry
)

// Holder keeps a daemon's reservations and settlements, and mirrors reservations
// of other daemons. It is not safe for concurrent use.
type Holder struct {
	id            string
	shards        map[int]*shardState
	disabledRules ruleSet
}

// shardState is a holder's state of one shard.
type shardState struct {
	// epoch is the newest epoch known. Invariant: no acknowledgement of an older
	// epoch is accepted.
	epoch       uint64
	registered  bool
	incarnation uint64
	// lastReservation and lastBill are the last reservation and settlement
	// numbers used.
	lastReservation, lastBill uint64
	open                      map[Key]*heldReservation
	bills                     []Bill
	mirrored                  map[Key]Reservation
	mirrorSeq                 uint64
	// abandoned are the keys whose answer can no longer be accepted; the next
	// Register returns them.
	abandoned []Key
}

// heldReservation is one reservation of this daemon.
type heldReservation struct {
	res     Reservation
	granted bool
	// late is true if the reservation was charged while the daemon was presumed
	// dead.
	late bool
}

// NewHolder returns a holder. No other process may ever use the id.
func NewHolder(id string) *Holder { return &Holder{id: id, shards: make(map[int]*shardState)} }

// ID returns the holder's id.
func (h *Holder) ID() string { return h.id }

func (h *Holder) shard(n int) *shardState {
	s := h.shards[n]
	if s == nil {
		s = &shardState{incarnation: 1, open: make(map[Key]*heldReservation), mirrored: make(map[Key]Reservation)}
		h.shards[n] = s
	}
	return s
}

// Shards returns the shards in use, in order.
func (h *Holder) Shards() []int { return slices.Sorted(maps.Keys(h.shards)) }

// ObserveEpoch records that an allocator with the epoch exists. It reports
// whether the holder has to register.
func (h *Holder) ObserveEpoch(shard int, epoch uint64) bool {
	s := h.shard(shard)
	if epoch > s.epoch {
		s.epoch, s.registered, s.mirrorSeq = epoch, false, 0
	}
	return !s.registered && s.epoch > 0
}

// Epoch returns the newest epoch of a shard that the holder knows of.
func (h *Holder) Epoch(shard int) uint64 { return h.shard(shard).epoch }

// Registered reports whether the holder is registered with the newest epoch.
func (h *Holder) Registered(shard int) bool { return h.shard(shard).registered }

// lowestPending returns the lowest reservation number without an answer.
func (s *shardState) lowestPending() uint64 {
	lowest := s.lastReservation + 1
	for key, r := range s.open {
		if !r.granted && key.N < lowest {
			lowest = key.N
		}
	}
	return lowest
}

// abandonPending gives up the reservations that are not acknowledged. Each is
// released by a settlement, because the allocator may have granted it.
func (s *shardState) abandonPending() {
	for _, key := range slices.SortedFunc(maps.Keys(s.open), Key.compare) {
		if !s.open[key].granted {
			s.release(key)
		}
	}
}

// Register returns the registration for the newest known epoch, and the keys
// whose answer can no longer be accepted: their requests must reserve again.
func (h *Holder) Register(shard int) (RegisterRequest, []Key) {
	s := h.shard(shard)
	if !s.registered && h.disabledRules&ruleRefuseOldEpoch == 0 {
		s.abandonPending()
	}
	r := RegisterRequest{
		Shard: shard, Epoch: s.epoch, Holder: h.id, Incarnation: s.incarnation,
		LowestPending: s.lowestPending(), Bills: slices.Clone(s.bills),
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.open), Key.compare) {
		if held := s.open[key]; held.granted && !held.late {
			r.Open = append(r.Open, held.res)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.mirrored), Key.compare) {
		r.Mirrored = append(r.Mirrored, s.mirrored[key])
	}
	dropped := s.abandoned
	s.abandoned = nil
	return r, dropped
}

// RegisterAnswered handles the reply to a RegisterRequest. It returns Granted,
// Ignored, Refused (the allocator is not current) or RegisterAndRetry (send
// Register again).
func (h *Holder) RegisterAnswered(r Reply) Verdict {
	s := h.shard(r.Shard)
	if v, done := h.handleCommon(s, r); done {
		return v
	}
	if r.Status != StatusOK {
		return Refused
	}
	s.registered = true
	s.confirmSettled(r.Durable)
	return Granted
}

// handleCommon handles the checks that all replies share; done is true if the
// reply needs no further handling.
func (h *Holder) handleCommon(s *shardState, r Reply) (v Verdict, done bool) {
	stale := r.Epoch < s.epoch && h.disabledRules&ruleRefuseOldEpoch == 0
	if r.Holder != h.id || r.Incarnation != s.incarnation || (stale && r.Status != StatusStale) {
		return Ignored, true
	}
	switch r.Status {
	case StatusClosed:
		h.startIncarnation(s, r)
		h.ObserveEpoch(r.Shard, r.Epoch)
		return RegisterAndRetry, true
	case StatusRegister:
		if r.Epoch > s.epoch {
			h.ObserveEpoch(r.Shard, r.Epoch)
		} else {
			s.registered = false
		}
		return RegisterAndRetry, true
	}
	if r.Epoch > s.epoch {
		h.ObserveEpoch(r.Shard, r.Epoch)
		return RegisterAndRetry, true
	}
	return Ignored, false
}

// startIncarnation starts a new incarnation, because the allocator charged all
// reservations of the current one. Their actual use is reported by late bills.
func (h *Holder) startIncarnation(s *shardState, r Reply) {
	s.confirmSettled(r.Durable)
	s.incarnation++
	s.registered, s.lastBill = false, 0
	bills := s.bills
	s.bills = nil
	for _, b := range bills {
		b.Late = true
		s.addBill(b)
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.open), Key.compare) {
		s.open[key].late = s.open[key].granted
	}
	s.abandonPending()
	s.lastReservation, s.mirrorSeq = 0, 0
	clear(s.mirrored)
}

// release gives up one reservation that is not acknowledged.
func (s *shardState) release(key Key) {
	res := s.open[key].res
	// After a change of incarnation the allocator may have charged it.
	s.addBill(Bill{Key: key, ID: res.ID, Budget: res.Budget, Keyed: res.Keyed, Late: key.Incarnation != s.incarnation})
	s.abandoned = append(s.abandoned, key)
	delete(s.open, key)
}

func (s *shardState) addBill(b Bill) {
	s.lastBill++
	b.N = s.lastBill
	s.bills = append(s.bills, b)
}

func (s *shardState) confirmSettled(durable uint64) {
	s.bills = slices.DeleteFunc(s.bills, func(b Bill) bool { return b.N <= durable })
}

// Mirror handles an allocator's request to mirror reservations. It is refused if
// this holder knows of a newer epoch, whose allocator may already rely on what
// the holder reported.
func (h *Holder) Mirror(m MirrorRequest) MirrorAnswer {
	s := h.shard(m.Shard)
	h.ObserveEpoch(m.Shard, m.Epoch)
	a := MirrorAnswer{Shard: m.Shard, Member: h.id, Incarnation: m.Incarnation, Epoch: s.epoch}
	if m.Epoch < s.epoch || m.Incarnation != s.incarnation || m.Member != h.id {
		return a
	}
	if m.Seq == s.mirrorSeq+1 {
		s.mirrorSeq = m.Seq
		for _, r := range m.Put {
			s.mirrored[r.Key] = r
		}
		for _, key := range m.Clear {
			delete(s.mirrored, key)
		}
	}
	a.Seq, a.OK = s.mirrorSeq, m.Seq <= s.mirrorSeq
	return a
}
