package capacity

import (
	"bytes"
	_ "embed" // for the template
	"fmt"
	"math"
	"text/template"

	"github.com/pkg/errors"
)

//go:embed page.md.tmpl
var pageTemplate string

// Exponent returns the exponent of the growth between the last two points: 1 is
// linear, 2 is quadratic. It is "-" with fewer than two points or if a value is not
// positive.
func (s Series) Exponent() string {
	n := len(s.Points)
	if n < 2 || s.Points[n-2].Value <= 0 || s.Points[n-1].Value <= 0 {
		return "-"
	}
	a, b := s.Points[n-2], s.Points[n-1]
	return fmt.Sprintf("%.2f", math.Log(b.Value/a.Value)/math.Log(b.Size/a.Size))
}

// Source returns a text that says whether the values differ between runs.
func (s Series) Source() string {
	if s.Nondeterministic {
		return "wall clock or heap"
	}
	return "deterministic"
}

// formatNumber formats v with three significant digits, or from 1000 on as an
// integer with thousands separators.
func formatNumber(v float64) string {
	if math.Abs(v) < 1000 {
		return fmt.Sprintf("%.3g", v)
	}
	n := int64(math.Round(v))
	digits := fmt.Sprint(n)
	for i := len(digits) - 3; i > 0 && digits[i-1] != '-'; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// Render returns the content of docs/CAPACITY.md for the measurements in f.
func Render(f *File) ([]byte, error) {
	funcs := template.FuncMap{
		"n":   formatNumber,
		"ms":  func(ns float64) string { return formatNumber(ns / 1e6) },
		"mb":  func(b float64) string { return formatNumber(b / 1e6) },
		"met": formatMet,
		"partly": func(figure, bound float64) string {
			if figure <= bound {
				return "met by the parts measured"
			}
			return formatMet(figure, bound)
		},
		"room": func(figure, bound float64) string { return formatNumber(bound / figure) },
	}
	t, err := template.New("page").Funcs(funcs).Parse(pageTemplate)
	if err != nil {
		return nil, errors.Wrap(err, "parse template")
	}
	figures, err := compute(f)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	err = t.Execute(&buf, map[string]any{"File": f, "F": figures})
	return buf.Bytes(), errors.Wrap(err, "render page")
}

// formatMet returns whether a figure is within its bound.
func formatMet(figure, bound float64) string {
	if figure <= bound {
		return "met"
	}
	return "**not met**"
}
