package mesh

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/azurehatch/azurehatch/internal/escrow/budgets"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Items implements meshpb.MeshServer.
func (m *Mesh) Items(_ context.Context, r *meshpb.ItemsRequest) (*meshpb.ItemsReply, error) {
	items, revision := m.State.Items(r.Prefix)
	reply := &meshpb.ItemsReply{Revision: int64(revision)}
	for _, i := range items {
		reply.Items = append(reply.Items, encodeItem(i))
	}
	return reply, nil
}

// FetchItems returns a peer's copy of the store's items with a prefix.
func (m *Mesh) FetchItems(addr, prefix string) ([]platform.Item, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(m.ctx, itemsTimeout)
	defer cancel()
	return m.fetchItems(ctx, addr, prefix)
}

// BudgetRecords implements budgets.Peers.
func (m *Mesh) BudgetRecords(ctx context.Context, addr string) ([]platform.Item, platform.Revision, error) {
	return m.fetchItems(ctx, addr, budgets.KeyPrefix)
}

func (m *Mesh) fetchItems(ctx context.Context, addr, prefix string) ([]platform.Item, platform.Revision, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return nil, 0, failure.At(errors.New("unknown peer"), "mesh.items", addr)
	}
	// The peer compresses its reply as the request is compressed.
	reply, err := meshpb.NewMeshClient(conn).Items(ctx, &meshpb.ItemsRequest{Prefix: prefix}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, 0, failure.At(err, "mesh.items", addr)
	}
	items := make([]platform.Item, 0, len(reply.Items))
	for _, i := range reply.Items {
		items = append(items, decodeItem(i))
	}
	return items, platform.Revision(reply.Revision), nil
}
