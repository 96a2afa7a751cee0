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

func (f *Follower) announcement(kind MessageKind) Message {
	return Message{Kind: kind, Revision: f.revision, ConfirmedAgo: f.now.Sub(f.confirmed)}
}

// passOn tells a new revision to this daemon's children in a tree over the
// failure domain, whose first nodes are the watchers, and confirms it to the
// daemon it came from and to the watchers. They repeat it to daemons that do
// not confirm, so a lost node delays its children by RetryEvery only.
func (f *Follower) passOn(out *Output, source string) {
	ranked := rank(f.opts.Domain, f.members)
	self := slices.Index(ranked, f.opts.Self)
	first := min(treeFanout*self+1, len(ranked))
	children := ranked[max(first, 0):min(max(first, 0)+treeFanout, len(ranked))]
	for i, m := range ranked {
		switch {
		case m == f.opts.Self:
		case slices.Contains(children, m):
			f.send(out, m, f.announcement(MessageAnnounce))
		case m == source, i < watchersPerDomain:
			f.send(out, m, f.announcement(MessageAck))
		}
	}
}

// announce tells the revision to the daemons that have not confirmed it.
func (f *Follower) announce(out *Output) {
	f.attempts++
	f.announceAt = f.now.Add(f.opts.RetryInterval)
	for _, m := range f.members {
		if m != f.opts.Self && f.acked[m] < f.revision {
			f.send(out, m, f.announcement(MessageAnnounce))
		}
	}
}

func (f *Follower) repeatAnnouncement(out *Output) {
	if f.watcher && !f.faults.neverRepeat && f.revision > 0 && f.attempts < announceAttempts && !f.now.Before(f.announceAt) {
		f.announce(out)
	}
}

// exchange compares revisions with one watcher, or a watcher with any daemon.
func (f *Follower) exchange(out *Output) {
	candidates := watchers(f.opts.Domain, f.members)
	if f.watcher {
		candidates = f.members
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(m string) bool { return m == f.opts.Self })
	if len(candidates) == 0 {
		return
	}
	i := xxhash.Sum64String(f.opts.Self+f.now.String()) % uint64(len(candidates))
	f.send(out, candidates[i], f.announcement(MessageAnnounce))
}

// Receive takes a message of another daemon of the failure domain.
func (f *Follower) Receive(now time.Time, from string, m Message) Output {
	f.now = now
	var out Output
	switch m.Kind {
	case MessageAnnounce, MessageAck:
		f.gotRevision(&out, from, m)
	case MessagePull:
		f.answerPull(&out, from, m.Base)
	case MessageUpdate:
		f.gotUpdate(&out, from, m)
	case MessageSectionsRequest:
		f.answerNeed(&out, from, m.Hashes)
	case MessageSections:
		contents := make(Sections)
		for i, h := range m.Hashes[:min(len(m.Hashes), len(m.Sections))] {
			contents[h] = m.Sections[i]
		}
		f.gotSections(&out, contents)
	}
	f.settle(&out)
	return out
}

func (f *Follower) gotRevision(out *Output, from string, m Message) {
	f.answered[from] = true
	f.acked[from] = m.Revision
	f.heard = max(f.heard, m.Revision)
	confirmed := f.now.Add(-m.ConfirmedAgo)
	if m.Revision == f.revision && f.revision > 0 && confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	switch {
	case m.Revision > f.revision && (f.target == nil || m.Revision > f.target.revision):
		f.send(out, from, Message{Kind: MessagePull, Base: f.revision})
	case m.Kind == MessageAnnounce:
		f.send(out, from, f.announcement(MessageAck))
	}
}

// answerPull sends the manifest in force, as a delta where that is possible.
func (f *Follower) answerPull(out *Output, from string, base uint64) {
	if base >= f.revision {
		f.send(out, from, f.announcement(MessageAck))
		return
	}
	m := f.announcement(MessageUpdate)
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

func (f *Follower) gotUpdate(out *Output, from string, m Message) {
	manifest := m.Manifest
	if m.Base != 0 {
		if m.Base != f.revision {
			// Another update arrived in between; ask again if this one is still news.
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
	f.offer(out, &target{revision: m.Revision, manifest: manifest, source: from, confirmed: f.now.Add(-m.ConfirmedAgo)})
}

// answerNeed sends the sections that this daemon has.
func (f *Follower) answerNeed(out *Output, from string, hashes []config.Hash) {
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
