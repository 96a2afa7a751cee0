package rollout

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
)

// MessageKind tells what a message between two followers of a failure domain
// means.
type MessageKind string

// The kinds of a message.
const (
	// MessageAnnounce tells the sender's revision; it is answered by an ack or, if
	// it is news, by a pull.
	MessageAnnounce MessageKind = "announce"
	// MessageAck tells the sender's revision; it is not answered unless it is news.
	MessageAck MessageKind = "ack"
	// MessagePull asks for the manifest; Base is the revision that the sender has.
	MessagePull MessageKind = "pull"
	// MessageUpdate responses a pull.
	MessageUpdate MessageKind = "update"
	// MessageSectionsRequest asks for sections by hash.
	MessageSectionsRequest MessageKind = "need"
	// MessageSections responses a need.
	MessageSections MessageKind = "sections"
)

// Message is sent between the followers of one failure domain.
type Message struct {
	Kind MessageKind `json:"kind"`
	// Revision is the revision that the sender has in force, in an update the one
	// that the manifest belongs to.
	Revision uint64 `json:"revision,omitempty"`
	// ConfirmedAgo is the time since the store confirmed that Revision is the
	// newest, as far as the sender knows.
	ConfirmedAgo time.Duration `json:"confirmed_ago,omitempty"`
	// Base is the revision that the receiver of an update has and that Delta
	// refers to; with Base 0, Manifest is set instead.
	Base     uint64               `json:"base,omitempty"`
	Delta    []SectionReplacement `json:"delta,omitempty"`
	Manifest config.Manifest      `json:"manifest,omitempty"`
	Hashes   []config.Hash        `json:"hashes,omitempty"`
	// Sections are the contents of Hashes, in their order.
	Sections [][]byte `json:"sections,omitempty"`
}

// SectionReplacement replaces one section of a manifest.
type SectionReplacement struct {
	Kind  config.EntryKind `json:"kind"`
	Index int              `json:"index"`
	Hash  config.Hash      `json:"hash"`
}

// delta returns the sections in which to differs from from. It returns false if
// the manifests have different numbers of sections.
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

// apply returns the manifest with the sections replaced.
func apply(m config.Manifest, refs []SectionReplacement) (config.Manifest, error) {
	result := make(config.Manifest, len(m))
	for kind, hashes := range m {
		result[kind] = slices.Clone(hashes)
	}
	for _, r := range refs {
		if r.Index < 0 || r.Index >= len(result[r.Kind]) {
			return nil, errors.Errorf("update names section %d of kind %s, which does not exist", r.Index, r.Kind)
		}
		result[r.Kind][r.Index] = r.Hash
	}
	return result, nil
}
