package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/unit"
)

const plainTextSettings = "[instance]\nid = \"d1\"\n[callers]\nplain_text = true\n[peers]\nplain_text = true\n[admin]\nplain_text = true\n"

// Guards against invalid settings that are accepted or ignored. Each error must name
// its position or key and suggest a similar key for an unknown one.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "[instance]\nid = \"d1\"\nregoin = \"r\"", `s.toml:3:1: unknown key "instance.regoin"; did you mean "region"?`},
		{"unknown table", "[calers]\nlisten = \"\"", `did you mean "callers"?`},
		{"wrong type", "[instance]\nid = 7", "s.toml:2:6"},
		{"no unit", "[instance]\nid = \"d1\"\n[limits]\nbody = \"8\"", `"8" is not a size`},
		{"bad duration", "[instance]\nid = \"d1\"\n[limits]\nrequest = \"5\"", "is not a duration"},
		{"duplicate", "[instance]\nid = \"d1\"\nid = \"d2\"", "s.toml:3:1"},
		{"no id", "", "instance.id is not set"},
		{"bad address", "[instance]\nid = \"d1\"\n[callers]\nlisten = \"localhost\"", "callers.listen"},
		{"key without certificate", "[instance]\nid = \"d1\"\n[callers]\nkey_file = \"k\"", "cert_file and key_file go together"},
		{"plain text not allowed", "[instance]\nid = \"d1\"", "plain_text = true"},
		{"not positive", plainTextSettings + "[budget]\nstep = 0", "budget.step must be positive"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}

// Guards against formatted settings that cannot be parsed back.
func TestFormatRoundTrip(t *testing.T) {
	want := Default()
	want.Instance.ID = "d1"
	want.Callers.PlainText, want.Peers.PlainText, want.Admin.PlainText = true, true, true
	want.Limits.Body = unit.Size{Bytes: 3 << 10}
	want.Shutdown.Drain = unit.Seconds(90)
	text, err := want.Format()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse("s.toml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}
