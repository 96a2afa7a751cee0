// Package certs builds TLS configurations from certificate files and reloads the
// files when they change.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
)

// reloadCheckInterval is the minimum time between checks for changed files.
const reloadCheckInterval = 10 * time.Second

// Files holds the paths of PEM files. CA is optional.
type Files struct{ Cert, Key, CA string }

// KeyPair is a certificate with its private key and optional CA pool, which is
// reloaded when its files change.
type KeyPair struct {
	files Files
	now   func() time.Time

	mu          sync.Mutex
	cert        *tls.Certificate
	caPool      *x509.CertPool
	modTime     time.Time
	lastChecked time.Time
}

// Load reads the files. now is the clock; nil means time.Now.
func Load(f Files, now func() time.Time) (*KeyPair, error) {
	if now == nil {
		now = time.Now
	}
	p := &KeyPair{files: f, now: now}
	return p, p.load()
}

func (p *KeyPair) load() error {
	cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", p.files.Cert)
	}
	var pool *x509.CertPool
	if p.files.CA != "" {
		pem, err := os.ReadFile(p.files.CA)
		if err != nil {
			return errors.Wrap(err, "read CA file")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Errorf("CA file %s contains no certificate", p.files.CA)
		}
	}
	p.cert, p.caPool, p.modTime, p.lastChecked = &cert, pool, p.latestModTime(), p.now()
	return nil
}

// latestModTime returns the latest modification time of the files.
func (p *KeyPair) latestModTime() time.Time {
	var t time.Time
	for _, name := range []string{p.files.Cert, p.files.Key, p.files.CA} {
		if name == "" {
			continue
		}
		if st, err := os.Stat(name); err == nil && st.ModTime().After(t) {
			t = st.ModTime()
		}
	}
	return t
}

// current returns the certificate and the CA pool, reloading them first if the
// files changed. If that fails, the previous ones remain in use.
func (p *KeyPair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.lastChecked) >= reloadCheckInterval {
		p.lastChecked = p.now()
		if p.latestModTime().After(p.modTime) {
			_ = p.load()
		}
	}
	return p.cert, p.caPool
}

// ServerConfig returns a configuration for a listener. If there is a CA, clients must
// present a certificate signed by it.
func (p *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns a configuration for mutual TLS with a peer, using the current
// certificate. The caller sets ServerName to the peer's IP address or name, for which
// the peer's certificate must be valid. Without a CA, no peer is accepted.
func (p *KeyPair) ClientConfig() *tls.Config {
	cert, pool := p.current()
	if pool == nil {
		pool = x509.NewCertPool()
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}

// Credentials returns gRPC credentials that use the current certificate for each
// new connection.
func (p *KeyPair) Credentials() credentials.TransportCredentials {
	return peerCredentials{TransportCredentials: credentials.NewTLS(p.ServerConfig()), pair: p}
}

// peerCredentials creates the client configuration anew for each handshake. The
// peer's certificate must be valid for the address that is connected to, which gRPC
// sets as the ServerName.
type peerCredentials struct {
	credentials.TransportCredentials
	pair *KeyPair
}

// ClientHandshake implements credentials.TransportCredentials.
func (c peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.pair.ClientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c peerCredentials) Clone() credentials.TransportCredentials {
	return peerCredentials{TransportCredentials: c.TransportCredentials.Clone(), pair: c.pair}
}
