package escrow

import "time"

// TransferRequest is a request for a peer's tokens of an account.
type TransferRequest struct {
	Tokens int64
	// Ahead are further tokens that are wanted if the peer has plenty.
	Ahead int64
	// HeldOnly is true if the peer gives only of what it holds and obtains none elsewhere.
	HeldOnly bool
}

// Transfer is the reply to a peer's request for tokens.
type Transfer struct {
	Tokens int64
	// BudgetExhausted is true if the sender knows from the store that no tokens
	// are left there, StoreUnreachable if the store does not answer the sender.
	BudgetExhausted, StoreUnreachable bool
}

// TransferOut removes tokens for a peer and returns their number: the need, as far as
// the holding covers it, and up to as much again as long as half of the holding
// remains.
func (h *Holding) TransferOut(need int64) int64 {
	have := h.Available()
	if have <= 0 {
		return 0
	}
	amount := min(have, max(need, min(have/2, 2*need)))
	h.sent += amount
	return amount
}

// TransferExact removes the tokens that a peer needs, as far as the holding covers
// them, and returns their number.
func (h *Holding) TransferExact(need int64) int64 {
	amount := max(0, min(h.Available(), need))
	h.sent += amount
	return amount
}

// TransferAhead removes tokens that a peer wants for requests to come and returns their
// number: at most a part of the holding, so that the distributors of other failure
// domains get theirs.
func (h *Holding) TransferAhead(wanted int64) int64 {
	amount := max(0, min(wanted, h.Available()/maxAheadShare))
	h.sent += amount
	return amount
}

// Ahead returns the number of tokens that a daemon which distributes the tokens of an
// account in its failure domain should request beyond need.
func (h *Holding) Ahead(now time.Time) int64 {
	return max(0, int64(h.recentRate(now)*aheadDuration.Seconds())-max(0, h.Available()))
}

// BusyAhead returns the number of tokens that a daemon which does not distribute the tokens of
// an account should request beyond need, the size of a request: those of busyAheadDuration if
// it gets many requests of the account, none otherwise, since such tokens would lie idle.
// The load: one daemon gets most requests of an account over a link so full that each
// request for tokens takes longer than the daemon waits.
func (h *Holding) BusyAhead(now time.Time, need int64) int64 {
	ahead := int64(h.recentRate(now) * busyAheadDuration.Seconds())
	if ahead < minAheadRequests*need {
		return 0
	}
	return ahead
}

// RecordTransfer adds transferred tokens to the rate of spend, because a daemon that
// draws for others has to hold what they need.
func (h *Holding) RecordTransfer(now time.Time, tokens int64) { h.recordSpend(now, tokens) }

// Receive adds tokens that a peer transferred.
func (h *Holding) Receive(tokens int64) { h.received += tokens }
