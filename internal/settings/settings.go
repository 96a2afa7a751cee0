// Package settings defines the settings of a process. They are read from a TOML file;
// absent keys have defaults and unknown keys are errors.
package settings

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/unit"
)

// Settings holds the settings of a daemon.
type Settings struct {
	Instance  Instance  `toml:"instance" comment:"Who this daemon is. The platform's list must show the same id."`
	Callers   Listener  `toml:"callers" comment:"Listener for callers."`
	Peers     Listener  `toml:"peers" comment:"Listener for other daemons (gRPC)."`
	Admin     Listener  `toml:"admin" comment:"Listener for operators and metrics."`
	Platform  Platform  `toml:"platform" comment:"The platform's key-value store."`
	Limits    Limits    `toml:"limits" comment:"Limits on callers."`
	Budget    Budget    `toml:"budget" comment:"Reservation of tokens."`
	Operators Operators `toml:"operators" comment:"Access to the administration API."`
	Shutdown  Shutdown  `toml:"shutdown" comment:"Graceful shutdown."`
	Log       Log       `toml:"log" comment:"Logs are JSON lines on standard error."`
}

// Instance identifies the daemon.
type Instance struct {
	ID            string `toml:"id" comment:"New for each start of a daemon; the store remembers used ones and a reused one is refused."`
	FailureDomain string `toml:"failure_domain" comment:"Failure domain of this instance."`
	Region        string `toml:"region" comment:"Region that holds the failure domain."`
}

// Listener is an address to listen on, with TLS unless plain text is allowed.
type Listener struct {
	Listen    string `toml:"listen" comment:"IP:port."`
	CertFile  string `toml:"cert_file" comment:"PEM certificate; read again when it changes."`
	KeyFile   string `toml:"key_file" comment:"PEM private key; read again when it changes."`
	CAFile    string `toml:"ca_file" comment:"PEM certificates that clients must be signed by; empty: no client certificate."`
	PlainText bool   `toml:"plain_text" comment:"Allow this listener without TLS; callers and peers then send keys in the clear."`
}

// TLS reports whether the listener uses TLS.
func (l Listener) TLS() bool { return l.CertFile != "" || l.KeyFile != "" }

// Platform configures access to the key-value store.
type Platform struct {
	Addresses      []string      `toml:"addresses" comment:"Base URLs of the store (etcd v3 HTTP/JSON API), tried in turn."`
	Timeout        unit.Duration `toml:"timeout" comment:"Timeout of one call."`
	CallsPerSecond float64       `toml:"calls_per_second" comment:"Most calls a second that this daemon makes to the store."`
}

// Limits holds the limits on callers' requests.
type Limits struct {
	Body          unit.Size     `toml:"body" comment:"Largest request body."`
	Buffers       unit.Size     `toml:"buffers" comment:"Memory of all unfinished answers of endpoints together."`
	HeaderTimeout unit.Duration `toml:"header_timeout" comment:"Longest time for a caller to send the request's headers."`
	BodyTimeout   unit.Duration `toml:"body_timeout" comment:"Longest time for a caller to send the whole request."`
	Request       unit.Duration `toml:"request" comment:"Longest time for a request without a deadline of its own."`
	QueueWait     unit.Duration `toml:"queue_wait" comment:"Longest time that a request waits for admission."`
}

// Budget configures the reservation of tokens.
type Budget struct {
	Step     int64         `toml:"step" comment:"Tokens by which the reservation of a stream is extended."`
	Timeout  unit.Duration `toml:"timeout" comment:"Longest wait for a reservation."`
	FlushMin unit.Duration `toml:"flush_min" comment:"Shortest time between two writes of one budget record."`
}

