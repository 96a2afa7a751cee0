package orders

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

const (
	// trailInterval bounds the audit entries of a duty: 24 duties whose state
	// changes all the time cost 2.4 of the fleet's 150 writes/s.
	trailInterval = 10 * time.Second
	// maxNotes bounds the different texts of an entry, whose detail is cut at
	// audit.MaxReasonBytes.
	maxNotes = 16
	// fleetOffice is the office of entries that no operator caused.
	fleetOffice = "fleet"
)

// batch is what happened to a duty since its last audit entry.
type batch struct {
	endpoints []string
	more      int
	texts     []string
	counts    map[string]int
}

// trail records changes of duties and orders in the audit trail, several in
// one entry.
type trail struct {
	m *Manager

	mu      sync.Mutex
	pending map[string]*batch
	// sealed are entries being written, at most one of a duty. They keep their
	// operation id until the store confirms them, so none is written twice.
	sealed map[string]rollout.Edit
	// flushing admits one flush at a time.
	flushing sync.Mutex
}

func newTrail(m *Manager) *trail {
	return &trail{m: m, pending: make(map[string]*batch), sealed: make(map[string]rollout.Edit)}
}

// note adds a change to the next entry of a duty; endpoint may be empty.
func (t *trail) note(duty, endpoint, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.pending[duty]
	if !ok {
		b = &batch{counts: make(map[string]int)}
		t.pending[duty] = b
	}
	switch {
	case endpoint == "" || slices.Contains(b.endpoints, endpoint):
	case len(b.endpoints) < audit.MaxSubjects:
		b.endpoints = append(b.endpoints, endpoint)
	default:
		b.more++
	}
	if _, ok := b.counts[text]; !ok {
		if len(b.texts) == maxNotes {
			text = "other changes"
		}
		if b.counts[text] == 0 {
			b.texts = append(b.texts, text)
		}
	}
	b.counts[text]++
}

func (b *batch) entry(self, duty string) audit.Entry {
	e := audit.Entry{Actor: self, Office: fleetOffice, Kind: audit.KindOrder, Result: audit.ResultDone, MoreSubjects: b.more}
	if service, ok := strings.CutPrefix(duty, order.DutyPrefix); ok {
		e.Subjects = []audit.Subject{{Kind: "service", Name: service}}
	} else {
		e.Subjects = []audit.Subject{{Kind: "duty", Name: duty}}
	}
	for _, id := range b.endpoints {
		e.Subjects = append(e.Subjects, audit.Subject{Kind: "endpoint", Name: id})
	}
	parts := make([]string, len(b.texts))
	for i, text := range b.texts {
		parts[i] = text
		if n := b.counts[text]; n > 1 {
			parts[i] = fmt.Sprintf("%d x %s", n, text)
		}
	}
	e.Detail = strings.Join(parts, "; ")
	return e
}

func (t *trail) loop() {
	ticker := time.NewTicker(trailInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := t.flush(t.m.ctx); err != nil {
				t.m.o.Log.Warn().Err(err).Msg("audit entries of duties are not written yet")
			}
		case <-t.m.ctx.Done():
			return
		}
	}
}

// flush writes one entry of each duty that changed. Entries that are not
// confirmed are kept.
func (t *trail) flush(ctx context.Context) error {
	t.flushing.Lock()
	defer t.flushing.Unlock()
	var first error
	for duty, e := range t.seal() {
		if err := t.m.edit(ctx, e, func() bool { return true }); err != nil {
			if first == nil {
				first = failure.At(err, "orders.audit", storePeer)
			}
			continue
		}
		t.mu.Lock()
		delete(t.sealed, duty)
		t.mu.Unlock()
	}
	return first
}

// seal returns the entries to write.
func (t *trail) seal() map[string]rollout.Edit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for duty, b := range t.pending {
		if _, waits := t.sealed[duty]; !waits {
			t.sealed[duty] = rollout.Edit{Action: rollout.ActionAppendAudit, OpID: uuid.NewString(), Entry: b.entry(t.m.o.Self, duty), FirstAttemptAt: now}
			delete(t.pending, duty)
		}
	}
	list := make(map[string]rollout.Edit, len(t.sealed))
	for duty, e := range t.sealed {
		list[duty] = e
	}
	return list
}

// edit carries out an edit of the head record. The check is made before each
// write.
func (m *Manager) edit(ctx context.Context, edit rollout.Edit, check func() bool) error {
	e := rollout.NewEditor(edit, nil)
	for !e.Done() {
		req := e.Request()
		var answers []rollout.Response
		for _, key := range req.Get {
			answers = append(answers, m.editCall(ctx, func(ctx context.Context) (platform.Item, error) { return m.o.Store.Get(ctx, key) }))
		}
		for _, w := range req.Put {
			answers = append(answers, m.editCall(ctx, func(ctx context.Context) (platform.Item, error) {
				if !check() {
					return platform.Item{}, errors.Wrap(platform.ErrUnavailable, errNotHeld.Error())
				}
				return m.o.Store.CompareAndSwap(ctx, w)
			}))
		}
		e.Step(time.Now(), answers)
	}
	_, err := e.Result()
	return err
}

func (m *Manager) editCall(ctx context.Context, f func(context.Context) (platform.Item, error)) rollout.Response {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := f(ctx)
	return rollout.Response{Item: item, Err: err}
}
