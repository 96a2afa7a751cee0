package cli

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a command that runs although --help was given, and against wrong
// exit codes.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, ExitOK, Version},
		{[]string{"serve", "--help"}, ExitOK, "--settings"},
		{[]string{"standin", "engine", "--help"}, ExitOK, "--listen"},
		{[]string{"--help"}, ExitOK, "settings print"},
		{[]string{"nothing"}, ExitUsage, "nothing"},
		{[]string{"serve", "--settings", "missing.toml"}, ExitFailure, "missing.toml"},
	} {
		var out, errOut bytes.Buffer
		code := Main(c.args, &out, &errOut)
		if text := out.String() + errOut.String(); code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%v: exit code %d, output %q; want %d and %q", c.args, code, text, c.code, c.want)
		}
	}
}
