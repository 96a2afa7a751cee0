package admin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
)

// ErrNotHalted is returned when there is no halted rollout to resume.
var ErrNotHalted = errors.New("the rollout is not halted")

// ServiceOrders compares the state of a service's endpoints with the configuration
// and lists the orders that bring them to the desired state.
type ServiceOrders struct {
	Service  string   `json:"service"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Holder is the daemon that holds the lease for issuing the service's orders,
	// Fence its fencing token.
	Holder string `json:"holder,omitempty"`
	Fence  int64  `json:"fence,omitempty"`
	// IgnoresFencing is set if the endpoints do not check fencing tokens.
	IgnoresFencing bool `json:"ignores_fencing,omitempty"`
	// Total counts the endpoints that are not leaving, Ready those that are healthy
	// and in the desired state.
	Total int `json:"total"`
	Ready int `json:"ready"`
	// Open counts the open orders, Unknown those of them whose outcome is unknown,
	// Failed the recorded orders that had no effect.
	Open    int `json:"open"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// Halt is set while the rollout is halted.
	Halt *Halt `json:"halt,omitempty"`
	// Unreachable lists the endpoints that did not report their state. They receive
	// no orders.
	Unreachable []string `json:"unreachable,omitempty"`
	// Unhealthy lists the endpoints that report themselves unhealthy. Like unreachable
	// ones they count as out of service, so orders for other endpoints may have to
	// wait for them.
	Unhealthy []string       `json:"unhealthy,omitempty"`
	Orders    []OpenOrder    `json:"orders"`
	Plan      []PlannedOrder `json:"plan"`
}

// Halt describes why a rollout halted automatically.
type Halt struct {
	Version string    `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
	// Resumed is set if an operator has resumed the rollout but the holder of the
	// lease has not processed this yet.
	Resumed bool `json:"resumed,omitempty"`
}

// OpenOrder is an order whose outcome is not final.
type OpenOrder struct {
	ID       uint64    `json:"id"`
	Endpoint string    `json:"endpoint"`
	Kind     string    `json:"kind"`
	Value    string    `json:"value"`
	State    string    `json:"state"`
	At       time.Time `json:"at"`
	Detail   string    `json:"detail,omitempty"`
}

// PlannedOrder is an order that has not been issued yet.
type PlannedOrder struct {
	// Step is the number, from 1, of the group of orders that run at the same time.
	Step     int    `json:"step"`
	Endpoint string `json:"endpoint"`
	Kind     string `json:"kind"`
	Value    string `json:"value"`
	// WaitsFor describes what currently blocks the order.
	WaitsFor string `json:"waits_for,omitempty"`
	// Risk describes effects that cannot be ruled out, such as a late order at an
	// endpoint that does not check fencing tokens.
	Risk string `json:"risk,omitempty"`
}

// Orders provides the state of rollouts and resumes them. For an unknown service its
// methods return platform.ErrNotFound.
type Orders interface {
	// Status returns the state of all services that have orders, or only of the given
	// service if it is not empty.
	Status(ctx context.Context, service string) ([]ServiceOrders, error)
	// Preview returns the orders that configuration c would cause for the services.
	Preview(ctx context.Context, c *config.Config, services []string) ([]ServiceOrders, error)
	// Resume resumes the halted rollout of a service. It returns ErrNotHalted if the
	// rollout is not halted.
	Resume(ctx context.Context, service string) error
}

// ResumeRequest is the request body to resume a rollout.
type ResumeRequest struct {
	Reason string `json:"reason"`
}

func (a *API) listOrders(c echo.Context) error {
	list, err := a.opts.Orders.Status(c.Request().Context(), c.QueryParam("service"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string][]ServiceOrders{"services": list})
}

func (a *API) resumeOrders(c echo.Context) error {
	var req ResumeRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	if req.Reason == "" {
		return newProblem(http.StatusBadRequest, "invalid-request", "a reason is required")
	}
	service := c.Param("service")
	entry := audit.Entry{Kind: audit.KindOrder, Reason: req.Reason, Result: audit.ResultDone, Detail: "rollout resumed",
		Subjects: []audit.Subject{{Kind: "service", Name: service}}}
	err := a.opts.Orders.Resume(c.Request().Context(), service)
	if errors.Is(err, ErrNotHalted) {
		err = newProblem(http.StatusConflict, "not-halted", "the rollout of service "+service+" is not halted")
		entry.Result, entry.Detail = audit.ResultRefused, "rollout is not halted"
		// The request is refused either way; writeAuditEntry logs a failure.
		_ = a.writeAuditEntry(c, requestPrincipal(c), entry, uuid.NewString(), time.Time{})
	}
	if err != nil {
		return err
	}
	if err := a.writeAuditEntry(c, requestPrincipal(c), entry, uuid.NewString(), time.Time{}); err != nil {
		return newProblem(http.StatusServiceUnavailable, "audit-unavailable",
			"the rollout was resumed, the audit entry was not written")
	}
	return c.JSON(http.StatusOK, map[string]bool{"resumed": true})
}

// previewOrders returns the orders that a change of the configuration would cause,
// for the services whose desired state it changes.
func (a *API) previewOrders(ctx context.Context, base, next *config.Config) ([]ServiceOrders, error) {
	var services []string
	for name, s := range next.Services {
		old := base.Services[name]
		if s.Version != old.Version || !slices.Equal(s.Adapters, old.Adapters) || !slices.Equal(s.Models, old.Models) {
			services = append(services, name)
		}
	}
	if len(services) == 0 || a.opts.Orders == nil {
		return []ServiceOrders{}, nil
	}
	return a.opts.Orders.Preview(ctx, next, services)
}
