package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp"
	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/unit"
)

// A fleet has nine processes: the platform, the engines, the plain service and the
// daemons.
const (
	daemonCount     = 4
	engineCount     = 3
	accountCount    = 5
	prepaid         = 1_000_000
	reservationStep = 256 // tokens; settings.Budget.Step of each daemon
	model           = "standin"
	modelService    = "planner"
	plainService    = "stock"
)

// fleetSlots limits concurrent tests to three fleets, which are 27 processes, not
// counting the commands that a test runs.
var fleetSlots = make(chan struct{}, 3)

// Access tokens of the operators.
const (
	bootstrapToken = "e2e-bootstrap"
	northToken     = "e2e-north"
	southToken     = "e2e-south"
	billingToken   = "e2e-billing"
	viewerToken    = "e2e-viewer"
)

// endpoint is a stand-in engine or service.
type endpoint struct {
	*process
	id, addr string
}

// daemon is a daemon process with its failure domain and listen addresses.
type daemon struct {
	*process
	id, domain                        string
	callersAddr, adminAddr, peersAddr string
}

// fleet is the set of processes of a test and the clients to reach them.
type fleet struct {
	t           *testing.T
	dir         string
	platform    *process
	platformURL string
	engines     []*endpoint
	service     *endpoint
	daemons     []*daemon
	store       *etcdhttp.Store
	http        *http.Client
}

// options override the defaults of a fleet.
type options struct {
	engineArgs, serviceArgs []string
	editSettings            func(*settings.Settings)
}

func failureDomainOf(i int) string { return []string{"a", "b"}[i%2] }

func accountName(i int) string { return fmt.Sprintf("account-%d", i+1) }

