// Package dev runs a complete fleet in one process on loopback: daemons and the
// stand-ins of the platform, the engines and a plain service.
package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/daemon"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp"
	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
	standin "github.com/azurehatch/azurehatch/internal/standin/platform"
	"github.com/azurehatch/azurehatch/internal/standin/service"
	"github.com/azurehatch/azurehatch/internal/unit"
)

// Parameters of the stand-ins, and limits of the wait for readiness.
const (
	engineSlots         = 16
	interTokenPerSlot   = 500 * time.Microsecond
	prefillRate         = 20_000 // prompt tokens per second
	loadReportLag       = 2 * time.Second
	plainServiceLatency = 5 * time.Millisecond
	resumeGrace         = 10 * time.Second
	readyTimeout        = 30 * time.Second
	readyPollInterval   = 20 * time.Millisecond
)

// PrepaidTokens is the number of tokens with which each account starts.
const PrepaidTokens = 1_000_000

// Options configure a development fleet.
type Options struct {
	Deployment Deployment
	// Port is the port on which the first daemon serves callers; 0 lets the system
	// choose.
	Port int
	Log  zerolog.Logger
}

// Fleet is a running development fleet.
type Fleet struct {
	Deployment Deployment
	Platform   *standin.Server
	// Store is a connection to the platform's store for use by operators' tools.
	Store    *etcdhttp.Store
	Engines  []*engine.Engine
	Services []*service.Service
	Daemons  []*daemon.Daemon

	platformURL string
	stores      []*etcdhttp.Store
	servers     []*http.Server
}

// Start starts a fleet and returns when its daemons are ready. Close stops it.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Deployment: o.Deployment, Platform: standin.New(standin.Options{})}
	if err := f.start(o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(o Options) error {
	addr, err := f.serveHTTP(f.Platform)
	if err != nil {
		return err
	}
	f.platformURL = "http://" + addr
	if f.Store, err = f.newStore(); err != nil {
		return err
	}
	engines, err := f.startEngines()
	if err != nil {
		return err
	}
	services, err := f.startServices()
	if err != nil {
		return err
	}
	c := f.Deployment.configuration(engines, services)
	if err := c.Validate(); err != nil {
		return errors.Wrap(err, "sample configuration")
	}
	if err := f.topUpBudgets(); err != nil {
		return err
	}
	for i := range f.Deployment.Daemons {
		port := 0
		if i == 0 {
			port = o.Port
		}
		if err := f.startDaemon(i, port, o.Log); err != nil {
			return err
		}
	}
	if err := f.applyConfig(c); err != nil {
		return err
	}
	return f.waitReady()
}

// applyConfig creates the first revision of the configuration through the
// administration API, with the bootstrap token of the daemons' settings.
func (f *Fleet) applyConfig(c *config.Config) error {
	body, err := json.Marshal(admin.EditRequest{Reason: "sample configuration", Text: string(config.Format(c))})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Daemons[0].AdminAddr()+"/v1/configuration",
		bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	req.Header.Set("Authorization", "Bearer "+bootstrapToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("apply configuration: status %d, %s", resp.StatusCode, respBody)
	}
	return nil
}

// waitReady waits until all daemons are ready and each knows all the others.
func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		ready := 0
		for _, d := range f.Daemons {
			if d.Ready() && d.Peers() == len(f.Daemons)-1 {
				ready++
			}
		}
		if ready == len(f.Daemons) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d of %d daemons are ready", ready, len(f.Daemons))
		}
		time.Sleep(readyPollInterval)
	}
}

// newStore connects to the platform's store; Close closes the connection.
func (f *Fleet) newStore() (*etcdhttp.Store, error) {
	store, err := etcdhttp.New(etcdhttp.Options{Addrs: []string{f.platformURL}})
	if err == nil {
		f.stores = append(f.stores, store)
	}
	return store, err
}

// startEngines starts the engines and returns their addresses.
func (f *Fleet) startEngines() ([]string, error) {
	addrs := make([]string, f.Deployment.Engines)
	for i := range addrs {
		id := fmt.Sprintf("engine-%d", i+1)
		e := engine.New(engine.Options{
			ID: id, Domain: f.Deployment.domain(i), Models: []string{f.Deployment.Model}, Slots: engineSlots,
			InterToken: f.Deployment.InterToken, InterTokenPerSlot: interTokenPerSlot, PrefillTokensPerSecond: prefillRate,
			ReportLag: loadReportLag, ResumeGrace: resumeGrace, RefuseStaleOrders: true,
		})
		f.Engines = append(f.Engines, e)
		addr, err := f.serveHTTP(e)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
		f.registerInstance(id, addr, f.Deployment.domain(i), platform.RoleEngine)
	}
	return addrs, nil
}

