package orders

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

const (
	// rotationDuty is the name of the duty to rotate the audit trail.
	rotationDuty = "rotation"
	// rotationInterval is the interval at which the holder reads the head
	// record. Refused callers add at most 1 entry/s for each daemon; once
	// rotation is due, the head admits 160 more entries before an edit itself
	// rotates the trail.
	rotationInterval = 10 * time.Second
)

// rotation moves old audit entries out of the head record. Its fields are
// guarded by Manager.mu.
type rotation struct {
	m          *Manager
	duty       *duty
	running    bool
	nextReadAt time.Time
}

func newRotation(m *Manager) *rotation { return &rotation{m: m, duty: newDuty(m, rotationDuty)} }

func (r *rotation) tick(now time.Time) {
	r.duty.tick(now)
	fence, _, held := r.duty.holder.Fence(now)
	if !held || r.running || now.Before(r.nextReadAt) {
		return
	}
	r.running, r.nextReadAt = true, now.Add(rotationInterval)
	r.m.startCall(func() {
		if err := r.rotate(fence); err != nil {
			r.m.opts.Log.Warn().Err(failure.At(err, "rotation", storePeer)).Msg("audit trail not rotated")
		}
		r.m.mu.Lock()
		defer r.m.mu.Unlock()
		r.running = false
	})
}

func (r *rotation) rotate(fence platform.Revision) error {
	ctx, cancel := context.WithTimeout(r.m.ctx, storeTimeout)
	defer cancel()
	item, err := r.m.opts.Store.Get(ctx, rollout.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	head, err := rollout.DecodeHead(item.Value)
	if err != nil || !head.NeedsRotation() {
		return err
	}
	return r.m.editHead(r.m.ctx, rollout.Edit{Action: rollout.ActionRotate}, func() bool {
		return r.duty.holds(fence, storeTimeout)
	})
}
