package config

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const sampleKeyHash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

var sampleText = `
[service.chat]
kind = "model"
models = ["m1"]
depends_on = ["stock"]
timeout = "90s"

[service.stock]
kind = "plain"
non_idempotent_calls = ["POST /orders/*", "DELETE"]
max_body = "64KiB"

[endpoint.e1]
service = "chat"
address = "127.0.0.1:9001"
domain = "a"

[account.acme]
keys = ["` + sampleKeyHash + `"]

[account.acme.budget.main]
services = ["chat"]
order = 2

[operator.ana]
office = "north"
role = "operator"
token = "` + "sha256:1" + sampleKeyHash[8:] + `"
`

// Guards against formatted output that parses to a different configuration.
func TestFormatRoundTrip(t *testing.T) {
	c, err := Parse("a.toml", []byte(sampleText))
	if err != nil {
		t.Fatal(err)
	}
	text := Format(c)
	again, err := Parse("b.toml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if diff := cmp.Diff(c, again); diff != "" {
		t.Errorf("configuration changed (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(string(text), string(Format(again))); diff != "" {
		t.Errorf("text changed (-want +got):\n%s", diff)
	}
}

// Guards against Format dropping an entry without keys as if it were a parent
// table.
func TestFormatKeepsEmptyEntries(t *testing.T) {
	text := "[account.budget]\n[account.x]\n[account.x.budget.budget]\n[account.'x.y']\n[account.'x.y'.budget.a]\n"
	c := mustParse(t, text)
	if diff := cmp.Diff(c, mustParse(t, string(Format(c)))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(text, strings.ReplaceAll(string(Format(c)), "\n\n", "\n")); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}

// Guards against invalid text that is accepted, and against errors with the wrong
// kind, position or path.
func TestParseErrors(t *testing.T) {
	edit := func(old, replacement string) string { return strings.Replace(sampleText, old, replacement, 1) }
	for _, test := range []struct {
		name, text string
		want       Error
	}{
		{"unknown key", edit("models", "modles"),
			Error{Kind: ErrUnknownKey, Line: 4, Column: 1, Path: "service.chat.modles", Nearest: "models"}},
		{"unknown table", edit("[endpoint.", "[endpont."),
			Error{Kind: ErrUnknownKey, Line: 13, Column: 2, Path: "endpont", Nearest: "endpoint"}},
		{"wrong type", edit(`models = ["m1"]`, "models = 3"),
			Error{Kind: ErrWrongType, Line: 4, Column: 1, Path: "service.chat.models"}},
		{"duplicate key", edit(`models = ["m1"]`, "kind = \"plain\""),
			Error{Kind: ErrDuplicate, Line: 4, Column: 1, Path: "service.chat.kind"}},
		{"duplicate table", edit("[service.stock]", "[service.chat]"),
			Error{Kind: ErrDuplicate, Line: 8, Column: 2, Path: "service.chat"}},
		{"cycle", edit("max_body", "depends_on = [\"chat\"]\nmax_body"),
			Error{Kind: ErrCycle, Line: 11, Column: 1, Path: "service.stock.depends_on"}},
		{"unknown dependency", edit(`["stock"]`, `["stok"]`),
			Error{Kind: ErrUnknownName, Line: 5, Column: 1, Path: "service.chat.depends_on", Nearest: "stock"}},
		{"unknown service", edit(`service = "chat"`, `service = "cat"`),
			Error{Kind: ErrUnknownName, Line: 14, Column: 1, Path: "endpoint.e1.service", Nearest: "chat"}},
		{"bad unit", edit(`"90s"`, `"90"`), Error{Kind: ErrUnit, Line: 6, Column: 1, Path: "service.chat.timeout"}},
		{"duration without unit", edit(`"90s"`, `90`), Error{Kind: ErrUnit, Line: 6, Column: 1, Path: "service.chat.timeout"}},
		{"bad size", edit(`"64KiB"`, `"64kb"`), Error{Kind: ErrUnit, Line: 11, Column: 1, Path: "service.stock.max_body"}},
		{"bad address", edit("127.0.0.1:9001", "localhost:9001"),
			Error{Kind: ErrAddress, Line: 15, Column: 1, Path: "endpoint.e1.address"}},
		{"bad role", edit(`"operator"`, `"operater"`),
			Error{Kind: ErrValue, Line: 27, Column: 1, Path: "operator.ana.role", Nearest: "operator"}},
		{"key in clear", edit(sampleKeyHash, "secret-key"),
			Error{Kind: ErrValue, Line: 19, Column: 1, Path: "account.acme.keys"}},
		{"syntax", edit(`timeout = "90s"`, `timeout = `), Error{Kind: ErrSyntax, Line: 6, Column: 11}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(test.text))
			var errs Errors
			if !errors.As(err, &errs) || len(errs) != 1 {
				t.Fatalf("got %v, want one error", err)
			}
			if strings.Contains(err.Error(), "secret-key") {
				t.Errorf("error reveals a key: %v", err)
			}
			got := *errs[0]
			if got.Reason == "" || got.File != "f.toml" {
				t.Errorf("error without reason or file: %+v", got)
			}
			got.Reason, got.File = "", ""
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s\n%v", diff, err)
			}
		})
	}
}

// Guards against a validation that stops at the first error.
func TestValidationReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer(`["stock"]`, `["x"]`, "127.0.0.1:9001", "nowhere", `"north"`, `""`).Replace(sampleText)
	_, err := Parse("f.toml", []byte(text))
	var errs Errors
	if !errors.As(err, &errs) || len(errs) != 3 {
		t.Fatalf("got %v, want three errors", err)
	}
}

// Guards against retries of a non-idempotent call that is taken for an idempotent
// one.
func TestIsNonIdempotent(t *testing.T) {
	s := Service{NonIdempotentCalls: []string{"POST /orders/*", "DELETE", "/pay"}}
	for _, test := range []struct {
		method, path string
		want         bool
	}{
		{"POST", "/orders/1", true}, {"GET", "/orders/1", false}, {"DELETE", "/x", true},
		{"GET", "/pay", true}, {"POST", "/pays", false},
	} {
		if got := s.IsNonIdempotent(test.method, test.path); got != test.want {
			t.Errorf("%s %s: got %v, want %v", test.method, test.path, got, test.want)
		}
	}
}
