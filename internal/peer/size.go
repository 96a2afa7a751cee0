package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// ReserveBytes returns the encoded size of a ReserveRequest without framing.
func ReserveBytes(r budget.ReserveRequest) int { return proto.Size(reserveToProto(r)) }

// ExtendBytes returns the encoded size of an ExtendRequest without framing.
func ExtendBytes(r budget.ExtendRequest) int { return proto.Size(extendToProto(r)) }

// SettleBytes returns the encoded size of a SettleRequest without framing.
func SettleBytes(r budget.SettleRequest) int { return proto.Size(settleToProto(r)) }

// ReplyBytes returns the encoded size of a Reply without framing.
func ReplyBytes(r budget.Reply) int { return proto.Size(replyToProto(r)) }

// MirrorBytes returns the encoded size of a MirrorRequest without framing.
func MirrorBytes(r budget.MirrorRequest) int { return proto.Size(mirrorToProto(r)) }
