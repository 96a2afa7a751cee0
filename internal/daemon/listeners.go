package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc/credentials"

	"github.com/azurehatch/azurehatch/internal/certs"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = time.Second

// peerCreds holds the credentials of the connections between daemons; they are nil
// for plain text.
type peerCreds struct {
	client, server credentials.TransportCredentials
}

func peerCredentials(l settings.Listener) (peerCreds, error) {
	if !l.TLS() {
		return peerCreds{}, nil
	}
	pair, err := certs.Load(certs.Files{Cert: l.CertFile, Key: l.KeyFile, CA: l.CAFile}, nil)
	if err != nil {
		return peerCreds{}, err
	}
	return peerCreds{client: pair.Credentials(), server: credentials.NewTLS(pair.ServerConfig())}, nil
}

func withTLS(l net.Listener, s settings.Listener) (net.Listener, error) {
	if !s.TLS() {
		return l, nil
	}
	pair, err := certs.Load(certs.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, nil)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, pair.ServerConfig()), nil
}

// adminHandler serves health, metrics and the administration API.
func (d *Daemon) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !d.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", echo.WrapHandler(d.metricsHTTP))
	e.Any("/v1/*", echo.WrapHandler(d.newAdmin()))
	return e
}
