package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testCA is a certificate authority for tests.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.sign(template, template, nil)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *testCA) sign(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a *testCA) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate for 127.0.0.1 that expires at notAfter.
func (a *testCA) issue(name string, serial int64, notAfter time.Time) Files {
	return a.issueFor(net.IPv4(127, 0, 0, 1), name, serial, notAfter)
}

func (a *testCA) issueFor(ip net.IP, name string, serial int64, notAfter time.Time) Files {
	cert, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{ip},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		Cert: a.write(name+".pem", "CERTIFICATE", cert.Raw), Key: a.write(name+".key", "EC PRIVATE KEY", der),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
}

// handshake connects a client to a server and returns both sides' errors and
// the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, server).Handshake()
	}()
	client.ServerName = "127.0.0.1"
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	serverErr = <-done
	if err != nil {
		return 0, serverErr, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), serverErr, nil
}

func load(t *testing.T, f Files, now func() time.Time) *KeyPair {
	p, err := Load(f, now)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against clients or servers that accept a peer without a valid certificate
// from the fleet's CA.
func TestMutualTLS(t *testing.T) {
	a, other := newTestCA(t), newTestCA(t)
	hour := time.Now().Add(time.Hour)
	good := a.issue("good", 2, hour)
	expired := a.issue("expired", 3, time.Now().Add(-time.Minute))
	foreign := other.issue("foreign", 4, hour)
	server := load(t, good, nil).ServerConfig()
	if _, serr, cerr := handshake(t, server, load(t, good, nil).ClientConfig()); serr != nil || cerr != nil {
		t.Errorf("valid peers: server %v, client %v", serr, cerr)
	}
	for name, f := range map[string]Files{"expired": expired, "foreign": {Cert: foreign.Cert, Key: foreign.Key, CA: good.CA}} {
		if _, serr, _ := handshake(t, server, load(t, f, nil).ClientConfig()); serr == nil {
			t.Errorf("the server accepted the %s client", name)
		}
		if _, _, cerr := handshake(t, load(t, f, nil).ServerConfig(), load(t, good, nil).ClientConfig()); cerr == nil {
			t.Errorf("the client accepted the %s server", name)
		}
	}
	elsewhere := a.issueFor(net.IPv4(10, 9, 9, 9), "elsewhere", 5, hour)
	if _, _, cerr := handshake(t, load(t, elsewhere, nil).ServerConfig(), load(t, good, nil).ClientConfig()); cerr == nil {
		t.Error("the client accepted a certificate for another address")
	}
	if _, serr, _ := handshake(t, server, &tls.Config{InsecureSkipVerify: true}); serr == nil {
		t.Error("the server accepted a client without a certificate")
	}
}

// Guards against gRPC connections that do not verify that the peer's certificate is
// valid for its address.
func TestPeerCredentials(t *testing.T) {
	a := newTestCA(t)
	hour := time.Now().Add(time.Hour)
	good := load(t, a.issue("good", 2, hour), nil)
	elsewhere := load(t, a.issueFor(net.IPv4(10, 9, 9, 9), "elsewhere", 5, hour), nil)
	for _, c := range []struct {
		server *KeyPair
		ok     bool
	}{{good, true}, {elsewhere, false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if secured, _, err := c.server.Credentials().ServerHandshake(conn); err == nil {
				secured.Close()
			}
		}()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = good.Credentials().ClientHandshake(context.Background(), l.Addr().String(), conn)
		if (err == nil) != c.ok {
			t.Errorf("got error %v, want success %v", err, c.ok)
		}
		conn.Close()
		<-done
		l.Close()
	}
}

// Guards against renewed certificates that are not used until a restart, and against
// an invalid file that breaks the listener.
func TestReload(t *testing.T) {
	a := newTestCA(t)
	now := time.Now()
	files := a.issue("server", 2, now.Add(time.Hour))
	p := load(t, files, func() time.Time { return now })
	client := load(t, a.issue("client", 9, now.Add(time.Hour)), nil)
	a.issue("server", 3, now.Add(time.Hour))
	later := now.Add(time.Minute)
	for _, name := range []string{files.Cert, files.Key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(reloadCheckInterval)
	if serial, _, err := handshake(t, p.ServerConfig(), client.ClientConfig()); err != nil || serial != 3 {
		t.Errorf("serial %d, error %v, want the renewed certificate 3", serial, err)
	}
	if err := os.WriteFile(files.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Hour / 2)
	if serial, _, err := handshake(t, p.ServerConfig(), client.ClientConfig()); err != nil || serial != 3 {
		t.Errorf("serial %d, error %v, want certificate 3 to remain in use", serial, err)
	}
}
