package budgets

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// answers are the peers' newest records.
type answers struct {
	mu    sync.Mutex
	known map[string][]escrow.Known
	heard map[string]bool
	// addrs are the peers that have answered, unheard the holder ids of those that have not.
	addrs   map[string]bool
	unheard []string
	// former is true if a record of a former era is known.
	former bool
}

// gather asks all peers for their newest records. It waits for those that do not answer for
// reconcileWait after the era began, unless nobody knows of a former one.
func (m *Manager) gather(ctx context.Context, era int64, former bool) *answers {
	all := &answers{
		known: make(map[string][]escrow.Known), heard: map[string]bool{m.Holder: true}, addrs: make(map[string]bool), former: former,
	}
	for {
		missing := m.askAll(ctx, era, all)
		m.mu.Lock()
		over := time.Since(m.eraSince) > reconcileWait || m.era != era
		m.mu.Unlock()
		if len(missing) == 0 || !all.former || over || !pause.Sleep(ctx, reconcilePause) {
			for _, peer := range missing {
				if peer.Holder != "" {
					all.unheard = append(all.unheard, peer.Holder)
				}
			}
			return all
		}
	}
}

// askAll asks the peers that have not answered yet and returns those that still have not.
func (m *Manager) askAll(ctx context.Context, era int64, all *answers) []Member {
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxRecordRequests)
	for _, peer := range all.missing(m.Peers.Members()) {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			m.askRecords(ctx, peer, era, all)
		})
	}
	wg.Wait()
	return all.missing(m.Peers.Members())
}

// askRecords asks one peer. It counts as heard if it acts in the era, since it does not count
// responses to its earlier writes then; what it knows counts in any case.
func (m *Manager) askRecords(ctx context.Context, peer Member, era int64, all *answers) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	items, at, err := m.Peers.BudgetRecords(ctx, peer.Addr)
	if err != nil {
		m.Log.Debug().Err(err).Str("peer", peer.Addr).Msg("budget records of a peer not read")
		return
	}
	m.ObserveEra(at.Era())
	for _, item := range items {
		m.mergeRecord(all, era, item)
	}
	if at.Era() < era || peer.Holder == "" {
		m.Log.Debug().Str("peer", peer.Addr).Int64("peer_era", at.Era()).Msg("peer does not know the store era yet")
		return
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.heard[peer.Holder], all.addrs[peer.Addr] = true, true
}

// missing returns the members that have not answered.
func (a *answers) missing(members []Member) []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(members, func(peer Member) bool {
		return a.addrs[peer.Addr] || peer.Silent > forgetSilentPeers
	})
}

// mergeRecord adopts a peer's record of the current era, which another daemon has reconciled,
// or adds one of a former era to the answers and keeps it, since the peer may end before the
// record of this era is written.
func (m *Manager) mergeRecord(all *answers, era int64, item platform.Item) {
	_, name, ok := parseRecordKey(item.Key)
	record, err := escrow.ParseRecord(item.Value)
	if !ok || err != nil {
		m.Log.Error().Err(err).Str("key", item.Key).Msg("budget record of a peer not readable")
		return
	}
	m.mu.Lock()
	a := m.accounts[name]
	if a != nil && item.Revision.Era() >= era && m.era == item.Revision.Era() {
		a.holding.Read(record, int64(item.Revision))
		m.logDebt(a)
		m.serveWaiters(a)
	}
	if a != nil && item.Revision.Era() < era {
		a.holding.Learn(record, int64(item.Revision))
	}
	m.mu.Unlock()
	if item.Revision.Era() >= era {
		return
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.former = true
	all.known[name] = append(all.known[name], escrow.Known{Record: record, Revision: int64(item.Revision)})
}
