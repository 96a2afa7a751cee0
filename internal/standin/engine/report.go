package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Load is the engine's load report.
type Load struct {
	ID     string   `json:"id"`
	Domain string   `json:"domain"`
	Role   string   `json:"role"`
	Models []string `json:"models"`
	// At is the time of the state that the report shows.
	At              time.Time `json:"at"`
	Running         int       `json:"running"`
	Queued          int       `json:"queued"`
	Slots           int       `json:"slots"`
	TokensPerSecond float64   `json:"tokens_per_second"`
}

const (
	// loadResolution limits the samples kept for a lagging report.
	loadResolution = 5 * time.Millisecond
	// rateWindow is the time over which tokens per second are counted.
	rateWindow = time.Second
)

type loadSample struct {
	at              time.Time
	running, queued int
	generated       int
}

// loadHistory holds samples in the order of time, back to the report's lag and
// the rate window.
type loadHistory []loadSample

// noteLoad records the present load. e.mu is held.
func (e *Engine) noteLoad() {
	now := time.Now()
	s := loadSample{at: now, running: e.running, queued: len(e.queue), generated: e.usage.total.CompletionTokens}
	if n := len(e.load); n > 0 && now.Sub(e.load[n-1].at) < loadResolution {
		s.at = e.load[n-1].at
		e.load[n-1] = s
		return
	}
	e.load = append(e.load, s)
	oldest := now.Add(-e.lag() - 2*rateWindow)
	drop := 0
	for drop+1 < len(e.load) && e.load[drop+1].at.Before(oldest) {
		drop++
	}
	e.load = e.load[drop:]
}

// at returns the last sample taken at t or before.
func (h loadHistory) at(t time.Time) loadSample {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(t) {
			return h[i]
		}
	}
	return loadSample{}
}

func (e *Engine) lag() time.Duration {
	if e.faults.ReportLagMillis > 0 {
		return time.Duration(e.faults.ReportLagMillis) * time.Millisecond
	}
	return e.opts.ReportLag
}

// Load returns the report as callers of /load see it.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.lag())
	s := e.load.at(at)
	window := s.generated - e.load.at(at.Add(-rateWindow)).generated
	return Load{
		ID: e.opts.ID, Domain: e.opts.Domain, Role: e.role, Models: append([]string(nil), e.models...),
		At: at, Running: s.running, Queued: s.queued, Slots: e.opts.Slots,
		TokensPerSecond: float64(window) / rateWindow.Seconds(),
	}
}

func (e *Engine) serveLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, e.Load())
}
