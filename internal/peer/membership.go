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

func digestEntryToProto(d membership.DigestEntry) *peerpb.DigestEntry {
	return &peerpb.DigestEntry{
		Hash: d.Hash, Incarnation: d.Incarnation, Beat: d.HeartbeatSeq, Leaving: d.Leaving, Dead: d.Dead,
	}
}

func digestEntryFromProto(d *peerpb.DigestEntry) membership.DigestEntry {
	return membership.DigestEntry{
		Hash: d.GetHash(), Incarnation: d.GetIncarnation(), HeartbeatSeq: d.GetBeat(),
		Leaving: d.GetLeaving(), Dead: d.GetDead(),
	}
}

func domainHeartbeatToProto(d membership.DomainHeartbeat) *peerpb.DomainBeat {
	return &peerpb.DomainBeat{Hash: d.Hash, Count: d.Count}
}

func domainHeartbeatFromProto(d *peerpb.DomainBeat) membership.DomainHeartbeat {
	return membership.DomainHeartbeat{Hash: d.GetHash(), Count: d.GetCount()}
}

func memberChangeToProto(c membership.MemberChange) *peerpb.MemberChange {
	return &peerpb.MemberChange{
		Identity: identityToProto(c.Identity), Incarnation: c.Incarnation, Beat: c.HeartbeatSeq,
		Leaving: c.Leaving, Dead: c.Dead,
	}
}

func memberChangeFromProto(c *peerpb.MemberChange) membership.MemberChange {
	return membership.MemberChange{
		Identity: identityFromProto(c.GetIdentity()), Incarnation: c.GetIncarnation(), HeartbeatSeq: c.GetBeat(),
		Leaving: c.GetLeaving(), Dead: c.GetDead(),
	}
}

func listChangeToProto(c membership.ListChange) *peerpb.ListChange {
	in := c.Instance
	return &peerpb.ListChange{
		Id: in.ID, Addr: in.Addr, Domain: in.Domain, Region: in.Region, Role: string(in.Role), State: string(in.State),
		Version: c.Version, Gone: c.Removed,
	}
}

func listChangeFromProto(c *peerpb.ListChange) membership.ListChange {
	return membership.ListChange{
		Instance: platform.Instance{
			ID: c.GetId(), Addr: c.GetAddr(), Domain: c.GetDomain(), Region: c.GetRegion(),
			Role: platform.Role(c.GetRole()), State: platform.InstanceState(c.GetState()),
		},
		Version: c.GetVersion(), Removed: c.GetGone(),
	}
}

func messageToProto(m membership.Message) *peerpb.GossipMessage {
	return &peerpb.GossipMessage{
		Kind: uint32(m.Kind), From: identityToProto(m.From), To: m.To, Incarnation: m.Incarnation, Beat: m.HeartbeatSeq,
		Leaving: m.Leaving,
		Digest:  mapSlice(m.Digest, digestEntryToProto), Domains: mapSlice(m.Domains, domainHeartbeatToProto),
		ViewHash: m.ViewHash, ListHash: m.ListHash, Seq: m.Seq, Members: mapSlice(m.Members, memberChangeToProto),
		List: mapSlice(m.List, listChangeToProto), Target: identityToProto(m.Target),
	}
}

func messageFromProto(m *peerpb.GossipMessage) membership.Message {
	return membership.Message{
		Kind: membership.Kind(m.GetKind()), From: identityFromProto(m.GetFrom()), To: m.GetTo(),
		Incarnation: m.GetIncarnation(), HeartbeatSeq: m.GetBeat(), Leaving: m.GetLeaving(),
		Digest: mapSlice(m.GetDigest(), digestEntryFromProto), Domains: mapSlice(m.GetDomains(), domainHeartbeatFromProto),
		ViewHash: m.GetViewHash(), ListHash: m.GetListHash(), Seq: m.GetSeq(),
		Members: mapSlice(m.GetMembers(), memberChangeFromProto), List: mapSlice(m.GetList(), listChangeFromProto),
		Target: identityFromProto(m.GetTarget()),
	}
}
