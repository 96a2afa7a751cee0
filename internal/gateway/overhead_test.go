package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurehatch/azurehatch/internal/upstream"
)

// reverseProxy is the plain reverse proxy that the daemon's overhead is compared
// with: it forwards the request to the engine and the answer to the caller.
func reverseProxy(addr string, client *http.Client) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		req.Header = r.Header
		resp, err := client.Do(req)
		if err != nil {
			panic(err)
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		buf := make([]byte, 16<<10)
		for {
			n, err := resp.Body.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				w.(http.Flusher).Flush()
			}
			if err != nil {
				return
			}
		}
	}
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pathCost is the cost of requests sent along one path.
type pathCost struct {
	cpu time.Duration // per request
	p50 time.Duration
	p99 time.Duration
}

func measure(b *testing.B, url, body string, n int) pathCost {
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	before := cpuTime()
	for range n {
		req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Content-Type", "application/json")
		started := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		_ = latencies.RecordValue(int64(time.Since(started)))
	}
	return pathCost{
		cpu: (cpuTime() - before) / time.Duration(n),
		p50: time.Duration(latencies.ValueAtQuantile(50)), p99: time.Duration(latencies.ValueAtQuantile(99)),
	}
}

// BenchmarkOverhead compares the daemon with a plain reverse proxy in the same
// run. The cost of client and engine alone is subtracted from both.
func BenchmarkOverhead(b *testing.B) {
	for _, c := range []struct {
		name, body string
		engine     http.HandlerFunc
	}{
		{"whole", completionBody, completionEngine},
		{"stream", strings.Replace(streamBody, `"stream":true`, `"stream":true,"max_tokens":64`, 1), streamEngine(64, "done")},
	} {
		b.Run(c.name, func(b *testing.B) {
			x := newFixture(b, c.engine)
			x.fleet.balance = 1 << 50
			engine := x.fleet.endpoints[0].Addr
			proxyClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			proxy := httptest.NewServer(reverseProxy(engine, proxyClient))
			defer proxy.Close()
			const n = 2000
			measure(b, x.server.URL, c.body, n/10)
			var direct, plain, gw pathCost
			for b.Loop() {
				direct = measure(b, "http://"+engine, c.body, n)
				plain = measure(b, proxy.URL, c.body, n)
				gw = measure(b, x.server.URL, c.body, n)
			}
			b.ReportMetric(float64(gw.cpu-direct.cpu)/float64(plain.cpu-direct.cpu), "cpu_ratio")
			b.ReportMetric(float64((gw.p50 - direct.p50).Microseconds()), "added_p50_us")
			b.ReportMetric(float64((gw.p99 - direct.p99).Microseconds()), "added_p99_us")
			b.ReportMetric(1/(gw.cpu-direct.cpu).Seconds(), "requests/core-s")
		})
	}
}

// discard is a caller that discards the answer.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) Flush()                      {}

// BenchmarkRelay measures the cost of relaying one token.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1000
	var src bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&src, "id: %d\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n", i+1)
	}
	src.WriteString("data: [DONE]\n\n")
	b.ReportAllocs()
	allocs := testing.AllocsPerRun(10, func() {
		relay := &upstream.Relay{IDPrefix: "r~e~", OnToken: func(int64) error { return nil }}
		if err := relay.Copy(discard{}, bytes.NewReader(src.Bytes())); err != nil {
			b.Fatal(err)
		}
	})
	before, n := cpuTime(), 0
	for b.Loop() {
		n++
		relay := &upstream.Relay{IDPrefix: "r~e~", OnToken: func(int64) error { return nil }}
		if err := relay.Copy(discard{}, bytes.NewReader(src.Bytes())); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(allocs/tokens, "allocs/token")
	b.ReportMetric(float64(n*tokens)/(cpuTime()-before).Seconds(), "tokens/core-s")
}
