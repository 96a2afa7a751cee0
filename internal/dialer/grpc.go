package dialer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// GRPCOptions configures a gRPC connection to another daemon.
type GRPCOptions struct {
	// Creds are the transport credentials; nil means plaintext.
	Creds credentials.TransportCredentials
	// FirstBackoff is the delay after the first failed connection attempt; it grows up
	// to MaxBackoff. ConnectTimeout is the minimum time allowed for an attempt.
	FirstBackoff, MaxBackoff, ConnectTimeout time.Duration
	// PingInterval is the idle time after which a keepalive ping is sent. If it is not
	// answered within PingTimeout, the connection is closed as half-open.
	PingInterval, PingTimeout time.Duration
	MaxMessageBytes           int
	// IdleTimeout is the time without a call after which the connection is closed; the
	// next call opens it again. 0 means gRPC's default of 30 minutes.
	IdleTimeout time.Duration
	// Wrap, if not nil, wraps each new connection. gRPC sets TCP_USER_TIMEOUT, to PingTimeout, only
	// on a *net.TCPConn, so these connections are opened by the package's own dialer.
	Wrap func(net.Conn) net.Conn
	// ReadBufferBytes is the size of the read buffer; 0 means gRPC's default of 32 KiB.
	ReadBufferBytes int
}

// Dial returns a connection to addr, which is established on first use. gRPC's name
// resolution, service configuration and retries are disabled.
func (d GRPCOptions) Dial(addr string) (*grpc.ClientConn, error) {
	if d.Creds == nil {
		d.Creds = insecure.NewCredentials()
	}
	bo := backoff.DefaultConfig
	bo.BaseDelay, bo.MaxDelay = d.FirstBackoff, d.MaxBackoff
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.Creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: d.ConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: d.PingInterval, Timeout: d.PingTimeout}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(d.MaxMessageBytes)),
	}
	if d.IdleTimeout > 0 {
		options = append(options, grpc.WithIdleTimeout(d.IdleTimeout))
	}
	if d.ReadBufferBytes > 0 {
		options = append(options, grpc.WithReadBufferSize(d.ReadBufferBytes))
	}
	if d.Wrap != nil {
		dialer := New(0) // ctx bounds the attempt
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return d.Wrap(conn), nil
		}))
	}
	return grpc.NewClient("passthrough:///"+addr, options...)
}
