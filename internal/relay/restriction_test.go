package relay_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/balance"
)

// Guards against callers that wait, reserve tokens or come back at once where evacuations or regions
// leave no endpoint, and against an answer that does not say so.
func TestRestrictedRequestsAreRefusedAtOnce(t *testing.T) {
	for restriction, says := range map[balance.Restriction]string{
		balance.Evacuated: "evacuated", balance.OutsideDomains: "regions",
	} {
		h := newHarness(t, startEndpoint(t, respondWith(response(requestID, 200, "ok"), false)))
		h.pools.restriction = restriction
		// The body never arrives whole.
		conn := h.sendRaw(t, "/plan/x", "Transfer-Encoding: chunked\r\nX-Token-Count: 10,10\r\n\r\n1\r\nx\r\n")
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 2048)
		n, err := conn.Read(answer)
		conn.Close()
		text := string(answer[:n])
		if err != nil || !strings.Contains(text, " 503 ") || !strings.Contains(text, says) || !strings.Contains(text, `"ran":"no"`) {
			t.Fatalf("%s: answer %q, %v", restriction, text, err)
		}
		_, after, _ := strings.Cut(text, "Retry-After: ")
		wait, err := strconv.ParseFloat(strings.SplitN(after, "\r\n", 2)[0], 64)
		if err != nil || wait < 2 || wait > 2.5 {
			t.Errorf("%s: Retry-After %v, %v; want 2 s to 2.5 s", restriction, wait, err)
		}
		if len(h.budgets.reserved) > 0 {
			t.Errorf("%s: %v tokens reserved", restriction, h.budgets.reserved)
		}
	}
}
