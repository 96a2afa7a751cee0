package admin

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

// problemBase is the prefix of each problem type.
const problemBase = "https://azurehatch.example/problems/"

// Problem is an application/problem+json document (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// OpID is the operation id of a failed edit, for a repeat of it.
	OpID string `json:"op_id,omitempty"`
	// Errors are the faults of a configuration text.
	Errors config.Errors `json:"errors,omitempty"`
	// Conflicts are the entries that two edits changed.
	Conflicts []config.Conflict `json:"conflicts,omitempty"`
	// Refusals are the guarded changes.
	Refusals []config.Refusal `json:"refusals,omitempty"`
	// Current is the newest revision.
	Current uint64 `json:"current,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func problem(status int, kind, detail string) *Problem {
	return &Problem{Type: problemBase + kind, Title: http.StatusText(status), Status: status, Detail: detail}
}

// problemOf translates an error to the document that the caller gets.
func problemOf(err error) *Problem {
	var (
		p       *Problem
		httpErr *echo.HTTPError
		errs    config.Errors
		merge   *config.MergeError
		guard   *config.GuardError
		stale   *rollout.StaleError
		unknown *rollout.UnknownRevisionError
		large   *http.MaxBytesError
	)
	switch {
	case errors.As(err, &p):
	case errors.As(err, &large):
		p = problem(http.StatusRequestEntityTooLarge, "too-large", err.Error())
	case errors.As(err, &httpErr):
		p = problem(httpErr.Code, "invalid-request", http.StatusText(httpErr.Code))
		if httpErr.Code == http.StatusNotFound {
			p.Type = problemBase + "not-found"
		}
	case errors.As(err, &errs):
		p = problem(http.StatusUnprocessableEntity, "invalid-configuration", errs.Error())
		p.Errors = errs
	case errors.As(err, &merge):
		p = problem(http.StatusConflict, "conflict", merge.Error())
		p.Conflicts, p.Errors = merge.Conflicts, merge.Invalid
	case errors.As(err, &guard):
		p = problem(http.StatusConflict, "guarded-change", guard.Error())
		p.Refusals = guard.Refusals
	case errors.As(err, &stale):
		p = problem(http.StatusConflict, "stale-revision", stale.Error())
		p.Current = stale.Current
	case errors.As(err, &unknown):
		p = problem(http.StatusNotFound, "unknown-revision", unknown.Error())
	default:
		p = storeProblem(err)
	}
	return p
}

func storeProblem(err error) *Problem {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return problem(http.StatusGatewayTimeout, "outcome-unknown",
			"the operation may have taken effect; repeat it with the same op_id")
	case errors.Is(err, platform.ErrNotFound):
		return problem(http.StatusNotFound, "not-found", err.Error())
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited):
		return problem(http.StatusServiceUnavailable, "store-unavailable", err.Error())
	}
	return problem(http.StatusInternalServerError, "internal", err.Error())
}

func (a *API) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problemOf(err)
	if p.Status >= http.StatusInternalServerError {
		a.opts.Log.Error().Err(err).Str("path", c.Request().URL.Path).Msg("administration request failed")
	}
	body, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		body = []byte(`{"type":"` + problemBase + `internal","status":500}`)
	}
	if err := c.Blob(p.Status, "application/problem+json", body); err != nil {
		a.opts.Log.Debug().Err(err).Msg("answer was not sent")
	}
}
