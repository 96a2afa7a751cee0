package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
)

// Guards against a planned stop that cuts a stream, loses a bill or ends with
// an error.
func TestTerminateWithStreamsOpen(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 8, 500
	started := make(chan struct{}, streams)
	replies := make(chan reply, streams)
	for i := range streams {
		go func() {
			replies <- f.sendChat(context.Background(), chatRequest{
				account: i % accountCount, words: words, key: fmt.Sprintf("stop-%d", i), onFirstToken: func() { started <- struct{}{} },
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
			t.Errorf("stream was cut after %d tokens: status %d, %v", r.tokens, r.status, r.err)
		}
		ids[r.id] = r.billable
	}
	if code := f.daemons[0].awaitExit(t); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	// The bills are durable when the process has ended, so nothing is waited for.
	found := 0
	for i := range accountCount {
		bills, err := f.checkAccount(i)
		if err != nil {
			t.Error(err)
		}
		for id, b := range bills {
			if want, ok := ids[id]; !ok || b.Tokens != want || b.Provisional {
				t.Errorf("bill %+v, want %d tokens", b, want)
			}
			found++
		}
	}
	if found != streams {
		t.Errorf("%d bills are in the store, want %d", found, streams)
	}
}
