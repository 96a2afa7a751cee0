package relay

import (
	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// shortBody is the size up to which a body arrives together with its header.
const shortBody = 64 << 10

// refuseRestricted returns the error of a request that no endpoint may get, nil if one may. The
// caller is told at once: before tokens are reserved, and without waiting for a long body.
func (x *exchange) refuseRestricted() error {
	err := x.restricted(x.handler.Pools.Restriction(x.service, x.domains))
	if err == nil {
		return nil
	}
	if x.r.ContentLength < 0 || x.r.ContentLength > shortBody {
		// Before it sends a refusal, the server reads the body of a connection that it keeps.
		x.w.Header().Set("Connection", "close")
	}
	return err
}

// restricted returns the error of a request that no endpoint may get, nil if one may.
func (x *exchange) restricted(r balance.Restriction) error {
	var err *problem.Error
	switch r {
	case balance.Evacuated:
		err = problem.New(problem.NoEndpoint, "all endpoints of service %q that may serve the request are in evacuated failure domains", x.service)
	case balance.OutsideDomains:
		err = problem.New(problem.NoEndpoint, "service %q has no endpoint in the regions of the route and the account", x.service)
	default:
		return nil
	}
	x.handler.Scope.Tagged(map[string]string{"service": x.service, "reason": r.String()}).Counter("requests_restricted").Inc(1)
	return err.WithRetryAfter(spreadRetryAfter(retryAfterRestricted))
}
