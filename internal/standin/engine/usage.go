package engine

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// RequestUsage counts the generations and tokens of a request id.
type RequestUsage struct {
	// Received counts the requests for a new generation.
	Received int `json:"received"`
	// Runs counts the generations that occupied a slot.
	Runs int `json:"runs"`
	// Resumes counts the connections that resumed a generation.
	Resumes int `json:"resumes"`
	// Completed and Cancelled count the ended generations. Cancelled includes
	// generations aborted by a crash and requests cancelled in the queue.
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// PromptTokens and CompletionTokens are totals over all runs.
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// usageLog holds the usage of the latest maxRequests request ids. total covers all
// ids; its Received and Resumes stay zero.
type usageLog struct {
	maxRequests int
	byID        map[string]*RequestUsage
	ids         []string // by first use, oldest first
	total       RequestUsage
}

func newUsageLog(maxRequests int) usageLog {
	return usageLog{maxRequests: maxRequests, byID: make(map[string]*RequestUsage)}
}

func (l *usageLog) get(id string) *RequestUsage {
	u := l.byID[id]
	if u == nil {
		u = &RequestUsage{}
		l.byID[id] = u
		l.ids = append(l.ids, id)
		if len(l.ids) > l.maxRequests {
			delete(l.byID, l.ids[0])
			l.ids = l.ids[1:]
		}
	}
	return u
}

// Usage returns the usage by request id and the totals of all requests.
func (e *Engine) Usage() (byID map[string]RequestUsage, total RequestUsage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	byID = make(map[string]RequestUsage, len(e.usage.byID))
	for id, u := range e.usage.byID {
		byID[id] = *u
	}
	return byID, e.usage.total
}

type usageReport struct {
	Crashes  int                     `json:"crashes"`
	Total    RequestUsage            `json:"total"`
	Requests map[string]RequestUsage `json:"requests"`
}

func (e *Engine) serveUsage(c echo.Context) error {
	byID, total := e.Usage()
	return c.JSON(http.StatusOK, usageReport{Crashes: e.Crashes(), Total: total, Requests: byID})
}
