// Package etcdhttp implements platform.Store with etcd v3's HTTP/JSON API.
//
// All keys have a common prefix, so that the store can be shared with other
// applications. A value is stored in an envelope with its operation ID: a first
// line of "azurehatch/1 " and the quoted operation ID, followed by the value. A
// value without this line, as other tools write it, is returned unchanged and has
// no operation ID. The envelope counts towards platform.MaxValueBytes.
//
// The users' platform is assumed to keep its instance list in the same store, with
// one JSON document per instance under "platform/instances/<id>", outside of the
// prefix. The document has the fields of platform.Instance. An instance that has
// ended has no document.
//
// etcd measures the TTL of a lease in whole seconds; a TTL is rounded up.
package etcdhttp

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Defaults of Options.
const (
	DefaultPrefix         = "azurehatch/"
	DefaultInstancePrefix = "platform/instances/"
	DefaultCallTimeout    = 2 * time.Second
)

const (
	// dialTimeout is shorter than DefaultCallTimeout, so that a call still has
	// time for the next address when the first one drops packets.
	dialTimeout = 500 * time.Millisecond
	// A watch transfers no data while no key changes. With these TCP keep-alive
	// probes a dead peer of its connection is detected within 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleConnsPerAddr is the maximum number of idle connections per address.
	maxIdleConnsPerAddr = 8
)

// Options configure a Store.
type Options struct {
	// Addrs are the base URLs of the store, such as "http://10.0.0.5:2379". A
	// call is sent to the address that was last used successfully. The next one is
	// tried only if the store certainly did not execute the call.
	Addrs []string
	// Prefix is prepended to each key; empty means DefaultPrefix.
	Prefix string
	// InstancePrefix is the prefix of the instance list's keys. Prefix is not
	// prepended to it. Empty means DefaultInstancePrefix.
	InstancePrefix string
	// CallTimeout limits each attempt of a call and the time until a watch is
	// confirmed; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Store is a platform.Store that uses etcd's JSON API. It is safe for concurrent
// use.
type Store struct {
	opts   Options
	client *http.Client
	// currentAddr is the index in opts.Addrs of the address to try first.
	currentAddr atomic.Int64
}

var _ platform.Store = (*Store)(nil)

// New returns a store. It does not connect.
func New(opts Options) (*Store, error) {
	if len(opts.Addrs) == 0 {
		return nil, errors.New("platform store has no address")
	}
	addrs := make([]string, 0, len(opts.Addrs))
	for _, a := range opts.Addrs {
		u, err := url.Parse(a)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, errors.Errorf("platform store address %q is not an http or https URL", a)
		}
		addrs = append(addrs, strings.TrimSuffix(a, "/"))
	}
	opts.Addrs = addrs
	if opts.Prefix == "" {
		opts.Prefix = DefaultPrefix
	}
	if opts.InstancePrefix == "" {
		opts.InstancePrefix = DefaultInstancePrefix
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	return &Store{opts: opts, client: newClient()}, nil
}

func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerAddr,
			IdleConnTimeout:     time.Minute,
		},
		// Following a redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections. Open watches continue until their contexts are
// done.
func (s *Store) Close() { s.client.CloseIdleConnections() }
