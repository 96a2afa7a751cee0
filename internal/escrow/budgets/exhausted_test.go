package budgets

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// Guards against callers of an exhausted budget that are told to come back, and against a
// refusal for good while a daemon that is silent, or whose tokens are known, may have enough.
func TestExhaustedBudgetIsToldFromOneThatMayHaveTokens(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers testPeers
		want  problem.Kind
	}{
		{"no tokens anywhere", testPeers{}, problem.BudgetExhausted},
		{"too few elsewhere", testPeers{elsewhere: 9}, problem.BudgetExhausted},
		{"enough elsewhere", testPeers{elsewhere: 10}, problem.BudgetUnavailable},
		{"a peer is silent", testPeers{silent: true}, problem.BudgetUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newManager(t, memstore.New(nil), "a", nil)
			m.Peers = c.peers
			if err := reserve(t, m, prepaid); err != nil {
				t.Fatal(err)
			}
			var p *problem.Error
			if err := reserve(t, m, 10); !errors.As(err, &p) || p.Kind != c.want {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
