package config

import (
	"bytes"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// pathSeparator joins the parts of a key; it cannot occur in a valid name.
const pathSeparator = "\x00"

// positions maps each key of a text to its position. Validation errors need it
// because the decoder reports positions only in its own errors.
type positions struct {
	file string
	// lineStarts holds the byte offset of the start of each line.
	lineStarts []int
	// keyOffsets maps a path, joined by pathSeparator, to its first byte offset.
	keyOffsets map[string]int
	// headerTables holds the paths that have a [table] header of their own.
	headerTables map[string]bool
	// headerOffsets holds the byte offsets of the table headers.
	headerOffsets []int
	// closedTables holds the tables defined by dotted keys (value false) and inline
	// tables (value true). A header must not reopen them, and must not define a
	// table inside an inline one.
	closedTables map[string]bool
	// skipKeys is set inside a table with an invalid header, so that the error is
	// not repeated for each key of the table.
	skipKeys bool
	errs     Errors
}

// scan collects the positions of all keys in text. It records syntax errors,
// duplicates, unknown keys and values of the wrong type in errs.
func scan(file string, text []byte) *positions {
	p := &positions{file: file, lineStarts: []int{0}, keyOffsets: make(map[string]int),
		headerTables: make(map[string]bool), closedTables: make(map[string]bool)}
	for i, c := range text {
		if c == '\n' {
			p.lineStarts = append(p.lineStarts, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = p.visitTable(node, text)
		case unstable.ArrayTable:
			p.visitArrayTable(node)
		case unstable.KeyValue:
			p.visitKeyValue(table, node)
		}
	}
	if err := parser.Error(); err != nil {
		p.errs = append(p.errs, p.syntaxError(&parser, err))
	}
	return p
}

func (p *positions) syntaxError(parser *unstable.Parser, err error) *Error {
	e := &Error{Kind: ErrSyntax, File: p.file, Line: 1, Column: 1, Reason: err.Error()}
	var pe *unstable.ParserError
	if errors.As(err, &pe) && pe.Highlight != nil {
		e.Line, e.Column = p.lineColumn(int(parser.Range(pe.Highlight).Offset))
	}
	return e
}

// keyParts returns the parts of a key and the byte offset of the first one.
func keyParts(it unstable.Iterator) (parts []string, offset int) {
	offset = -1
	for it.Next() {
		n := it.Node()
		if offset < 0 {
			offset = int(n.Raw.Offset)
		}
		parts = append(parts, string(n.Data))
	}
	return parts, max(offset, 0)
}

// visitTable checks and records a [table] header and returns its path.
func (p *positions) visitTable(node *unstable.Node, text []byte) []string {
	parts, offset := keyParts(node.Key())
	p.headerOffsets = append(p.headerOffsets, bytes.LastIndexByte(text[:offset], '['))
	path := strings.Join(parts, pathSeparator)
	p.skipKeys = true
	_, dotted := p.closedTables[path]
	switch {
	case p.headerTables[path], dotted, p.insideInlineTable(parts):
		p.addDuplicate(parts, offset)
	case p.checkKnown(parts, offset) && p.checkIsTable(parts, offset):
		p.skipKeys = false
	}
	p.headerTables[path] = true
	p.recordOffset(parts, offset)
	return parts
}

// insideInlineTable reports whether the table or one of its parents is an inline
// table.
func (p *positions) insideInlineTable(parts []string) bool {
	for i := range parts {
		if p.closedTables[strings.Join(parts[:i+1], pathSeparator)] {
			return true
		}
	}
	return false
}

// closeParents records the tables that a dotted key defines. It returns false if
// one of them already has a header or is an inline table.
func (p *positions) closeParents(prefix, parts []string) bool {
	path := slices.Clone(prefix)
	for _, part := range parts[:len(parts)-1] {
		path = append(path, part)
		key := strings.Join(path, pathSeparator)
		if p.headerTables[key] || p.closedTables[key] {
			return false
		}
		p.closedTables[key] = false
	}
	return true
}

func (p *positions) visitArrayTable(node *unstable.Node) {
	parts, offset := keyParts(node.Key())
	p.errs = append(p.errs, p.newError(offset, ErrWrongType, parts, "arrays of tables are not used; write [table]"))
	p.skipKeys = true
}

// visitKeyValue checks and records a key in the table at prefix, and recurses
// into inline tables.
func (p *positions) visitKeyValue(prefix []string, node *unstable.Node) {
	if p.skipKeys {
		return
	}
	parts, offset := keyParts(node.Key())
	path := append(slices.Clone(prefix), parts...)
	_, exists := p.keyOffsets[strings.Join(path, pathSeparator)]
	if exists || !p.closeParents(prefix, parts) {
		p.addDuplicate(path, offset)
		return
	}
	p.recordOffset(path, offset)
	if !p.checkKnown(path, offset) {
		return
	}
	value := node.Value()
	if !p.checkValue(path, offset, value) || value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		p.visitKeyValue(path, it.Node())
	}
	p.closedTables[strings.Join(path, pathSeparator)] = true
}

// recordOffset records the first offset of a key and of its implicit parents.
func (p *positions) recordOffset(parts []string, offset int) {
	for i := range parts {
		path := strings.Join(parts[:i+1], pathSeparator)
		if _, ok := p.keyOffsets[path]; !ok {
			p.keyOffsets[path] = offset
		}
	}
}

func (p *positions) addDuplicate(parts []string, offset int) {
	e := p.newError(offset, ErrDuplicate, parts, "")
	first := &Error{}
	p.setPosition(first, parts)
	e.Reason = errors.Errorf("defined twice; first defined on line %d", first.Line).Error()
	p.errs = append(p.errs, e)
}

func (p *positions) newError(offset int, kind ErrorKind, parts []string, reason string) *Error {
	line, column := p.lineColumn(offset)
	return &Error{Kind: kind, File: p.file, Line: line, Column: column, Path: strings.Join(parts, "."), Reason: reason}
}

// lineColumn returns the line and column of an offset, both starting at 1.
func (p *positions) lineColumn(offset int) (line, column int) {
	i := sort.SearchInts(p.lineStarts, offset+1) - 1
	return i + 1, offset - p.lineStarts[i] + 1
}

// setPosition sets the path of e and the position of the key, or of its nearest
// parent in the text. A nil p sets the path only.
func (p *positions) setPosition(e *Error, parts []string) {
	e.Path = strings.Join(parts, ".")
	if p == nil {
		return
	}
	e.File = p.file
	for n := len(parts); n > 0; n-- {
		if offset, ok := p.keyOffsets[strings.Join(parts[:n], pathSeparator)]; ok {
			e.Line, e.Column = p.lineColumn(offset)
			return
		}
	}
	e.Line, e.Column = 1, 1
}
