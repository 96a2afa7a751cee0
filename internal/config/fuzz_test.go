package config

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a text that crashes the parser, an untyped error, and an
// accepted text that Format does not reproduce.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[service.a]\nkind = 'plain'\ndepends_on = ['a']"))
	f.Add([]byte("service = {a = {kind = 'plain', timeout = 3}}"))
	f.Add([]byte("[[service]]\nx = 1"))
	f.Add([]byte("[account.a.budget.b]\n[account.'a/b']\n"))
	f.Add([]byte("account.a.weight = 99999999999999999999"))
	f.Add([]byte("a.b = 1\na.b.c = 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("f", text)
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 || errs[0].Line == 0 {
				t.Fatalf("untyped error or no position: %v", err)
			}
			return
		}
		formatted := Format(c)
		again, err := Parse("g", formatted)
		if err != nil {
			t.Fatalf("formatted text is refused: %v\n%s", err, formatted)
		}
		if !bytes.Equal(formatted, Format(again)) {
			t.Fatalf("text is not stable:\n%s", formatted)
		}
	})
}
