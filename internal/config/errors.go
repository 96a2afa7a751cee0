package config

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of an Error.
const (
	ErrSyntax      ErrorKind = "syntax"
	ErrUnknownKey  ErrorKind = "unknown-key"
	ErrWrongType   ErrorKind = "wrong-type"
	ErrDuplicate   ErrorKind = "duplicate"
	ErrCycle       ErrorKind = "dependency-cycle"
	ErrUnknownName ErrorKind = "unknown-name"
	ErrUnit        ErrorKind = "bad-unit"
	ErrAddress     ErrorKind = "bad-address"
	ErrValue       ErrorKind = "bad-value"
	ErrMissing     ErrorKind = "missing-key"
)

// Error describes one problem in a configuration.
type Error struct {
	Kind ErrorKind `json:"kind"`
	// File is the name given to Parse.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; 0 means that the position is unknown because
	// the configuration was not parsed from text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the dotted key, for example "service.chat.depends_on".
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
	// Nearest is the valid name most similar to the one written; empty if none is
	// similar.
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

// Errors lists all problems found in a configuration, sorted by position.
type Errors []*Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
