package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults configures the faults that the engine injects. The zero value injects
// none.
type Faults struct {
	// Slowdown multiplies prefill and inter-token times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// ReportLagMillis overrides Options.ReportLag if it is positive.
	ReportLagMillis int64 `json:"report_lag_millis"`
	// CrashMarker is a text that crashes the engine when a request whose body
	// contains it gets a slot; empty disables it.
	CrashMarker string `json:"crash_marker"`
	// CrashDownMillis is the downtime after a crash.
	CrashDownMillis int64 `json:"crash_down_millis"`
	// Garbage makes chat answers malformed. The requests are executed normally.
	Garbage bool `json:"garbage"`
	// CloseAfterTokens closes the connection of a stream after this number of
	// tokens, counted from the start of the connection; 0 disables it.
	CloseAfterTokens int `json:"close_after_tokens"`
	// BlackHole accepts requests without executing or answering them.
	BlackHole bool `json:"black_hole"`
	// IgnoreFencing accepts orders with any fencing token. Its default is the
	// negation of Options.RefuseStaleOrders.
	IgnoreFencing bool `json:"ignore_fencing"`
}

func (f Faults) slowdown() float64 {
	if f.Slowdown <= 0 {
		return 1
	}
	return f.Slowdown
}

// SetFaults replaces the injected faults. It does not end a downtime after a crash.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the currently injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ResetFaults restores the initial faults and ends a downtime.
func (e *Engine) ResetFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = Faults{IgnoreFencing: !e.opts.RefuseStaleOrders}
	e.downUntil = time.Time{}
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// crash aborts all generations, clears the cache and starts the downtime. The
// caller holds e.mu.
func (e *Engine) crash() {
	e.crashes++
	e.downUntil = time.Now().Add(time.Duration(e.faults.CrashDownMillis) * time.Millisecond)
	for g := range e.active {
		e.abortGeneration(g)
	}
	for id := range e.resumable {
		delete(e.resumable, id)
	}
	e.cache.clear()
	e.prefillFreeAt = time.Time{}
	e.recordLoad()
}

// applyConnectionFaults closes the connections of requests while the engine is
// down. With Faults.BlackHole it blocks requests until the caller gives up or the
// engine is closed. It applies to orders but not to the other paths under /admin,
// with which tests control the engine.
func (e *Engine) applyConnectionFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.mu.Lock()
		down := e.closed || time.Now().Before(e.downUntil)
		blackHole := e.faults.BlackHole
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if blackHole {
			select {
			case <-c.Request().Context().Done():
			case <-e.ctx.Done():
			}
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

func (e *Engine) getFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, e.Faults())
}

func (e *Engine) putFaults(c echo.Context) error {
	f := Faults{IgnoreFencing: !e.opts.RefuseStaleOrders}
	if err := c.Bind(&f); err != nil {
		return err
	}
	e.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (e *Engine) resetFaults(c echo.Context) error {
	e.ResetFaults()
	return c.NoContent(http.StatusNoContent)
}
