package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Item, error) {
	const step = "platform.get"
	storedKey := []byte(s.opts.Prefix + key)
	var out etcdjson.RangeResponse
	err := s.do(ctx, call{
		step: step, path: etcdjson.PathRange, in: etcdjson.RangeRequest{Key: storedKey}, out: &out,
		validate: func() error { return checkSingleKey(out.Kvs, storedKey) },
	})
	if err != nil {
		return platform.Item{}, err
	}
	if len(out.Kvs) == 0 {
		return platform.Item{}, failure.At(platform.ErrNotFound, step, "")
	}
	return s.item(out.Kvs[0]), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	kvs, err := s.list(ctx, "platform.list", s.opts.Prefix+prefix)
	if err != nil {
		return nil, err
	}
	var items []platform.Item
	for _, kv := range kvs {
		items = append(items, s.item(kv))
	}
	return items, nil
}

func (s *Store) list(ctx context.Context, step, prefix string) ([]etcdjson.KeyValue, error) {
	var out etcdjson.RangeResponse
	key, end := etcdjson.PrefixRange(prefix)
	err := s.do(ctx, call{
		step: step, path: etcdjson.PathRange, in: etcdjson.RangeRequest{Key: key, RangeEnd: end}, out: &out,
		validate: func() error { return checkList(out, prefix) },
	})
	sort.Slice(out.Kvs, func(i, j int) bool { return bytes.Compare(out.Kvs[i].Key, out.Kvs[j].Key) < 0 })
	return out.Kvs, err
}

// Instances implements platform.Store.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	const step = "platform.instances"
	kvs, err := s.list(ctx, step, s.opts.InstancePrefix)
	if err != nil {
		return nil, err
	}
	list := make([]platform.Instance, 0, len(kvs))
	for _, kv := range kvs {
		var in platform.Instance
		if err := json.Unmarshal(kv.Value, &in); err != nil || in.ID == "" {
			err := errors.WithMessagef(platform.ErrUnavailable, "malformed instance document %q", kv.Key)
			return nil, failure.At(err, step, "")
		}
		list = append(list, in)
	}
	return list, nil
}

// CompareAndSwap implements platform.Store. When the response to the write is
// lost, it reads the key and succeeds if the key holds this write.
func (s *Store) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	const step = "platform.compare-and-swap"
	put := &etcdjson.PutRequest{
		Key: []byte(s.opts.Prefix + w.Key), Value: encodeEnvelope(w.OpID, w.Value), Lease: int64(w.Lease),
	}
	if len(put.Value) > platform.MaxValueBytes {
		return platform.Item{}, failure.At(platform.ErrTooLarge, step, "")
	}
	out, err := s.txn(ctx, step, put.Key, w.Expected, etcdjson.RequestOp{Put: put})
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		if item, found := s.findOwnWrite(ctx, w); found {
			return item, nil
		}
	}
	if err != nil {
		return platform.Item{}, err
	}
	if out.Succeeded {
		return platform.Item{
			Key: w.Key, Value: append([]byte(nil), w.Value...),
			Revision: platform.Revision(out.Header.Revision), OpID: w.OpID,
		}, nil
	}
	actual := s.currentItem(out)
	if w.OpID != "" && actual.OpID == w.OpID {
		return actual, nil
	}
	return platform.Item{}, failure.At(&platform.ConflictError{Key: w.Key, Expected: w.Expected, Actual: actual}, step, "")
}

// findOwnWrite reads the key of a write and reports whether the key holds this
// write. If not, the outcome remains unknown: the write may still be in flight or
// may have been overwritten.
func (s *Store) findOwnWrite(ctx context.Context, w platform.Write) (platform.Item, bool) {
	if w.OpID == "" || ctx.Err() != nil {
		return platform.Item{}, false
	}
	item, err := s.Get(ctx, w.Key)
	return item, err == nil && item.OpID == w.OpID
}

// Delete implements platform.Store. If the response is lost, it returns
// ErrOutcomeUnknown: from a missing key it cannot be known which client deleted it.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Revision) error {
	const step = "platform.delete"
	storedKey := []byte(s.opts.Prefix + key)
	del := etcdjson.RequestOp{DeleteRange: &etcdjson.DeleteRangeRequest{Key: storedKey}}
	out, err := s.txn(ctx, step, storedKey, expected, del)
	if err != nil || out.Succeeded {
		return err
	}
	return failure.At(&platform.ConflictError{Key: key, Expected: expected, Actual: s.currentItem(out)}, step, "")
}

// txn executes op if the key has the expected revision, and otherwise reads the
// key.
func (s *Store) txn(
	ctx context.Context, step string, key []byte, expected platform.Revision, op etcdjson.RequestOp,
) (etcdjson.TxnResponse, error) {
	var out etcdjson.TxnResponse
	in := etcdjson.TxnRequest{
		Compare: []etcdjson.Compare{{
			Key: key, Target: etcdjson.TargetMod, Result: etcdjson.ResultEqual, ModRevision: int64(expected),
		}},
		Success: []etcdjson.RequestOp{op},
		Failure: []etcdjson.RequestOp{{Range: &etcdjson.RangeRequest{Key: key}}},
	}
	err := s.do(ctx, call{
		step: step, path: etcdjson.PathTxn, write: true, in: in, out: &out,
		validate: func() error { return checkTxn(out, key, expected) },
	})
	return out, err
}

// currentItem returns the item that a transaction read because its condition did
// not hold.
func (s *Store) currentItem(out etcdjson.TxnResponse) platform.Item {
	if kvs := out.Responses[0].Range.Kvs; len(kvs) > 0 {
		return s.item(kvs[0])
	}
	return platform.Item{}
}

func checkTxn(out etcdjson.TxnResponse, key []byte, expected platform.Revision) error {
	switch {
	case out.Succeeded && out.Header.Revision < max(1, int64(expected)):
		return errors.Errorf("store revision %d of the write is lower than the expected revision", out.Header.Revision)
	case out.Succeeded:
		return nil
	case len(out.Responses) != 1 || out.Responses[0].Range == nil:
		return errors.New("conflict response does not contain the result of the read")
	}
	return checkSingleKey(out.Responses[0].Range.Kvs, key)
}

func checkSingleKey(kvs []etcdjson.KeyValue, key []byte) error {
	switch {
	case len(kvs) == 0:
		return nil
	case len(kvs) > 1:
		return errors.Errorf("response has %d keys, want one", len(kvs))
	case !bytes.Equal(kvs[0].Key, key):
		return errors.Errorf("response has key %q, want %q", kvs[0].Key, key)
	case kvs[0].ModRevision <= 0:
		return errors.Errorf("key %q has no revision", key)
	}
	return nil
}

func checkList(out etcdjson.RangeResponse, prefix string) error {
	if out.More {
		return errors.New("response does not contain the whole list")
	}
	for _, kv := range out.Kvs {
		if !bytes.HasPrefix(kv.Key, []byte(prefix)) {
			return errors.Errorf("key %q does not start with %q", kv.Key, prefix)
		}
		if kv.ModRevision <= 0 {
			return errors.Errorf("key %q has no revision", kv.Key)
		}
	}
	return nil
}
