// Package benchcheck compares benchmark results with bounds and writes both as JSON
// and as an HTML report.
package benchcheck

import (
	"bytes"
	"regexp"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Bound limits one metric of the benchmarks whose full name matches Benchmark.
type Bound struct {
	// Benchmark is a regular expression for the whole name without the
	// "Benchmark" prefix and the "-N" suffix.
	Benchmark string   `toml:"benchmark" json:"benchmark"`
	Metric    string   `toml:"metric" json:"metric"`
	Max       *float64 `toml:"max" json:"max,omitempty"`
	Min       *float64 `toml:"min" json:"min,omitempty"`
	// Source names the requirement from which the bound comes.
	Source string `toml:"source" json:"source"`

	pattern *regexp.Regexp
}

// ParseBounds parses a TOML file of bounds. Unknown keys and bounds without a
// metric, a source or a limit are errors.
func ParseBounds(text []byte) ([]Bound, error) {
	var file struct {
		Bound []Bound `toml:"bound"`
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, errors.Wrap(err, "bounds")
	}
	for i := range file.Bound {
		b := &file.Bound[i]
		if b.Source == "" || b.Metric == "" || (b.Max == nil && b.Min == nil) {
			return nil, errors.Errorf("bound %d (%s): metric, source and max or min are needed", i+1, b.Benchmark)
		}
		m, err := regexp.Compile("^(?:" + b.Benchmark + ")$")
		if err != nil {
			return nil, errors.Wrapf(err, "bound %d", i+1)
		}
		b.pattern = m
	}
	return file.Bound, nil
}

// Verdict is the result of applying one bound to one benchmark.
type Verdict struct {
	Bound     Bound   `json:"bound"`
	Benchmark string  `json:"benchmark"`
	Value     float64 `json:"value"`
	// Missing is true if no matching benchmark reported the metric; Benchmark and
	// Value are then empty.
	Missing bool `json:"missing,omitempty"`
	OK      bool `json:"ok"`
}

// allows reports whether v is within the bound.
func (b Bound) allows(v float64) bool {
	return (b.Max == nil || v <= *b.Max) && (b.Min == nil || v >= *b.Min)
}

// Check applies the bounds to the results. A bound without a result is broken, so
// that a benchmark that was renamed or did not run does not pass.
func Check(bounds []Bound, results []Result) []Verdict {
	var verdicts []Verdict
	for _, b := range bounds {
		found := false
		for _, r := range results {
			value, ok := r.Metrics[b.Metric]
			if !ok || !b.pattern.MatchString(r.Name) {
				continue
			}
			found = true
			verdicts = append(verdicts, Verdict{Bound: b, Benchmark: r.Name, Value: value, OK: b.allows(value)})
		}
		if !found {
			verdicts = append(verdicts, Verdict{Bound: b, Missing: true})
		}
	}
	return verdicts
}
