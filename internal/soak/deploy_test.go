package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// deployFile is the part of the deploy file that starts an entry daemon.
type deployFile struct {
	Roles struct {
		Entry struct {
			Run, Template string
			Env           map[string]string
		}
	}
}

func readDeployFile(t *testing.T) (f deployFile, template string) {
	t.Helper()
	text, err := os.ReadFile("../../deploy/system.toml")
	if err == nil {
		err = toml.Unmarshal(text, &f)
	}
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join("../..", f.Roles.Entry.Template))
	if err != nil {
		t.Fatal(err)
	}
	return f, string(content)
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// startDeployed starts a daemon as the deploy file does, with a settings file and the environment, and
// returns its process and what it writes to standard error.
func startDeployed(t *testing.T, f deployFile, settings string, env map[string]string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	args := strings.Fields(f.Roles.Entry.Run)[1:]
	for i, arg := range args {
		if strings.HasPrefix(arg, "/") {
			args[i] = file // the platform's place for the settings
		}
	}
	var errOut bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Env = os.Environ()
	for name, value := range env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	cmd.Stderr = &errOut
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, &errOut
}

// Guards against a template of the deploy file that only some deployments fill in completely: on the others
// no daemon starts. A stand-in of the platform may know plain placeholders only.
func TestDaemonStartsFromTheDeployTemplate(t *testing.T) {
	f, template := readDeployFile(t)
	bed := newTestbed(t, 1, false)
	d := &daemon{}
	for _, addr := range []*string{&d.callerAddr, &d.readyAddr, &d.meshAddr} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	metrics, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	settings := platformtest.Deployment{
		Name: "deployed", Domain: "z0", Callers: d.callerAddr, Ready: d.readyAddr, Mesh: d.meshAddr, Metrics: metrics,
		Store: bed.daemons[0].store.addr(), Seeds: []string{bed.daemons[0].meshAddr},
	}.Fill(template)
	env := make(map[string]string)
	for name, value := range f.Roles.Entry.Env {
		env[name] = placeholder.ReplaceAllString(value, "") // as for a value that a deployment lacks
	}
	_, errOut := startDeployed(t, f, settings, env)
	for deadline := time.Now().Add(10 * time.Second); !isReady(d); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the daemon is not ready after 10 s: %s", errOut)
		}
	}
}

// Guards against a daemon that starts although a placeholder of its settings was not filled in.
func TestUnfilledPlaceholderEndsTheStart(t *testing.T) {
	f, template := readDeployFile(t)
	valid := "[instance]\nname = \"deployed\"\n"
	cases := map[string]struct {
		settings string
		env      map[string]string
		want     string
	}{"template": {template, nil, "settings:"}}
	for name, value := range f.Roles.Entry.Env {
		cases[name] = struct {
			settings string
			env      map[string]string
			want     string
		}{valid, map[string]string{name: value}, strconv.Quote(value)}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cmd, errOut := startDeployed(t, f, c.settings, c.env)
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			select {
			case err := <-ended:
				if err == nil || !strings.Contains(errOut.String(), c.want) {
					t.Errorf("ended with %v and %q, want an error with %q", err, errOut, c.want)
				}
			case <-time.After(10 * time.Second):
				t.Error("the daemon runs")
			}
		})
	}
}
