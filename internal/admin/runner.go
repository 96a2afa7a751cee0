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
	// callsAtOnce bounds the store calls that one edit makes at the same time.
	callsAtOnce = 16
	// maxKnownSections bounds the cache; the target size has 265 sections of up to
	// 64 KB.
	maxKnownSections = 1024
)

// runner executes the store calls of editors.
type runner struct {
	store platform.Store
	now   func() time.Time

	// mu guards known, the sections seen by earlier edits.
	mu    sync.Mutex
	known rollout.Sections
}

func newRunner(store platform.Store, now func() time.Time) *runner {
	return &runner{store: store, now: now, known: make(rollout.Sections)}
}

// run carries out an edit. An edit whose outcome is unknown is repeated once
// with the same operation id, which tells the outcome if the store answers.
func (r *runner) run(ctx context.Context, edit rollout.Edit) (rollout.Result, error) {
	result, err := r.once(ctx, edit)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		var again error
		if result, again = r.once(ctx, edit); again == nil {
			return result, nil
		}
	}
	return result, failure.At(err, "configuration."+string(edit.Action), "store")
}

func (r *runner) once(ctx context.Context, edit rollout.Edit) (rollout.Result, error) {
	r.mu.Lock()
	known := maps.Clone(r.known)
	r.mu.Unlock()
	e := rollout.NewEditor(edit, known)
	for !e.Done() {
		e.Step(r.now(), r.execute(ctx, e.Request()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(known) > maxKnownSections {
		known = make(rollout.Sections)
	}
	r.known = known
	return e.Result()
}

func (r *runner) execute(ctx context.Context, req rollout.Request) []rollout.Response {
	answers := make([]rollout.Response, len(req.Get)+len(req.Put)+len(req.Delete))
	var g errgroup.Group
	g.SetLimit(callsAtOnce)
	for i, key := range req.Get {
		g.Go(func() error {
			answers[i].Item, answers[i].Err = r.store.Get(ctx, key)
			return nil
		})
	}
	for i, write := range req.Put {
		g.Go(func() error {
			answers[i].Item, answers[i].Err = r.store.CompareAndSwap(ctx, write)
			return nil
		})
	}
	for i, d := range req.Delete {
		g.Go(func() error {
			answers[i].Err = r.store.Delete(ctx, d.Key, d.Expected)
			return nil
		})
	}
	// The calls report their errors in the answers.
	_ = g.Wait()
	return answers
}
