// Package dialer makes TCP connections that end when their other side falls
// silent: without a reset, only a timeout of one's own shows that. It also opens
// the gRPC connections between daemons.
package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeout ends a connection whose data is not acknowledged. Together with
// keepAlive it bounds the life of a silent connection to about three seconds.
const userTimeout = 3 * time.Second

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// New returns a dialer that gives up a connection attempt after timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// setUserTimeout makes the kernel break a connection that stays silent.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket control")
	}
	return errors.Wrap(opt, "set TCP_USER_TIMEOUT")
}
