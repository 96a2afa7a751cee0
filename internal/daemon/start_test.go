package daemon

import (
	"net"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// Guards against a failed start that goes on in the background: the daemon would follow the
// store, call its peers and hold its ports without serving.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	missing := filepath.Join(t.TempDir(), "missing.pem")
	broken := settings.Listener{Listen: "127.0.0.1:0", CertFile: missing, KeyFile: missing, CAFile: missing}
	for name, breakListener := range map[string]func(*settings.Settings){
		"admin": func(s *settings.Settings) { s.Admin = broken }, "peers": func(s *settings.Settings) { s.Peers = broken },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		s := settings.Default()
		s.Instance.ID, s.Instance.FailureDomain = "d1", "z1"
		s.Callers = settings.Listener{Listen: l.Addr().String(), PlainText: true}
		s.Peers = settings.Listener{Listen: "127.0.0.1:0", PlainText: true}
		s.Admin = settings.Listener{Listen: "127.0.0.1:0", PlainText: true}
		breakListener(&s)
		_, err = New(Options{Settings: s, Store: memstore.New(nil), Log: zerolog.Nop()})
		if err == nil || !strings.Contains(err.Error(), "missing.pem") {
			t.Fatalf("%s: got %v, want an error that names the missing certificate", name, err)
		}
		again, err := net.Listen("tcp", s.Callers.Listen)
		if err != nil {
			t.Fatalf("%s: the callers' port is still taken: %v", name, err)
		}
		again.Close()
	}
}
