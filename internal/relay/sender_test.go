package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// lateConn returns from each write some time after its bytes were sent, as on a machine that
// is short of processors.
type lateConn struct{ net.Conn }

func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(100 * time.Millisecond)
	return n, err
}

// Guards against a request that counts as not written because its connection breaks, or its
// time is up, before the write of its bytes has returned.
func TestWrittenIsCountedBeforeTheSendFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, keep := range map[string]bool{"connection breaks": false, "attempt is canceled": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 40))
				close(arrived)
				if keep {
					time.Sleep(time.Second)
				}
				c.Close()
			}()
			s := newSender(tally.NoopScope)
			defer s.close()
			for _, transport := range []*http.Transport{s.pooled, s.unpooled} {
				dial := transport.DialContext
				transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					if err == nil {
						c.(*endpointConn).Conn = lateConn{c.(*endpointConn).Conn}
					}
					return c, err
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-arrived
				if keep {
					cancel()
				}
			}()
			defer cancel()
			_, _, err := s.send(ctx, outboundRequest{
				method: http.MethodPost, addr: l.Addr().String(), uri: "/order/x", host: "shop.example", header: http.Header{},
				body: []byte("x"), ownConnection: true,
			})
			var failed *sendError
			if !errors.As(err, &failed) || failed.written == 0 {
				t.Errorf("got %+v, want a failure after written bytes", err)
			}
		})
	}
}
