package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// slowListener accepts connections that write at most bytesPerSecond.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(len(b)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(b)
}

// largeNode is a daemon with a configuration of 240 routes, as on the grown deployments.
type largeNode struct {
	node
	config []byte
}

func (n *largeNode) Items(prefix string) ([]platform.Item, platform.Revision) {
	return []platform.Item{{Key: prefix + "a", Value: n.config, Revision: 3}}, 4
}

func routesText(routes int) string {
	r := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for range routes {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"%06x.example","prefix":"/%08x/","route_type":"streaming",`+
			`"timeout_ms":10000,"target_latency_ms":800,"priority":1,"service":"huvo11a","max_attempts":1,`+
			`"allow_anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":400},`, r.Uint32()>>4, r.Uint32()>>8, r.Uint32())
	}
	return text.String()
}

// Guards against a copy of the configuration that takes longer than its time limit on a
// link that is taken by callers' requests: a daemon used a version for 9.7 s after the next
// one was in force elsewhere.
func TestCopyOverACongestedLink(t *testing.T) {
	n := &largeNode{config: []byte(routesText(240))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.Mesh = New(Options{ID: "busy", Addr: l.Addr().String(), Domain: "z", State: n, Log: zerolog.Nop()})
	n.Serve(slowListener{l, 16 << 10})
	defer n.Close()
	reader := &node{}
	reader.Mesh = New(Options{ID: "reader", Addr: "127.0.0.1:1", Domain: "z", State: reader, Log: zerolog.Nop()})
	defer reader.Close()
	reader.Add(n.Addr, "z")
	start := time.Now()
	items, at, err := reader.FetchItems(n.Addr, "p/")
	if err != nil || len(items) != 1 || string(items[0].Value) != string(n.config) || at != 4 {
		t.Fatalf("%d items at %d after %v: %v; want the %d bytes of the configuration", len(items), at, time.Since(start), err, len(n.config))
	}
}
