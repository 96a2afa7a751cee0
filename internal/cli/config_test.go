package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// fakeBackend is a fake of the accounts and the fleet behind the administration API.
type fakeBackend struct{}

func (fakeBackend) Account(_ context.Context, name string) (admin.Account, error) {
	if name != "acme" {
		return admin.Account{}, platform.ErrNotFound
	}
	return admin.Account{Name: name, Weight: 1, Budgets: []admin.Budget{{Name: "main", Prepaid: 5, Available: 5}}}, nil
}
func (f fakeBackend) List(ctx context.Context) ([]admin.Account, error) {
	a, err := f.Account(ctx, "acme")
	return []admin.Account{a}, err
}
func (fakeBackend) TopUp(_ context.Context, t admin.TopUp) (admin.Budget, error) {
	return admin.Budget{Name: t.Budget, Prepaid: t.Tokens, Available: t.Tokens}, nil
}
func (fakeBackend) HasSpend(string) bool { return false }
func (fakeBackend) Status(context.Context) (admin.FleetStatus, error) {
	return admin.FleetStatus{Daemons: []admin.Daemon{{ID: "d1", Domain: "a", State: "live", Revision: 1}}}, nil
}

const sampleConfig = `# revision 0
[service.s]
kind = "plain"
[endpoint.e1]
service = "s"
address = "127.0.0.1:9001"
domain = "a"
[account.acme]
`

// tokenHash is the SHA-256 of "token".
const tokenHash = "sha256:3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

// Guards against commands that do not call the API, do not print its result or
// return the wrong exit code when it refuses.
func TestAdministrationCommands(t *testing.T) {
	var current *config.Config
	api := admin.New(admin.Options{Store: memstore.New(nil), Accounts: fakeBackend{}, Fleet: fakeBackend{},
		Config: func() *config.Config { return current }, BootstrapToken: tokenHash, Log: zerolog.Nop()})
	server := httptest.NewServer(api)
	defer server.Close()
	t.Setenv("AZUREHATCH_ADMIN", server.URL)
	t.Setenv(tokenEnv, "token")
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", sampleConfig)
	heavier := write("heavier.toml", strings.Replace(sampleConfig, "[account.acme]", "[account.acme]\nweight = 2", 1))
	drained := write("drained.toml", "# revision 1\n")
	bad := write("bad.toml", "[service.s]\nkind = \"plan\"\n")
	wrong := write("token", "wrong\n")
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"config check " + good, ExitOK, "valid"},
		{"config check " + bad, ExitUsage, `bad.toml:2:1: service.s.kind: value "plan" is not one of model, plain (did you mean "plain"?)`},
		{"config check --output json " + bad, ExitUsage, `"nearest": "plain"`},
		{"config apply --reason setup " + good, ExitOK, "accepted as revision 1"},
		{"config apply --reason again --base 1 " + good, ExitOK, "no change"},
		{"config show", ExitOK, "# revision 1\n[service.s]"},
		{"config diff " + heavier, ExitOK, "changed account acme\n  weight: \"\" -> \"2\""},
		{"config apply --reason heavier --base 1 " + heavier, ExitOK, "accepted as revision 2"},
		{"config apply --reason heavier --base 1 --output json " + heavier, ExitOK, `"unchanged": true`},
		{"config apply --reason x " + drained, ExitConflict, "both edits change the same entry: account acme"},
		{"config rollback --reason undo --base 1 --to 1", ExitConflict, "revision 1 is not the newest"},
		{"config rollback --reason undo --base 2 --to 1", ExitOK, "accepted as revision 3"},
		{"config history", ExitOK, "content of revision 1"},
		{"audit --kind config.rollback --result done", ExitOK, "undo"},
		{"account list", ExitOK, "main"},
		{"account show acme", ExitOK, "acme"},
		{"account show none", ExitFailure, "key not found"},
		{"account topup --reason invoice acme main 7", ExitDenied, "role operator does not allow this"},
		{"fleet status", ExitOK, "d1"},
		{"fleet status --output json", ExitOK, `"revision": 1`},
		{"fleet status --token-file " + wrong, ExitDenied, "valid operator token"},
		{"fleet status --admin http://127.0.0.1:1", ExitUnavailable, "refused"},
		{"config apply --reason x --allow nothing " + good, ExitUsage, "nothing"},
	} {
		var out bytes.Buffer
		code := Main(strings.Fields(test.args), &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%s: exit code %d, want %d; output lacks %q:\n%s", test.args, code, test.code, test.want, out.String())
		}
	}
}
