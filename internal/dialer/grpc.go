package dialer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Daemon describes a gRPC connection to another daemon.
type GRPCOptions struct {
	// Creds nil means plain text.
	Creds credentials.TransportCredentials
	// FirstBackoff grows up to MaxBackoff between attempts to connect, each of
	// which gets ConnectTimeout at least.
	FirstBackoff, MaxBackoff, ConnectTimeout time.Duration
	// A half-open connection is noticed by a ping after PingInterval without an
	// answer for PingTimeout.
	PingInterval, PingTimeout time.Duration
	MaxMessageBytes           int
}

// Dial returns a connection to addr, which is made on first use. Neither names
// nor repeats are left to gRPC.
func (d GRPCOptions) Dial(addr string) (*grpc.ClientConn, error) {
	if d.Creds == nil {
		d.Creds = insecure.NewCredentials()
	}
	bo := backoff.DefaultConfig
	bo.BaseDelay, bo.MaxDelay = d.FirstBackoff, d.MaxBackoff
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(d.Creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: d.ConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: d.PingInterval, Timeout: d.PingTimeout}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(d.MaxMessageBytes)),
	)
}
