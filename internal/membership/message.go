package membership

import (
	"math/bits"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Heartbeat goes to members of the same failure domain. It carries the
	// digest of that failure domain and is a sign of life of each member in it.
	Heartbeat Kind = iota
	// Exchange goes from a representative to a member of another failure domain
	// and carries the digest of the sender's failure domain.
	Exchange
	// Changes carries new changes without waiting for the next heartbeat. It is
	// retransmitted until acknowledged.
	Changes
	// Ack acknowledges the Changes with the same Seq.
	Ack
	// Probe asks the receiver to ping Target on behalf of the sender.
	Probe
	// Ping asks the receiver for a Pong.
	Ping
	// Pong is a sign of life of the sender or, if forwarded by a relay, of the
	// single entry in its digest.
	Pong
	// SyncRequest asks for all members, after the views of two daemons have
	// differed for a while.
	SyncRequest
	// SyncReply answers SyncRequest.
	SyncReply
)

// DigestEntry is the compact state of one member.
type DigestEntry struct {
	// Hash is IDHash of the member's ID.
	Hash        uint32
	Incarnation uint32
	// HeartbeatSeq counts the member's heartbeats. A higher pair of Incarnation
	// and HeartbeatSeq is a sign of life.
	HeartbeatSeq uint32
	Leaving      bool
	Dead         bool
}

// DomainHeartbeat is a counter that rises while the sender's failure domain
// receives messages from another one, at most once per heartbeat interval. A higher
// count is a sign of life of that failure domain.
type DomainHeartbeat struct {
	// Hash is IDHash of the failure domain's name.
	Hash  uint32
	Count uint32
}

// MemberChange reports the state of a daemon.
type MemberChange struct {
	Identity
	Incarnation  uint32
	HeartbeatSeq uint32
	Leaving      bool
	Dead         bool
}

// ListChange reports a change of an instance in the platform's list.
type ListChange struct {
	Instance platform.Instance
	// Version orders the changes of one ID. Of two changes with the same
	// version, the one later in the instance's life cycle wins.
	Version uint32
	Removed bool
}

// Message is a membership message from one daemon to another.
type Message struct {
	Kind Kind
	From Identity
	// To and Addr are the receiver's ID and address; Addr is not transmitted.
	To, Addr     string
	Incarnation  uint32
	HeartbeatSeq uint32
	Leaving      bool
	Digest       []DigestEntry
	Domains      []DomainHeartbeat
	// ViewHash is equal in two daemons that have the same view of the members,
	// and ListHash in two that have the same list.
	ViewHash, ListHash uint64
	// Seq numbers the Changes of one sender. In an Exchange, a value above 0
	// requests a reply.
	Seq     uint64
	Members []MemberChange
	List    []ListChange
	// Target is the member to probe, or the final receiver of relayed Changes.
	// In the Ping and Pong of a probe it is the member that requested the probe.
	Target Identity
}

// Size returns the encoded size of the message in bytes as a protocol buffer:
// strings and messages with a tag and a length, hashes as fixed 32-bit values and
// digests as packed arrays. The benchmarks use it as the cost of a message.
func (m *Message) Size() int {
	size := 2 + m.From.size() + varint(m.Incarnation) + varint(m.HeartbeatSeq) + 4
	if m.Leaving {
		size += 2
	}
	for _, e := range m.Digest {
		size += 4 + varint(e.Incarnation) + varint(e.HeartbeatSeq) + 1
	}
	for _, b := range m.Domains {
		size += 4 + varint(b.Count)
	}
	// Each packed array has a tag and a length.
	size += 4*min(len(m.Digest), 1)*3 + 3*min(len(m.Domains), 1)*2
	if m.ViewHash != 0 {
		size += 18
	}
	if m.Seq != 0 {
		size += 5
	}
	for _, c := range m.Members {
		size += 3 + c.size() + 2 + varint(c.Incarnation) + varint(c.HeartbeatSeq) + 4
	}
	for _, c := range m.List {
		size += 3 + instanceIdentity(c.Instance).size() + 2*2 + len(c.Instance.Role) + len(c.Instance.State) + 4
	}
	if m.Target.ID != "" {
		size += 2 + m.Target.size()
	}
	return size
}

func (i Identity) size() int {
	return 4*2 + len(i.ID) + len(i.Addr) + len(i.Domain) + len(i.Region)
}

func varint(v uint32) int { return (bits.Len32(v|1) + 6) / 7 }
