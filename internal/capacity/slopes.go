// Package capacity fits lines to measurements at several sizes, computes the load at
// the target size and renders docs/CAPACITY.md. Its benchmarks take the measurements.
package capacity

import (
	"encoding/json"
	"math"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// minPoints is the minimum number of sizes for a fit; with fewer, the residual is
// always zero.
const minPoints = 3

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line value = Intercept + Slope*size.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the largest distance of a point from the line, relative to
	// the largest value.
	Residual float64 `json:"residual"`
}

// Series is one quantity measured at several sizes.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the values; SizeOf describes what the size counts.
	Unit   string `json:"unit"`
	SizeOf string `json:"size_of"`
	// Nondeterministic is true if the values are wall-clock times or heap sizes,
	// which differ between runs; otherwise each run gives the same values.
	Nondeterministic bool `json:"wall"`
	// Command is the command that measured the series.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	Fit     Fit     `json:"fit"`
}

// Fitted reports whether the series has enough points for a fit.
func (s Series) Fitted() bool { return len(s.Points) >= minPoints }

// File is the content of bench/slopes.json, with the series sorted by name.
type File struct {
	Series []Series `json:"series"`
}

// NewFit returns the least-squares line through points of at least minPoints sizes.
func NewFit(points []Point) (Fit, error) {
	n := float64(len(points))
	if len(points) < minPoints {
		return Fit{}, errors.Errorf("a fit needs %d sizes, got %d", minPoints, len(points))
	}
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.Size/n, my+p.Value/n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - mx) * (p.Size - mx)
		sxy += (p.Size - mx) * (p.Value - my)
	}
	if sxx == 0 {
		return Fit{}, errors.New("a fit needs different sizes")
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = my - f.Slope*mx
	largest := 0.0
	for _, p := range points {
		f.Residual = max(f.Residual, math.Abs(p.Value-f.Intercept-f.Slope*p.Size))
		largest = max(largest, math.Abs(p.Value))
	}
	if largest > 0 {
		f.Residual /= largest
	}
	return f, nil
}

// Set adds a series with its fit, and replaces a series of the same name.
func (f *File) Set(s Series) error {
	slices.SortFunc(s.Points, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	s.Fit = Fit{}
	if s.Fitted() {
		fit, err := NewFit(s.Points)
		if err != nil {
			return errors.Wrapf(err, "series %q", s.Name)
		}
		s.Fit = fit
	}
	f.Series = slices.DeleteFunc(f.Series, func(o Series) bool { return o.Name == s.Name })
	f.Series = append(f.Series, s)
	slices.SortFunc(f.Series, func(a, b Series) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return nil
}

// At returns the value of the named series at a size.
func (f *File) At(name string, size float64) (float64, error) {
	for _, s := range f.Series {
		if s.Name != name {
			continue
		}
		for _, p := range s.Points {
			if p.Size == size {
				return p.Value, nil
			}
		}
	}
	return 0, errors.Errorf("series %q has no point at size %v", name, size)
}

// Read reads the file at path.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	f := &File{}
	return f, errors.Wrapf(json.Unmarshal(text, f), "decode %s", path)
}

// Write writes f to path.
func (f *File) Write(path string) error {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write slopes")
}
