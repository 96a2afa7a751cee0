package config

import (
	"bytes"
	"cmp"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// document is the structure of the TOML document.
type document struct {
	Service  map[string]Service         `toml:"service,omitempty"`
	Endpoint map[string]Endpoint        `toml:"endpoint,omitempty"`
	Account  map[string]accountDocument `toml:"account,omitempty"`
	Operator map[string]Operator        `toml:"operator,omitempty"`
}

type accountDocument struct {
	Keys   []string          `toml:"keys,omitempty"`
	Weight int               `toml:"weight,omitempty"`
	Budget map[string]Budget `toml:"budget,omitempty"`
}

// Parse parses and validates a complete configuration. The file name appears
// only in errors. If the text has any error, no configuration is returned and
// the error is of type Errors.
func Parse(file string, text []byte) (*Config, error) {
	pos := scan(file, text)
	if len(pos.errs) > 0 {
		return nil, sortByPosition(pos.errs)
	}
	c, errs := pos.decode(text, tablesPerDecode)
	if len(errs) > 0 {
		return nil, sortByPosition(errs)
	}
	if errs := c.validate(pos); len(errs) > 0 {
		return nil, sortByPosition(errs)
	}
	return c, nil
}

// Validate checks a configuration that was not parsed from text. The error is
// of type Errors.
func (c *Config) Validate() error {
	if errs := c.validate(nil); len(errs) > 0 {
		return sortByPosition(errs)
	}
	return nil
}

func sortByPosition(errs Errors) Errors {
	slices.SortStableFunc(errs, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path), cmp.Compare(a.Reason, b.Reason))
	})
	return errs
}

// tablesPerDecode is the number of tables passed to one call of the decoder. Its
// duplicate check takes quadratic time: decoding the target size in one call took
// 56 s.
const tablesPerDecode = 64

// decode decodes the text in parts that start at table headers. It relies on
// scan to reject duplicates, so no key occurs in two parts.
func (p *positions) decode(text []byte, tables int) (*Config, Errors) {
	c := New()
	start := 0
	for i := tables; start < len(text); i += tables {
		end := len(text)
		if i < len(p.headerOffsets) {
			end = p.headerOffsets[i]
		}
		var doc document
		if err := toml.NewDecoder(bytes.NewReader(text[start:end])).DisallowUnknownFields().Decode(&doc); err != nil {
			line, _ := p.lineColumn(start)
			return nil, p.decodeErrors(err, line-1)
		}
		doc.addTo(c)
		start = end
	}
	return c, nil
}

// addTo adds the entries of one part to c. An account's table and those of its
// budgets may be in different parts.
func (d *document) addTo(c *Config) {
	for name, s := range d.Service {
		for _, list := range []*[]string{&s.Models, &s.DependsOn, &s.NonIdempotentCalls, &s.Adapters} {
			dropEmpty(list)
		}
		c.Services[name] = s
	}
	for name, e := range d.Endpoint {
		c.Endpoints[name] = e
	}
	for name, a := range d.Account {
		dropEmpty(&a.Keys)
		account := c.Accounts[name]
		if a.Keys != nil {
			account.Keys = a.Keys
		}
		account.Weight = cmp.Or(a.Weight, account.Weight)
		c.Accounts[name] = account
		for budget, b := range a.Budget {
			dropEmpty(&b.Services)
			c.Budgets[BudgetID(name, budget)] = b
		}
	}
	for name, o := range d.Operator {
		c.Operators[name] = o
	}
}

// dropEmpty sets an empty list to nil, so that a list written as [] equals an
// absent one.
func dropEmpty(list *[]string) {
	if len(*list) == 0 {
		*list = nil
	}
}

// Format returns the configuration as TOML. The output is deterministic, and
// Parse returns an equal configuration.
func Format(c *Config) []byte {
	doc := document{Service: c.Services, Endpoint: c.Endpoints, Operator: c.Operators}
	doc.Account = make(map[string]accountDocument, len(c.Accounts))
	for name, a := range c.Accounts {
		doc.Account[name] = accountDocument{Keys: a.Keys, Weight: a.Weight}
	}
	for id, b := range c.Budgets {
		account, budget, _ := strings.Cut(id, "/")
		a := doc.Account[account]
		if a.Budget == nil {
			a.Budget = make(map[string]Budget)
		}
		a.Budget[budget] = b
		doc.Account[account] = a
	}
	var out bytes.Buffer
	enc := toml.NewEncoder(&out).SetTablesInline(false)
	if err := enc.Encode(doc); err != nil {
		// The document consists of strings, numbers, lists and maps, which always
		// encode.
		panic(errors.Wrap(err, "encode configuration"))
	}
	return bytes.TrimLeft(parentTable.ReplaceAll(out.Bytes(), nil), "\n")
}

// parentTable matches the headers of tables that contain only other tables. The
// encoder writes them, but TOML does not require them. Matching lines is safe
// because encoded values never span lines.
var parentTable = regexp.MustCompile(
	`(?m)^\[(service|endpoint|account|operator|account\.([A-Za-z0-9_-]+|'[^'\n]*'|"[^"\n]*")\.budget)\]\n`)

// decodeErrors translates a decoder error. It reports the errors that scan, which
// detects the common ones first, does not find.
func (p *positions) decodeErrors(err error, linesBefore int) Errors {
	e := &Error{Kind: ErrWrongType, File: p.file, Line: 1, Column: 1, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		e.Line, e.Column = de.Position()
		e.Line += linesBefore
		e.Path = strings.Join(de.Key(), ".")
		e.Reason = strings.TrimPrefix(de.Error(), "toml: ")
	}
	return Errors{e}
}
