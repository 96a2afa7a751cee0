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

// problemTypeBase is the prefix of all problem type URIs.
const problemTypeBase = "https://azurehatch.example/problems/"

// Problem is an application/problem+json document (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// OpID is the operation id with which a failed edit can be repeated.
	OpID string `json:"op_id,omitempty"`
	// Errors are the errors of an invalid configuration.
	Errors config.Errors `json:"errors,omitempty"`
	// Conflicts are the entries that two concurrent edits changed differently.
	Conflicts []config.Conflict `json:"conflicts,omitempty"`
	// Refusals are the changes rejected by guards.
	Refusals []config.Refusal `json:"refusals,omitempty"`
	// Current is the newest revision, if the edit was based on an older one.
	Current uint64 `json:"current,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func newProblem(status int, kind, detail string) *Problem {
	return &Problem{Type: problemTypeBase + kind, Title: http.StatusText(status), Status: status, Detail: detail}
}

// toProblem translates an error to the problem document for the response.
func toProblem(err error) *Problem {
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
		p = newProblem(http.StatusRequestEntityTooLarge, "too-large", err.Error())
	case errors.As(err, &httpErr):
		p = newProblem(httpErr.Code, "invalid-request", http.StatusText(httpErr.Code))
		if httpErr.Code == http.StatusNotFound {
			p.Type = problemTypeBase + "not-found"
		}
	case errors.As(err, &errs):
		p = newProblem(http.StatusUnprocessableEntity, "invalid-configuration", errs.Error())
		p.Errors = errs
	case errors.As(err, &merge):
		p = newProblem(http.StatusConflict, "conflict", merge.Error())
		p.Conflicts, p.Errors = merge.Conflicts, merge.Invalid
	case errors.As(err, &guard):
		p = newProblem(http.StatusConflict, "guarded-change", guard.Error())
		p.Refusals = guard.Refusals
	case errors.As(err, &stale):
		p = newProblem(http.StatusConflict, "stale-revision", stale.Error())
		p.Current = stale.Current
	case errors.As(err, &unknown):
		p = newProblem(http.StatusNotFound, "unknown-revision", unknown.Error())
	default:
		p = storeErrorToProblem(err)
	}
	return p
}

func storeErrorToProblem(err error) *Problem {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return newProblem(http.StatusGatewayTimeout, "outcome-unknown",
			"the operation may have taken effect; repeat it with the same op_id")
	case errors.Is(err, platform.ErrNotFound):
		return newProblem(http.StatusNotFound, "not-found", err.Error())
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited):
		return newProblem(http.StatusServiceUnavailable, "store-unavailable", err.Error())
	}
	return newProblem(http.StatusInternalServerError, "internal", err.Error())
}

func (a *API) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := toProblem(err)
	if p.Status >= http.StatusInternalServerError {
		a.opts.Log.Error().Err(err).Str("path", c.Request().URL.Path).Msg("administration request failed")
	}
	body, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		body = []byte(`{"type":"` + problemTypeBase + `internal","status":500}`)
	}
	if err := c.Blob(p.Status, "application/problem+json", body); err != nil {
		a.opts.Log.Debug().Err(err).Msg("failed to send problem response")
	}
}
