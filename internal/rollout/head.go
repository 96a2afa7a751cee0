// Package rollout accepts configuration revisions and distributes them to the
// daemons. Editor and Follower are state machines that perform no I/O: the caller
// feeds them store responses, messages and ticks, and executes what they return.
package rollout

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// HeadKey is the store key of the head record.
const HeadKey = "config/head"

// SectionKey returns the store key of a section.
func SectionKey(h config.Hash) string { return "config/section/" + string(h) }

// ManifestKey returns the store key of a current or former manifest.
func ManifestKey(h config.Hash) string { return "config/manifest/" + string(h) }

// Head is the record that determines the current configuration. An edit and its
// audit entry are written atomically, as one write of this record.
type Head struct {
	// Revision counts accepted configurations from 1. It never decreases.
	Revision uint64          `json:"revision"`
	Manifest config.Manifest `json:"manifest"`
	Audit    audit.Log       `json:"audit"`
	// CollectedThrough is the newest revision whose unused content was deleted.
	// CollectingThrough is set to the newest revision of a collection in progress.
	CollectedThrough  uint64 `json:"collected,omitempty"`
	CollectingThrough uint64 `json:"collecting,omitempty"`
}

// DecodeHead reads a head record.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrap(err, "decode head record")
	}
	return h, nil
}

func (h Head) encode() ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(value) > platform.MaxValueBytes {
		return nil, errors.Wrapf(platform.ErrTooLarge, "head record of %d bytes", len(value))
	}
	return value, nil
}

// StaleError is returned for a rollback whose base revision is not the newest.
type StaleError struct {
	Base    uint64 `json:"base"`
	Current uint64 `json:"current"`
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is not the newest, which is %d; review the changes and retry", e.Base, e.Current)
}

// UnknownRevisionError is returned for a revision that was never accepted or is no
// longer retained.
type UnknownRevisionError struct {
	Revision uint64 `json:"revision"`
}

// Error implements error.
func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("configuration revision %d does not exist or is no longer retained", e.Revision)
}
