package daemon

import (
	"context"

	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// noClaims refuses non-idempotent requests.
type noClaims struct{}

// Claim implements gateway.Claims.
func (noClaims) Claim(context.Context, gateway.ClaimKey) (gateway.Claim, *gateway.Answer, error) {
	return nil, nil, problem.New(problem.ClaimUnavailable, "claims are not available")
}

func (d *Daemon) claims() gateway.Claims { return noClaims{} }
