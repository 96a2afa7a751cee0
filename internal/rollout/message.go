package rollout

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
)

// MessageKind is the kind of a message between two followers of a failure domain.
type MessageKind string

// The kinds of a message.
const (
	// MessageAnnounce reports the sender's revision. The receiver replies with a pull
	// if it has neither installed nor begun to fetch this or a newer revision, and
	// otherwise with an ack.
	MessageAnnounce MessageKind = "announce"
	// MessageAck reports the sender's revision. The receiver replies only if it
	// pulls the revision.
	MessageAck MessageKind = "ack"
	// MessagePull requests the manifest; Base is the sender's revision.
	MessagePull MessageKind = "pull"
	// MessageUpdate replies to a pull.
	MessageUpdate MessageKind = "update"
	// MessageSectionsRequest requests sections by hash.
	MessageSectionsRequest MessageKind = "need"
	// MessageSections replies to a sections request.
	MessageSections MessageKind = "sections"
)

// Message is sent between the followers of one failure domain.
type Message struct {
	Kind MessageKind `json:"kind"`
	// Revision is the sender's current revision; in an update, the revision of the
	// manifest.
	Revision uint64 `json:"revision,omitempty"`
	// ConfirmedAgo is the time since the store last confirmed that Revision is the
	// newest, to the sender's knowledge.
	ConfirmedAgo time.Duration `json:"confirmed_ago,omitempty"`
	// Base is the sender's revision in a pull. In an update it is the receiver's
	// revision, which Delta applies to; if it is 0, Manifest is set instead.
	Base     uint64               `json:"base,omitempty"`
	Delta    []SectionReplacement `json:"delta,omitempty"`
	Manifest config.Manifest      `json:"manifest,omitempty"`
	Hashes   []config.Hash        `json:"hashes,omitempty"`
	// Sections are the contents of Hashes, in their order.
	Sections [][]byte `json:"sections,omitempty"`
}

// SectionReplacement replaces the hash of one section in a manifest.
type SectionReplacement struct {
	Kind  config.EntryKind `json:"kind"`
	Index int              `json:"index"`
	Hash  config.Hash      `json:"hash"`
}

// delta returns the replacements that turn manifest from into to. It returns false
// if the manifests have different numbers of sections.
func delta(from, to config.Manifest) ([]SectionReplacement, bool) {
	if len(from) != len(to) {
		return nil, false
	}
	var refs []SectionReplacement
	for kind, hashes := range to {
		if len(from[kind]) != len(hashes) {
			return nil, false
		}
		for i, h := range hashes {
			if from[kind][i] != h {
				refs = append(refs, SectionReplacement{kind, i, h})
			}
		}
	}
	return refs, true
}

// apply returns a copy of the manifest with the replacements applied.
func apply(m config.Manifest, refs []SectionReplacement) (config.Manifest, error) {
	result := make(config.Manifest, len(m))
	for kind, hashes := range m {
		result[kind] = slices.Clone(hashes)
	}
	for _, r := range refs {
		if r.Index < 0 || r.Index >= len(result[r.Kind]) {
			return nil, errors.Errorf("update replaces section %d of kind %s, which does not exist", r.Index, r.Kind)
		}
		result[r.Kind][r.Index] = r.Hash
	}
	return result, nil
}
