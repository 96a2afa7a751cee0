package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

const (
	defaultAuditLimit, maxAuditLimit = 100, 1000
	// maxAuditSegments limits the store reads of one query.
	maxAuditSegments = 50
	// topUpRepeatWindow is how long a repeated top-up finds the audit entry of the
	// first attempt. A later repeat writes a second entry but adds no tokens.
	topUpRepeatWindow = 24 * time.Hour
)

// TopUpRequest is the request body of a top-up.
type TopUpRequest struct {
	Budget string `json:"budget"`
	Tokens int64  `json:"tokens"`
	Reason string `json:"reason"`
	OpID   string `json:"op_id,omitempty"`
}

// TopUpResult is the response to a top-up.
type TopUpResult struct {
	Budget Budget `json:"budget"`
	OpID   string `json:"op_id"`
}

// AuditPage is one page of the audit trail, oldest entry first.
type AuditPage struct {
	Entries []audit.Entry `json:"entries"`
	// Before is the value of the query parameter "before" that returns the next older
	// page; 0 if there are no older entries.
	Before uint64 `json:"before,omitempty"`
	// Broken describes a violation of the hash chain among the entries that were
	// read; empty if there is none.
	Broken string `json:"broken,omitempty"`
}

func (a *API) listAccounts(c echo.Context) error {
	list, err := a.opts.Accounts.List(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string][]Account{"accounts": append([]Account{}, list...)})
}

func (a *API) showAccount(c echo.Context) error {
	account, err := a.opts.Accounts.Account(c.Request().Context(), c.Param("name"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, account)
}

func (a *API) topUp(c echo.Context) error {
	var req TopUpRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	if req.Budget == "" || req.Tokens <= 0 || req.Reason == "" {
		return newProblem(http.StatusBadRequest, "invalid-request",
			"budget, a positive number of tokens and a reason are required")
	}
	if req.OpID == "" {
		req.OpID = uuid.NewString()
	}
	account := c.Param("name")
	budget, err := a.opts.Accounts.TopUp(c.Request().Context(),
		TopUp{Account: account, Budget: req.Budget, Tokens: req.Tokens, OpID: req.OpID})
	if err != nil {
		p := toProblem(err)
		p.OpID = req.OpID
		return p
	}
	entry := audit.Entry{Kind: audit.KindTopUp, Reason: req.Reason, Result: audit.ResultDone,
		Subjects: []audit.Subject{{Kind: "budget", Name: account + "/" + req.Budget}}, Detail: topUpDetail(req.Tokens)}
	if err := a.writeAuditEntry(c, requestPrincipal(c), entry, "topup-"+req.OpID,
		a.opts.Now().Add(-topUpRepeatWindow)); err != nil {
		p := newProblem(http.StatusServiceUnavailable, "audit-unavailable",
			"the tokens were added, the audit entry was not written; repeat with the same op_id")
		p.OpID = req.OpID
		return p
	}
	return c.JSON(http.StatusOK, TopUpResult{Budget: budget, OpID: req.OpID})
}

func topUpDetail(tokens int64) string {
	text, _ := json.Marshal(tokens)
	return string(text) + " tokens"
}

func (a *API) fleetStatus(c echo.Context) error {
	status, err := a.opts.Fleet.Status(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, status)
}

func (a *API) history(c echo.Context) error {
	isRevision := func(e audit.Entry) bool { return e.Manifest != "" }
	return a.writeAuditPage(c, isRevision)
}

func (a *API) queryAudit(c echo.Context) error {
	f := audit.Filter{Actor: c.QueryParam("actor"), Team: c.QueryParam("office"), Account: c.QueryParam("account"),
		Service: c.QueryParam("service"), Kind: audit.Kind(c.QueryParam("kind")), Result: audit.Result(c.QueryParam("result"))}
	for name, t := range map[string]*time.Time{"from": &f.From, "to": &f.To} {
		if text := c.QueryParam(name); text != "" {
			var err error
			if *t, err = time.Parse(time.RFC3339, text); err != nil {
				return newProblem(http.StatusBadRequest, "invalid-request", "parameter "+name+" is not an RFC 3339 time")
			}
		}
	}
	return a.writeAuditPage(c, f.Match)
}

func (a *API) writeAuditPage(c echo.Context, match func(audit.Entry) bool) error {
	limit, err := uintParam(c, "limit")
	if err != nil {
		return err
	}
	before, err := uintParam(c, "before")
	if err != nil {
		return err
	}
	if limit == 0 {
		limit = defaultAuditLimit
	}
	page, err := a.auditPage(c.Request().Context(), match, int(min(limit, maxAuditLimit)), before)
	if err != nil {
		return err
	}
	if c.QueryParam("format") == "jsonl" {
		return c.Blob(http.StatusOK, "application/jsonl", audit.JSONLines(page.Entries))
	}
	return c.JSON(http.StatusOK, page)
}

// auditPage returns the newest matching entries, up to limit, with a sequence number
// below before, or any if before is 0. It reads the trail backwards.
func (a *API) auditPage(ctx context.Context, match func(audit.Entry) bool, limit int, before uint64) (AuditPage, error) {
	page := AuditPage{Entries: []audit.Entry{}}
	item, err := a.opts.Store.Get(ctx, rollout.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return page, nil
	}
	if err != nil {
		return page, err
	}
	head, err := rollout.DecodeHead(item.Value)
	if err != nil {
		return page, err
	}
	entries := head.Audit.Entries
	var later []audit.Entry
	for n := head.Audit.Segments; ; n-- {
		page.verify(entries, later, n == 0)
		later = entries
		for _, e := range slices.Backward(entries) {
			if (before != 0 && e.Seq >= before) || !match(e) {
				continue
			}
			if len(page.Entries) == limit {
				page.Before = page.Entries[limit-1].Seq
				slices.Reverse(page.Entries)
				return page, nil
			}
			page.Entries = append(page.Entries, e)
		}
		if n == 0 || head.Audit.Segments-n >= maxAuditSegments {
			break
		}
		if entries, err = a.readSegment(ctx, n); err != nil {
			return page, err
		}
	}
	if len(entries) > 0 && entries[0].Seq > 1 {
		page.Before = entries[0].Seq
	}
	slices.Reverse(page.Entries)
	return page, nil
}

// verify checks the hash chain of entries and its link to the later entries, which
// were read before. first is set if entries starts with the first one of the trail.
func (p *AuditPage) verify(entries, later []audit.Entry, first bool) {
	if len(entries) == 0 {
		return
	}
	var err error
	if first {
		err = audit.Verify(nil, entries)
	} else {
		err = audit.Verify(&entries[0], entries[1:])
	}
	if err == nil && len(later) > 0 {
		err = audit.Verify(&entries[len(entries)-1], later[:1])
	}
	if err != nil {
		p.Broken = err.Error()
	}
}

func (a *API) readSegment(ctx context.Context, n int) ([]audit.Entry, error) {
	item, err := a.opts.Store.Get(ctx, audit.SegmentKey(n))
	if err != nil {
		return nil, errors.Wrapf(err, "read audit segment %d", n)
	}
	var s audit.Segment
	if err := json.Unmarshal(item.Value, &s); err != nil {
		return nil, errors.Wrapf(err, "decode audit segment %d", n)
	}
	return s.Entries, nil
}
