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

// positions maps each key of a text to its place, because the decoder reports
// places only for the faults that it finds itself.
type positions struct {
	file string
	// lines are the offsets at which lines start.
	lines []int
	keys  map[string]int
	// tables are the paths set by [table] headers, implicit ones excluded.
	tables map[string]bool
	// headers are the offsets of the table headers.
	headers []int
	// closed are tables made by dotted keys (false) or inline (true). A header must
	// not open them again, nor a table within an inline one.
	closed map[string]bool
	// skip is set inside a table whose header is faulty, so that one fault is
	// not reported again for each of its keys.
	skip bool
	errs Errors
}

// scan reads the keys of text. Its errs are syntax errors and duplicates.
func scan(file string, text []byte) *positions {
	p := &positions{file: file, lines: []int{0}, keys: make(map[string]int), tables: make(map[string]bool),
		closed: make(map[string]bool)}
	for i, c := range text {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = p.table(node, text)
		case unstable.ArrayTable:
			p.arrayTable(node)
		case unstable.KeyValue:
			p.keyValue(table, node)
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
		e.Line, e.Column = p.at(int(parser.Range(pe.Highlight).Offset))
	}
	return e
}

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

func (p *positions) table(node *unstable.Node, text []byte) []string {
	parts, offset := keyParts(node.Key())
	p.headers = append(p.headers, bytes.LastIndexByte(text[:offset], '['))
	path := strings.Join(parts, pathSeparator)
	p.skip = true
	_, dotted := p.closed[path]
	switch {
	case p.tables[path], dotted, p.inInline(parts):
		p.duplicate(parts, offset)
	case p.known(parts, offset) && p.isTable(parts, offset):
		p.skip = false
	}
	p.tables[path] = true
	p.record(parts, offset)
	return parts
}

// inInline reports whether a parent of the table is an inline table.
func (p *positions) inInline(parts []string) bool {
	for i := range parts {
		if p.closed[strings.Join(parts[:i+1], pathSeparator)] {
			return true
		}
	}
	return false
}

// closeParents marks the tables that a dotted key makes. It returns false if
// one of them was opened by a header.
func (p *positions) closeParents(prefix, parts []string) bool {
	path := slices.Clone(prefix)
	for _, part := range parts[:len(parts)-1] {
		path = append(path, part)
		key := strings.Join(path, pathSeparator)
		if p.tables[key] || p.closed[key] {
			return false
		}
		p.closed[key] = false
	}
	return true
}

func (p *positions) arrayTable(node *unstable.Node) {
	parts, offset := keyParts(node.Key())
	p.errs = append(p.errs, p.errorAt(offset, ErrWrongType, parts, "arrays of tables are not used; write [table]"))
	p.skip = true
}

func (p *positions) keyValue(prefix []string, node *unstable.Node) {
	if p.skip {
		return
	}
	parts, offset := keyParts(node.Key())
	path := append(slices.Clone(prefix), parts...)
	_, exists := p.keys[strings.Join(path, pathSeparator)]
	if exists || !p.closeParents(prefix, parts) {
		p.duplicate(path, offset)
		return
	}
	p.record(path, offset)
	if !p.known(path, offset) {
		return
	}
	value := node.Value()
	if !p.valueFits(path, offset, value) || value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		p.keyValue(path, it.Node())
	}
	p.closed[strings.Join(path, pathSeparator)] = true
}

// record keeps the first place of a key and of its implicit parents.
func (p *positions) record(parts []string, offset int) {
	for i := range parts {
		path := strings.Join(parts[:i+1], pathSeparator)
		if _, ok := p.keys[path]; !ok {
			p.keys[path] = offset
		}
	}
}

func (p *positions) duplicate(parts []string, offset int) {
	e := p.errorAt(offset, ErrDuplicate, parts, "")
	first := &Error{}
	p.locate(first, parts)
	e.Reason = errors.Errorf("defined twice; first defined on line %d", first.Line).Error()
	p.errs = append(p.errs, e)
}

func (p *positions) errorAt(offset int, kind ErrorKind, parts []string, reason string) *Error {
	line, column := p.at(offset)
	return &Error{Kind: kind, File: p.file, Line: line, Column: column, Path: strings.Join(parts, "."), Reason: reason}
}

// at returns line and column of an offset, both from 1.
func (p *positions) at(offset int) (line, column int) {
	i := sort.SearchInts(p.lines, offset+1) - 1
	return i + 1, offset - p.lines[i] + 1
}

// locate fills in the place of the key, or of its nearest parent in the text.
func (p *positions) locate(e *Error, parts []string) {
	e.Path = strings.Join(parts, ".")
	if p == nil {
		return
	}
	e.File = p.file
	for n := len(parts); n > 0; n-- {
		if offset, ok := p.keys[strings.Join(parts[:n], pathSeparator)]; ok {
			e.Line, e.Column = p.at(offset)
			return
		}
	}
	e.Line, e.Column = 1, 1
}
