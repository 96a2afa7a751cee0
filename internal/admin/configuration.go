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

// Configuration is a revision with its text.
type Configuration struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// EditRequest is the body of an apply, a rollback or a drain.
type EditRequest struct {
	// Base is the revision that the operator saw; a drain takes the newest if it
	// is not set.
	Base   uint64 `json:"base"`
	Reason string `json:"reason"`
	// Text is the whole configuration of an apply or a diff.
	Text string `json:"text,omitempty"`
	// To is the revision whose content a rollback restores.
	To uint64 `json:"to,omitempty"`
	// OpID makes a repeat recognisable; the API generates one if it is not set.
	OpID string `json:"op_id,omitempty"`
	// Allow lists guards that the operator has confirmed.
	Allow []config.Guard `json:"allow,omitempty"`
}

// EditResult is the answer to an accepted edit.
type EditResult struct {
	rollout.Result
	OpID string `json:"op_id"`
}

func (a *API) read(c echo.Context, revision uint64) (rollout.Result, error) {
	return a.edit.run(c.Request().Context(), rollout.Edit{Action: rollout.ActionRead, TargetRevision: revision})
}

func number(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problem(http.StatusBadRequest, "invalid-request", "parameter "+name+" is not a number")
	}
	return n, nil
}

func (a *API) getConfiguration(c echo.Context) error {
	revision, err := number(c, "revision")
	if err != nil {
		return err
	}
	result, err := a.read(c, revision)
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
		return req, problem(http.StatusBadRequest, "invalid-request", "a reason is required")
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

// DiffResult is the answer to a comparison.
type DiffResult struct {
	Base    uint64          `json:"base"`
	Changes []config.Change `json:"changes"`
	// Orders are the orders that would follow in the services whose desired
	// state changes; OrdersError tells why they can't be shown.
	Orders      []ServiceOrders `json:"orders,omitempty"`
	OrdersError string          `json:"orders_error,omitempty"`
}

// diffConfiguration compares two revisions, or a text with a revision.
func (a *API) diffConfiguration(c echo.Context) error {
	req, err := a.bindEdit(c, false)
	if err != nil {
		return err
	}
	base, err := a.read(c, req.Base)
	if err != nil {
		return err
	}
	var next *config.Config
	if req.Text != "" {
		next, err = config.Parse("configuration", []byte(req.Text))
	} else {
		var result rollout.Result
		result, err = a.read(c, req.To)
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
	if answer.Orders, err = a.follow(c.Request().Context(), base.Config, next); err != nil {
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
		return a.refused(c, req, audit.KindApply, err)
	}
	return a.change(c, req, rollout.Edit{Action: rollout.ActionApply, Config: next, Entry: audit.Entry{Kind: audit.KindApply}})
}

func (a *API) rollback(c echo.Context) error {
	req, err := a.bindEdit(c, true)
	if err != nil {
		return err
	}
	return a.change(c, req, rollout.Edit{Action: rollout.ActionRollback, TargetRevision: req.To, Entry: audit.Entry{Kind: audit.KindRollback}})
}

// drain marks an endpoint as leaving, which is an edit like any other.
func (a *API) drain(c echo.Context) error {
	req, err := a.bindEdit(c, true)
	if err != nil {
		return err
	}
	base, err := a.read(c, req.Base)
	if err != nil {
		return err
	}
	id := c.Param("id")
	e, ok := base.Config.Endpoints[id]
	if !ok {
		return problem(http.StatusNotFound, "not-found", "endpoint "+strconv.Quote(id)+" does not exist")
	}
	next := base.Config.Clone()
	e.State = config.StateLeaving
	next.Endpoints[id] = e
	req.Base = base.Revision
	return a.change(c, req, rollout.Edit{Action: rollout.ActionApply, Config: next, Entry: audit.Entry{Kind: audit.KindDrain}})
}

// change runs an edit and answers with its result.
func (a *API) change(c echo.Context, req EditRequest, edit rollout.Edit) error {
	p := caller(c)
	edit.OpID, edit.Base, edit.ConfirmedGuards = req.OpID, req.Base, req.Allow
	edit.Entry.Actor, edit.Entry.Office, edit.Entry.Reason = p.name, p.office, req.Reason
	edit.HasSpend = a.opts.Accounts.Spent
	result, err := a.edit.run(c.Request().Context(), edit)
	if err != nil {
		return a.refused(c, req, edit.Entry.Kind, err)
	}
	return c.JSON(http.StatusOK, EditResult{Result: result, OpID: req.OpID})
}

// refused audits an edit that was not accepted. Errors of the store are not
// audited: the outcome is not known, or the entry could not be written either.
func (a *API) refused(c echo.Context, req EditRequest, kind audit.Kind, err error) error {
	p := problemOf(err)
	p.OpID = req.OpID
	for _, e := range []error{platform.ErrOutcomeUnknown, platform.ErrUnavailable, platform.ErrLimited} {
		if errors.Is(err, e) {
			return p
		}
	}
	entry := audit.Entry{Kind: kind, Base: req.Base, Reason: req.Reason, Result: audit.ResultRefused, Detail: p.Type[len(problemBase):]}
	// The entry has an operation id of its own: the refused one may be used again.
	if err := a.record(c, caller(c), entry, uuid.NewString(), time.Time{}); err != nil {
		a.opts.Log.Warn().Str("op_id", req.OpID).Msg("refused edit is not in the audit trail")
	}
	return p
}
