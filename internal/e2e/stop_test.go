package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
)

// Guards against a graceful shutdown that truncates a stream, loses a bill or
// exits with an error.
func TestTerminateWithStreamsOpen(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 8, 500
	started := make(chan struct{}, streams)
	replies := make(chan reply, streams)
	for i := range streams {
		go func() {
			replies <- f.sendChat(context.Background(), chatRequest{
				account: i % accountCount, words: words, key: fmt.Sprintf("stop-%d", i),
				onFirstToken: func() { started <- struct{}{} },
			})
		}()
	}
	for range streams {
		<-started
	}
	f.daemons[0].signal(t, syscall.SIGTERM)
	ids := make(map[string]int64)
	for range streams {
		r := <-replies
		if !r.complete || r.tokens != words {
			t.Errorf("stream was truncated after %d tokens: status %d, %v", r.tokens, r.status, r.err)
		}
		ids[r.id] = r.billable
	}
	if code := f.daemons[0].awaitExit(t); code != 0 {
		t.Errorf("daemon exited with code %d, want 0", code)
	}
	// All bills must be stored by the time the process exits, so there is no wait.
	found := 0
	for i := range accountCount {
		bills, err := f.checkAccount(i)
		if err != nil {
			t.Error(err)
		}
		for id, b := range bills {
			if want, ok := ids[id]; !ok || b.Tokens != want || b.Provisional {
				t.Errorf("bill %+v, want a final bill of %d tokens", b, want)
			}
			found++
		}
	}
	if found != streams {
		t.Errorf("store has %d bills, want %d", found, streams)
	}
}
