package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/azurehatch/azurehatch/internal/admin"
)

// openStreams starts streams at all daemons and returns when each has a token.
func (f *fleet) openStreams(name string, n, words int) <-chan reply {
	started := make(chan struct{}, n)
	replies := make(chan reply, n)
	for i := range n {
		go func() {
			c := chatRequest{daemon: i % daemonCount, account: i % accountCount, words: words, key: fmt.Sprintf("%s-%d", name, i)}
			c.onFirstToken = func() { started <- struct{}{} }
			c.prompt = c.key
			r := f.sendChat(context.Background(), c)
			if r.tokens == 0 {
				f.t.Errorf("%s has no token: status %d, %q, %v", c.key, r.status, r.body, r.err)
				started <- struct{}{}
			}
			replies <- r
		}()
	}
	for range n {
		<-started
	}
	return replies
}

// sendMany sends requests one after the other to all daemons and reports those
// that are not complete.
func (f *fleet) sendMany(t *testing.T, name string, n int) {
	t.Helper()
	for i := range n {
		c := chatRequest{daemon: i % daemonCount, account: i % accountCount, words: 5, key: fmt.Sprintf("%s-%d", name, i)}
		c.prompt = c.key
		if r := f.sendChat(context.Background(), c); !r.complete || r.tokens != c.words {
			t.Errorf("%s: status %d, %q, %v", c.key, r.status, r.body, r.err)
		}
	}
}

// Guards against a crashed engine that takes more than its own streams with
// it, whose cut streams look complete, or that makes later requests fail.
func TestEngineCrashesInMidStream(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 18, 1500
	replies := f.openStreams("crash", streams, words)
	usageBefore := f.engineUsage(f.engines[0])
	if len(usageBefore) == 0 {
		t.Fatal("the engine runs none of the streams")
	}
	f.engines[0].kill()
	cut := 0
	for range streams {
		r := <-replies
		if r.complete {
			if r.tokens != words {
				t.Errorf("stream %s looks complete with %d of %d tokens", r.id, r.tokens, words)
			}
			continue
		}
		cut++
		if _, ok := usageBefore[r.id]; !ok {
			t.Errorf("stream %s was cut and ran on another engine: %v", r.id, r.err)
		}
	}
	if cut == 0 {
		t.Error("no stream was cut, so the test does not show what it is for")
	}
	f.sendMany(t, "after-crash", 24)
}

// Guards against requests that fail because one engine accepts them and never
// answers.
func TestBlackHoledEngine(t *testing.T) {
	f := startFleet(t, options{})
	f.setFaults("http://"+f.engines[1].addr, map[string]any{"black_hole": true})
	f.sendMany(t, "black-hole", 24)
}

// Guards against requests that fail because one engine is slow.
func TestSlowedEngine(t *testing.T) {
	f := startFleet(t, options{})
	f.setFaults("http://"+f.engines[2].addr, map[string]any{"slowdown": 10})
	f.sendMany(t, "slow", 24)
}

// Guards against new work on an endpoint that is leaving, and against its
// streams being cut.
func TestDrainedEndpoint(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 12, 1500
	replies := f.openStreams("drain", streams, words)
	leaving := f.engines[0]
	if len(f.engineUsage(leaving)) == 0 {
		t.Fatal("the engine runs none of the streams")
	}
	var result admin.EditResult
	status, err := f.adminCall(0, northToken, http.MethodPost, "/v1/endpoints/"+leaving.id+"/drain", admin.EditRequest{Reason: "replaced"}, &result)
	if err != nil || status != http.StatusOK {
		t.Fatalf("drain: status %d, %v", status, err)
	}
	f.awaitRevision(result.Revision, 0, 1, 2, 3)
	before := f.engineUsage(leaving)
	f.sendMany(t, "after-drain", 24)
	after := f.engineUsage(leaving)
	for id, u := range after {
		if u.Received != before[id].Received {
			text, _ := json.Marshal(u)
			t.Errorf("request %s came to the leaving engine: %s", id, text)
		}
	}
	for range streams {
		if r := <-replies; !r.complete || r.tokens != words {
			t.Errorf("stream %s was cut after %d tokens: %v", r.id, r.tokens, r.err)
		}
	}
}