// startServices starts the endpoints of the plain service and returns their
// addresses.
func (f *Fleet) startServices() ([]string, error) {
	addrs := make([]string, f.Deployment.PlainEndpoints)
	for i := range addrs {
		id := fmt.Sprintf("service-%d", i+1)
		s := service.New(service.Options{
			ID: id, Domain: f.Deployment.domain(i), Latency: plainServiceLatency, ReportLag: loadReportLag,
		})
		f.Services = append(f.Services, s)
		addr, err := f.serveHTTP(s)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
		f.registerInstance(id, addr, f.Deployment.domain(i), platform.RoleService)
	}
	return addrs, nil
}

// registerInstance adds an instance to the platform's instance list.
func (f *Fleet) registerInstance(id, addr, domain string, role platform.Role) {
	f.Platform.Store.SetInstance(platform.Instance{
		ID: id, Addr: addr, Domain: domain, Region: f.Deployment.Name, Role: role, State: platform.InstanceLive,
	})
}

// serveHTTP serves h on a loopback port and returns its address.
func (f *Fleet) serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// topUpBudgets gives each account its prepaid tokens.
func (f *Fleet) topUpBudgets() error {
	accounts := ledger.Accounts{Store: f.Store}
	prepaid := map[string]int64{TrialAccount: trialPrepaidTokens}
	for _, account := range f.Deployment.Accounts {
		prepaid[account] = PrepaidTokens
	}
	for account, tokens := range prepaid {
		id := config.BudgetID(account, budgetName)
		if err := accounts.TopUp(context.Background(), "dev-"+id, id, tokens); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts the i-th daemon with an ID that contains the time.
func (f *Fleet) startDaemon(i, port int, log zerolog.Logger) error {
	s := settings.Default()
	s.Instance = settings.Instance{
		ID: fmt.Sprintf("daemon-%d-%d", i+1, time.Now().UnixNano()), FailureDomain: f.Deployment.domain(i), Region: f.Deployment.Name,
	}
	s.Callers.Listen = fmt.Sprintf("127.0.0.1:%d", port)
	s.Peers.Listen, s.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.PlainText, s.Peers.PlainText, s.Admin.PlainText = true, true, true
	s.Operators.BootstrapToken = hashToken(bootstrapToken)
	s.Shutdown.Announce = unit.Duration{Duration: 200 * time.Millisecond}
	s.Platform.Addresses = []string{f.platformURL}
	store, err := f.newStore()
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Settings: s, Store: daemon.LimitStoreCalls(store, s.Platform), Log: log})
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	f.registerInstance(s.Instance.ID, d.PeersAddr(), s.Instance.FailureDomain, platform.RoleDaemon)
	return nil
}

// CurlCommand returns a shell command that requests a streamed chat completion
// from the first daemon.
func (f *Fleet) CurlCommand() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' `+
		`-d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello words:12"}]}'`,
		f.Daemons[0].CallersAddr(), APIKey(f.Deployment.Accounts[0]), f.Deployment.Model)
}

// Close stops all parts of the fleet without waiting for requests in flight.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Close()
	}
	for _, s := range f.stores {
		s.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.Platform.Close()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
}

// StopDaemon stops the i-th daemon gracefully, as in a planned replacement, and
// removes it from the fleet.
func (f *Fleet) StopDaemon(ctx context.Context, i int) error {
	d := f.Daemons[i]
	f.Daemons = append(f.Daemons[:i:i], f.Daemons[i+1:]...)
	err := d.Stop(ctx)
	f.Platform.Store.RemoveInstance(d.ID())
	return err
}

// KillDaemon stops the i-th daemon without a graceful shutdown, to emulate a crash,
// and removes it from the fleet.
func (f *Fleet) KillDaemon(i int) {
	d := f.Daemons[i]
	f.Daemons = append(f.Daemons[:i:i], f.Daemons[i+1:]...)
	d.Close()
	f.Platform.Store.RemoveInstance(d.ID())
}
