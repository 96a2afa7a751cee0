package admin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

const (
	// maxConcurrentCalls limits the concurrent store calls of one edit.
	maxConcurrentCalls = 16
	// maxCachedSections limits the cache of sections. The target size has 265 sections
	// of up to 64 KB each.
	maxCachedSections = 1024
)

// editRunner runs edits of the configuration and executes their store calls.
type editRunner struct {
	store platform.Store
	now   func() time.Time

	// mu guards cachedSections, the sections known from earlier edits.
	mu             sync.Mutex
	cachedSections rollout.Sections
}

func newEditRunner(store platform.Store, now func() time.Time) *editRunner {
	return &editRunner{store: store, now: now, cachedSections: make(rollout.Sections)}
}

// run executes an edit. An edit whose outcome is unknown is repeated once with the
// same operation id, which determines the outcome if the store answers.
func (r *editRunner) run(ctx context.Context, edit rollout.Edit) (rollout.Result, error) {
	result, err := r.runOnce(ctx, edit)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		var again error
		if result, again = r.runOnce(ctx, edit); again == nil {
			return result, nil
		}
	}
	return result, failure.At(err, "configuration."+string(edit.Action), "store")
}

func (r *editRunner) runOnce(ctx context.Context, edit rollout.Edit) (rollout.Result, error) {
	r.mu.Lock()
	known := maps.Clone(r.cachedSections)
	r.mu.Unlock()
	e := rollout.NewEditor(edit, known)
	for !e.Done() {
		e.Step(r.now(), r.execute(ctx, e.Request()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(known) > maxCachedSections {
		known = make(rollout.Sections)
	}
	r.cachedSections = known
	return e.Result()
}

func (r *editRunner) execute(ctx context.Context, req rollout.Request) []rollout.Response {
	responses := make([]rollout.Response, len(req.Get)+len(req.Put)+len(req.Delete))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, key := range req.Get {
		g.Go(func() error {
			responses[i].Item, responses[i].Err = r.store.Get(ctx, key)
			return nil
		})
	}
	for i, write := range req.Put {
		g.Go(func() error {
			responses[i].Item, responses[i].Err = r.store.CompareAndSwap(ctx, write)
			return nil
		})
	}
	for i, d := range req.Delete {
		g.Go(func() error {
			responses[i].Err = r.store.Delete(ctx, d.Key, d.Expected)
			return nil
		})
	}
	// Errors are returned in the responses.
	_ = g.Wait()
	return responses
}
