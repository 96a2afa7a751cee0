package budgets

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// slowSource implements Peers with one source, which gives the same tokens for each request.
type slowSource struct {
	testPeers
	gives int64
}

func (slowSource) TransferSources(string) []string { return []string{"source"} }

func (slowSource) Owns(string) bool { return false }

func (s slowSource) RequestTokens(context.Context, string, string, string, escrow.TransferRequest) (escrow.Transfer, error) {
	time.Sleep(20 * time.Millisecond)
	return escrow.Transfer{Tokens: s.gives, StoreUnreachable: true}, nil
}

// Guards against a large request that is refused although the store has tokens, because small
// ones are served while its daemon asks a source that has few or none: the daemon asked the
// source again instead of the store.
func TestLargeRequestGetsTokensOfTheStoreBesideSmallOnes(t *testing.T) {
	const small, large = 10, 5000
	for name, gives := range map[string]int64{"source without tokens": 0, "source with few tokens": 3 * small} {
		t.Run(name, func(t *testing.T) {
			m := New(Options{
				Holder: escrow.HolderID("a", "1"), Store: memstore.New(nil), Log: zerolog.Nop(),
				Peers: slowSource{testPeers{wide: true}, gives},
			})
			account := &routing.Account{Name: "t", PrepaidTokens: 1_000_000}
			m.Configure([]routing.Account{*account})
			t.Cleanup(func() { m.Close(t.Context()) })
			m.mu.Lock()
			m.accounts["t"].holding.Receive(5 * small)
			m.mu.Unlock()
			var wg sync.WaitGroup
			stop := make(chan struct{})
			for range 15 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if r, err := m.Reserve(t.Context(), account, small, false); err == nil {
							time.Sleep(5 * time.Millisecond)
							r.Settle(0)
						}
					}
				})
			}
			startedAt := time.Now()
			if _, err := m.Reserve(t.Context(), account, large, false); err != nil {
				t.Errorf("refused after %v: %v", time.Since(startedAt), err)
			}
			close(stop)
			wg.Wait()
		})
	}
}
