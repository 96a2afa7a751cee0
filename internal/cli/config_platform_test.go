package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const platformConfig = `{
  "version": 4,
  "routes": [
    {"name": "a", "host": "h", "prefix": "/a/", "route_type": "safe", "service": "desk", "timeout_ms": 500, "target_latency_ms": 100},
    {"name": "b", "host": "h", "prefix": "/b/", "route_type": "streaming", "service": "llm", "resumable": true, "max_attempts": 2}
  ],
  "services": [{"name": "desk"}, {"name": "llm", "engine": {"stride": 9}}],
  "tenants": [{"name": "acme", "api_keys": ["secret-1"], "prepaid": 100}]
}`

// Guards against a faulty configuration that a script takes for a sound one, findings that
// don't say where the entry is, and API keys in the output.
func TestCheckPlatformConfig(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, replace ...string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(strings.NewReplacer(replace...).Replace(platformConfig)), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	inForce := write("in-force")
	toml := filepath.Join(dir, "toml")
	if err := os.WriteFile(toml, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		replace []string
		code    int
		want    string
	}{
		"sound":               {nil, 0, "valid"},
		"broken":              {[]string{`"routes": [`, `"routes": [,`}, 1, "line 3, column 15"},
		"a wrong type":        {[]string{`"timeout_ms": 500`, `"timeout_ms": "x"`}, 1, "line 4, column"},
		"an unknown kind":     {[]string{`"streaming"`, `"stream"`}, 1, `unknown type "stream"`},
		"a hidden route":      {[]string{`/b/`, `/a/`}, 1, `5:5: error: routes "b": never matches: route "a" has the same host and prefix`},
		"no service":          {[]string{`"service": "llm"`, `"service": "lm"`}, 1, `5:5: error: routes "b": service "lm" does not exist`},
		"an unused service":   {[]string{`"service": "llm"`, `"service": "desk"`}, 0, `7:34: warning: services "llm": no route names the service`},
		"an objective":        {[]string{`"target_latency_ms": 100`, `"target_latency_ms": 600`}, 1, "600ms is above the time limit of 500ms"},
		"attempts":            {[]string{`"resumable": true, `, ``}, 0, "2 attempts are allowed, but its requests run at most once"},
		"a rate of nothing":   {[]string{`{"name": "desk"}`, `{"name": "desk", "cold_per_s": 2}`}, 1, `services "desk": a rate for cold endpoints`},
		"an account":          {[]string{`["secret-1"]`, `[]`}, 0, `8:15: warning: accounts "acme": has no API keys`},
		"a key of two":        {[]string{`"prepaid": 100}`, `"prepaid": 100}, {"name": "b", "api_keys": ["secret-1"]}`}, 1, `API key 1 also belongs to account "acme"`},
		"a budget of nothing": {[]string{`"prepaid": 100`, `"prepaid": 0`}, 0, "its budget is 0 tokens"},
	} {
		var out, errOut bytes.Buffer
		code := Main([]string{"config", "check", write(strings.ReplaceAll(name, " ", "-"), c.replace...)}, &out, &errOut)
		if text := out.String() + errOut.String(); code != c.code || !strings.Contains(text, c.want) || strings.Contains(text, "secret") {
			t.Errorf("%s: exit code %d, want %d; output %q, want %q", name, code, c.code, text, c.want)
		}
	}
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{write("same"), "--against", inForce}, 1, []string{"version 4 is not above 4"}},
		{[]string{write("next", `"version": 4`, `"version": 5`, `secret-1`, `secret-2`, `"max_attempts": 2`, `"max_attempts": 3`, `{"name": "desk"}, `, ``),
			"--against", inForce}, 1, []string{"change routes \"b\"\n  MaxAttempts: 2 -> 3", `remove services "desk"`, "Keys: 1 added, 1 removed"}},
		{[]string{write("good", `"version": 4`, `"version": 5`, `/b/`, `/c/`), "--against", inForce, "--output", "json"}, 0, []string{`"Prefix: /b/ -\u003e /c/"`}},
		{[]string{toml, "--against", inForce}, ExitUsage, []string{"--against needs"}},
		{[]string{"--no-such-flag"}, ExitUsage, nil},
	} {
		var out, errOut bytes.Buffer
		code := Main(append([]string{"config", "check"}, c.args...), &out, &errOut)
		text := out.String() + errOut.String()
		for _, want := range append(c.want, "") {
			if code != c.code || !strings.Contains(text, want) || strings.Contains(text, "secret") {
				t.Errorf("%v: exit code %d, want %d; output %q, want %q", c.args[1:], code, c.code, text, want)
			}
		}
	}
}
