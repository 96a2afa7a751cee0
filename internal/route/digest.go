package route

import (
	"encoding/binary"
	"errors"
	"time"
)

// A digest consists of a header of five bytes (version and hash of the endpoint
// set) and a run-length encoding of the endpoints sorted by failure domain and
// ID: 0 and a count for consecutive endpoints without requests, otherwise one
// byte with the encoded number of requests in the high and the encoded number of
// tokens in the low four bits.

const (
	digestVersion    = 1
	digestHeaderSize = 5
	// defaultDigestLimit is sufficient for a failure domain of 307 endpoints,
	// the target size, including the header.
	defaultDigestLimit = 320
	maxRunLength       = 255
	// messageOverhead is the size of the HTTP/2, gRPC and TCP/IP headers of a
	// digest on an open stream.
	messageOverhead = 80
	// digestBytesPerSecond is the part of a daemon's control traffic of 21 KB/s
	// that digests may use.
	digestBytesPerSecond = 13_000
	minDigestInterval    = 200 * time.Millisecond
	maxDigestInterval    = 2 * time.Second
)

// DigestInterval returns the interval at which a daemon sends digests of the
// given size to each of its peers: 200 ms if that stays within 13 KB/s, and 2 s
// at most.
func DigestInterval(peers, size int) time.Duration {
	perRound := peers * (size + messageOverhead)
	d := time.Duration(float64(perRound) / digestBytesPerSecond * float64(time.Second))
	return min(max(d, minDigestInterval), maxDigestInterval)
}

// Errors of SetPeerDigest.
var (
	// ErrDigestFormat reports a digest that cannot be decoded.
	ErrDigestFormat = errors.New("route: malformed load digest")
	// ErrDigestLayout reports a digest for a different set of endpoints. Such
	// digests are ignored until both daemons have the same set.
	ErrDigestLayout = errors.New("route: load digest for a different endpoint set")
)

// countValues lists the numbers of requests that a digest can represent.
var countValues = [16]int32{0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 16, 20, 28, 40, 60}

const (
	// minTokenValue and tokenValueRatio define the token counts that a digest
	// can represent: code k stands for minTokenValue * 1.75^k tokens, from 16
	// to 70,000.
	minTokenValue   = 16
	tokenValueRatio = 1.75
)

var tokenValues = func() (v [16]int64) {
	x := float64(minTokenValue)
	for k := range v {
		v[k] = int64(x)
		x *= tokenValueRatio
	}
	return v
}()

func encodeCount(n int32) byte {
	for k := 1; k < len(countValues); k++ {
		if n < countValues[k] {
			if n-countValues[k-1] < countValues[k]-n {
				return byte(k - 1)
			}
			return byte(k)
		}
	}
	return byte(len(countValues) - 1)
}

func encodeTokens(n int64) byte {
	for k := 1; k < len(tokenValues); k++ {
		if n < tokenValues[k] {
			if n-tokenValues[k-1] < tokenValues[k]-n {
				return byte(k - 1)
			}
			return byte(k)
		}
	}
	return byte(len(tokenValues) - 1)
}

// AppendDigest appends the digest of this daemon's load to buf, in at most
// limit bytes (0 means 320). If it does not fit, the endpoints with the fewest
// requests are left out.
func (p *Pool) AppendDigest(buf []byte, limit int) []byte {
	if limit <= 0 {
		limit = defaultDigestLimit
	}
	start := len(buf)
	for minRequests := int32(1); ; minRequests *= 2 {
		buf = p.encodeDigest(buf[:start], minRequests)
		if len(buf)-start <= max(limit, digestHeaderSize) || minRequests > 1<<16 {
			return buf
		}
	}
}

func (p *Pool) encodeDigest(buf []byte, minRequests int32) []byte {
	buf = append(buf, digestVersion)
	buf = binary.LittleEndian.AppendUint32(buf, p.layoutHash)
	run := 0
	flush := func() {
		for run > 0 {
			n := min(run, maxRunLength)
			buf = append(buf, 0, byte(n))
			run -= n
		}
	}
	for _, i := range p.layout {
		ep := &p.endpoints[i]
		if ep.ownInFlight < minRequests {
			run++
			continue
		}
		flush()
		buf = append(buf, encodeCount(ep.ownInFlight)<<4|encodeTokens(ep.ownTokens))
	}
	return buf
}

// peerLoad is the last digest of one peer.
type peerLoad struct {
	receivedAt int64
	entries    []peerEntry
}

type peerEntry struct {
	index  int32
	count  int32
	tokens int64
}

func (l *peerLoad) removeEndpoint(i int32) {
	for k := range l.entries {
		if l.entries[k].index == i {
			l.entries[k].count, l.entries[k].tokens = 0, 0
		}
	}
}

// applyPeerLoad adds (sign 1) or subtracts (sign -1) the entries of a peer.
func (p *Pool) applyPeerLoad(l *peerLoad, sign int32) {
	for _, e := range l.entries {
		ep := &p.endpoints[e.index]
		if !ep.inUse {
			continue
		}
		ep.peersInFlight += sign * e.count
		ep.peersTokens += int64(sign) * e.tokens
		p.peersInFlight += int(sign * e.count)
	}
}

// SetPeerDigest replaces the digest of the daemon named peer.
func (p *Pool) SetPeerDigest(now time.Time, peer string, digest []byte) error {
	if len(digest) < digestHeaderSize || digest[0] != digestVersion {
		return ErrDigestFormat
	}
	if binary.LittleEndian.Uint32(digest[1:]) != p.layoutHash {
		return ErrDigestLayout
	}
	l := p.peers[peer]
	if l == nil {
		l = &peerLoad{}
	} else {
		p.applyPeerLoad(l, -1)
	}
	l.receivedAt = now.UnixNano()
	l.entries = l.entries[:0]
	ok := p.decode(l, digest[digestHeaderSize:])
	if !ok {
		delete(p.peers, peer)
		return ErrDigestFormat
	}
	p.peers[peer] = l
	p.applyPeerLoad(l, 1)
	return nil
}

// decode fills l from the body of a digest. It returns false if the body is
// malformed.
func (p *Pool) decode(l *peerLoad, body []byte) bool {
	at := 0
	for k := 0; k < len(body); k++ {
		b := body[k]
		if b == 0 {
			k++
			if k == len(body) || body[k] == 0 {
				return false
			}
			at += int(body[k])
			continue
		}
		if at >= len(p.layout) {
			return false
		}
		l.entries = append(l.entries, peerEntry{index: p.layout[at], count: countValues[b>>4], tokens: tokenValues[b&15]})
		at++
	}
	return at <= len(p.layout)
}

// RemovePeer drops the digest of a peer that has left the fleet.
func (p *Pool) RemovePeer(peer string) {
	if l := p.peers[peer]; l != nil {
		p.applyPeerLoad(l, -1)
		delete(p.peers, peer)
	}
}
