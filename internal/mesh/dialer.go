package mesh

import "github.com/azurehatch/azurehatch/internal/dialer"

// daemonDialer connects to the mesh listeners of peers.
var daemonDialer = dialer.GRPCOptions{
	FirstBackoff: initialBackoff, MaxBackoff: maxBackoff, ConnectTimeout: exchangeTimeout,
	PingInterval: pingInterval, PingTimeout: pingTimeout, MaxMessageBytes: maxMessageBytes,
	IdleTimeout: idleTimeout, ReadBufferBytes: readBufferBytes,
}
