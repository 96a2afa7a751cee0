package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Load is a report of the engine's load.
type Load struct {
	ID     string   `json:"id"`
	Domain string   `json:"domain"`
	Role   string   `json:"role"`
	Models []string `json:"models"`
	// At is the time of the reported state.
	At time.Time `json:"at"`
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// TokensPerSecond is the rate of answer tokens over throughputWindow.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// throughputWindow is the interval over which Load.TokensPerSecond is averaged.
const throughputWindow = time.Second

type loadSample struct {
	running, queued int
	generatedTokens int
}

// recordLoad records the current load. The caller holds e.mu.
func (e *Engine) recordLoad() {
	s := loadSample{running: e.running, queued: len(e.queue), generatedTokens: e.usage.total.CompletionTokens}
	e.loadHistory.Put(time.Now(), s, e.reportLag()+2*throughputWindow)
}

func (e *Engine) reportLag() time.Duration {
	if e.faults.ReportLagMillis > 0 {
		return time.Duration(e.faults.ReportLagMillis) * time.Millisecond
	}
	return e.opts.ReportLag
}

// Load returns the load report, which lags by Options.ReportLag or
// Faults.ReportLagMillis.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.reportLag())
	s := e.loadHistory.At(at)
	generated := s.generatedTokens - e.loadHistory.At(at.Add(-throughputWindow)).generatedTokens
	return Load{
		ID: e.opts.ID, Domain: e.opts.Domain, Role: e.role, Models: append([]string(nil), e.models...),
		At: at, Running: s.running, Queued: s.queued, Slots: e.opts.Slots,
		TokensPerSecond: float64(generated) / throughputWindow.Seconds(),
	}
}

func (e *Engine) serveLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, e.Load())
}
