package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
)

// applyConfig runs "config apply" with the text of c through daemon d and decodes
// the result.
func (f *fleet) applyConfig(
	d int, token, name string, base uint64, c *config.Config, args ...string,
) (commandResult, admin.EditResult) {
	f.t.Helper()
	file := f.writeFile(name+".toml", string(config.Format(c)))
	args = append([]string{"config", "apply", file, "--base", fmt.Sprint(base), "--reason", name, "--output", "json"}, args...)
	run := f.runCLI(d, token, args...)
	var result admin.EditResult
	if run.code == 0 {
		if err := json.Unmarshal([]byte(run.stdout), &result); err != nil {
			f.t.Fatalf("config apply printed %q: %v", run.stdout, err)
		}
	}
	return run, result
}

// awaitRevision waits until the fleet status of the first daemon shows at least
// this revision for each of the daemons.
func (f *fleet) awaitRevision(revision uint64, daemons ...int) {
	f.t.Helper()
	eventually(f.t, func() error {
		for _, d := range daemons {
			m, err := f.memberStatus(daemons[0], f.daemons[d].id)
			if err != nil {
				return err
			}
			if m.Revision < revision {
				return fmt.Errorf("%s has revision %d, want %d", m.ID, m.Revision, revision)
			}
		}
		return nil
	})
}

// checkRevisionsIncrease checks in the logs that each revision a daemon installed
// is higher than the one before.
func (f *fleet) checkRevisionsIncrease() {
	f.t.Helper()
	for _, d := range f.daemons {
		last := 0.0
		lines := d.logLines("configuration in force")
		if len(lines) == 0 {
			f.t.Errorf("%s logged no installed configuration", d.id)
		}
		for _, line := range lines {
			revision, _ := line["revision"].(float64)
			if revision <= last {
				f.t.Errorf("%s installed revision %v after %v", d.id, revision, last)
			}
			last = revision
		}
	}
}

// configWithWeight returns the initial configuration with the weight of one
// account changed.
func (f *fleet) configWithWeight(account, weight int) *config.Config {
	c := f.initialConfig()
	a := c.Accounts[accountName(account)]
	a.Weight = weight
	c.Accounts[accountName(account)] = a
	return c
}

// applyConcurrently applies two configurations at the same time through daemons
// of two failure domains, as operators of two teams.
func (f *fleet) applyConcurrently(
	name string, base uint64, north, south *config.Config,
) (runs [2]commandResult, results [2]admin.EditResult) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		runs[0], results[0] = f.applyConfig(0, northToken, name+"-north", base, north)
	}()
	runs[1], results[1] = f.applyConfig(1, southToken, name+"-south", base, south)
	<-done
	return runs, results
}

// Guards against a lost edit when two teams apply changes concurrently, and
// against conflicting edits of one entry of which one is dropped without an error.
func TestTwoTeamsApplyConcurrently(t *testing.T) {
	f := startFleet(t, options{})
	runs, results := f.applyConcurrently("merge", 1, f.configWithWeight(0, 3), f.configWithWeight(1, 4))
	for i, r := range runs {
		if r.code != 0 {
			t.Fatalf("team %d: exit code %d: %s", i, r.code, r.stderr)
		}
	}
	revision := max(results[0].Revision, results[1].Revision)
	if revision != 3 || results[0].Merged == results[1].Merged {
		t.Errorf("results %+v, want revisions 2 and 3 and only the later one merged", results)
	}
	f.awaitRevision(revision, 0, 1, 2, 3)
	shown := f.runCLI(2, viewerToken, "config", "show")
	c, err := config.Parse("shown", []byte(shown.stdout))
	if err != nil {
		t.Fatal(err)
	}
	if a, b := c.Accounts[accountName(0)].Weight, c.Accounts[accountName(1)].Weight; a != 3 || b != 4 {
		t.Errorf("merged configuration has weights %d and %d, want 3 and 4", a, b)
	}

	runs, results = f.applyConcurrently("conflict", revision, f.configWithWeight(2, 5), f.configWithWeight(2, 6))
	accepted := 0
	for i, r := range runs {
		switch {
		case r.code == 0:
			accepted++
			revision = results[i].Revision
		case r.code != 3 || !strings.Contains(r.stderr, accountName(2)):
			t.Errorf("team %d: exit code %d: %s", i, r.code, r.stderr)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of two conflicting edits were accepted, want 1", accepted)
	}
	f.awaitRevision(revision, 0, 1, 2, 3)
	f.checkRevisionsIncrease()
}

// Guards against a daemon that was paused while the configuration changed and
// afterwards keeps the old revision or passes it on to peers.
func TestDaemonPausedOverAChange(t *testing.T) {
	f := startFleet(t, options{})
	const paused = 3
	f.daemons[paused].signal(t, syscall.SIGSTOP)
	run, result := f.applyConfig(0, northToken, "over-the-pause", 1, f.configWithWeight(0, 7))
	if run.code != 0 {
		t.Fatalf("exit code %d: %s", run.code, run.stderr)
	}
	f.awaitRevision(result.Revision, 0, 1, 2)
	f.daemons[paused].signal(t, syscall.SIGCONT)
	f.awaitRevision(result.Revision, paused)
	// No daemon may revert to the old revision of the daemon that was paused.
	for range 20 {
		for d := range f.daemons {
			if m, err := f.memberStatus(d, f.daemons[d].id); err != nil || m.Revision < result.Revision {
				t.Errorf("%s has revision %d, %v, want %d", f.daemons[d].id, m.Revision, err, result.Revision)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.checkRevisionsIncrease()
}
