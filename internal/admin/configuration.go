package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

// Configuration is a revision of the configuration with its text.
type Configuration struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// EditRequest is the request body of an apply, check, diff, rollback or drain.
type EditRequest struct {
	// Base is the revision that the edit is based on; if it is not set, a drain uses
	// the newest one.
	Base   uint64 `json:"base"`
	Reason string `json:"reason"`
	// Text is the complete configuration, for an apply, a check or a diff.
	Text string `json:"text,omitempty"`
	// To is the revision that a rollback restores or a diff without text compares.
	To uint64 `json:"to,omitempty"`
	// OpID identifies the operation, so that repeating it has no further effect; the
	// API generates one if it is not set.
	OpID string `json:"op_id,omitempty"`
	// Allow lists the guards that the operator overrides.
	Allow []config.Guard `json:"allow,omitempty"`
}

// EditResult is the response to an accepted edit.
type EditResult struct {
	rollout.Result
	OpID string `json:"op_id"`
}

func (a *API) readRevision(c echo.Context, revision uint64) (rollout.Result, error) {
	return a.runner.run(c.Request().Context(), rollout.Edit{Action: rollout.ActionRead, TargetRevision: revision})
}

// uintParam returns the value of a query parameter, or 0 if it is not set.
func uintParam(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newProblem(http.StatusBadRequest, "invalid-request", "parameter "+name+" is not a number")
	}
	return n, nil
}

func (a *API) getConfiguration(c echo.Context) error {
	revision, err := uintParam(c, "revision")
	if err != nil {
		return err
	}
	result, err := a.readRevision(c, revision)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Configuration{Revision: result.Revision, Text: string(config.Format(result.Config))})
}

func (a *API) bindEdit(c echo.Context, needReason bool) (EditRequest, error) {
	var req EditRequest
	if err := c.Bind(&req); err != nil {
		return req, err
	}
	if needReason && req.Reason == "" {
		return req, newProblem(http.StatusBadRequest, "invalid-request", "a reason is required")
	}
	if req.OpID == "" {
		req.OpID = uuid.NewString()
	}
	return req, nil
}

func (a *API) checkConfiguration(c echo.Context) error {
	req, err := a.bindEdit(c, false)
	if err != nil {
		return err
	}
	if _, err := config.Parse("configuration", []byte(req.Text)); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]bool{"valid": true})
}

// DiffResult is the response to a diff.
type DiffResult struct {
	Base    uint64          `json:"base"`
	Changes []config.Change `json:"changes"`
	// Orders are the orders that the changes would cause, for the services whose
	// desired state changes. If they cannot be determined, OrdersError is the reason.
	Orders      []ServiceOrders `json:"orders,omitempty"`
	OrdersError string          `json:"orders_error,omitempty"`
}

// diffConfiguration compares a revision with a text or with another revision.
func (a *API) diffConfiguration(c echo.Context) error {
	req, err := a.bindEdit(c, false)
	if err != nil {
		return err
	}
	base, err := a.readRevision(c, req.Base)
	if err != nil {
		return err
	}
	var next *config.Config
	if req.Text != "" {
		next, err = config.Parse("configuration", []byte(req.Text))
	} else {
		var result rollout.Result
		result, err = a.readRevision(c, req.To)
		next = result.Config
	}
	if err != nil {
		return err
	}
	changes := config.Diff(base.Config, next)
	if changes == nil {
		changes = []config.Change{}
	}
	answer := DiffResult{Base: base.Revision, Changes: changes}
	if answer.Orders, err = a.previewOrders(c.Request().Context(), base.Config, next); err != nil {
		answer.OrdersError = err.Error()
	}
	return c.JSON(http.StatusOK, answer)
}

func (a *API) applyConfiguration(c echo.Context) error {
	req, err := a.bindEdit(c, true)
	if err != nil {
		return err
	}
	next, err := config.Parse("configuration", []byte(req.Text))
	if err != nil {
		return a.rejectEdit(c, req, audit.KindApply, err)
	}
	return a.runEdit(c, req, rollout.Edit{Action: rollout.ActionApply, Config: next, Entry: audit.Entry{Kind: audit.KindApply}})
}

func (a *API) rollback(c echo.Context) error {
	req, err := a.bindEdit(c, true)
	if err != nil {
		return err
	}
	return a.runEdit(c, req, rollout.Edit{Action: rollout.ActionRollback, TargetRevision: req.To,
		Entry: audit.Entry{Kind: audit.KindRollback}})
}

// drain marks an endpoint as leaving by an edit of the configuration.
func (a *API) drain(c echo.Context) error {
	req, err := a.bindEdit(c, true)
	if err != nil {
		return err
	}
	base, err := a.readRevision(c, req.Base)
	if err != nil {
		return err
	}
	id := c.Param("id")
	e, ok := base.Config.Endpoints[id]
	if !ok {
		return newProblem(http.StatusNotFound, "not-found", "endpoint "+strconv.Quote(id)+" does not exist")
	}
	next := base.Config.Clone()
	e.State = config.StateLeaving
	next.Endpoints[id] = e
	req.Base = base.Revision
	return a.runEdit(c, req, rollout.Edit{Action: rollout.ActionApply, Config: next, Entry: audit.Entry{Kind: audit.KindDrain}})
}

// runEdit runs an edit and sends its result.
func (a *API) runEdit(c echo.Context, req EditRequest, edit rollout.Edit) error {
	p := requestPrincipal(c)
	edit.OpID, edit.Base, edit.ConfirmedGuards = req.OpID, req.Base, req.Allow
	edit.Entry.Actor, edit.Entry.Team, edit.Entry.Reason = p.name, p.team, req.Reason
	edit.HasSpend = a.opts.Accounts.HasSpend
	result, err := a.runner.run(c.Request().Context(), edit)
	if err != nil {
		return a.rejectEdit(c, req, edit.Entry.Kind, err)
	}
	return c.JSON(http.StatusOK, EditResult{Result: result, OpID: req.OpID})
}

// rejectEdit audits a failed edit and returns the error for the response. Store errors
// are not audited, because the outcome of the edit is unknown or an audit entry
// could not be written either.
func (a *API) rejectEdit(c echo.Context, req EditRequest, kind audit.Kind, err error) error {
	p := toProblem(err)
	p.OpID = req.OpID
	for _, e := range []error{platform.ErrOutcomeUnknown, platform.ErrUnavailable, platform.ErrLimited} {
		if errors.Is(err, e) {
			return p
		}
	}
	entry := audit.Entry{Kind: kind, Base: req.Base, Reason: req.Reason, Result: audit.ResultRefused,
		Detail: p.Type[len(problemTypeBase):]}
	// The entry gets its own operation id, since the edit may be repeated with
	// req.OpID.
	if err := a.writeAuditEntry(c, requestPrincipal(c), entry, uuid.NewString(), time.Time{}); err != nil {
		a.opts.Log.Warn().Str("op_id", req.OpID).Msg("rejected edit was not audited")
	}
	return p
}
