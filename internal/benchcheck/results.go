package benchcheck

import (
	"io"
	"sort"

	"github.com/pkg/errors"
	"golang.org/x/perf/benchfmt"
)

// Result holds the metrics of one benchmark, in the units of the benchmark.
type Result struct {
	Name    string             `json:"name"`
	Package string             `json:"package"`
	Metrics map[string]float64 `json:"metrics"`
}

// Read parses Go's benchmark format. Several runs of a benchmark are averaged.
func ReadResults(r io.Reader, name string) ([]Result, error) {
	reader := benchfmt.NewReader(r, name)
	byName := make(map[string]*Result)
	runs := make(map[string]map[string]float64)
	for reader.Scan() {
		rec, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			if serr, bad := reader.Result().(*benchfmt.SyntaxError); bad {
				return nil, errors.Wrap(serr, "benchmark output")
			}
			continue
		}
		add(byName, runs, rec)
	}
	if err := reader.Err(); err != nil {
		return nil, errors.Wrap(err, "benchmark output")
	}
	return average(byName, runs), nil
}

func add(byName map[string]*Result, runs map[string]map[string]float64, rec *benchfmt.Result) {
	base, _ := rec.Name.Parts()
	name := string(base)
	full := string(rec.Name.Full())
	if i := lastDash(full); i > 0 {
		full = full[:i]
	}
	if full == "" {
		full = name
	}
	res := byName[full]
	if res == nil {
		res = &Result{Name: full, Package: rec.GetConfig("pkg"), Metrics: make(map[string]float64)}
		byName[full], runs[full] = res, make(map[string]float64)
	}
	for _, v := range rec.Values {
		value, unit := v.Value, v.Unit
		if v.OrigUnit != "" {
			value, unit = v.OrigValue, v.OrigUnit
		}
		res.Metrics[unit] += value
		runs[full][unit]++
	}
}

// lastDash finds the "-N" suffix that go test puts after a name.
func lastDash(s string) int {
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

func average(byName map[string]*Result, runs map[string]map[string]float64) []Result {
	list := make([]Result, 0, len(byName))
	for name, res := range byName {
		for unit, n := range runs[name] {
			res.Metrics[unit] /= n
		}
		list = append(list, *res)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
