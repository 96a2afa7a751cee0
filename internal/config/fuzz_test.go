package config

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Guards against input that crashes the parser, errors without type or position,
// results that depend on how the text is split for decoding, and accepted text
// that does not survive formatting.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleText))
	f.Add([]byte("[service.a]\nkind = 'plain'\ndepends_on = ['a']"))
	f.Add([]byte("service = {a = {kind = 'plain', timeout = 3}}"))
	f.Add([]byte("[[service]]\nx = 1"))
	f.Add([]byte("[account.a.budget.b]\n[account.'a/b']\n"))
	f.Add([]byte("account.a.weight = 99999999999999999999"))
	f.Add([]byte("a.b = 1\na.b.c = 2"))
	f.Add([]byte("account.a.weight = 1\n[account.a]\nkeys = []"))
	f.Add([]byte("account = {a = {weight = 1}}\n[account.a.budget.b]\n[account.c]"))
	f.Add([]byte("[account.a]\n[account]\na.weight = 1\n[account.b.budget.c]\n[account.b]\nweight = 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("f", text)
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 || errs[0].Line == 0 {
				t.Fatalf("error has no type or no position: %v", err)
			}
			return
		}
		var fullDocument document
		if err := toml.Unmarshal(text, &fullDocument); err != nil {
			t.Fatalf("the decoder rejects an accepted text: %v", err)
		}
		want := New()
		fullDocument.addTo(want)
		parts, errs := scan("f", text).decode(text, 1)
		if len(errs) > 0 {
			t.Fatalf("decoding in parts fails: %v", errs)
		}
		if diff := cmp.Diff(want, parts); diff != "" {
			t.Fatalf("decoding in parts differs (-whole +parts):\n%s", diff)
		}
		formatted := Format(c)
		again, err := Parse("g", formatted)
		if err != nil {
			t.Fatalf("formatted text is rejected: %v\n%s", err, formatted)
		}
		if !bytes.Equal(formatted, Format(again)) {
			t.Fatalf("formatting again changes the text:\n%s", formatted)
		}
	})
}
