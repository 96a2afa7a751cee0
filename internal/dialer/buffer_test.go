package dialer

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a kernel that keeps megabytes for each connection whose reader pauses: an
// endpoint that sends without end would take the machine's memory outside of the process.
func TestPausedReaderKeepsLittleInTheKernel(t *testing.T) {
	const most = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var sent atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for block := make([]byte, 64<<10); err == nil; {
			var n int
			n, err = c.Write(block)
			sent.Add(int64(n))
		}
	}()
	c, err := New(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// Steady reading lets the kernel enlarge the buffer.
	read, err := io.CopyN(io.Discard, c, 512<<20)
	if err != nil {
		t.Fatal(err)
	}
	for last := int64(-1); last != sent.Load(); time.Sleep(200 * time.Millisecond) {
		last = sent.Load()
	}
	if kept := sent.Load() - read; kept > most {
		t.Errorf("%d KiB are sent and not read, want at most %d", kept>>10, most>>10)
	}
}
