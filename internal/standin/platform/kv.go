package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// errUnsupported means that the stand-in does not implement the request.
var errUnsupported = errors.New("the stand-in does not support this request")

// writeError responds with the status that etcd uses for the error. For a write
// whose response is lost it closes the connection instead.
func writeError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrLeaseExpired):
		return c.JSON(http.StatusNotFound,
			etcdjson.Status{Code: etcdjson.CodeNotFound, Message: etcdjson.MessageLeaseNotFound})
	case errors.Is(err, platform.ErrTooLarge):
		return c.JSON(http.StatusBadRequest,
			etcdjson.Status{Code: etcdjson.CodeInvalidArgument, Message: etcdjson.MessageTooLarge})
	case errors.Is(err, errUnsupported):
		return c.JSON(http.StatusNotImplemented,
			etcdjson.Status{Code: etcdjson.CodeUnimplemented, Message: err.Error()})
	}
	return c.JSON(http.StatusServiceUnavailable,
		etcdjson.Status{Code: etcdjson.CodeUnavailable, Message: etcdjson.MessageNoLeader})
}

// decodeRequest decodes the request's body into in. It responds with an error and
// returns false if the body is malformed.
func decodeRequest(c echo.Context, in any) bool {
	if err := json.NewDecoder(c.Request().Body).Decode(in); err != nil {
		_ = c.JSON(http.StatusBadRequest, etcdjson.Status{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	return true
}

func (s *Server) serveRange(c echo.Context) error {
	var in etcdjson.RangeRequest
	if !decodeRequest(c, &in) {
		return nil
	}
	items, err := s.readRange(c, in)
	if err != nil {
		return writeError(c, err)
	}
	out := etcdjson.RangeResponse{Count: int64(len(items))}
	for _, it := range items {
		out.Kvs = append(out.Kvs, toKeyValue(it))
		out.Header.Revision = max(out.Header.Revision, int64(it.Revision))
	}
	return c.JSON(http.StatusOK, out)
}

// readRange returns the selected items: that of one key or those of all keys with a
// prefix.
func (s *Server) readRange(c echo.Context, in etcdjson.RangeRequest) ([]platform.Item, error) {
	ctx, key := c.Request().Context(), string(in.Key)
	if len(in.RangeEnd) == 0 {
		item, err := s.Store.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		return []platform.Item{item}, err
	}
	prefix, ok := rangePrefix(in.Key, in.RangeEnd)
	if !ok {
		return nil, errUnsupported
	}
	if !strings.HasPrefix(prefix, instancePrefix) {
		return s.Store.List(ctx, prefix)
	}
	list, err := s.Store.Instances(ctx)
	var items []platform.Item
	for _, in := range list {
		doc, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		items = append(items, platform.Item{Key: instancePrefix + in.ID, Value: doc, Revision: 1})
	}
	return items, err
}

// rangePrefix returns the prefix that a range selects. It returns false if the
// range does not select the keys with a prefix.
func rangePrefix(key, end []byte) (string, bool) {
	if bytes.Equal(key, []byte{0}) {
		key = nil
	}
	_, want := etcdjson.PrefixRange(string(key))
	return string(key), bytes.Equal(end, want)
}

func toKeyValue(item platform.Item) etcdjson.KeyValue {
	return etcdjson.KeyValue{Key: []byte(item.Key), Value: item.Value, ModRevision: int64(item.Revision)}
}

func (s *Server) serveTxn(c echo.Context) error {
	var in etcdjson.TxnRequest
	if !decodeRequest(c, &in) {
		return nil
	}
	if !isSupported(in) {
		return writeError(c, errUnsupported)
	}
	var (
		ctx      = c.Request().Context()
		op       = in.Success[0]
		expected = platform.Revision(in.Compare[0].ModRevision)
		out      = etcdjson.TxnResponse{Succeeded: true}
		err      error
	)
	if op.Put != nil {
		var item platform.Item
		item, err = s.Store.CompareAndSwap(ctx, platform.Write{
			Key: string(op.Put.Key), Value: op.Put.Value, Expected: expected, Lease: platform.LeaseID(op.Put.Lease),
		})
		out.Header.Revision = int64(item.Revision)
		out.Responses = []etcdjson.ResponseOp{{Put: &etcdjson.HeaderOnly{Header: out.Header}}}
	} else {
		err = s.Store.Delete(ctx, string(op.DeleteRange.Key), expected)
		// The store does not return the revision of a deletion, but it is higher
		// than the revision of the deleted item.
		out.Header.Revision = int64(expected) + 1
		out.Responses = []etcdjson.ResponseOp{{DeleteRange: &etcdjson.HeaderOnly{Header: out.Header}}}
	}
	if conflict, ok := platform.AsConflict(err); ok {
		return c.JSON(http.StatusOK, conflictResponse(in, conflict))
	}
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, out)
}

// isSupported reports whether the transaction compares the modification revision of
// one key, then writes or deletes this key, and reads at most this key if the
// comparison fails.
func isSupported(in etcdjson.TxnRequest) bool {
	if len(in.Compare) != 1 || len(in.Success) != 1 || len(in.Failure) > 1 {
		return false
	}
	cmp, op := in.Compare[0], in.Success[0]
	key := cmp.Key
	switch {
	case cmp.Target != etcdjson.TargetMod || cmp.Result != etcdjson.ResultEqual:
		return false
	case (op.Put == nil) == (op.DeleteRange == nil):
		return false
	case op.Put != nil && !bytes.Equal(op.Put.Key, key):
		return false
	case op.DeleteRange != nil && !bytes.Equal(op.DeleteRange.Key, key):
		return false
	}
	return len(in.Failure) == 0 || (in.Failure[0].Range != nil && bytes.Equal(in.Failure[0].Range.Key, key))
}

func conflictResponse(in etcdjson.TxnRequest, conflict *platform.ConflictError) etcdjson.TxnResponse {
	var out etcdjson.TxnResponse
	out.Header.Revision = int64(conflict.Actual.Revision)
	if len(in.Failure) == 0 {
		return out
	}
	found := &etcdjson.RangeResponse{}
	if conflict.Actual.Revision != 0 {
		found.Kvs, found.Count = []etcdjson.KeyValue{toKeyValue(conflict.Actual)}, 1
	}
	out.Responses = []etcdjson.ResponseOp{{Range: found}}
	return out
}

func (s *Server) grantLease(c echo.Context) error {
	var in etcdjson.Lease
	if !decodeRequest(c, &in) {
		return nil
	}
	id, err := s.Store.GrantLease(c.Request().Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, etcdjson.Lease{ID: int64(id), TTL: in.TTL})
}

// keepAliveLease responds to the first message of the stream and ends it. The TTL in
// the response is always 1 for a live lease, as the store does not return its TTL.
func (s *Server) keepAliveLease(c echo.Context) error {
	var in etcdjson.Lease
	if !decodeRequest(c, &in) {
		return nil
	}
	err := s.Store.KeepAlive(c.Request().Context(), platform.LeaseID(in.ID))
	out := &etcdjson.Lease{ID: in.ID, TTL: 1}
	if errors.Is(err, platform.ErrLeaseExpired) {
		out.TTL, err = 0, nil
	}
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, etcdjson.KeepAliveResponse{Result: out})
}

func (s *Server) revokeLease(c echo.Context) error {
	var in etcdjson.Lease
	if !decodeRequest(c, &in) {
		return nil
	}
	if err := s.Store.Revoke(c.Request().Context(), platform.LeaseID(in.ID)); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, etcdjson.HeaderOnly{})
}
