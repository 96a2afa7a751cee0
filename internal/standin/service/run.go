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

// Faults are the service's injected faults. The zero value injects none.
type Faults struct {
	// Slowdown multiplies the latency; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// ReportLagMillis replaces Options.ReportLag if it is above 0.
	ReportLagMillis int64 `json:"report_lag_millis"`
	// CrashMarker crashes the service when a request whose body holds it
	// starts to run; empty disables it.
	CrashMarker string `json:"crash_marker"`
	// CrashDownMillis is how long the service stays down after a crash.
	CrashDownMillis int64 `json:"crash_down_millis"`
	// Status answers requests with this status, without a run; 0 disables it.
	Status int `json:"status"`
	// Garbage makes answers malformed; the request runs nevertheless.
	Garbage bool `json:"garbage"`
	// CloseAfterBytes closes the connection after so many bytes of the answer;
	// 0 disables it.
	CloseAfterBytes int `json:"close_after_bytes"`
	// LoseAnswers is the number of next requests that run and whose connection
	// is then closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// BlackHole accepts requests and never answers them; they do not run.
	BlackHole bool `json:"black_hole"`
}

// SetFaults replaces the injected faults. A downtime after a crash goes on.
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

// applyConnectionFaults drops requests while the service is down and holds
// them while it is a black hole.
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
		return c.JSON(status, map[string]string{"error": "status set by the faults"})
	}
	if !s.run(r.Context(), runKey(r.Header), body) {
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(Echo{
		Instance: s.opts.ID, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body),
	})
	if err != nil {
		return err
	}
	return s.writeResponse(c, answer)
}

// run executes one request and reports whether it completed.
func (s *Service) run(ctx context.Context, key string, body []byte) bool {
	if !s.acquireSlot(ctx) {
		return false
	}
	defer s.releaseSlot()
	incarnation, wait := s.startRun(key, body)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-incarnation.Done():
	}
	if ctx.Err() != nil || incarnation.Err() != nil {
		return false
	}
	s.addRuns(key, Runs{Completed: 1})
	return true
}

// enter waits for a slot; it returns false if the caller leaves before.
func (s *Service) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	incarnation := s.incarnationCtx
	s.queued++
	s.recordLoad()
	s.mu.Unlock()
	acquired := false
	select {
	case s.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	case <-incarnation.Done():
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

// start counts a run and crashes the service if the body holds the marker. It
// returns the time to run and the context that a crash ends.
func (s *Service) startRun(key string, body []byte) (context.Context, time.Duration) {
	s.addRuns(key, Runs{Started: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := s.incarnationCtx
	if m := s.faults.CrashMarker; m != "" && bytes.Contains(body, []byte(m)) {
		s.crashes++
		s.downUntil = time.Now().Add(time.Duration(s.faults.CrashDownMillis) * time.Millisecond)
		s.endIncarnation()
		s.incarnationCtx, s.endIncarnation = context.WithCancel(s.ctx)
	}
	wait := s.opts.Latency
	if s.faults.Slowdown > 0 {
		wait = time.Duration(float64(wait) * s.faults.Slowdown)
	}
	return incarnation, wait
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

// write sends the answer with the faults that concern answers.
func (s *Service) writeResponse(c echo.Context, answer []byte) error {
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
		answer = answer[:len(answer)/2]
	case f.CloseAfterBytes > 0 && f.CloseAfterBytes < len(answer):
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		c.Response().WriteHeader(http.StatusOK)
		_, _ = c.Response().Write(answer[:f.CloseAfterBytes])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer)
}
