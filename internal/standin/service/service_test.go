package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reply is the outcome of a request for its caller. aborted means that the
// connection was closed before the end of the response.
type reply struct {
	*httptest.ResponseRecorder
	aborted bool
}

func serveRequest(ctx context.Context, s *Service, method, path, key, body string) (r reply) {
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	r.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		v := recover()
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			r.aborted = true
		} else if v != nil {
			panic(v)
		}
	}()
	s.ServeHTTP(r, req)
	return r
}

// Guards against an echo without some part of the request.
func TestEcho(t *testing.T) {
	s := New(Options{ID: "s1"})
	defer s.Close()
	r := serveRequest(t.Context(), s, http.MethodPut, "/print/7?copies=2", "k", "pages")
	var got Echo
	if err := json.Unmarshal(r.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := Echo{Instance: "s1", Method: "PUT", Path: "/print/7", Query: "copies=2", Body: "pages"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
}

// Guards against an execution that is not counted because its response is lost, and
// against a fault that counts an execution which did not happen.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name, faults string
		aborted      bool
		status       int
		valid        bool
		runs         Runs
	}{
		{"none", `{}`, false, 200, true, Runs{1, 1}},
		{"lost response", `{"lose_answers":1}`, true, 200, false, Runs{1, 1}},
		{"garbage", `{"garbage":true}`, false, 200, false, Runs{1, 1}},
		{"connection closed during the response", `{"close_after_bytes":5}`, true, 200, false, Runs{1, 1}},
		{"status", `{"status":503}`, false, 503, true, Runs{0, 0}},
		{"black hole", `{"black_hole":true}`, true, 200, false, Runs{0, 0}},
		{"crash", `{"crash_marker":"poison","crash_down_millis":5000}`, true, 200, false, Runs{1, 0}},
		{"slowdown beyond the caller's deadline", `{"slowdown":100}`, true, 200, false, Runs{1, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{Latency: time.Second})
				defer s.Close()
				if r := serveRequest(t.Context(), s, http.MethodPut, "/admin/faults", "", tc.faults); r.Code != http.StatusOK {
					t.Fatalf("status %d: %s", r.Code, r.Body)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				r := serveRequest(ctx, s, http.MethodPost, "/order", "k", "a poison body")
				if r.aborted != tc.aborted || r.Code != tc.status || json.Valid(r.Body.Bytes()) != tc.valid {
					t.Errorf("aborted %v, status %d, body %q, want %+v", r.aborted, r.Code, r.Body, tc)
				}
				if byKey, total := s.Runs(); byKey["k"] != tc.runs || total != tc.runs {
					t.Errorf("runs %+v, total %+v, want %+v", byKey["k"], total, tc.runs)
				}
				serveRequest(t.Context(), s, http.MethodDelete, "/admin/faults", "", "")
				if r := serveRequest(t.Context(), s, http.MethodPost, "/order", "k", "a poison body"); r.aborted ||
					r.Code != http.StatusOK {
					t.Errorf("after the reset: aborted %v, status %d", r.aborted, r.Code)
				}
			})
		})
	}
}

// Guards against a crash that does not abort the other requests, and against
// responses while the service is down.
func TestCrashEndsOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Latency: time.Hour})
		defer s.Close()
		s.SetFaults(Faults{CrashMarker: "poison", CrashDownMillis: 5000})
		var other reply
		go func() { other = serveRequest(t.Context(), s, http.MethodPost, "/", "other", "fine") }()
		synctest.Wait()
		serveRequest(t.Context(), s, http.MethodPost, "/", "p", "poison")
		synctest.Wait()
		if !other.aborted || !serveRequest(t.Context(), s, http.MethodGet, "/health", "", "").aborted {
			t.Error("another request or the health check was not aborted by the crash")
		}
		time.Sleep(5 * time.Second)
		if r := serveRequest(t.Context(), s, http.MethodGet, "/health", "", ""); r.Code != http.StatusOK || r.aborted {
			t.Errorf("after the downtime: status %d, aborted %v", r.Code, r.aborted)
		}
	})
}

// Guards against a load report without lag, and against more concurrent executions
// than slots.
func TestLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, Latency: time.Minute, ReportLag: 2 * time.Second})
		defer s.Close()
		for range 2 {
			go serveRequest(t.Context(), s, http.MethodGet, "/", "", "")
		}
		var got []Load
		for _, wait := range []time.Duration{1900 * time.Millisecond, 200 * time.Millisecond} {
			time.Sleep(wait)
			var l Load
			if err := json.Unmarshal(
				serveRequest(t.Context(), s, http.MethodGet, "/load", "", "").Body.Bytes(), &l); err != nil {
				t.Fatal(err)
			}
			got = append(got, Load{Running: l.Running, Queued: l.Queued, Slots: l.Slots})
		}
		if diff := cmp.Diff([]Load{{Slots: 1}, {Slots: 1, Running: 1, Queued: 1}}, got); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
	})
}
