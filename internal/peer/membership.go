package peer

import (
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/peer/peerpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func identityToProto(i membership.Identity) *peerpb.Identity {
	if i == (membership.Identity{}) {
		return nil
	}
	return &peerpb.Identity{Id: i.ID, Addr: i.Addr, Domain: i.Domain, Region: i.Region}
}

func identityFromProto(i *peerpb.Identity) membership.Identity {
	return membership.Identity{ID: i.GetId(), Addr: i.GetAddr(), Domain: i.GetDomain(), Region: i.GetRegion()}
}

func digestToProto(d membership.DigestEntry) *peerpb.DigestEntry {
	return &peerpb.DigestEntry{Hash: d.Hash, Incarnation: d.Incarnation, Beat: d.HeartbeatSeq, Leaving: d.Leaving, Dead: d.Dead}
}

func digestFromProto(d *peerpb.DigestEntry) membership.DigestEntry {
	return membership.DigestEntry{
		Hash: d.GetHash(), Incarnation: d.GetIncarnation(), HeartbeatSeq: d.GetBeat(), Leaving: d.GetLeaving(), Dead: d.GetDead(),
	}
}

func domainToProto(d membership.DomainHeartbeat) *peerpb.DomainBeat {
	return &peerpb.DomainBeat{Hash: d.Hash, Count: d.Count}
}

func domainFromProto(d *peerpb.DomainBeat) membership.DomainHeartbeat {
	return membership.DomainHeartbeat{Hash: d.GetHash(), Count: d.GetCount()}
}

func changeToProto(c membership.MemberChange) *peerpb.MemberChange {
	return &peerpb.MemberChange{
		Identity: identityToProto(c.Identity), Incarnation: c.Incarnation, Beat: c.HeartbeatSeq, Leaving: c.Leaving, Dead: c.Dead,
	}
}

func changeFromProto(c *peerpb.MemberChange) membership.MemberChange {
	return membership.MemberChange{
		Identity: identityFromProto(c.GetIdentity()), Incarnation: c.GetIncarnation(), HeartbeatSeq: c.GetBeat(),
		Leaving: c.GetLeaving(), Dead: c.GetDead(),
	}
}

func listToProto(c membership.ListChange) *peerpb.ListChange {
	in := c.Instance
	return &peerpb.ListChange{
		Id: in.ID, Addr: in.Addr, Domain: in.Domain, Region: in.Region, Role: string(in.Role), State: string(in.State),
		Version: c.Version, Gone: c.Removed,
	}
}

func listFromProto(c *peerpb.ListChange) membership.ListChange {
	return membership.ListChange{
		Instance: platform.Instance{
			ID: c.GetId(), Addr: c.GetAddr(), Domain: c.GetDomain(), Region: c.GetRegion(),
			Role: platform.Role(c.GetRole()), State: platform.InstanceState(c.GetState()),
		},
		Version: c.GetVersion(), Removed: c.GetGone(),
	}
}

func gossipToProto(m membership.Message) *peerpb.GossipMessage {
	return &peerpb.GossipMessage{
		Kind: uint32(m.Kind), From: identityToProto(m.From), To: m.To, Incarnation: m.Incarnation, Beat: m.HeartbeatSeq,
		Leaving: m.Leaving, Digest: mapSlice(m.Digest, digestToProto), Domains: mapSlice(m.Domains, domainToProto),
		ViewHash: m.ViewHash, ListHash: m.ListHash, Seq: m.Seq, Members: mapSlice(m.Members, changeToProto),
		List: mapSlice(m.List, listToProto), Target: identityToProto(m.Target),
	}
}

func gossipFromProto(m *peerpb.GossipMessage) membership.Message {
	return membership.Message{
		Kind: membership.Kind(m.GetKind()), From: identityFromProto(m.GetFrom()), To: m.GetTo(),
		Incarnation: m.GetIncarnation(), HeartbeatSeq: m.GetBeat(), Leaving: m.GetLeaving(),
		Digest: mapSlice(m.GetDigest(), digestFromProto), Domains: mapSlice(m.GetDomains(), domainFromProto),
		ViewHash: m.GetViewHash(), ListHash: m.GetListHash(), Seq: m.GetSeq(),
		Members: mapSlice(m.GetMembers(), changeFromProto), List: mapSlice(m.GetList(), listFromProto),
		Target: identityFromProto(m.GetTarget()),
	}
}
