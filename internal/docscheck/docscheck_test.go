// Package docscheck tests the documentation for operators and callers: it runs
// the commands of the pages and checks their settings, configurations, metrics,
// alerts and refusals against the code. The package contains only tests.
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

// pages lists the pages under docs that this package checks. internal/config
// checks docs/configuration.md.
var pages = []string{
	"first-steps.md", "refusals.md", "platform-outage.md", "poison-requests.md", "keys-and-certificates.md",
	"metrics.md", "settings.md",
}

// blockTimeout limits the run time of one block of commands.
const blockTimeout = 20 * time.Second

// binDir is the directory of the azurehatch binary that TestMain builds.
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

// block is a fenced code block of a page.
type block struct {
	// info is the text after the opening fence, such as "sh" or "toml config".
	info, text string
	// line is the line number of the opening fence, from 1.
	line int
}

var fencedBlock = regexp.MustCompile("(?ms)^```([^\n]*)\n(.*?)^```$")

func parseBlocks(page string) []block {
	var list []block
	for _, m := range fencedBlock.FindAllStringSubmatchIndex(page, -1) {
		list = append(list, block{info: page[m[2]:m[3]], text: page[m[4]:m[5]], line: 1 + strings.Count(page[:m[0]], "\n")})
	}
	return list
}

func readFile(t *testing.T, elem ...string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(append([]string{"..", ".."}, elem...)...))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// env is a development fleet with the environment variables that the pages use as
// placeholders.
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
		"TOKEN_FILE="+e.writeFile(t, "token", dev.OperatorToken), "BILLING_FILE="+e.writeFile(t, "billing", dev.BillingToken))
	return e
}

func (e *env) writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(e.dir, name)
	if err := os.WriteFile(path, []byte(content+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runShell runs commands in a shell that stops at the first failing command or
// unset variable, and returns their combined output.
func (e *env) runShell(commands string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), blockTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-e", "-u", "-c", commands)
	cmd.Env, cmd.Dir, cmd.WaitDelay = e.vars, e.dir, time.Second
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// runnable reports whether the block contains commands that this package runs.
func (b block) runnable() bool {
	return b.info == "sh" && (strings.HasPrefix(b.text, "azurehatch ") || strings.HasPrefix(b.text, "curl "))
}

// checkCommands runs the command blocks of a page and returns a fault for each
// block that fails or that is not runnable.
func (e *env) checkCommands(page string) (ran int, faults []string) {
	for _, b := range parseBlocks(page) {
		if b.info == "sh" && !b.runnable() {
			faults = append(faults, fmt.Sprintf("line %d: command block starts with neither azurehatch nor curl", b.line))
		}
		if !b.runnable() {
			continue
		}
		ran++
		if out, err := e.runShell(b.text); err != nil {
			faults = append(faults, fmt.Sprintf("line %d: %v\n%s", b.line, err, out))
		}
	}
	return ran, faults
}

// checkTOML parses the blocks that hold settings or a configuration, and returns a
// fault for each invalid one.
func checkTOML(page string) (parsed int, faults []string) {
	for _, b := range parseBlocks(page) {
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

// Guards against pages with commands that fail, or with invalid settings or
// configurations.
func TestPages(t *testing.T) {
	e := newEnv(t, "maracas")
	commandBlocks, tomlBlocks := 0, 0
	for _, name := range pages {
		page := readFile(t, "docs", name)
		ran, faults := e.checkCommands(page)
		parsed, tomlFaults := checkTOML(page)
		for _, f := range append(faults, tomlFaults...) {
			t.Errorf("docs/%s: %s", name, f)
		}
		commandBlocks, tomlBlocks = commandBlocks+ran, tomlBlocks+parsed
	}
	if commandBlocks < 10 || tomlBlocks < 3 {
		t.Errorf("found %d command blocks and %d TOML blocks, want at least 10 and 3", commandBlocks, tomlBlocks)
	}
	t.Run("broken", func(t *testing.T) { brokenPages(t, e) })
}

// brokenPages guards against checks that accept invalid pages.
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
			t.Errorf("%s: faults %q, want exactly one", name, faults)
		}
	}
	for name, text := range map[string]string{
		"unknown key of settings": "```toml settings\n[instance]\nid = \"a\"\nzone = \"b\"\n```\n",
		"settings without TLS":    "```toml settings\n[instance]\nid = \"a\"\n```\n",
		"unknown key of config":   "```toml config\n[service.chat]\nkind = \"wrong\"\n```\n",
		"no kind":                 "```toml\na = 1\n```\n",
	} {
		if _, faults := checkTOML(text); len(faults) != 1 {
			t.Errorf("%s: faults %q, want exactly one", name, faults)
		}
	}
}
