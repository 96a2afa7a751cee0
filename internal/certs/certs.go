// Package certs builds TLS configurations from certificate files and reads the
// files again when they change.
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

// checkInterval is how often a changed file is looked for, at most.
const reloadCheckInterval = 10 * time.Second

// Files names PEM files. CA may be empty.
type Files struct{ Cert, Key, CA string }

// Pair is a certificate that follows its files.
type KeyPair struct {
	files Files
	now   func() time.Time

	mu          sync.Mutex
	cert        *tls.Certificate
	pool        *x509.CertPool
	modTime     time.Time
	lastChecked time.Time
}

// Load reads the files; now may be nil for time.Now.
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
		return errors.Wrapf(err, "read certificate %s", p.files.Cert)
	}
	var pool *x509.CertPool
	if p.files.CA != "" {
		pem, err := os.ReadFile(p.files.CA)
		if err != nil {
			return errors.Wrap(err, "read CA file")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Errorf("%s holds no certificate", p.files.CA)
		}
	}
	p.cert, p.pool, p.modTime, p.lastChecked = &cert, pool, p.latestModTime(), p.now()
	return nil
}

// newest returns the latest modification time of the files.
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

// current returns the certificate and the CA pool, after a look at the files.
// Files that can't be read leave the old ones in use.
func (p *KeyPair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.lastChecked) >= reloadCheckInterval {
		p.lastChecked = p.now()
		if p.latestModTime().After(p.modTime) {
			_ = p.load()
		}
	}
	return p.cert, p.pool
}

// Server returns a configuration for a listener. With a CA, clients need a
// certificate signed by it.
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

// Client returns the present configuration for mutual TLS to a peer. The
// caller sets ServerName to the peer's IP number or name, which the peer's
// certificate must hold. Without a CA no peer is accepted.
func (p *KeyPair) ClientConfig() *tls.Config {
	cert, pool := p.current()
	if pool == nil {
		pool = x509.NewCertPool()
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}

// Credentials returns gRPC credentials that take the present files for each
// new connection.
func (p *KeyPair) Credentials() credentials.TransportCredentials {
	return peerCredentials{TransportCredentials: credentials.NewTLS(p.ServerConfig()), pair: p}
}

// peerCredentials verifies the peer's address against its certificate: gRPC
// sets the name of the configuration to the address that it connects to.
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
