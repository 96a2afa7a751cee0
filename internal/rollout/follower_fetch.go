package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
)

// updateTarget makes t the target if its revision is above the installed one and
// above that of the current target.
func (f *Follower) updateTarget(out *Output, t *target) {
	if f.faults.installLowerRevision && t.revision != f.revision && t.revision > 0 {
		f.target = t
		f.loadTarget(out)
		return
	}
	if t.revision <= f.revision || (f.target != nil && t.revision <= f.target.revision) {
		return
	}
	t.behindSince = f.now
	if f.target != nil {
		t.behindSince = f.target.behindSince
	}
	f.target = t
	f.loadTarget(out)
}

// missingSections returns the sections of the target that this daemon lacks.
func (f *Follower) missingSections() []config.Hash {
	var list []config.Hash
	for _, h := range f.target.manifest.Hashes() {
		if _, ok := f.sections[h]; !ok {
			list = append(list, h)
		}
	}
	return list
}

// loadTarget requests missing sections of the target, or installs it if there are
// none.
func (f *Follower) loadTarget(out *Output) {
	missing := f.missingSections()
	if len(missing) == 0 {
		f.installTarget(out)
		return
	}
	f.target.requestedAt = f.now
	if f.target.source == "" && !f.target.storeOnly {
		f.target.source = f.memberWithRevision(f.target.revision)
	}
	if f.target.source == "" && !f.watcher && len(missing) > bulkThreshold && f.now.Sub(f.target.behindSince) < bulkWait {
		return // retryFetch tries again to find a daemon that has the revision
	}
	if f.target.source == "" {
		out.Fetch = missing[:min(len(missing), sectionsPerFetch)]
		return
	}
	f.send(out, f.target.source, Message{Kind: MessageSectionsRequest, Hashes: missing[:min(len(missing), sectionsPerMessage)]})
}

// retryFetch requests the missing sections again if no response came within
// RetryInterval: from the store after a daemon, and after the store from a daemon
// if one has the revision.
func (f *Follower) retryFetch(out *Output) {
	if f.target == nil || f.now.Sub(f.target.requestedAt) < f.opts.RetryInterval || len(f.missingSections()) == 0 {
		return
	}
	f.target.storeOnly = f.target.source != ""
	f.target.source = ""
	f.loadTarget(out)
}

// memberWithRevision returns a daemon that has the revision, or "". Daemons start
// their search at different members, so that they do not all choose the same one.
func (f *Follower) memberWithRevision(revision uint64) string {
	n := len(f.members)
	for i := range n {
		m := f.members[(i+int(xxhash.Sum64String(f.opts.Self)%uint64(n)))%n]
		if m != f.opts.Self && f.ackedRevisions[m] >= revision {
			return m
		}
	}
	return ""
}

func (f *Follower) addSections(out *Output, contents Sections) {
	added := 0
	for h, content := range contents {
		if _, ok := f.sections[h]; ok || config.HashOf(content) != h {
			continue
		}
		f.sections[h] = content
		added++
	}
	if f.target != nil && (added > 0 || len(f.missingSections()) == 0) {
		f.loadTarget(out)
	}
}

// finishStartup allows the first installation once the store and all daemons of
// the failure domain have reported their revisions, or after StartupWait. Without
// the wait, a daemon could install an older revision than it had before its
// restart, because the report of the newer one arrives later.
func (f *Follower) finishStartup(out *Output) {
	if f.startupDone {
		return
	}
	waited := f.now.Sub(f.startedAt) >= f.opts.StartupWait
	if !waited && !f.faults.skipStartupWait && !f.allReported() {
		return
	}
	f.startupDone = true
	if f.target != nil && out.Install == nil {
		f.loadTarget(out)
	}
}

// allReported reports whether the store and all daemons of the failure domain have
// reported their revisions and the target is at least the highest one reported. A
// report alone is not enough: its manifest arrives in a later message.
func (f *Follower) allReported() bool {
	if !f.headRead || (f.highestReported > 0 && (f.target == nil || f.target.revision < f.highestReported)) {
		return false
	}
	for _, m := range f.members {
		if m != f.opts.Self && !f.reported[m] {
			return false
		}
	}
	return len(f.members) > 0
}

// installTarget installs the target, unless the startup wait is not over.
func (f *Follower) installTarget(out *Output) {
	if !f.startupDone {
		return
	}
	t := f.target
	f.target = nil
	section := func(h config.Hash) ([]byte, bool) {
		content, ok := f.sections[h]
		return content, ok
	}
	c, err := f.join(f.config, f.manifest, t.manifest, section)
	if err != nil {
		out.Err = errors.Wrapf(err, "configuration revision %d", t.revision)
		return
	}
	f.revision, f.manifest, f.config, f.confirmedAt = t.revision, t.manifest, c, t.confirmedAt
	f.history = append(f.history, *t)
	if len(f.history) > historyLength {
		f.history = slices.Delete(f.history, 0, 1)
	}
	f.prune()
	out.Install = &InstalledConfig{Revision: t.revision, Config: c}
	f.announcements, f.nextAnnounceAt = 0, f.now.Add(f.opts.RetryInterval)
	f.propagate(out, t.source)
}

// prune drops sections that the installed manifest does not reference.
func (f *Follower) prune() {
	hashes := f.manifest.Hashes()
	for h := range f.sections {
		if _, ok := slices.BinarySearch(hashes, h); !ok {
			delete(f.sections, h)
		}
	}
}
