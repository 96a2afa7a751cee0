// Package etcdhttp is a platform.Store over etcd v3's HTTP/JSON API.
//
// All keys carry a prefix, so that the store can be shared. A value is stored
// with its operation id in an envelope: a first line "azurehatch/1 " followed
// by the quoted operation id, then the value itself. A value without that line,
// as another tool writes it, is read whole and has no operation id. The envelope
// counts towards platform.MaxValueBytes.
//
// The users' platform is assumed to keep its instance list in the same store:
// one JSON document for each instance, with the fields of platform.Instance,
// under "platform/instances/<id>" and outside of the prefix. An instance that
// is gone has no document.
//
// etcd counts the life of a lease in whole seconds; a ttl is rounded up.
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
	// dialTimeout is below DefaultCallTimeout, so that a call can still reach
	// the next address when the first one drops packets.
	dialTimeout = 500 * time.Millisecond
	// A watch sends nothing while nothing changes. These probes find within
	// 5 s that the other side of its connection is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// idleConns is the number of idle connections kept for each address.
	maxIdleConnsPerAddr = 8
)

// Options configure a Store.
type Options struct {
	// Addrs are the base URLs of the store, such as "http://10.0.0.5:2379". A
	// call goes to the address that worked last; the next one is tried when
	// the call was certainly not executed.
	Addrs []string
	// Prefix is put before each key; empty means DefaultPrefix.
	Prefix string
	// InstancePrefix is the prefix of the instance list's keys, without
	// Prefix; empty means DefaultInstancePrefix.
	InstancePrefix string
	// CallTimeout limits one attempt of a call, and the start of a watch; 0
	// means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Store is a platform.Store over etcd's JSON API. It is safe for concurrent
// use.
type Store struct {
	opts   Options
	client *http.Client
	// current is the index of the address to use first.
	currentAddr atomic.Int64
}

var _ platform.Store = (*Store)(nil)

// New returns a store. It makes no call.
func New(opts Options) (*Store, error) {
	if len(opts.Addrs) == 0 {
		return nil, errors.New("the platform store has no address")
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
		// A followed redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close releases idle connections. Watches end with their contexts.
func (s *Store) Close() { s.client.CloseIdleConnections() }
