package benchcheck

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const output = `goos: linux
pkg: example/budget
BenchmarkBudget/maracas/ordinary-10   	       1	 1000 ns/op	         0 overspend_tokens	         0.25 false_refusal_pct
BenchmarkSize/members=7-10   	       1	 1 ns/op	 100 bytes/s
BenchmarkSize/members=42-10   	       1	 1 ns/op	 600 bytes/s
BenchmarkSize/members=420-10   	       1	 1 ns/op	 6000 bytes/s
`

const bounds = `
[[bound]]
benchmark = "Budget/.*"
metric = "overspend_tokens"
max = 0
source = "invariant 1"

[[bound]]
benchmark = "Budget/.*"
metric = "false_refusal_pct"
max = 0.1
source = "section 2.2"

[[bound]]
benchmark = "Renamed"
metric = "x"
min = 1
source = "section 2.2"
`

// Guards against a check that passes although a bound is broken or the benchmark
// that it limits did not run.
func TestCheck(t *testing.T) {
	parsed, err := ParseBounds([]byte(bounds))
	if err != nil {
		t.Fatal(err)
	}
	results, err := ReadResults(strings.NewReader(output), "test")
	if err != nil {
		t.Fatal(err)
	}
	type row struct {
		Name    string
		Value   float64
		Missing bool
		OK      bool
	}
	var got []row
	for _, v := range Check(parsed, results) {
		got = append(got, row{v.Benchmark, v.Value, v.Missing, v.OK})
	}
	want := []row{
		{"Budget/maracas/ordinary", 0, false, true},
		{"Budget/maracas/ordinary", 0.25, false, false},
		{"", 0, true, false},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	known := map[string]bool{"Budget/maracas/ordinary false_refusal_pct": true}
	if err := summarize(&bytes.Buffer{}, Check(parsed, results), known); !errors.Is(err, ErrBoundsBroken) {
		t.Errorf("got %v, want ErrBoundsBroken for the missing result", err)
	}
	if err := summarize(&bytes.Buffer{}, Check(parsed[:2], results), nil); !errors.Is(err, ErrBoundsBroken) {
		t.Errorf("got %v, want ErrBoundsBroken", err)
	}
	var out bytes.Buffer
	if err := summarize(&out, Check(parsed[:2], results), known); err != nil || !strings.Contains(out.String(), "KNOWN RED") {
		t.Errorf("got %v and %q, want the known failure to be printed and not to fail the check", err, out.String())
	}
}

// Guards against bounds without a source, a limit or with a misspelt key, which would
// be accepted.
func TestParseBoundsRefuses(t *testing.T) {
	for _, text := range []string{
		"[[bound]]\nbenchmark = \"a\"\nmetric = \"m\"\nmax = 1",
		"[[bound]]\nbenchmark = \"a\"\nmetric = \"m\"\nsource = \"s\"",
		"[[bound]]\nbenchmark = \"a\"\nmetric = \"m\"\nmaximum = 1\nsource = \"s\"",
	} {
		if _, err := ParseBounds([]byte(text)); err == nil {
			t.Errorf("bounds %q were accepted", text)
		}
	}
}

// Guards against a report without plots, or one that loads external resources.
func TestReportIsSelfContained(t *testing.T) {
	results, err := ReadResults(strings.NewReader(output), "test")
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := WriteHTML(&buf, nil, results, Curves(results)); err != nil {
		t.Fatal(err)
	}
	page := buf.String()
	if !strings.Contains(page, "<svg") || strings.Contains(page, "src=") || strings.Contains(page, "<link") {
		t.Error("the page has no plot or loads an external resource")
	}
}
