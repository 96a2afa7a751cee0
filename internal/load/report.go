package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Latency summarises a latency histogram. All values but Count are in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Sent is the number of ended requests.
	Sent int64 `json:"sent"`
	// Completed is the number of complete answers, and Unsent the number of requests
	// that were not sent because of Options.MaxInFlight.
	Completed int64 `json:"whole"`
	Unsent    int64 `json:"unsent"`
	// Refused counts refusals by problem type, and Failed other failures by reason:
	// "not-built" (invalid request), "connection", and "cut" (truncated answer).
	Refused map[string]int64 `json:"refused"`
	Failed  map[string]int64 `json:"failed"`
	Tokens  int64            `json:"tokens"`
	// Goodput is the number of complete answers per second.
	Goodput    float64 `json:"goodput_per_second"`
	Total      Latency `json:"total"`
	FirstToken Latency `json:"first_token"`
	InterToken Latency `json:"inter_token"`
}

// stats collects the results. It is safe for concurrent use.
type stats struct {
	mu                                   sync.Mutex
	counts                               Report
	totalLatency, firstToken, interToken *hdrhistogram.Histogram
}

func newStats() *stats {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &stats{
		counts:       Report{Refused: map[string]int64{}, Failed: map[string]int64{}},
		totalLatency: histogram(), firstToken: histogram(), interToken: histogram(),
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail, the value is in range
}

func (s *stats) countUnsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Unsent++
}

func (s *stats) countFailed(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Sent++
	s.counts.Failed[reason]++
}

func (s *stats) countRefused(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Sent++
	s.counts.Refused[kind]++
}

func (s *stats) recordCompleted(d time.Duration, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Sent++
	s.counts.Completed++
	s.counts.Tokens += int64(tokens)
	recordLatency(s.totalLatency, d)
}

func (s *stats) recordStream(started, firstAt time.Time, tokens int) {
	s.recordCompleted(time.Since(started), tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > 0 {
		recordLatency(s.firstToken, firstAt.Sub(started))
	}
}

func (s *stats) recordInterToken(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordLatency(s.interToken, d)
}

func summarize(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

func (s *stats) report(elapsed time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.counts
	r.Refused, r.Failed = copyCounts(s.counts.Refused), copyCounts(s.counts.Failed)
	r.Seconds = elapsed.Seconds()
	r.Goodput = float64(r.Completed) / max(r.Seconds, 1e-9)
	r.Total, r.FirstToken, r.InterToken = summarize(s.totalLatency), summarize(s.firstToken), summarize(s.interToken)
	return r
}

func copyCounts(m map[string]int64) map[string]int64 {
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Line returns a summary on one line, for progress output.
func (r Report) Line() string {
	return fmt.Sprintf("%4.0fs sent %d whole %d refused %d failed %d  first token p95 %.0f ms  total p99 %.0f ms",
		r.Seconds, r.Sent, r.Completed, sum(r.Refused), sum(r.Failed), r.FirstToken.P95, r.Total.P99)
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "seconds\t%.1f\nsent\t%d\nwhole answers\t%d\ngoodput/s\t%.1f\ntokens\t%d\nnot sent\t%d\n",
		r.Seconds, r.Sent, r.Completed, r.Goodput, r.Tokens, r.Unsent)
	fmt.Fprintf(tw, "refused\t%s\nfailed\t%s\n", formatCounts(r.Refused), formatCounts(r.Failed))
	fmt.Fprintf(tw, "latency (ms)\tcount\tp50\tp95\tp99\tmax\n")
	for _, l := range []struct {
		name string
		Latency
	}{{"total", r.Total}, {"first token", r.FirstToken}, {"inter token", r.InterToken}} {
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", l.name, l.Count, l.P50, l.P95, l.P99, l.Max)
	}
	return tw.Flush()
}

func formatCounts(m map[string]int64) string {
	parts := make([]string, 0, len(m))
	for k, v := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", k, v))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}
