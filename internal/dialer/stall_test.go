package dialer

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that was stopped during its connection attempts and takes all endpoints
// for unreachable when it runs again: the timeouts have passed before the connections are seen.
func TestStalledAttemptIsMadeAgain(t *testing.T) {
	const timeout = 400 * time.Millisecond
	tests := map[string]struct {
		// ends are the times at which the attempts end with a timeout; the next one succeeds.
		ends     []time.Duration
		callerBy time.Duration
		attempts int
		ok       bool
	}{
		"in time":                     {ends: []time.Duration{timeout}, attempts: 1},
		"late":                        {ends: []time.Duration{timeout + 200*time.Millisecond}, attempts: 2, ok: true},
		"late twice":                  {ends: []time.Duration{time.Second, time.Second}, attempts: 2},
		"late, after the caller left": {ends: []time.Duration{time.Second}, callerBy: 500 * time.Millisecond, attempts: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts := 0
				d := &Dialer{timeout: timeout, dial: func(context.Context, string, string) (net.Conn, error) {
					attempts++
					if attempts > len(test.ends) {
						return &net.TCPConn{}, nil
					}
					time.Sleep(test.ends[attempts-1])
					return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
				}}
				ctx := t.Context()
				if test.callerBy > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.callerBy)
					defer cancel()
				}
				_, err := d.DialContext(ctx, "tcp", "192.0.2.1:80")
				if attempts != test.attempts || (err == nil) != test.ok {
					t.Errorf("%d attempts and error %v, want %d attempts, ok %v", attempts, err, test.attempts, test.ok)
				}
			})
		})
	}
}
