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

// ErrNotHalted means that there is no halted rollout to resume.
var ErrNotHalted = errors.New("the rollout is not halted")

// ServiceOrders is the state of a service's endpoints against the configuration
// and the orders that follow.
type ServiceOrders struct {
	Service  string   `json:"service"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Holder is the daemon that holds the duty, Fence its fencing number.
	Holder string `json:"holder,omitempty"`
	Fence  int64  `json:"fence,omitempty"`
	// IgnoresFencing is set if the endpoints ignore fencing numbers.
	IgnoresFencing bool `json:"ignores_fencing,omitempty"`
	// Total counts the endpoints that are not leaving, Ready those in the
	// desired state and healthy.
	Total int `json:"total"`
	Ready int `json:"ready"`
	// Open counts the open orders, Unknown those of unknown outcome among them,
	// Failed the orders without effect that the record keeps.
	Open    int `json:"open"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// Halt is set while the rollout is halted.
	Halt *Halt `json:"halt,omitempty"`
	// Unreachable endpoints did not report; they get no orders.
	Unreachable []string `json:"unreachable,omitempty"`
	// Unhealthy endpoints report that they are not healthy. Like unreachable
	// ones they count as out of work, so that others may have to wait for them.
	Unhealthy []string       `json:"unhealthy,omitempty"`
	Orders    []OpenOrder    `json:"orders"`
	Plan      []PlannedOrder `json:"plan"`
}

// Halt is a rollout that stopped by itself.
type Halt struct {
	Version string    `json:"version"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
	// Resumed is set if an operator has resumed the rollout and the holder of
	// the duty has not taken notice yet.
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

// PlannedOrder is an order that would follow.
type PlannedOrder struct {
	// Step numbers the groups of orders that run at a time, from 1.
	Step     int    `json:"step"`
	Endpoint string `json:"endpoint"`
	Kind     string `json:"kind"`
	Value    string `json:"value"`
	// WaitsFor names what holds the order back now.
	WaitsFor string `json:"waits_for,omitempty"`
	// Risk names the effects that remain possible.
	Risk string `json:"risk,omitempty"`
}

// Orders shows and resumes rollouts. An unknown service is
// platform.ErrNotFound.
type Orders interface {
	// Status returns the services that have orders, or only the one named.
	Status(ctx context.Context, service string) ([]ServiceOrders, error)
	// Preview returns what would follow from a configuration.
	Preview(ctx context.Context, c *config.Config, services []string) ([]ServiceOrders, error)
	// Resume ends the halt of a service's rollout, or returns ErrNotHalted.
	Resume(ctx context.Context, service string) error
}

// ResumeRequest is the body of a resumption.
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
		// The caller is refused in any case; record logs a failure.
		_ = a.writeAuditEntry(c, requestPrincipal(c), entry, uuid.NewString(), time.Time{})
	}
	if err != nil {
		return err
	}
	if err := a.writeAuditEntry(c, requestPrincipal(c), entry, uuid.NewString(), time.Time{}); err != nil {
		return newProblem(http.StatusServiceUnavailable, "audit-unavailable", "the rollout was resumed, the audit entry was not written")
	}
	return c.JSON(http.StatusOK, map[string]bool{"resumed": true})
}

// follow returns the orders that would follow from a change of the
// configuration, for the services whose desired state it changes.
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
