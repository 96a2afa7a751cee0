package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults configures the faults that the service injects. The zero value injects
// none.
type Faults struct {
	// Slowdown multiplies the latency; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// ReportLagMillis, if above 0, replaces Options.ReportLag, in milliseconds.
	ReportLagMillis int64 `json:"report_lag_millis"`
	// CrashMarker crashes the service when the execution of a request starts whose
	// body contains it; empty disables the fault.
	CrashMarker string `json:"crash_marker"`
	// CrashDownMillis is the downtime after a crash, in milliseconds.
	CrashDownMillis int64 `json:"crash_down_millis"`
	// Status is the status of the response to each request, which is not executed;
	// 0 disables the fault.
	Status int `json:"status"`
	// Garbage makes responses malformed. Requests are still executed.
	Garbage bool `json:"garbage"`
	// CloseAfterBytes is the number of bytes of a response after which the
	// connection is closed; 0 disables the fault.
	CloseAfterBytes int `json:"close_after_bytes"`
	// LoseAnswers is the number of requests, from the next one on, that are executed
	// and whose connection is then closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// BlackHole makes the service accept requests without executing or answering
	// them.
	BlackHole bool `json:"black_hole"`
}

// SetFaults replaces the injected faults. It does not end a downtime after a crash.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) getFaults(c echo.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	return c.JSON(http.StatusOK, f)
}

func (s *Service) putFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

// resetFaults removes all faults and ends a downtime.
func (s *Service) resetFaults(c echo.Context) error {
	s.mu.Lock()
	s.faults, s.downUntil = Faults{}, time.Time{}
	s.mu.Unlock()
	return c.NoContent(http.StatusNoContent)
}

// applyConnectionFaults closes the connections of requests while the service is
// down. With Faults.BlackHole it blocks requests until the caller gives up or the
// service is closed.
func (s *Service) applyConnectionFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		down := time.Now().Before(s.downUntil) || s.ctx.Err() != nil
		blackHole := s.faults.BlackHole
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if blackHole {
			select {
			case <-c.Request().Context().Done():
			case <-s.ctx.Done():
			}
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

func (s *Service) serveEcho(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	status := s.faults.Status
	s.mu.Unlock()
	if status != 0 {
		return c.JSON(status, map[string]string{"error": "status injected as a fault"})
	}
	if !s.run(r.Context(), runKey(r.Header), body) {
		panic(http.ErrAbortHandler)
	}
	response, err := json.Marshal(Echo{
		Instance: s.opts.ID, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body),
	})
	if err != nil {
		return err
	}
	return s.writeResponse(c, response)
}

// run executes a request and reports whether it completed.
func (s *Service) run(ctx context.Context, key string, body []byte) bool {
	if !s.acquireSlot(ctx) {
		return false
	}
	defer s.releaseSlot()
	incarnationCtx, latency := s.startRun(key, body)
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-incarnationCtx.Done():
	}
	if ctx.Err() != nil || incarnationCtx.Err() != nil {
		return false
	}
	s.addRuns(key, Runs{Completed: 1})
	return true
}

// acquireSlot waits for a slot. It returns false if the request is cancelled or the
// service crashes first.
func (s *Service) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	incarnationCtx := s.incarnationCtx
	s.queued++
	s.recordLoad()
	s.mu.Unlock()
	acquired := false
	select {
	case s.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	case <-incarnationCtx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if acquired {
		s.running++
	}
	s.recordLoad()
	return acquired
}

func (s *Service) releaseSlot() {
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordLoad()
}

// startRun counts a started execution and crashes the service if the body contains
// the crash marker. It returns the context of the incarnation, which a crash ends,
// and the execution time.
func (s *Service) startRun(key string, body []byte) (context.Context, time.Duration) {
	s.addRuns(key, Runs{Started: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnationCtx := s.incarnationCtx
	if m := s.faults.CrashMarker; m != "" && bytes.Contains(body, []byte(m)) {
		s.crashes++
		s.downUntil = time.Now().Add(time.Duration(s.faults.CrashDownMillis) * time.Millisecond)
		s.endIncarnation()
		s.incarnationCtx, s.endIncarnation = context.WithCancel(s.ctx)
	}
	latency := s.opts.Latency
	if s.faults.Slowdown > 0 {
		latency = time.Duration(float64(latency) * s.faults.Slowdown)
	}
	return incarnationCtx, latency
}

func (s *Service) addRuns(key string, r Runs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns = Runs{s.totalRuns.Started + r.Started, s.totalRuns.Completed + r.Completed}
	if key != "" {
		old := s.runsByKey[key]
		s.runsByKey[key] = Runs{old.Started + r.Started, old.Completed + r.Completed}
	}
}

// writeResponse sends the response with the faults that apply to responses.
func (s *Service) writeResponse(c echo.Context, response []byte) error {
	s.mu.Lock()
	f := s.faults
	if f.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	switch {
	case f.LoseAnswers > 0:
		panic(http.ErrAbortHandler)
	case f.Garbage:
		response = response[:len(response)/2]
	case f.CloseAfterBytes > 0 && f.CloseAfterBytes < len(response):
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		c.Response().WriteHeader(http.StatusOK)
		_, _ = c.Response().Write(response[:f.CloseAfterBytes])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, response)
}
