package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/azurehatch/azurehatch/internal/admin"
)

// openStreams starts n streams, spread over all daemons, and returns when each
// has received a token.
func (f *fleet) openStreams(name string, n, words int) <-chan reply {
	started := make(chan struct{}, n)
	replies := make(chan reply, n)
	for i := range n {
		go func() {
			c := chatRequest{
				daemon: i % daemonCount, account: i % accountCount, words: words, key: fmt.Sprintf("%s-%d", name, i),
			}
			c.onFirstToken = func() { started <- struct{}{} }
			c.prompt = c.key
			r := f.sendChat(context.Background(), c)
			if r.tokens == 0 {
				f.t.Errorf("stream %s received no token: status %d, %q, %v", c.key, r.status, r.body, r.err)
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

// sendMany sends n requests sequentially, spread over all daemons, and reports
// each incomplete answer as an error.
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

// Guards against an engine crash that truncates streams of other engines, that
// leaves truncated streams looking complete, or that makes later requests fail.
func TestEngineCrashesInMidStream(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 18, 1500
	replies := f.openStreams("crash", streams, words)
	usageBefore := f.engineUsage(f.engines[0])
	if len(usageBefore) == 0 {
		t.Fatal("engine-1 runs none of the streams")
	}
	f.engines[0].kill()
	truncated := 0
	for range streams {
		r := <-replies
		if r.complete {
			if r.tokens != words {
				t.Errorf("stream %s ends as complete with %d of %d tokens", r.id, r.tokens, words)
			}
			continue
		}
		truncated++
		if _, ok := usageBefore[r.id]; !ok {
			t.Errorf("stream %s was truncated but ran on another engine: %v", r.id, r.err)
		}
	}
	if truncated == 0 {
		t.Error("no stream was truncated, so truncation was not tested")
	}
	f.sendMany(t, "after-crash", 24)
}

// Guards against failed requests when one engine accepts requests but never
// answers them.
func TestBlackHoledEngine(t *testing.T) {
	f := startFleet(t, options{})
	f.setFaults("http://"+f.engines[1].addr, map[string]any{"black_hole": true})
	f.sendMany(t, "black-hole", 24)
}

// Guards against failed requests when one engine is slower by a factor of ten.
func TestSlowedEngine(t *testing.T) {
	f := startFleet(t, options{})
	f.setFaults("http://"+f.engines[2].addr, map[string]any{"slowdown": 10})
	f.sendMany(t, "slow", 24)
}

// Guards against new requests on a leaving endpoint, and against truncation of the
// streams that it is serving.
func TestDrainedEndpoint(t *testing.T) {
	f := startFleet(t, options{})
	const streams, words = 12, 1500
	replies := f.openStreams("drain", streams, words)
	leaving := f.engines[0]
	if len(f.engineUsage(leaving)) == 0 {
		t.Fatal("engine-1 runs none of the streams")
	}
	var result admin.EditResult
	status, err := f.adminCall(0, northToken, http.MethodPost, "/v1/endpoints/"+leaving.id+"/drain",
		admin.EditRequest{Reason: "replaced"}, &result)
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
			t.Errorf("request %s was sent to the leaving engine: %s", id, text)
		}
	}
	for range streams {
		if r := <-replies; !r.complete || r.tokens != words {
			t.Errorf("stream %s was truncated after %d tokens: %v", r.id, r.tokens, r.err)
		}
	}
}