func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// startFleet starts a fleet and waits until it is ready. It marks the test as
// parallel.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{
		t: t, dir: logDir(t),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: waitTimeout},
	}
	t.Cleanup(f.http.CloseIdleConnections)
	f.platform, f.platformURL = f.startStandin("platform", "platform", "a")
	f.platformURL = "http://" + f.platformURL
	store, err := etcdhttp.New(etcdhttp.Options{Addrs: []string{f.platformURL}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f.store = store
	for i := range engineCount {
		f.engines = append(f.engines, f.startEndpoint("engine", i, platform.RoleEngine, append([]string{
			"--model", model, "--slots", "16", "--inter-token", "3ms", "--inter-token-per-slot", "200us", "--prefill-rate", "20000",
		}, o.engineArgs...)))
	}
	f.service = f.startEndpoint("service", 0, platform.RoleService, o.serviceArgs)
	f.topUpAccounts()
	for i := range daemonCount {
		f.startDaemon(i, o)
	}
	f.bootstrap()
	f.awaitReady()
	return f
}

// logDir returns a new directory for settings and logs. The directory is kept
// after the test if AZUREHATCH_E2E_DIR names its parent.
func logDir(t *testing.T) string {
	parent := os.Getenv("AZUREHATCH_E2E_DIR")
	if parent == "" {
		return t.TempDir()
	}
	dir, err := os.MkdirTemp(parent, t.Name()+"-")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// startStandin starts a stand-in process and returns it with its address.
func (f *fleet) startStandin(kind, id, domain string, args ...string) (*process, string) {
	args = append([]string{"standin", kind, "--listen", "127.0.0.1:0", "--id", id, "--domain", domain}, args...)
	p := startProcess(f.t, f.dir, id, args...)
	return p, p.awaitLog(f.t, "listening")["addr"].(string)
}

func (f *fleet) startEndpoint(kind string, i int, role platform.Role, args []string) *endpoint {
	e := &endpoint{id: fmt.Sprintf("%s-%d", kind, i+1)}
	e.process, e.addr = f.startStandin(kind, e.id, failureDomainOf(i), args...)
	f.registerInstance(e.id, e.addr, failureDomainOf(i), role)
	return e
}

func (f *fleet) startDaemon(i int, o options) {
	d := &daemon{id: fmt.Sprintf("daemon-%d", i+1), domain: failureDomainOf(i)}
	s := settings.Default()
	s.Instance = settings.Instance{ID: d.id, FailureDomain: d.domain, Region: "region"}
	s.Callers.Listen, s.Peers.Listen, s.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.PlainText, s.Peers.PlainText, s.Admin.PlainText = true, true, true
	s.Platform.Addresses = []string{f.platformURL}
	s.Budget.Step = reservationStep
	s.Operators.BootstrapToken = hashSecret(bootstrapToken)
	s.Shutdown.Announce = unit.Duration{Duration: 200 * time.Millisecond}
	if o.editSettings != nil {
		o.editSettings(&s)
	}
	text, err := s.Format()
	if err != nil {
		f.t.Fatal(err)
	}
	file := f.writeFile(d.id+".toml", string(text))
	d.process = startProcess(f.t, f.dir, d.id, "serve", "--settings", file)
	line := d.awaitLog(f.t, "daemon started")
	d.callersAddr, d.adminAddr, d.peersAddr = line["callers"].(string), line["admin"].(string), line["peers"].(string)
	f.registerInstance(d.id, d.peersAddr, d.domain, platform.RoleDaemon)
	f.daemons = append(f.daemons, d)
}

func (f *fleet) writeFile(name, text string) string {
	file := filepath.Join(f.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// registerInstance adds an instance to the platform's list of instances.
func (f *fleet) registerInstance(id, addr, domain string, role platform.Role) {
	f.mustCall(http.MethodPost, f.platformURL+"/admin/instances", platform.Instance{
		ID: id, Addr: addr, Domain: domain, Region: "region", Role: role, State: platform.InstanceLive,
	})
}

// deregisterInstance removes an instance from the platform's list of instances.
func (f *fleet) deregisterInstance(id string) {
	f.mustCall(http.MethodDelete, f.platformURL+"/admin/instances/"+id, nil)
}

// setFaults sets the injected faults of the stand-in at addr, a base URL.
func (f *fleet) setFaults(addr string, faults map[string]any) {
	f.mustCall(http.MethodPut, addr+"/admin/faults", faults)
}

func (f *fleet) topUpAccounts() {
	accounts := ledger.Accounts{Store: f.store}
	for i := range accountCount {
		id := config.BudgetID(accountName(i), "main")
		if err := accounts.TopUp(context.Background(), "start-"+id, id, prepaid); err != nil {
			f.t.Fatal(err)
		}
	}
}

// initialConfig returns the configuration that bootstrap installs.
func (f *fleet) initialConfig() *config.Config {
	c := config.New()
	c.Services[modelService] = config.Service{
		Kind: config.KindModel, Models: []string{model}, MaxOutputTokens: 2048, SlotsPerEndpoint: 16,
		FirstTokenTimeout: unit.Duration{Duration: 2 * time.Second},
	}
	c.Services[plainService] = config.Service{
		Kind: config.KindPlain, PriceTokens: 10, SlotsPerEndpoint: 64, NonIdempotentCalls: []string{"POST /reserve"},
	}
	for i, e := range f.engines {
		c.Endpoints[e.id] = config.Endpoint{Service: modelService, Address: e.addr, Domain: failureDomainOf(i)}
	}
	c.Endpoints[f.service.id] = config.Endpoint{Service: plainService, Address: f.service.addr, Domain: failureDomainOf(0)}
	for i := range accountCount {
		c.Accounts[accountName(i)] = config.Account{Keys: []string{hashSecret("key-" + accountName(i))}, Weight: 1}
		c.Budgets[config.BudgetID(accountName(i), "main")] = config.Budget{}
	}
	c.Operators["north-1"] = config.Operator{Team: "north", Role: config.RoleOperator, Token: hashSecret(northToken)}
	c.Operators["south-1"] = config.Operator{Team: "south", Role: config.RoleOperator, Token: hashSecret(southToken)}
	c.Operators["billing-1"] = config.Operator{Team: "north", Role: config.RoleBilling, Token: hashSecret(billingToken)}
	c.Operators["viewer-1"] = config.Operator{Team: "south", Role: config.RoleViewer, Token: hashSecret(viewerToken)}
	return c
}

// bootstrap installs the first configuration revision, authorized by the bootstrap
// token of the settings.
func (f *fleet) bootstrap() {
	f.t.Helper()
	c := f.initialConfig()
	if err := c.Validate(); err != nil {
		f.t.Fatal(err)
	}
	req := admin.EditRequest{Reason: "first configuration", Text: string(config.Format(c))}
	var result admin.EditResult
	if status, err := f.adminCall(0, bootstrapToken, http.MethodPost, "/v1/configuration", req, &result); err != nil ||
		status != http.StatusOK {
		f.t.Fatalf("installing the first configuration: status %d, %v", status, err)
	}
}

// awaitReady waits until each daemon is ready and reports all daemons as live with
// a configuration.
func (f *fleet) awaitReady() {
	f.t.Helper()
	eventually(f.t, func() error {
		for i, d := range f.daemons {
			if !f.isReady(d) {
				return fmt.Errorf("%s is not ready", d.id)
			}
			status, err := f.fleetStatus(i)
			if err != nil {
				return err
			}
			for _, m := range status.Daemons {
				if m.State != "live" || m.Revision == 0 || len(status.Daemons) != daemonCount {
					return fmt.Errorf("%s reports daemons %+v, want all live with a configuration", d.id, status.Daemons)
				}
			}
		}
		return nil
	})
}

func (f *fleet) isReady(d *daemon) bool {
	resp, err := f.http.Get("http://" + d.adminAddr + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
