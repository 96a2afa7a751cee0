package relay

import (
	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// restricted returns the error of a request that no endpoint may get, nil if one may. It is
// known before the body is read and tokens are reserved, so the caller is told at once.
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
