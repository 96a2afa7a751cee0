// Package docscheck runs and checks what the pages for operators and callers
// show: commands, settings, configurations, metrics, alerts and refusals.
package docscheck

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/dev"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// pages are checked by this package. docs/configuration.md is checked by
// internal/config.
var pages = []string{
	"first-steps.md", "refusals.md", "platform-outage.md", "poison-requests.md", "keys-and-certificates.md",
	"metrics.md", "settings.md",
}

// snippetTimeout bounds one block of commands.
const snippetTimeout = 20 * time.Second

// binDir holds the binary of this source tree.
var binDir string

// TestMain builds the binary once for all tests.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "docscheck")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if out, err := exec.Command("go", "build", "-o", dir, "../../cmd/azurehatch").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// block is a fenced block of a page.
type block struct {
	// info is the text after the opening fence, such as "sh" or "toml config".
	info, text string
	// line is that of the opening fence.
	line int
}

var fence = regexp.MustCompile("(?ms)^```([^\n]*)\n(.*?)^```$")

func blocksOf(page string) []block {
	var list []block
	for _, m := range fence.FindAllStringSubmatchIndex(page, -1) {
		list = append(list, block{info: page[m[2]:m[3]], text: page[m[4]:m[5]], line: 1 + strings.Count(page[:m[0]], "\n")})
	}
	return list
}

func read(t *testing.T, elem ...string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(append([]string{"..", ".."}, elem...)...))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// env is a fleet with what the placeholders of the pages stand for.
type env struct {
	fleet *dev.Fleet
	vars  []string
	dir   string
}

func newEnv(t *testing.T, deployment string) *env {
	t.Helper()
	d, err := dev.DeploymentByName(deployment)
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := dev.Start(dev.Options{Deployment: d, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	e := &env{fleet: fleet, dir: t.TempDir()}
	e.vars = append(os.Environ(),
		"PATH="+binDir+string(os.PathListSeparator)+os.Getenv("PATH"),
		"DAEMON=http://"+fleet.Daemons[0].CallersAddr(), "ADMIN=http://"+fleet.Daemons[0].AdminAddr(),
		"KEY="+dev.APIKey(d.Accounts[0]), "TOKEN="+dev.OperatorToken, "BILLING="+dev.BillingToken,
		"TOKEN_FILE="+e.file(t, "token", dev.OperatorToken), "BILLING_FILE="+e.file(t, "billing", dev.BillingToken))
	return e
}

func (e *env) file(t *testing.T, name, content string) string {
	path := filepath.Join(e.dir, name)
	if err := os.WriteFile(path, []byte(content+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// sh runs commands as a reader of the page would and returns their output. It
// stops at the first command that fails.
func (e *env) sh(commands string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), snippetTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-e", "-u", "-c", commands)
	cmd.Env, cmd.Dir, cmd.WaitDelay = e.vars, e.dir, time.Second
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// runnable reports whether the block is one of commands that this package runs.
func (b block) runnable() bool {
	return b.info == "sh" && (strings.HasPrefix(b.text, "azurehatch ") || strings.HasPrefix(b.text, "curl "))
}

// checkCommands runs the blocks of a page and returns a fault for each block
// that fails.
func (e *env) checkCommands(page string) (ran int, faults []string) {
	for _, b := range blocksOf(page) {
		if b.info == "sh" && !b.runnable() {
			faults = append(faults, fmt.Sprintf("line %d: block of commands starts with neither azurehatch nor curl", b.line))
		}
		if !b.runnable() {
			continue
		}
		ran++
		if out, err := e.sh(b.text); err != nil {
			faults = append(faults, fmt.Sprintf("line %d: %v\n%s", b.line, err, out))
		}
	}
	return ran, faults
}

// checkTOML parses the blocks of settings and of configuration.
func checkTOML(page string) (parsed int, faults []string) {
	for _, b := range blocksOf(page) {
		kind, ok := strings.CutPrefix(b.info, "toml")
		if !ok {
			continue
		}
		var err error
		switch strings.TrimSpace(kind) {
		case "settings":
			_, err = settings.Parse("settings", []byte(b.text))
		case "config":
			_, err = config.Parse("config", []byte(b.text))
		default:
			err = fmt.Errorf("block %q is neither \"toml settings\" nor \"toml config\"", b.info)
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("line %d: %v", b.line, err))
		}
		parsed++
	}
	return parsed, faults
}

// Guards against pages whose commands, settings or configurations do not work.
func TestPages(t *testing.T) {
	e := newEnv(t, "maracas")
	commands, texts := 0, 0
	for _, name := range pages {
		page := read(t, "docs", name)
		ran, faults := e.checkCommands(page)
		parsed, more := checkTOML(page)
		for _, f := range append(faults, more...) {
			t.Errorf("docs/%s: %s", name, f)
		}
		commands, texts = commands+ran, texts+parsed
	}
	if commands < 10 || texts < 3 {
		t.Errorf("%d blocks of commands and %d of TOML were found; want at least 10 and 3", commands, texts)
	}
	t.Run("broken", func(t *testing.T) { brokenPages(t, e) })
}

// Guards against checks that cannot fail.
func brokenPages(t *testing.T, e *env) {
	for name, text := range map[string]string{
		"refused request": "```sh\ncurl -sS -f \"$DAEMON/v1/models\" -H 'Authorization: Bearer wrong'\n```\n",
		"unknown command": "```sh\nazurehatch account vanish\n```\n",
		"unknown flag":    "```sh\nazurehatch fleet status --admin \"$ADMIN\" --token-file \"$TOKEN_FILE\" --wide\n```\n",
		"first of two":    "```sh\nazurehatch account vanish\nazurehatch version\n```\n",
		"no placeholder":  "```sh\ncurl -sS -f \"$SERVER/v1/models\"\n```\n",
		"other command":   "```sh\necho hello\n```\n",
	} {
		if _, faults := e.checkCommands(text); len(faults) != 1 {
			t.Errorf("%s: faults %q, want one", name, faults)
		}
	}
	for name, text := range map[string]string{
		"unknown key of settings": "```toml settings\n[instance]\nid = \"a\"\nzone = \"b\"\n```\n",
		"settings without TLS":    "```toml settings\n[instance]\nid = \"a\"\n```\n",
		"unknown key of config":   "```toml config\n[service.chat]\nkind = \"wrong\"\n```\n",
		"no kind":                 "```toml\na = 1\n```\n",
	} {
		if _, faults := checkTOML(text); len(faults) != 1 {
			t.Errorf("%s: faults %q, want one", name, faults)
		}
	}
}
