package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// waitToList waits before the list is read again, unless the history was gone for the first
// time since the last poll that succeeded.
func (f *feed) waitToList(ctx context.Context, relists int) {
	if relists > 1 {
		pause.Sleep(ctx, jitter(min(minRelistBackoff<<min(relists-2, maxRelistDoublings), maxRelistBackoff)))
	}
}

// waitToProbe waits before the next probe of an unreachable store.
func (f *feed) waitToProbe(ctx context.Context, backoff time.Duration) {
	if f.fleet.PreferredFollower() && (f.primary == nil || !f.primary.failing.Load()) {
		if f.fleet.Wide() {
			backoff = min(backoff*time.Duration(max(1, f.fleet.Followers()/2)), maxFollowerBackoff)
		}
		pause.Sleep(ctx, backoff)
		return
	}
	pause.Sleep(ctx, max(backoff, minSharedBackoff))
	shared := min(sharedProbeInterval*time.Duration(f.fleet.Count()), maxSharedBackoff)
	timer := time.NewTimer(max(0, shared-minSharedBackoff))
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitUntilDue reports whether the store should be read: immediately if the daemon
// follows the store, else when there are changes or the last contact is older than
// maxStoreIdle. It waits for changes at most followCheckInterval.
func (f *feed) waitUntilDue(ctx context.Context) bool {
	if f.fleet.FollowsStore() {
		return true
	}
	timer := time.NewTimer(followCheckInterval)
	defer timer.Stop()
	select {
	case <-f.wake:
		return true
	case <-timer.C:
		f.mu.Lock()
		defer f.mu.Unlock()
		return time.Since(f.contactedAt) > maxStoreIdle
	case <-ctx.Done():
		return false
	}
}

// awaitJoin waits until the daemon knows its peers, at most joinTimeout.
func (f *feed) awaitJoin(ctx context.Context) {
	if f.joined == nil {
		return
	}
	timer := time.NewTimer(joinTimeout)
	defer timer.Stop()
	select {
	case <-f.joined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *feed) batchDelayFor() time.Duration {
	if f.fleet.PreferredFollower() {
		return batchDelay
	}
	return longBatchDelay
}

// pollWait returns the wait of one poll. It is randomized over a wide range, since
// a change makes all daemons start their next poll at the same time.
func (f *feed) pollWait() time.Duration {
	wait := jitter(max(time.Duration(f.fleet.Followers())*pollWaitPerFollower, minPollWait))
	longest := time.Duration(f.changeBound.Load()) - pollReadTime
	if f.fleet.Wide() {
		longest -= passOnTime
	}
	return min(wait, max(longest, shortestPollWait)).Round(time.Millisecond)
}

// logPoll logs the result of a poll: without it, a watch that hears
// nothing can't be told from one that is answered late or not repeated. Polls without
// changes are frequent, so they are logged at the level debug.
func (f *feed) logPoll(c platform.Changes, err error, wait, took time.Duration) {
	line := f.log.Debug()
	if len(c.Events) > 0 || errors.Is(err, platform.ErrCompacted) {
		line = f.log.Info()
	}
	line.Err(err).Str("prefix", f.prefix).Int("events", len(c.Events)).Stringer("after", f.currentRevision()).
		Stringer("revision", c.Revision).Dur("wait_ms", wait).Dur("took_ms", took).Msg("changes read")
}
