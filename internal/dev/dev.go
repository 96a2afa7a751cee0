// Package dev runs a whole fleet in one process on loopback: a platform
// stand-in, engines, service endpoints and daemons.
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

// Shape of the development fleet's emulators.
const (
	engineSlots       = 16
	interTokenPerSlot = 500 * time.Microsecond
	prefillRate       = 20_000 // prompt tokens a second
	reportLag         = 2 * time.Second
	serviceLatency    = 5 * time.Millisecond
	resumeGrace       = 10 * time.Second
	readyTimeout      = 30 * time.Second
	readyPoll         = 20 * time.Millisecond
)

// Prepaid is the number of tokens of each account at the start.
const Prepaid = 1_000_000

// Options configure a development fleet.
type Options struct {
	Deployment Deployment
	// Port is the callers' port of the first daemon; 0 lets the system choose.
	Port int
	Log  zerolog.Logger
}

// Fleet is a running development fleet.
type Fleet struct {
	Deployment Deployment
	Platform   *standin.Server
	// Store reaches the platform as an operator's tool does.
	Store    *etcdhttp.Store
	Engines  []*engine.Engine
	Services []*service.Service
	Daemons  []*daemon.Daemon

	platformURL string
	stores      []*etcdhttp.Store
	servers     []*http.Server
}

// Start starts a fleet; Close ends it.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Deployment: o.Deployment, Platform: standin.New(standin.Options{})}
	if err := f.start(o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(o Options) error {
	addr, err := f.listen(f.Platform)
	if err != nil {
		return err
	}
	f.platformURL = "http://" + addr
	if f.Store, err = f.connect(); err != nil {
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
	if err := f.topUp(); err != nil {
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
	return f.awaitReady()
}

// applyConfig makes the first revision through the administration API, with the
// bootstrap token that the daemons' settings name.
func (f *Fleet) applyConfig(c *config.Config) error {
	body, err := json.Marshal(admin.EditRequest{Reason: "sample configuration", Text: string(config.Format(c))})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Daemons[0].AdminAddr()+"/v1/configuration", bytes.NewReader(body))
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("apply configuration: status %d, %s", resp.StatusCode, answer)
	}
	return nil
}

// awaitReady waits until the daemons know each other.
func (f *Fleet) awaitReady() error {
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
		time.Sleep(readyPoll)
	}
}

func (f *Fleet) connect() (*etcdhttp.Store, error) {
	store, err := etcdhttp.New(etcdhttp.Options{Addrs: []string{f.platformURL}})
	if err == nil {
		f.stores = append(f.stores, store)
	}
	return store, err
}

func (f *Fleet) startEngines() ([]string, error) {
	addrs := make([]string, f.Deployment.Engines)
	for i := range addrs {
		id := fmt.Sprintf("engine-%d", i+1)
		e := engine.New(engine.Options{
			ID: id, Domain: f.Deployment.domain(i), Models: []string{f.Deployment.Model}, Slots: engineSlots,
			InterToken: f.Deployment.InterToken, InterTokenPerSlot: interTokenPerSlot, PrefillTokensPerSecond: prefillRate,
			ReportLag: reportLag, ResumeGrace: resumeGrace, RefuseStaleOrders: true,
		})
		f.Engines = append(f.Engines, e)
		addr, err := f.listen(e)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
		f.list(id, addr, f.Deployment.domain(i), platform.RoleEngine)
	}
	return addrs, nil
}

func (f *Fleet) startServices() ([]string, error) {
	addrs := make([]string, f.Deployment.ServiceEndpoints)
	for i := range addrs {
		id := fmt.Sprintf("service-%d", i+1)
		s := service.New(service.Options{ID: id, Domain: f.Deployment.domain(i), Latency: serviceLatency, ReportLag: reportLag})
		f.Services = append(f.Services, s)
		addr, err := f.listen(s)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
		f.list(id, addr, f.Deployment.domain(i), platform.RoleService)
	}
	return addrs, nil
}

func (f *Fleet) list(id, addr, domain string, role platform.Role) {
	f.Platform.Store.SetInstance(platform.Instance{
		ID: id, Addr: addr, Domain: domain, Region: f.Deployment.Name, Role: role, State: platform.InstanceLive,
	})
}

func (f *Fleet) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *Fleet) topUp() error {
	books := ledger.Accounts{Store: f.Store}
	prepaid := map[string]int64{TrialAccount: trialPrepaid}
	for _, account := range f.Deployment.Accounts {
		prepaid[account] = Prepaid
	}
	for account, tokens := range prepaid {
		id := config.BudgetID(account, budgetName)
		if err := books.TopUp(context.Background(), "dev-"+id, id, tokens); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startDaemon(i, port int, log zerolog.Logger) error {
	s := settings.Default()
	s.Instance = settings.Instance{
		ID: fmt.Sprintf("daemon-%d-%d", i+1, time.Now().UnixNano()), FailureDomain: f.Deployment.domain(i), Region: f.Deployment.Name,
	}
	s.Callers.Listen = fmt.Sprintf("127.0.0.1:%d", port)
	s.Peers.Listen, s.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.PlainText, s.Peers.PlainText, s.Admin.PlainText = true, true, true
	s.Operators.BootstrapToken = hashed(bootstrapToken)
	s.Shutdown.Announce = unit.Duration{Duration: 200 * time.Millisecond}
	s.Platform.Addresses = []string{f.platformURL}
	store, err := f.connect()
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Settings: s, Store: daemon.LimitStoreCalls(store, s.Platform), Log: log})
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	f.list(s.Instance.ID, d.PeersAddr(), s.Instance.FailureDomain, platform.RoleDaemon)
	return nil
}

// Curl returns the command that sends a streamed chat completion.
func (f *Fleet) Curl() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' `+
		`-d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello words:12"}]}'`,
		f.Daemons[0].CallersAddr(), Key(f.Deployment.Accounts[0]), f.Deployment.Model)
}

// Close ends the fleet at once.
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

// StopDaemon stops a daemon gracefully, as a planned replacement does.
func (f *Fleet) StopDaemon(ctx context.Context, i int) error {
	d := f.Daemons[i]
	f.Daemons = append(f.Daemons[:i:i], f.Daemons[i+1:]...)
	err := d.Stop(ctx)
	f.Platform.Store.RemoveInstance(d.ID())
	return err
}

// KillDaemon ends a daemon at once, as a crash does.
func (f *Fleet) KillDaemon(i int) {
	d := f.Daemons[i]
	f.Daemons = append(f.Daemons[:i:i], f.Daemons[i+1:]...)
	d.Close()
	f.Platform.Store.RemoveInstance(d.ID())
}
