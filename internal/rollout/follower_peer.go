package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurehatch/azurehatch/internal/config"
)

func (f *Follower) send(out *Output, to string, m Message) {
	out.Send = append(out.Send, Envelope{To: to, Message: m})
}

func (f *Follower) revisionMessage(kind MessageKind) Message {
	return Message{Kind: kind, Revision: f.revision, ConfirmedAgo: f.now.Sub(f.confirmedAt)}
}

// propagate announces a new revision to this daemon's children in a tree over the
// failure domain, whose first nodes are the watchers, and confirms it to the
// watchers and to the daemon it came from. The watchers repeat the announcement to
// daemons that do not confirm it, so a failed node delays its children by only
// RetryInterval.
func (f *Follower) propagate(out *Output, source string) {
	ranked := rankMembers(f.opts.Domain, f.members)
	self := slices.Index(ranked, f.opts.Self)
	first := min(treeFanout*self+1, len(ranked))
	children := ranked[max(first, 0):min(max(first, 0)+treeFanout, len(ranked))]
	for i, m := range ranked {
		switch {
		case m == f.opts.Self:
		case slices.Contains(children, m):
			f.send(out, m, f.revisionMessage(MessageAnnounce))
		case m == source, i < watchersPerDomain:
			f.send(out, m, f.revisionMessage(MessageAck))
		}
	}
}

// announce sends the revision to the daemons that have not confirmed it.
func (f *Follower) announce(out *Output) {
	f.announcements++
	f.nextAnnounceAt = f.now.Add(f.opts.RetryInterval)
	for _, m := range f.members {
		if m != f.opts.Self && f.ackedRevisions[m] < f.revision {
			f.send(out, m, f.revisionMessage(MessageAnnounce))
		}
	}
}

func (f *Follower) repeatAnnouncement(out *Output) {
	if f.watcher && !f.faults.skipRepeatedAnnouncements && f.revision > 0 &&
		f.announcements < maxAnnouncements && !f.now.Before(f.nextAnnounceAt) {
		f.announce(out)
	}
}

// exchangeRevisions sends the revision to one watcher, or from a watcher to any
// daemon, so that the two compare revisions.
func (f *Follower) exchangeRevisions(out *Output) {
	candidates := watchers(f.opts.Domain, f.members)
	if f.watcher {
		candidates = f.members
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(m string) bool { return m == f.opts.Self })
	if len(candidates) == 0 {
		return
	}
	i := xxhash.Sum64String(f.opts.Self+f.now.String()) % uint64(len(candidates))
	f.send(out, candidates[i], f.revisionMessage(MessageAnnounce))
}

// Receive processes a message from another daemon of the failure domain.
func (f *Follower) Receive(now time.Time, from string, m Message) Output {
	f.now = now
	var out Output
	switch m.Kind {
	case MessageAnnounce, MessageAck:
		f.handleRevision(&out, from, m)
	case MessagePull:
		f.handlePull(&out, from, m.Base)
	case MessageUpdate:
		f.handleUpdate(&out, from, m)
	case MessageSectionsRequest:
		f.handleSectionsRequest(&out, from, m.Hashes)
	case MessageSections:
		contents := make(Sections)
		for i, h := range m.Hashes[:min(len(m.Hashes), len(m.Sections))] {
			contents[h] = m.Sections[i]
		}
		f.addSections(&out, contents)
	}
	f.finishStartup(&out)
	return out
}

func (f *Follower) handleRevision(out *Output, from string, m Message) {
	f.reported[from] = true
	f.ackedRevisions[from] = m.Revision
	f.highestReported = max(f.highestReported, m.Revision)
	confirmed := f.now.Add(-m.ConfirmedAgo)
	if m.Revision == f.revision && f.revision > 0 && confirmed.After(f.confirmedAt) {
		f.confirmedAt = confirmed
	}
	switch {
	case m.Revision > f.revision && (f.target == nil || m.Revision > f.target.revision):
		f.send(out, from, Message{Kind: MessagePull, Base: f.revision})
	case m.Kind == MessageAnnounce:
		f.send(out, from, f.revisionMessage(MessageAck))
	}
}

// handlePull sends the installed manifest, as a delta if possible.
func (f *Follower) handlePull(out *Output, from string, base uint64) {
	if base >= f.revision {
		f.send(out, from, f.revisionMessage(MessageAck))
		return
	}
	m := f.revisionMessage(MessageUpdate)
	for _, h := range f.history {
		if h.revision != base {
			continue
		}
		if refs, ok := delta(h.manifest, f.manifest); ok {
			m.Base, m.Delta = base, refs
		}
	}
	if m.Base == 0 {
		m.Manifest = f.manifest
	}
	f.send(out, from, m)
}

func (f *Follower) handleUpdate(out *Output, from string, m Message) {
	manifest := m.Manifest
	if m.Base != 0 {
		if m.Base != f.revision {
			// Another update was installed since the pull. Pull again if this revision
			// is still newer.
			if m.Revision > f.revision {
				f.send(out, from, Message{Kind: MessagePull, Base: f.revision})
			}
			return
		}
		var err error
		if manifest, err = apply(f.manifest, m.Delta); err != nil {
			out.Err = err
			return
		}
	}
	f.updateTarget(out, &target{revision: m.Revision, manifest: manifest, source: from, confirmedAt: f.now.Add(-m.ConfirmedAgo)})
}

// handleSectionsRequest sends the requested sections that this daemon has.
func (f *Follower) handleSectionsRequest(out *Output, from string, hashes []config.Hash) {
	m := Message{Kind: MessageSections}
	for _, h := range hashes[:min(len(hashes), sectionsPerMessage)] {
		if content, ok := f.sections[h]; ok {
			m.Hashes, m.Sections = append(m.Hashes, h), append(m.Sections, content)
		}
	}
	if len(m.Hashes) > 0 {
		f.send(out, from, m)
	}
}
