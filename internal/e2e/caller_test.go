package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/unit"
)

// Guards against callers that occupy connections indefinitely by sending request
// headers byte by byte without completing them.
func TestCallersThatNeverFinishHeaders(t *testing.T) {
	f := startFleet(t, options{editSettings: func(s *settings.Settings) {
		s.Limits.HeaderTimeout = unit.Duration{Duration: 2 * time.Second}
	}})
	const connections = 50
	ended := make(chan error, connections)
	for range connections {
		conn, err := net.Dial("tcp", f.daemons[0].callersAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() { ended <- sendHeadersSlowly(conn) }()
	}
	for n := range 20 {
		if r := f.sendChat(context.Background(), chatRequest{account: n % accountCount, words: 5}); !r.complete {
			t.Errorf("request %d while slow callers are connected: status %d, %q, %v", n, r.status, r.body, r.err)
		}
	}
	for range connections {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if !f.daemons[0].running() || !f.isReady(f.daemons[0]) {
		t.Error("daemon is not running or not ready")
	}
}

// sendHeadersSlowly sends a header byte by byte until the daemon closes the
// connection, and fails if the connection stays open for waitTimeout.
func sendHeadersSlowly(conn net.Conn) error {
	closed := make(chan error, 1)
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err := io.Copy(io.Discard, conn)
		closed <- err
	}()
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Slow: ")
	for {
		select {
		case err := <-closed:
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return fmt.Errorf("daemon did not close the connection: %w", err)
			}
			return nil
		case <-time.After(100 * time.Millisecond):
			_, _ = conn.Write([]byte("a")) // fails once the daemon has closed the connection
		}
	}
}

// Guards against generations that go on after their caller has disconnected, that
// are not billed, and against a disconnect that brings the daemon down.
func TestCallersDisconnect(t *testing.T) {
	f := startFleet(t, options{})
	const callers, words = 6, 2000
	done := make(chan reply, callers)
	for i := range callers {
		go func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done <- f.sendChat(ctx, chatRequest{
				account: i % accountCount, words: words, key: fmt.Sprintf("gone-%d", i), onFirstToken: cancel,
			})
		}()
	}
	for range callers {
		if r := <-done; r.complete || r.tokens == 0 {
			t.Errorf("caller disconnected after %d tokens, answer complete: %t; want a partial answer", r.tokens, r.complete)
		}
	}
	eventually(t, func() error {
		cancelled := 0
		for _, e := range f.engines {
			for _, u := range f.engineUsage(e) {
				cancelled += u.Cancelled
			}
		}
		if cancelled < callers {
			return fmt.Errorf("%d of %d generations have been cancelled", cancelled, callers)
		}
		return nil
	})
	eventually(t, func() error {
		billed := 0
		for i := range accountCount {
			bills, err := f.checkAccount(i)
			if err != nil {
				return err
			}
			for id, b := range bills {
				if b.Tokens <= 0 || b.Tokens >= words {
					t.Errorf("request %s is billed %d tokens, want only those of a partial answer", id, b.Tokens)
				}
			}
			billed += len(bills)
		}
		if billed != callers {
			return fmt.Errorf("%d of %d requests have been billed", billed, callers)
		}
		return nil
	})
	if status, err := f.call(http.MethodGet, "http://"+f.daemons[0].adminAddr+"/healthz", "", nil, nil); err != nil ||
		status != http.StatusOK {
		t.Errorf("health check of the daemon: status %d, %v", status, err)
	}
	if r := f.sendChat(context.Background(), chatRequest{words: 5}); !r.complete {
		t.Errorf("request after the disconnects: status %d, %q, %v", r.status, r.body, r.err)
	}
}
