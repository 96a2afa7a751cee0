package platform

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// serveWatch streams events until the caller closes the connection or the store
// ends the watch.
func (s *Server) serveWatch(c echo.Context) error {
	var in etcdjson.WatchRequest
	if !decodeRequest(c, &in) {
		return nil
	}
	create := in.CreateRequest
	prefix, ok := rangePrefix(create.Key, create.RangeEnd)
	if !ok || create.StartRevision <= 0 {
		return writeError(c, errUnsupported)
	}
	events, err := s.Store.Watch(c.Request().Context(), prefix, platform.Revision(create.StartRevision-1))
	compacted := err != nil && !s.Store.Faults().Outage
	if err != nil && !compacted {
		return writeError(c, err)
	}
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	sendWatchResult(c, etcdjson.WatchResult{Created: true})
	if compacted {
		// The store refuses a start revision before its history, like etcd after a
		// compaction.
		sendWatchResult(c, etcdjson.WatchResult{Canceled: true, CompactRevision: create.StartRevision + 1})
		return nil
	}
	for ev := range events {
		if ev.Err != nil {
			panic(http.ErrAbortHandler)
		}
		sendWatchResult(c, toWatchResult(ev))
	}
	panic(http.ErrAbortHandler)
}

func toWatchResult(ev platform.Event) etcdjson.WatchResult {
	out := etcdjson.Event{Kv: toKeyValue(ev.Item)}
	if ev.Deleted {
		out.Type = etcdjson.EventDelete
	}
	return etcdjson.WatchResult{
		Header: etcdjson.Header{Revision: int64(ev.Item.Revision)},
		Events: []etcdjson.Event{out},
	}
}

// sendWatchResult writes one message of the stream. A failed write aborts the
// handler.
func sendWatchResult(c echo.Context, result etcdjson.WatchResult) {
	if err := json.NewEncoder(c.Response()).Encode(etcdjson.WatchResponse{Result: &result}); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Response().Flush()
}
