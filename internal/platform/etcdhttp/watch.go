package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// watchBufferEvents is the number of events buffered for a slow watcher.
const watchBufferEvents = 64

const stepWatch = "platform.watch"

// Watch implements platform.Store. It returns after the store has confirmed the
// watch.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision) (<-chan platform.Event, error) {
	var in etcdjson.WatchRequest
	in.CreateRequest.Key, in.CreateRequest.RangeEnd = etcdjson.PrefixRange(s.opts.Prefix + prefix)
	in.CreateRequest.StartRevision = int64(after) + 1
	body, err := json.Marshal(in)
	if err != nil {
		return nil, failure.At(err, stepWatch, "")
	}
	for range s.opts.Addrs {
		i := s.currentAddr.Load()
		w := &watch{store: s, addr: s.opts.Addrs[i], prefix: s.opts.Prefix + prefix, ctx: ctx}
		if err = w.open(body); err == nil {
			ch := make(chan platform.Event, watchBufferEvents)
			go w.run(ch)
			return ch, nil
		}
		if ctx.Err() != nil {
			break
		}
		s.currentAddr.CompareAndSwap(i, (i+1)%int64(len(s.opts.Addrs)))
	}
	return nil, err
}

// watch is a watch over one connection.
type watch struct {
	store  *Store
	addr   string
	prefix string
	ctx    context.Context // context of the caller of Watch
	cancel context.CancelFunc
	body   io.ReadCloser
	dec    *json.Decoder
}

func (w *watch) unavailableError(cause error) error {
	return failure.At(errors.WithMessage(platform.ErrUnavailable, cause.Error()), stepWatch, w.addr)
}

// open connects and waits for the store's confirmation.
func (w *watch) open(body []byte) (err error) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancel = cancel
	defer func() {
		if err != nil {
			cancel()
		}
	}()
	confirmTimer := time.AfterFunc(w.store.opts.CallTimeout, cancel)
	defer confirmTimer.Stop()
	resp, _, err := w.store.send(ctx, w.addr+etcdjson.PathWatch, body)
	if err != nil {
		return w.unavailableError(err)
	}
	defer func() {
		if err != nil {
			resp.Body.Close()
		}
	}()
	if resp.StatusCode != http.StatusOK {
		return w.unavailableError(errors.Errorf("status %d", resp.StatusCode))
	}
	w.body, w.dec = resp.Body, json.NewDecoder(resp.Body)
	confirmation, err := w.readMessage()
	if err != nil {
		return w.unavailableError(err)
	}
	if !confirmation.Created {
		return w.unavailableError(errors.New("first message of the watch is not its confirmation"))
	}
	if !confirmTimer.Stop() {
		return w.unavailableError(errors.New("store did not confirm the watch before the call timeout"))
	}
	return nil
}

// run forwards events until the watch fails or the caller's context is done.
func (w *watch) run(ch chan<- platform.Event) {
	defer close(ch)
	defer w.body.Close()
	defer w.cancel()
	for {
		result, err := w.readMessage()
		var events []platform.Event
		if err == nil {
			events, err = w.decodeEvents(result)
		}
		if err != nil {
			events = append(events, platform.Event{Err: w.unavailableError(err)})
		}
		for _, ev := range events {
			if w.ctx.Err() != nil {
				return
			}
			select {
			case ch <- ev:
			case <-w.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// readMessage reads the next message of the stream.
func (w *watch) readMessage() (*etcdjson.WatchResult, error) {
	var msg etcdjson.WatchResponse
	if err := w.dec.Decode(&msg); err != nil {
		return nil, err
	}
	switch {
	case msg.Error != nil:
		return nil, errors.Errorf("code %d: %s", msg.Error.Code, msg.Error.Message)
	case msg.Result == nil:
		return nil, errors.New("malformed message: it has neither a result nor an error")
	case msg.Result.Canceled:
		return nil, errors.Errorf("store cancelled the watch; its compact revision is %d", msg.Result.CompactRevision)
	}
	return msg.Result, nil
}

func (w *watch) decodeEvents(result *etcdjson.WatchResult) ([]platform.Event, error) {
	events := make([]platform.Event, 0, len(result.Events))
	for _, ev := range result.Events {
		if !bytes.HasPrefix(ev.Kv.Key, []byte(w.prefix)) || ev.Kv.ModRevision <= 0 {
			return events, errors.Errorf("malformed event for key %q at revision %d", ev.Kv.Key, ev.Kv.ModRevision)
		}
		item := w.store.item(ev.Kv)
		deleted := ev.Type == etcdjson.EventDelete
		if deleted {
			item.Value, item.OpID = nil, ""
		}
		events = append(events, platform.Event{Item: item, Deleted: deleted})
	}
	return events, nil
}
