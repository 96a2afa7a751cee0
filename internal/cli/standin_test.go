package cli

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Guards against a stand-in that does not serve its API, aborts requests on SIGTERM
// or leaves goroutines running. The test sends the signal to its own process.
func TestStandinsStopGracefully(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, tc := range []struct {
		args, method, path, body, want string
	}{
		{"platform", "POST", "/v3/kv/range", `{"key":"YQ=="}`, `"header"`},
		{"engine --inter-token=1ms --id=e9", "POST", "/v1/chat/completions",
			`{"model":"standin","stream":true,"messages":[{"role":"user","content":"words:300"}]}`, "[DONE]"},
		{"service --latency=200ms --id=s9", "POST", "/order", "tray", `"instance":"s9"`},
	} {
		t.Run(tc.args, func(t *testing.T) {
			out, logs := io.Pipe()
			code := make(chan int, 1)
			go func() {
				args := append([]string{"standin"}, strings.Fields(tc.args+" --listen=127.0.0.1:0")...)
				code <- Main(args, logs, os.Stderr)
				logs.Close()
			}()
			lines := bufio.NewScanner(out)
			base := "http://" + nextLogLine(t, lines)["addr"]
			received := make(chan string, 1)
			go func() { received <- fetch(tc.method, base+tc.path, tc.body) }()
			waitUntilRunning(base, tc.args)
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for _, want := range []string{"stopping", "stopped"} {
				if got := nextLogLine(t, lines)["message"]; got != want {
					t.Errorf("log message %q, want %q", got, want)
				}
			}
			if got := <-code; got != ExitOK {
				t.Errorf("exit code %d", got)
			}
			if got := <-received; !strings.Contains(got, tc.want) {
				t.Errorf("answer %q does not contain %q", got, tc.want)
			}
		})
	}
	http.DefaultClient.CloseIdleConnections()
}

// nextLogLine returns the fields of the next log line, which must all be strings.
func nextLogLine(t *testing.T, lines *bufio.Scanner) map[string]string {
	t.Helper()
	fields := make(map[string]string)
	if !lines.Scan() {
		t.Fatal("the log has ended")
	}
	if err := json.Unmarshal(lines.Bytes(), &fields); err != nil {
		t.Fatalf("log line %q: %v", lines.Text(), err)
	}
	return fields
}

// fetch returns the body of the response or the text of the error.
func fetch(method, url, body string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

// waitUntilRunning returns when the stand-in has started to process the request: its
// counter then differs from the idle text.
func waitUntilRunning(base, args string) {
	idle := map[string][2]string{
		"platform": {"/admin/calls", `"reads":0`},
		"engine":   {"/admin/usage", `"total":{"received":0,"runs":0`},
		"service":  {"/admin/runs", `"total":{"started":0`},
	}[strings.Fields(args)[0]]
	for strings.Contains(fetch(http.MethodGet, base+idle[0], ""), idle[1]) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an invalid command line that starts a stand-in or returns exit code
// 0.
func TestStandinErrors(t *testing.T) {
	for args, want := range map[string]int{
		"standin platform --listen=127.0.0.1:nowhere": ExitFailure,
		"standin service --listen=":                   ExitFailure,
		"standin engine --slots=many":                 ExitUsage,
		"standin cluster":                             ExitUsage,
	} {
		var errOut strings.Builder
		if got := Main(strings.Fields(args), io.Discard, &errOut); got != want || errOut.Len() == 0 {
			t.Errorf("%s: exit code %d, message %q, want %d", args, got, errOut.String(), want)
		}
	}
}
