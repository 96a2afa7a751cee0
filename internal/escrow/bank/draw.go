package bank

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// fill starts the goroutine that draws tokens for an account, if none runs.
func (b *Bank) fill(a *account) {
	if a.filling || b.closed {
		return
	}
	a.filling = true
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		b.fillLoop(a)
	}()
}

// fillLoop draws until no reservation waits or no more tokens can be had.
func (b *Bank) fillLoop(a *account) {
	for {
		fromStore, fromPeers := b.drawOnce(a)
		b.mu.Lock()
		if len(a.waiting) == 0 {
			a.filling = false
			b.mu.Unlock()
			return
		}
		if fromStore != storeDrawn && fromPeers != peersGave {
			b.refuseWaiting(a, fromStore == storeEmpty && fromPeers == peersEmpty)
			a.filling = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
	}
}

// drawOnce draws from the store, and from the peers if the store gives nothing
// or takes long.
func (b *Bank) drawOnce(a *account) (drawResult, peersResult) {
	if r, done := b.borrow(a); done {
		return r, peersEmpty
	}
	drawn := make(chan drawResult, 1)
	b.wg.Go(func() { drawn <- b.drawFromStore(a) })
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	fromPeers := peersSilent
	select {
	case r := <-drawn:
		if b.waits(a) {
			fromPeers = b.drawFromPeers(a)
		}
		return r, fromPeers
	case <-patience.C:
	}
	if b.waits(a) {
		fromPeers = b.drawFromPeers(a)
	}
	return <-drawn, fromPeers
}

// borrow asks the lenders; done is true if no reservation waits then, or the
// store has nothing for them.
func (b *Bank) borrow(a *account) (r drawResult, done bool) {
	lenders := b.Peers.Lenders(a.name)
	if len(lenders) == 0 {
		return storeDrawn, false
	}
	result, empty := b.askPeers(a, lenders)
	switch {
	case !b.waits(a):
		return storeDrawn, true
	case empty && result != peersGave:
		return storeEmpty, true
	}
	return storeDrawn, false
}

// drawResult is the outcome of a draw from the store.
type drawResult uint8

const (
	storeDrawn drawResult = iota
	storeEmpty
	storeAway
)

// drawFromStore takes what the waiters lack from the account's record, or as
// much of it as helps one of them.
func (b *Bank) drawFromStore(a *account) drawResult {
	return b.drawAtLeast(a, func() int64 {
		need := a.need()
		if len(a.waiting) > 0 && a.holding.Undrawn() < need {
			need = min(need, max(a.least(), a.holding.Undrawn()))
		}
		return need
	})
}

// drawAtLeast takes tokens from the account's record; need is asked for under
// the lock before each write.
func (b *Bank) drawAtLeast(a *account, need func() int64) drawResult {
	for tries, waits := 0, 0; tries < conflictTries && waits < busyTries; {
		b.mu.Lock()
		if a.holding.WriteInFlight() {
			b.mu.Unlock()
			waits++
			time.Sleep(busyPause)
			continue
		}
		if !b.tryStore() {
			b.mu.Unlock()
			return storeAway
		}
		tokens := need()
		w, ok := a.holding.Draw(time.Now(), tokens)
		b.mu.Unlock()
		if !ok && !b.refresh(a, tokens) {
			b.tried()
			return storeEmpty
		}
		if !ok {
			continue
		}
		tries++
		if done, result := b.write(a, w, "draw"); done {
			b.tried()
			return result
		}
	}
	b.tried()
	return storeAway
}

// tryStore tells whether the store may be asked: it answers as far as is known,
// or its pause is over and no other draw tries it. The caller holds b.mu.
func (b *Bank) tryStore() bool {
	if time.Now().Before(b.storeDown) || b.suspect && b.probing {
		return false
	}
	b.probing = b.suspect
	return true
}

// tried ends the draw that tried the store.
func (b *Bank) tried() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// refresh reads an account's record again, since other daemons may have
// returned tokens; it tells whether the record now leaves what is needed.
func (b *Bank) refresh(a *account, need int64) bool {
	b.mu.Lock()
	skip := need <= 0 || !a.holding.MayRefresh(time.Now())
	b.mu.Unlock()
	if skip {
		return false
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
	defer cancel()
	item, err := b.Store.Get(ctx, keyPrefix+a.name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.storeLost()
		b.Log.Warn().Err(err).Str("account", a.name).Msg("budget record not read")
		return false
	}
	b.adopt(a, item)
	if a.holding.Undrawn() >= need {
		return true
	}
	a.holding.MarkExhausted(time.Now())
	return false
}

// write makes one conditional write of a record; done is false after a
// conflict.
func (b *Bank) write(a *account, w escrow.Write, what string) (done bool, r drawResult) {
	write, err := a.storeWrite(w)
	if err != nil {
		b.Log.Error().Err(err).Str("account", a.name).Msg("budget record not encoded")
		return true, storeAway
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
	defer cancel()
	item, err := b.Store.CompareAndSwap(ctx, write)
	b.mu.Lock()
	defer b.mu.Unlock()
	if conflict, ok := platform.AsConflict(err); ok {
		b.suspect = false
		b.adopt(a, conflict.Actual)
		return false, storeAway
	}
	return true, b.written(a, w, item.Revision, err, what)
}

// storeWrite is a write of the account's record as the store takes it.
func (a *account) storeWrite(w escrow.Write) (platform.Write, error) {
	value, err := w.Record.Encode()
	return platform.Write{Key: keyPrefix + a.name, Value: value, Expected: platform.Revision(w.Expected)}, err
}

func (b *Bank) adopt(a *account, actual platform.Item) {
	record, err := escrow.ParseRecord(actual.Value)
	if err != nil {
		b.Log.Error().Err(err).Str("account", a.name).Int64("revision", int64(actual.Revision)).Msg("budget record not readable")
		a.holding.Failed()
		return
	}
	a.holding.Conflict(record, int64(actual.Revision))
	b.serveWaiting(a)
}

// peersResult is the outcome of asking the peers.
type peersResult uint8

const (
	peersGave peersResult = iota
	peersEmpty
	peersSilent
)

// drawFromPeers asks the peers for what the waiters lack.
func (b *Bank) drawFromPeers(a *account) peersResult {
	result, _ := b.askPeers(a, b.Peers.Richest(a.name))
	return result
}

// askPeers asks peers in turn until no reservation waits or peersTimeout has
// passed; empty tells whether one of them saw that the store has no more.
func (b *Bank) askPeers(a *account, peers []string) (result peersResult, empty bool) {
	result = peersEmpty
	end := time.Now().Add(peersTimeout)
	for _, peer := range peers {
		b.mu.Lock()
		need := a.need()
		b.mu.Unlock()
		switch {
		case need == 0:
			return peersGave, empty
		case time.Now().After(end):
			return result, empty
		}
		gift, err := b.ask(a, peer, need)
		if err != nil {
			if result == peersEmpty {
				result = peersSilent
			}
			continue
		}
		empty = empty || gift.BudgetExhausted
		if gift.Tokens > 0 {
			result = peersGave
		}
	}
	return result, empty
}

// ask asks one peer for tokens and takes them over. An ask without an answer is
// repeated once under the same id beside the caller, so that the tokens are not
// lost with the answer.
func (b *Bank) ask(a *account, peer string, tokens int64) (escrow.Transfer, error) {
	id := uuid.NewString()
	gift, err := b.askOnce(a, peer, id, tokens, peerTimeout)
	if err != nil {
		b.wg.Go(func() { _, _ = b.askOnce(a, peer, id, tokens, repeatTimeout) })
	}
	return gift, err
}

func (b *Bank) askOnce(a *account, peer, id string, tokens int64, limit time.Duration) (escrow.Transfer, error) {
	ctx, cancel := context.WithTimeout(b.ctx, limit)
	defer cancel()
	gift, err := b.Peers.Ask(ctx, peer, id, a.name, tokens)
	if err != nil {
		b.Log.Info().Err(err).Str("account", a.name).Str("peer", peer).Msg("peer not asked for tokens")
		return gift, err
	}
	if gift.Tokens > 0 {
		b.receive(a, peer, tokens, gift.Tokens)
	}
	return gift, nil
}

func (b *Bank) receive(a *account, peer string, need, got int64) {
	b.mu.Lock()
	a.holding.Receive(got)
	b.serveWaiting(a)
	b.mu.Unlock()
	b.Log.Info().Str("account", a.name).Str("peer", peer).Int64("asked", need).Int64("got", got).Msg("tokens received")
}
