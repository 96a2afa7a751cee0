package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/overload"
)

// fullLink refuses all requests.
type fullLink struct{}

func (fullLink) Admit(string, overload.Request) overload.Decision {
	return overload.Decision{Close: true, RetryAfter: 2 * time.Second}
}
func (fullLink) Ended(string, int64, int64) {}

// Guards against reserving tokens for a request that the link can't carry or sending it to an endpoint, and
// against a refusal that does not say when to come back or that the request has not run.
func TestRequestThatTheLinkCannotCarryIsRefusedFirst(t *testing.T) {
	h := newHarness(t, startEndpoint(t, func(*http.Request, string, net.Conn) bool { return false }))
	h.handler.Link = fullLink{}
	r, err := http.NewRequest(http.MethodPost, h.server.URL+"/plan/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("X-Request-Id", requestID)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Token-Count", "10,10")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if wait := resp.Header.Get("Retry-After"); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close ||
		!strings.HasPrefix(wait, "2") || !strings.Contains(string(body), `"ran":"no"`) {
		t.Errorf("status %d, Retry-After %q, close %v, %s (%v)", resp.StatusCode, wait, resp.Close, body, err)
	}
	if n := len(h.pools.order[0].requests()); n != 0 || len(h.budgets.reserved) != 0 {
		t.Errorf("%d requests reached the endpoint, tokens reserved: %v", n, h.budgets.reserved)
	}
}
