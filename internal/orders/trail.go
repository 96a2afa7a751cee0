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
	// auditInterval is the interval at which entries are written, at most one
	// for each duty: 24 duties that change continuously use 2.4 of the fleet's
	// 150 writes/s.
	auditInterval = 10 * time.Second
	// maxTexts limits the different texts of an entry, whose detail is cut at
	// audit.MaxReasonBytes.
	maxTexts = 16
	// fleetTeam is the team in entries that no operator caused.
	fleetTeam = "fleet"
)

// batch collects the changes of a duty since its last audit entry.
type batch struct {
	// endpoints are the ids of the endpoints concerned, at most audit.MaxSubjects.
	endpoints []string
	// unlistedEndpoints counts the changes of further endpoints.
	unlistedEndpoints int
	// texts are the different texts in order, and counts how often each occurred.
	texts  []string
	counts map[string]int
}

// trail records changes of duties and orders in the audit trail. It combines
// several changes in one entry.
type trail struct {
	m *Manager

	mu      sync.Mutex
	pending map[string]*batch
	// writing are the entries being written, at most one for each duty. They
	// keep their operation id until the store confirms them, so that none is
	// recorded twice.
	writing map[string]rollout.Edit
	// flushMu serializes flushes.
	flushMu sync.Mutex
}

func newTrail(m *Manager) *trail {
	return &trail{m: m, pending: make(map[string]*batch), writing: make(map[string]rollout.Edit)}
}

// add adds a change to the next entry of a duty; endpoint may be empty.
func (t *trail) add(duty, endpoint, text string) {
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
		b.unlistedEndpoints++
	}
	if _, ok := b.counts[text]; !ok {
		if len(b.texts) == maxTexts {
			text = "other changes"
		}
		if b.counts[text] == 0 {
			b.texts = append(b.texts, text)
		}
	}
	b.counts[text]++
}

func (b *batch) entry(self, duty string) audit.Entry {
	e := audit.Entry{
		Actor: self, Team: fleetTeam, Kind: audit.KindOrder, Result: audit.ResultDone,
		MoreSubjects: b.unlistedEndpoints,
	}
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
	ticker := time.NewTicker(auditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := t.flush(t.m.ctx); err != nil {
				t.m.opts.Log.Warn().Err(err).Msg("audit entries of duties not written; will retry")
			}
		case <-t.m.ctx.Done():
			return
		}
	}
}

// flush writes one entry for each duty that changed. Entries that the store does
// not confirm are kept for the next flush.
func (t *trail) flush(ctx context.Context) error {
	t.flushMu.Lock()
	defer t.flushMu.Unlock()
	var firstErr error
	for duty, e := range t.startWrites() {
		if err := t.m.editHead(ctx, e, func() bool { return true }); err != nil {
			if firstErr == nil {
				firstErr = failure.At(err, "orders.audit", storePeer)
			}
			continue
		}
		t.mu.Lock()
		delete(t.writing, duty)
		t.mu.Unlock()
	}
	return firstErr
}

// startWrites turns pending batches into entries and returns all entries to
// write.
func (t *trail) startWrites() map[string]rollout.Edit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for duty, b := range t.pending {
		if _, waits := t.writing[duty]; !waits {
			t.writing[duty] = rollout.Edit{
				Action: rollout.ActionAppendAudit, OpID: uuid.NewString(), Entry: b.entry(t.m.opts.Self, duty), FirstAttemptAt: now,
			}
			delete(t.pending, duty)
		}
	}
	list := make(map[string]rollout.Edit, len(t.writing))
	for duty, e := range t.writing {
		list[duty] = e
	}
	return list
}

// editHead carries out an edit of the head record. It calls check before each
// write and fails if check returns false.
func (m *Manager) editHead(ctx context.Context, edit rollout.Edit, check func() bool) error {
	e := rollout.NewEditor(edit, nil)
	for !e.Done() {
		req := e.Request()
		var responses []rollout.Response
		for _, key := range req.Get {
			responses = append(responses, m.storeCall(ctx, func(ctx context.Context) (platform.Item, error) {
				return m.opts.Store.Get(ctx, key)
			}))
		}
		for _, w := range req.Put {
			responses = append(responses, m.storeCall(ctx, func(ctx context.Context) (platform.Item, error) {
				if !check() {
					return platform.Item{}, errors.Wrap(platform.ErrUnavailable, errNotHeld.Error())
				}
				return m.opts.Store.CompareAndSwap(ctx, w)
			}))
		}
		e.Step(time.Now(), responses)
	}
	_, err := e.Result()
	return err
}

func (m *Manager) storeCall(ctx context.Context, f func(context.Context) (platform.Item, error)) rollout.Response {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := f(ctx)
	return rollout.Response{Item: item, Err: err}
}
