package budget

import "slices"

// Reserve starts a reservation and returns the request to send.
func (h *Holder) Reserve(shard int, id, budget string, tokens int64, keyed bool) (ReserveRequest, error) {
	s := h.shard(shard)
	if !s.registered {
		return ReserveRequest{}, ErrNotRegistered
	}
	s.lastReservation++
	key := Key{Holder: h.id, Incarnation: s.incarnation, N: s.lastReservation}
	res := Reservation{Key: key, ID: id, Budget: budget, Tokens: tokens, Keyed: keyed}
	s.open[key] = &heldReservation{res: res}
	return ReserveRequest{Shard: shard, Epoch: s.epoch, LowestPending: s.lowestPending(), Reservation: res}, nil
}

// ReserveAnswered handles the reply to a ReserveRequest. The request may be
// dispatched only after Granted.
func (h *Holder) ReserveAnswered(r Reply) Verdict {
	s := h.shard(r.Shard)
	held := s.open[r.Key]
	v, done := h.handleCommon(s, r)
	if held == nil || held.granted || s.open[r.Key] != held {
		if v == RegisterAndRetry && held != nil && !held.granted {
			return RegisterAndRetry
		}
		return Ignored
	}
	if done {
		if v == RegisterAndRetry {
			s.release(r.Key)
		}
		return v
	}
	switch r.Status {
	case StatusOK:
	case StatusStale:
		s.release(r.Key) // another copy of the request may reach a current allocator
		return RegisterAndRetry
	default:
		if r.Tokens > 0 {
			s.release(r.Key) // a mirror may hold it
		}
		delete(s.open, r.Key)
		return Refused
	}
	held.granted = true
	return Granted
}

// Extend returns the request for a larger total of a granted reservation.
func (h *Holder) Extend(shard int, key Key, tokens int64) (ExtendRequest, error) {
	s := h.shard(shard)
	held := s.open[key]
	switch {
	case held == nil || !held.granted:
		return ExtendRequest{}, ErrNoReservation
	case held.late:
		return ExtendRequest{}, ErrCharged
	case !s.registered:
		return ExtendRequest{}, ErrNotRegistered
	}
	return ExtendRequest{Shard: shard, Epoch: s.epoch, Key: key, Tokens: tokens}, nil
}

// ExtendAnswered handles the reply to an ExtendRequest. RegisterAndRetry means
// that the same extension can be tried after a registration.
func (h *Holder) ExtendAnswered(r Reply) Verdict {
	s := h.shard(r.Shard)
	if v, done := h.handleCommon(s, r); done {
		return v
	}
	held := s.open[r.Key]
	if held == nil || !held.granted || held.late {
		return Ignored
	}
	if r.Status != StatusOK {
		return Refused
	}
	held.res.Tokens = max(held.res.Tokens, r.Tokens)
	return Granted
}

// Reserved returns the tokens acknowledged for a reservation; 0 if there is
// no acknowledged reservation.
func (h *Holder) Reserved(shard int, key Key) int64 {
	if held := h.shard(shard).open[key]; held != nil && held.granted {
		return held.res.Tokens
	}
	return 0
}

// Settle ends a reservation and bills its actual use, at most the tokens that
// Reserved returns. It also gives up a reservation that has not been answered,
// whose request must then not be dispatched.
func (h *Holder) Settle(shard int, key Key, tokens int64) error {
	s := h.shard(shard)
	held := s.open[key]
	if held == nil {
		return ErrNoReservation
	}
	if !held.granted {
		tokens = 0
	}
	delete(s.open, key)
	s.addBill(Bill{
		Key: key, ID: held.res.ID, Budget: held.res.Budget, Keyed: held.res.Keyed, Late: held.late,
		Tokens: min(max(tokens, 0), held.res.Tokens),
	})
	return nil
}

// UnsettledCount returns the number of settlements of a shard that are not durable.
func (h *Holder) UnsettledCount(shard int) int { return len(h.shard(shard).bills) }

// Unsettled returns the settlements of a shard that are not durable; ok is
// false if there are none or the holder has to register.
func (h *Holder) Unsettled(shard int) (r SettleRequest, ok bool) {
	s := h.shard(shard)
	if len(s.bills) == 0 || !s.registered {
		return SettleRequest{}, false
	}
	return SettleRequest{
		Shard: shard, Epoch: s.epoch, Holder: h.id, Incarnation: s.incarnation,
		LowestPending: s.lowestPending(), Bills: slices.Clone(s.bills),
	}, true
}

// SettleAnswered handles the reply to a SettleRequest.
func (h *Holder) SettleAnswered(r Reply) Verdict {
	s := h.shard(r.Shard)
	if v, done := h.handleCommon(s, r); done {
		return v
	}
	if r.Status != StatusOK {
		return Refused
	}
	s.confirmSettled(r.Durable)
	return Granted
}

// Idle reports whether the holder has no open reservation and no settlement that
// is not yet durable, in any shard, so that its daemon can leave.
func (h *Holder) Idle() bool {
	for _, s := range h.shards {
		if len(s.open) > 0 || len(s.bills) > 0 {
			return false
		}
	}
	return true
}
