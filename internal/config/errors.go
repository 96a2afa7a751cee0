package config

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of an Error.
const (
	ErrSyntax     ErrorKind = "syntax"
	ErrUnknownKey ErrorKind = "unknown-key"
	ErrWrongType  ErrorKind = "wrong-type"
	ErrDuplicate  ErrorKind = "duplicate"
	ErrCycle      ErrorKind = "dependency-cycle"
	ErrUnknown    ErrorKind = "unknown-name"
	ErrUnit       ErrorKind = "bad-unit"
	ErrAddress    ErrorKind = "bad-address"
	ErrValue      ErrorKind = "bad-value"
	ErrMissing    ErrorKind = "missing-key"
)

// Error is one fault of a configuration text.
type Error struct {
	Kind ErrorKind `json:"kind"`
	// File is the name given to Parse.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; 0 means that the position is not known, as
	// for a configuration that did not come from a text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the key, for example "service.chat.depends_on".
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
	// Nearest is the valid name closest to the one written, if any is close.
	Nearest string `json:"nearest,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "%s:%d:%d: ", e.File, e.Line, e.Column)
	}
	if e.Path != "" {
		fmt.Fprintf(&b, "%s: ", e.Path)
	}
	b.WriteString(e.Reason)
	if e.Nearest != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", e.Nearest)
	}
	return b.String()
}

// Errors are all faults found in a text, in the order of their positions.
type Errors []*Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// nearest returns the candidate with the smallest edit distance to name, if
// that is at most a third of the name's length (and at least 1).
func nearest(name string, candidates []string) string {
	// The distance takes quadratic time, and no valid name is this long.
	if len(name) > 2*maxNameBytes {
		return ""
	}
	best, bestDistance := "", max(1, len(name)/3)+1
	for _, c := range candidates {
		if d := distance(name, c); d < bestDistance || (d == bestDistance && best != "" && c < best) {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance is the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
