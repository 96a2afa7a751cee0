package peer

import (
	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/peer/peerpb"
)

func keyToProto(k budget.Key) *peerpb.ReservationKey {
	return &peerpb.ReservationKey{Holder: k.Holder, Gen: k.Incarnation, N: k.N}
}

func keyFromProto(k *peerpb.ReservationKey) budget.Key {
	return budget.Key{Holder: k.GetHolder(), Incarnation: k.GetGen(), N: k.GetN()}
}

func reservationToProto(r budget.Reservation) *peerpb.Reservation {
	return &peerpb.Reservation{Key: keyToProto(r.Key), Id: r.ID, Budget: r.Budget, Tokens: r.Tokens, Keyed: r.Keyed}
}

func reservationFromProto(r *peerpb.Reservation) budget.Reservation {
	return budget.Reservation{
		Key: keyFromProto(r.GetKey()), ID: r.GetId(), Budget: r.GetBudget(), Tokens: r.GetTokens(), Keyed: r.GetKeyed(),
	}
}

func billToProto(b budget.Bill) *peerpb.Bill {
	return &peerpb.Bill{
		N: b.N, Key: keyToProto(b.Key), Id: b.ID, Budget: b.Budget, Tokens: b.Tokens, Old: b.OldTokens,
		Keyed: b.Keyed, Late: b.Late, Provisional: b.Provisional,
	}
}

func billFromProto(b *peerpb.Bill) budget.Bill {
	return budget.Bill{
		N: b.GetN(), Key: keyFromProto(b.GetKey()), ID: b.GetId(), Budget: b.GetBudget(),
		Tokens: b.GetTokens(), OldTokens: b.GetOld(), Keyed: b.GetKeyed(), Late: b.GetLate(), Provisional: b.GetProvisional(),
	}
}

func reserveToProto(r budget.ReserveRequest) *peerpb.ReserveRequest {
	return &peerpb.ReserveRequest{
		Shard: uint32(r.Shard), Epoch: r.Epoch, Low: r.LowestPending, Reservation: reservationToProto(r.Reservation),
	}
}

func reserveFromProto(r *peerpb.ReserveRequest) budget.ReserveRequest {
	return budget.ReserveRequest{
		Shard: int(r.GetShard()), Epoch: r.GetEpoch(), LowestPending: r.GetLow(),
		Reservation: reservationFromProto(r.GetReservation()),
	}
}

func extendToProto(r budget.ExtendRequest) *peerpb.ExtendRequest {
	return &peerpb.ExtendRequest{Shard: uint32(r.Shard), Epoch: r.Epoch, Key: keyToProto(r.Key), Tokens: r.Tokens}
}

func extendFromProto(r *peerpb.ExtendRequest) budget.ExtendRequest {
	return budget.ExtendRequest{
		Shard: int(r.GetShard()), Epoch: r.GetEpoch(), Key: keyFromProto(r.GetKey()), Tokens: r.GetTokens(),
	}
}

func settleToProto(r budget.SettleRequest) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{
		Shard: uint32(r.Shard), Epoch: r.Epoch, Holder: r.Holder, Gen: r.Incarnation, Low: r.LowestPending,
		Bills: mapSlice(r.Bills, billToProto),
	}
}

func settleFromProto(r *peerpb.SettleRequest) budget.SettleRequest {
	return budget.SettleRequest{
		Shard: int(r.GetShard()), Epoch: r.GetEpoch(), Holder: r.GetHolder(), Incarnation: r.GetGen(), LowestPending: r.GetLow(),
		Bills: mapSlice(r.GetBills(), billFromProto),
	}
}

func registerToProto(r budget.RegisterRequest) *peerpb.RegisterRequest {
	return &peerpb.RegisterRequest{
		Shard: uint32(r.Shard), Epoch: r.Epoch, Holder: r.Holder, Gen: r.Incarnation, Low: r.LowestPending,
		Open: mapSlice(r.Open, reservationToProto), Bills: mapSlice(r.Bills, billToProto),
		Mirrored: mapSlice(r.Mirrored, reservationToProto),
	}
}

func registerFromProto(r *peerpb.RegisterRequest) budget.RegisterRequest {
	return budget.RegisterRequest{
		Shard: int(r.GetShard()), Epoch: r.GetEpoch(), Holder: r.GetHolder(), Incarnation: r.GetGen(), LowestPending: r.GetLow(),
		Open: mapSlice(r.GetOpen(), reservationFromProto), Bills: mapSlice(r.GetBills(), billFromProto),
		Mirrored: mapSlice(r.GetMirrored(), reservationFromProto),
	}
}

func replyToProto(r budget.Reply) *peerpb.BudgetReply {
	return &peerpb.BudgetReply{
		Kind: uint32(r.Kind), Shard: uint32(r.Shard), Holder: r.Holder, Gen: r.Incarnation,
		Key: keyToProto(r.Key), Epoch: r.Epoch, Status: uint32(r.Status), Tokens: r.Tokens, Durable: r.Durable,
	}
}

func replyFromProto(r *peerpb.BudgetReply) budget.Reply {
	return budget.Reply{
		Kind: budget.Kind(r.GetKind()), Shard: int(r.GetShard()), Holder: r.GetHolder(), Incarnation: r.GetGen(),
		Key: keyFromProto(r.GetKey()), Epoch: r.GetEpoch(), Status: budget.Status(r.GetStatus()),
		Tokens: r.GetTokens(), Durable: r.GetDurable(),
	}
}

func mirrorToProto(m budget.MirrorRequest) *peerpb.MirrorRequest {
	return &peerpb.MirrorRequest{
		Shard: uint32(m.Shard), Epoch: m.Epoch, Gen: m.Incarnation, Seq: m.Seq, Member: m.Member,
		Put: mapSlice(m.Put, reservationToProto), Clear: mapSlice(m.Clear, keyToProto),
	}
}

func mirrorFromProto(m *peerpb.MirrorRequest) budget.MirrorRequest {
	return budget.MirrorRequest{
		Shard: int(m.GetShard()), Epoch: m.GetEpoch(), Incarnation: m.GetGen(), Seq: m.GetSeq(), Member: m.GetMember(),
		Put: mapSlice(m.GetPut(), reservationFromProto), Clear: mapSlice(m.GetClear(), keyFromProto),
	}
}

func mirrorAnswerToProto(m budget.MirrorAnswer) *peerpb.MirrorAnswer {
	return &peerpb.MirrorAnswer{Shard: uint32(m.Shard), Member: m.Member, Gen: m.Incarnation, Epoch: m.Epoch, Seq: m.Seq, Ok: m.OK}
}

func mirrorAnswerFromProto(m *peerpb.MirrorAnswer) budget.MirrorAnswer {
	return budget.MirrorAnswer{
		Shard: int(m.GetShard()), Member: m.GetMember(), Incarnation: m.GetGen(), Epoch: m.GetEpoch(),
		Seq: m.GetSeq(), OK: m.GetOk(),
	}
}

func reclaimToProto(r budget.ReclaimRequest) *peerpb.ReclaimRequest {
	return &peerpb.ReclaimRequest{Shard: uint32(r.Shard), From: r.From, To: r.To, Budget: r.Budget, Tokens: r.Tokens}
}

func reclaimFromProto(r *peerpb.ReclaimRequest) budget.ReclaimRequest {
	return budget.ReclaimRequest{
		Shard: int(r.GetShard()), From: r.GetFrom(), To: r.GetTo(), Budget: r.GetBudget(), Tokens: r.GetTokens(),
	}
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}
