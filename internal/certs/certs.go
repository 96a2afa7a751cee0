// Package certs builds TLS configurations from certificate files and reads the
// files again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is how often a changed file is looked for, at most.
const checkInterval = 10 * time.Second

// Files names PEM files. CA may be empty.
type Files struct{ Cert, Key, CA string }

// Pair is a certificate that follows its files.
type Pair struct {
	files Files
	now   func() time.Time

	mu       sync.Mutex
	cert     *tls.Certificate
	pool     *x509.CertPool
	modified time.Time
	checked  time.Time
}

// Load reads the files; now may be nil for time.Now.
func Load(f Files, now func() time.Time) (*Pair, error) {
	if now == nil {
		now = time.Now
	}
	p := &Pair{files: f, now: now}
	return p, p.read()
}

func (p *Pair) read() error {
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
	p.cert, p.pool, p.modified, p.checked = &cert, pool, p.newest(), p.now()
	return nil
}

// newest returns the latest modification time of the files.
func (p *Pair) newest() time.Time {
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
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.checked) >= checkInterval {
		p.checked = p.now()
		if p.newest().After(p.modified) {
			_ = p.read()
		}
	}
	return p.cert, p.pool
}

// Server returns a configuration for a listener. With a CA, clients need a
// certificate signed by it.
func (p *Pair) Server() *tls.Config {
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

// Client returns a configuration for mutual TLS to other daemons, which are
// addressed by IP number and verified against the CA.
func (p *Pair) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// The chain is verified below against the CA in force now; RootCAs
		// could not follow a changed file.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verify,
	}
}

func (p *Pair) verify(s tls.ConnectionState) error {
	_, pool := p.current()
	if pool == nil {
		return errors.New("no CA file is set, so the peer can't be verified")
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, CurrentTime: p.now(),
		DNSName: s.ServerName, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