// Operators configures access to the administration API while the configuration
// has no operators.
type Operators struct {
	BootstrapToken string `toml:"bootstrap_token" comment:"sha256: and the SHA-256 of a token that is accepted while the configuration names no operator."`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	Announce unit.Duration `toml:"announce" comment:"Time between /readyz turning false and the listener closing."`
	Drain    unit.Duration `toml:"drain" comment:"Longest wait for requests in progress."`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level" comment:"debug, info, warn or error."`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Instance: Instance{FailureDomain: "default", Region: "default"},
		Callers:  Listener{Listen: "127.0.0.1:8080"},
		Peers:    Listener{Listen: "127.0.0.1:8081"},
		Admin:    Listener{Listen: "127.0.0.1:8082"},
		Platform: Platform{Addresses: []string{"http://127.0.0.1:2379"}, Timeout: unit.Seconds(2), CallsPerSecond: 50},
		Limits: Limits{
			Body: unit.Size{Bytes: 8 << 20}, Buffers: unit.Size{Bytes: 64 << 20}, HeaderTimeout: unit.Seconds(5), BodyTimeout: unit.Seconds(30),
			Request: unit.Seconds(600), QueueWait: unit.Duration{Duration: 900 * time.Millisecond},
		},
		Budget:   Budget{Step: 256, Timeout: unit.Seconds(2), FlushMin: unit.Seconds(1)},
		Shutdown: Shutdown{Announce: unit.Seconds(2), Drain: unit.Seconds(60)},
		Log:      Log{Level: "info"},
	}
}

// Parse decodes text, with defaults for absent keys, and validates the result. The
// name appears only in errors.
func Parse(name string, text []byte) (Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, describeDecodeError(name, Settings{}, err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, errors.Wrap(err, name)
	}
	return s, nil
}

// Format returns the settings as commented TOML.
func (s Settings) Format() ([]byte, error) {
	var buf bytes.Buffer
	err := toml.NewEncoder(&buf).Encode(s)
	return buf.Bytes(), errors.Wrap(err, "encode settings")
}

// Validate checks the settings and returns the first error.
func (s Settings) Validate() error {
	if s.Instance.ID == "" {
		return errors.New("instance.id is not set")
	}
	if s.Instance.FailureDomain == "" {
		return errors.New("instance.failure_domain is not set")
	}
	if len(s.Platform.Addresses) == 0 {
		return errors.New("platform.addresses is empty")
	}
	listeners := []struct {
		name string
		l    Listener
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"admin", s.Admin}}
	for _, l := range listeners {
		if err := l.l.validate(l.name); err != nil {
			return err
		}
	}
	return s.validateRanges()
}

func (s Settings) validateRanges() error {
	positive := []struct {
		name  string
		value float64
	}{
		{"platform.timeout", s.Platform.Timeout.Seconds()},
		{"platform.calls_per_second", s.Platform.CallsPerSecond},
		{"limits.body", float64(s.Limits.Body.Bytes)},
		{"limits.buffers", float64(s.Limits.Buffers.Bytes)},
		{"limits.header_timeout", s.Limits.HeaderTimeout.Seconds()},
		{"limits.body_timeout", s.Limits.BodyTimeout.Seconds()},
		{"limits.request", s.Limits.Request.Seconds()},
		{"limits.queue_wait", s.Limits.QueueWait.Seconds()},
		{"budget.step", float64(s.Budget.Step)},
		{"budget.timeout", s.Budget.Timeout.Seconds()},
		{"budget.flush_min", s.Budget.FlushMin.Seconds()},
		{"shutdown.drain", s.Shutdown.Drain.Seconds()},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return errors.Errorf("%s must be positive", p.name)
		}
	}
	return nil
}

func (l Listener) validate(name string) error {
	if _, err := netip.ParseAddrPort(l.Listen); err != nil {
		return errors.Errorf("%s.listen: %q is not IP:port", name, l.Listen)
	}
	if (l.CertFile == "") != (l.KeyFile == "") {
		return errors.Errorf("%s: cert_file and key_file go together", name)
	}
	if !l.TLS() && !l.PlainText {
		return errors.Errorf("%s: set cert_file and key_file, or plain_text = true", name)
	}
	return nil
}
