package settings

import (
	"bytes"
	"math"
	"net/netip"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/unit"
)

// Front holds the settings of an entry daemon on the users' platform.
type Front struct {
	Instance FrontInstance `toml:"instance" comment:"Who this daemon is."`
	Listen   FrontListen   `toml:"listen" comment:"Addresses to listen on, IP:port."`
	Store    FrontStore    `toml:"store" comment:"The platform's metadata store."`
	Machine  Machine       `toml:"machine" comment:"What the daemon may use."`
	Bounds   Bounds        `toml:"bounds" comment:"Bounds that the deployment sets."`
	Pace     Pace          `toml:"pace" comment:"Endpoints that have just started or come back."`
	Log      Log           `toml:"log" comment:"Logs are JSON lines on standard output."`
}

// FrontInstance identifies the daemon.
type FrontInstance struct {
	Name          string `toml:"name" comment:"Name of the instance; each start of the daemon gets an id of its own."`
	FailureDomain string `toml:"failure_domain" comment:"Failure domain of this instance."`
	Region        string `toml:"region" comment:"Region that holds the failure domain."`
	// Regions holds the region of each failure domain of the deployment.
	Regions    map[string]string `toml:"regions" comment:"Region of each failure domain, for routes and accounts that are bound to regions."`
	FirstStart bool              `toml:"first_start" comment:"True if the whole fleet starts for the first time."`
}

// FrontListen holds the addresses that the daemon listens on, and those of peers to
// join.
type FrontListen struct {
	Callers string   `toml:"callers" comment:"For callers."`
	Ready   string   `toml:"ready" comment:"For the readiness probe."`
	Mesh    string   `toml:"mesh" comment:"For the other daemons (gRPC)."`
	Metrics string   `toml:"metrics" comment:"For metrics; empty: none."`
	Seeds   []string `toml:"seeds" comment:"Mesh addresses of some other daemons; may be stale."`
}

// FrontStore locates the metadata store.
type FrontStore struct {
	Address string `toml:"address" comment:"IP:port of the store."`
}

// Machine holds the resource limits of the process.
type Machine struct {
	Memory unit.Size `toml:"memory" comment:"Memory of the process."`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s in each direction; 0 if unknown.
	LinkMbps float64 `toml:"link_mbps" comment:"Bandwidth of the machine's link in Mbit/s; 0: unknown."`
}

// Bounds holds the limits that the deployment sets.
type Bounds struct {
	RetryRatio  float64       `toml:"retry_ratio" comment:"Repeats to a service over its requests, in each retry window."`
	RetrySlack  float64       `toml:"retry_slack" comment:"Repeats beyond the ratio, for the whole fleet."`
	RetryWindow unit.Duration `toml:"retry_window" comment:"Length of a retry window."`
	Grace       unit.Duration `toml:"grace" comment:"Time from SIGTERM to SIGKILL."`
	// Configuration is the time in which a change must be in force.
	Configuration unit.Duration `toml:"configuration" comment:"Time in which a change of the configuration must be in force. A daemon that has known for half of it that it lacks a newer one refuses requests."`
	Draining      unit.Duration `toml:"draining" comment:"Time in which all daemons must know of an endpoint that leaves."`
	Evacuation    unit.Duration `toml:"evacuation" comment:"Time after which no endpoint of an evacuated failure domain gets requests any more."`
	// ColdRatio and ColdSlack bound the requests that a cold endpoint gets in one second from all
	// daemons: its rate times ColdRatio plus ColdSlack.
	ColdRatio float64 `toml:"cold_ratio" comment:"Requests to a cold endpoint in one second over the rate that it takes."`
	ColdSlack float64 `toml:"cold_slack" comment:"Requests beyond that ratio in one second."`
}

// Pace holds the settings of the pace at which endpoints that come back get requests.
type Pace struct {
	Enabled bool `toml:"enabled" comment:"Send requests to an endpoint that has just started or come back at the pace at which it answers in time."`
}

// DefaultFront returns the default settings.
func DefaultFront() Front {
	return Front{
		Instance: FrontInstance{FailureDomain: "default", Region: "default"},
		Listen:   FrontListen{Callers: "127.0.0.1:8080", Ready: "127.0.0.1:8082", Mesh: "127.0.0.1:8081", Seeds: []string{}},
		Store:    FrontStore{Address: "127.0.0.1:2380"},
		Machine:  Machine{Memory: unit.Size{Bytes: 256 << 20}},
		Bounds:   Bounds{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: unit.Seconds(10), Grace: unit.Seconds(8), Configuration: unit.Seconds(3), Draining: unit.Seconds(2), Evacuation: unit.Seconds(5), ColdRatio: 1},
		Log:      Log{Level: "info"},
	}
}

// ParseFront decodes text, with defaults for absent keys, and validates the result.
// The name appears only in errors.
func ParseFront(name string, text []byte) (Front, error) {
	s := DefaultFront()
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Front{}, describeDecodeError(name, Front{}, err)
	}
	return s, errors.Wrap(s.validate(), name)
}

// Format returns the settings as commented TOML.
func (s Front) Format() ([]byte, error) {
	var buf bytes.Buffer
	err := toml.NewEncoder(&buf).Encode(s)
	return buf.Bytes(), errors.Wrap(err, "encode settings")
}

func (s Front) validate() error {
	if s.Instance.Name == "" {
		return errors.New("instance.name is not set")
	}
	for _, p := range []struct {
		name  string
		value float64
	}{
		{"machine.link_mbps", s.Machine.LinkMbps}, {"bounds.cold_ratio", s.Bounds.ColdRatio}, {"bounds.cold_slack", s.Bounds.ColdSlack},
	} {
		if !(p.value >= 0) || math.IsInf(p.value, 0) { // TOML knows nan and inf
			return errors.Errorf("%s must be a number that is not negative", p.name)
		}
	}
	if s.Instance.FailureDomain == "" {
		return errors.New("instance.failure_domain is not set")
	}
	addresses := []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.mesh", s.Listen.Mesh},
		{"store.address", s.Store.Address},
	}
	if s.Listen.Metrics != "" {
		addresses = append(addresses, struct{ name, value string }{"listen.metrics", s.Listen.Metrics})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("%s: %q is not IP:port", a.name, a.value)
		}
	}
	for _, p := range []struct {
		name  string
		value float64
	}{
		{"machine.memory", float64(s.Machine.Memory.Bytes)}, {"bounds.retry_window", s.Bounds.RetryWindow.Seconds()},
		{"bounds.grace", s.Bounds.Grace.Seconds()}, {"bounds.configuration", s.Bounds.Configuration.Seconds()},
		{"bounds.draining", s.Bounds.Draining.Seconds()}, {"bounds.evacuation", s.Bounds.Evacuation.Seconds()},
	} {
		if p.value <= 0 {
			return errors.Errorf("%s must be positive", p.name)
		}
	}
	return nil
}
