package benchcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Options are the files and filters of a check.
type Options struct {
	// InputFile is the output of go test -bench.
	InputFile  string
	BoundsFile string
	// JSONFile and HTMLFile are written if set.
	JSONFile, HTMLFile string
	// ExcludedBenchmarks skips the bounds whose Benchmark contains one of the
	// strings, for a run without those benchmarks.
	ExcludedBenchmarks []string
	// KnownRedFile lists bounds that are known to be broken; they are printed and
	// do not fail the check. Empty means that there are none.
	KnownRedFile string
}

// knownRedEntry matches an entry of the known red file: "BOUND benchmark metric".
var knownRedEntry = regexp.MustCompile(`(?m)^BOUND (\S+) (\S+)\s*$`)

// readKnownRed returns the entries of the file as "benchmark metric".
func readKnownRed(file string) (map[string]bool, error) {
	known := make(map[string]bool)
	if file == "" {
		return known, nil
	}
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	for _, m := range knownRedEntry.FindAllStringSubmatch(string(text), -1) {
		known[m[1]+" "+m[2]] = true
	}
	return known, nil
}

// ErrBoundsBroken means that a bound is broken that is not known to be.
var ErrBoundsBroken = errors.New("bounds are broken")

// Run checks the results against the bounds, writes the reports and prints each
// broken bound on out. It returns ErrBoundsBroken if a bound is broken that is not
// known to be.
func Run(o Options, out io.Writer) error {
	text, err := os.ReadFile(o.BoundsFile)
	if err != nil {
		return errors.Wrap(err, "read bounds")
	}
	bounds, err := ParseBounds(text)
	if err != nil {
		return err
	}
	for _, excluded := range o.ExcludedBenchmarks {
		bounds = slices.DeleteFunc(bounds, func(b Bound) bool { return strings.Contains(b.Benchmark, excluded) })
	}
	known, err := readKnownRed(o.KnownRedFile)
	if err != nil {
		return err
	}
	in, err := os.Open(o.InputFile)
	if err != nil {
		return errors.Wrap(err, "read results")
	}
	defer in.Close()
	results, err := ReadResults(in, filepath.Base(o.InputFile))
	if err != nil {
		return err
	}
	verdicts := Check(bounds, results)
	if err := writeReports(o, verdicts, results); err != nil {
		return err
	}
	return summarize(out, verdicts, known)
}

// summarize prints the broken bounds and the number of bounds by result.
func summarize(out io.Writer, verdicts []Verdict, known map[string]bool) error {
	broken, knownBroken := 0, 0
	for _, v := range verdicts {
		if v.OK {
			continue
		}
		if known[v.Benchmark+" "+v.Bound.Metric] {
			knownBroken++
			fmt.Fprintf(out, "KNOWN RED %s %s = %.4g, bound%s\n", v.Benchmark, v.Bound.Metric, v.Value, v.Bound.limits())
			continue
		}
		broken++
		if v.Missing {
			fmt.Fprintf(out, "BROKEN %s %s: no result (%s)\n", v.Bound.Benchmark, v.Bound.Metric, v.Bound.Source)
			continue
		}
		fmt.Fprintf(out, "BROKEN %s %s = %.4g, bound%s (%s)\n", v.Benchmark, v.Bound.Metric, v.Value, v.Bound.limits(), v.Bound.Source)
	}
	fmt.Fprintf(out, "%d bounds hold, %d are broken, %d are known to be\n", len(verdicts)-broken-knownBroken, broken, knownBroken)
	if broken > 0 {
		return ErrBoundsBroken
	}
	return nil
}

// limits returns the limits as text, such as " >= 1 <= 2".
func (b Bound) limits() string {
	s := ""
	if b.Min != nil {
		s += fmt.Sprintf(" >= %.4g", *b.Min)
	}
	if b.Max != nil {
		s += fmt.Sprintf(" <= %.4g", *b.Max)
	}
	return s
}

// writeReports writes the JSON file and the HTML report that the options name.
func writeReports(o Options, verdicts []Verdict, results []Result) error {
	if o.JSONFile != "" {
		body, err := json.MarshalIndent(struct {
			Verdicts []Verdict `json:"verdicts"`
			Results  []Result  `json:"results"`
		}{verdicts, results}, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		if err := os.WriteFile(o.JSONFile, append(body, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if o.HTMLFile == "" {
		return nil
	}
	page, err := os.Create(o.HTMLFile)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := WriteHTML(page, verdicts, results, Curves(results)); err != nil {
		page.Close()
		return err
	}
	return errors.Wrap(page.Close(), "write report")
}

// sizePattern matches a benchmark name that contains a size, such as "members=42".
var sizePattern = regexp.MustCompile(`^(.*?)([a-z]+)=(\d+)(.*)$`)

// minCurvePoints is the minimum number of sizes for which a curve is drawn.
const minCurvePoints = 3

// Curves returns a curve for each metric of the benchmarks that ran at no fewer than
// minCurvePoints sizes, sorted by title.
func Curves(results []Result) []Curve {
	byTitle := make(map[string]*Curve)
	for _, r := range results {
		m := sizePattern.FindStringSubmatch(r.Name)
		if m == nil {
			continue
		}
		x, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			continue
		}
		for metric, y := range r.Metrics {
			title := m[1] + m[2] + m[4] + ": " + metric
			c := byTitle[title]
			if c == nil {
				c = &Curve{Title: title, X: m[2], Y: metric}
				byTitle[title] = c
			}
			c.Points = append(c.Points, Point{X: x, Y: y})
		}
	}
	var curves []Curve
	for _, c := range byTitle {
		if len(c.Points) < minCurvePoints {
			continue
		}
		sort.Slice(c.Points, func(i, j int) bool { return c.Points[i].X < c.Points[j].X })
		curves = append(curves, *c)
	}
	sort.Slice(curves, func(i, j int) bool { return curves[i].Title < curves[j].Title })
	return curves
}
