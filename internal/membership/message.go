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
	// Exchange goes between representatives of two failure domains and carries
	// the digest of the sender's.
	Exchange
	// Changes carries news at once; it is repeated until acknowledged.
	Changes
	// Ack acknowledges the Changes with the same Seq.
	Ack
	// Probe asks the receiver to contact Target for the sender.
	Probe
	// Ping asks the receiver for a Pong.
	Ping
	// Pong is a sign of life of the sender, or of the one entry in its digest
	// if it is passed on by a relay.
	Pong
	// SyncRequest asks for a digest of all members, after the views of two
	// daemons have differed for a while.
	SyncRequest
	// SyncReply answers SyncRequest.
	SyncReply
)

// DigestEntry is the compact state of one member.
type DigestEntry struct {
	// Hash is IDHash of the member's ID.
	Hash        uint32
	Incarnation uint32
	// Beat counts the member's heartbeats; a higher pair of Incarnation and
	// Beat is a sign of life.
	HeartbeatSeq uint32
	Leaving      bool
	Dead         bool
}

// DomainBeat counts the messages that the sender's failure domain has had from
// another one. A higher count is a sign of life of that failure domain.
type DomainHeartbeat struct {
	// Hash is IDHash of the failure domain's name.
	Hash  uint32
	Count uint32
}

// MemberChange is news of a daemon.
type MemberChange struct {
	Identity
	Incarnation  uint32
	HeartbeatSeq uint32
	Leaving      bool
	Dead         bool
}

// ListChange is news of an entry of the platform's list.
type ListChange struct {
	Instance platform.Instance
	// Version orders the changes of one ID. Of two changes with the same
	// version the one nearer to the end of the instance's life counts.
	Version uint32
	Removed bool
}

// Message is what one daemon sends to another.
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
	// ViewHash is equal in two daemons that hold the same of all members, and
	// ListHash in two that hold the same list.
	ViewHash, ListHash uint64
	// Seq numbers the Changes of one sender.
	Seq     uint64
	Members []MemberChange
	List    []ListChange
	// Target is the member to probe, and in the Ping and Pong of a relay the
	// member for which the relay asks.
	Target Identity
}

// Size returns the bytes of the message in protocol buffers: strings and
// messages with a tag and a length, hashes as fixed 32-bit and digests in
// packed arrays. It states the cost that the benchmarks count.
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
