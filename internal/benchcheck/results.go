package benchcheck

import (
	"io"
	"sort"

	"github.com/pkg/errors"
	"golang.org/x/perf/benchfmt"
)

// Result holds the metrics of one benchmark, by the units that the benchmark reports.
type Result struct {
	Name    string             `json:"name"`
	Package string             `json:"package"`
	Metrics map[string]float64 `json:"metrics"`
}

// ReadResults parses the output of go test -bench and averages several runs of a
// benchmark. name is the name of the input in errors.
func ReadResults(r io.Reader, name string) ([]Result, error) {
	reader := benchfmt.NewReader(r, name)
	byName := make(map[string]*Result)
	runs := make(map[string]map[string]float64)
	for reader.Scan() {
		record, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			if syntaxErr, bad := reader.Result().(*benchfmt.SyntaxError); bad {
				return nil, errors.Wrap(syntaxErr, "benchmark output")
			}
			continue
		}
		addResult(byName, runs, record)
	}
	if err := reader.Err(); err != nil {
		return nil, errors.Wrap(err, "benchmark output")
	}
	return average(byName, runs), nil
}

// addResult adds the values of one run to the sums in byName and counts the runs of
// each metric.
func addResult(byName map[string]*Result, runs map[string]map[string]float64, record *benchfmt.Result) {
	base, _ := record.Name.Parts()
	name := string(base)
	full := string(record.Name.Full())
	if i := procsSuffix(full); i > 0 {
		full = full[:i]
	}
	if full == "" {
		full = name
	}
	result := byName[full]
	if result == nil {
		result = &Result{Name: full, Package: record.GetConfig("pkg"), Metrics: make(map[string]float64)}
		byName[full], runs[full] = result, make(map[string]float64)
	}
	for _, v := range record.Values {
		value, unit := v.Value, v.Unit
		if v.OrigUnit != "" {
			value, unit = v.OrigValue, v.OrigUnit
		}
		result.Metrics[unit] += value
		runs[full][unit]++
	}
}

// procsSuffix returns the index of the "-N" suffix (GOMAXPROCS) that go test appends
// to a name, or -1.
func procsSuffix(s string) int {
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == '-' && i < len(s)-1 {
			return i
		}
		if s[i] < '0' || s[i] > '9' {
			return -1
		}
	}
	return -1
}

// average divides the sums by the number of runs and sorts the results by name.
func average(byName map[string]*Result, runs map[string]map[string]float64) []Result {
	list := make([]Result, 0, len(byName))
	for name, result := range byName {
		for unit, n := range runs[name] {
			result.Metrics[unit] /= n
		}
		list = append(list, *result)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
