// Package audit holds the audit trail of changes: entries chained by hashes, a
// list of the newest entries that is part of the configuration head, immutable
// segments with the older ones, verification, filters and export. It does no
// input or output.
package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what an entry records.
type Kind string

// The kinds of an entry.
const (
	KindApply    Kind = "config.apply"
	KindRollback Kind = "config.rollback"
	KindDrain    Kind = "endpoint.drain"
	KindTopUp    Kind = "account.topup"
	KindOrder    Kind = "order"
	// KindAccess is an attempt that was refused before it named a change.
	KindAccess Kind = "access"
)

// Result tells how the recorded attempt ended.
type Result string

// The results of an attempt.
const (
	ResultDone    Result = "done"
	ResultRefused Result = "refused"
	ResultFailed  Result = "failed"
)

// Limits that bound the size of an entry, because the newest entries are part
// of the head record, which is written with each edit.
const (
	MaxSubjects    = 32
	MaxReasonBytes = 500
)

// Subject is what an entry is about, for example kind "account", name "acme".
type Subject struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Entry is one record of the trail.
type Entry struct {
	// Seq counts entries from 1 without gaps.
	Seq   uint64    `json:"seq"`
	At    time.Time `json:"at"`
	Actor string    `json:"actor"`
	Team  string    `json:"office"`
	Kind  Kind      `json:"kind"`
	// Subjects are the first MaxSubjects subjects; MoreSubjects counts the rest.
	Subjects     []Subject `json:"subjects,omitempty"`
	MoreSubjects int       `json:"more_subjects,omitempty"`
	// Base is the configuration revision from which the edit started, Revision
	// the one that it made; 0 if there is none.
	Base     uint64 `json:"base,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Manifest names the manifest of Revision.
	Manifest string `json:"manifest,omitempty"`
	OpID     string `json:"op_id,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Result   Result `json:"result"`
	// Detail is the cause of a refusal or the figures of a top-up.
	Detail string `json:"detail,omitempty"`
	// Prev is the Hash of the entry before, "" for the first one.
	Prev string `json:"prev"`
	// Hash covers all other fields.
	Hash string `json:"hash"`
}

func (e Entry) contentHash() string {
	e.Hash = ""
	content, err := json.Marshal(e)
	if err != nil {
		// Strings, numbers and times with a four-digit year always encode.
		panic(errors.Wrap(err, "audit entry does not encode"))
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Log is the trail as the configuration head holds it: the number of segments
// that were moved out and the newest entries.
type Log struct {
	// Segments is the number of immutable segments; they are named by their
	// numbers from 1.
	Segments int `json:"segments"`
	// Entries are never empty after the first append, so that the chain's last
	// hash is at hand.
	Entries []Entry `json:"entries"`
}

// Append returns the log with e at its end. It sets Seq, Prev and Hash, limits
// the size of e and removes secrets from its free text.
func (l Log) Append(e Entry) Log {
	e.At = e.At.UTC()
	e.Actor, e.Team = Sanitize(e.Actor), Sanitize(e.Team)
	e.Reason, e.Detail = Sanitize(e.Reason), Sanitize(e.Detail)
	if extra := len(e.Subjects) - MaxSubjects; extra > 0 {
		e.Subjects, e.MoreSubjects = slices.Clone(e.Subjects[:MaxSubjects]), extra
	}
	e.Seq, e.Prev = 1, ""
	if n := len(l.Entries); n > 0 {
		e.Seq, e.Prev = l.Entries[n-1].Seq+1, l.Entries[n-1].Hash
	}
	e.Hash = e.contentHash()
	l.Entries = append(slices.Clone(l.Entries), e)
	return l
}

// FindOp returns the entry of an operation, if it is among the newest entries.
func FindOperation(entries []Entry, opID string) (Entry, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return opID != "" && e.OpID == opID })
	if i < 0 {
		return Entry{}, false
	}
	return entries[i], true
}

// secretPattern matches key and token material: hashes, bearer tokens and long
// strings without spaces that mix letters and digits like generated tokens.
var secretPattern = regexp.MustCompile(`(?i)(bearer\s+\S+|sha256:[0-9a-f]+|[A-Za-z0-9+/=_-]{32,})`)

// uuidPattern matches operation ids, which are no secrets.
var uuidPattern = regexp.MustCompile(`^[0-9a-f]{8}-([0-9a-f]{4}-){3}[0-9a-f]{12}$`)

// Clean makes free text fit for the trail: bounded, without control characters
// and without anything that looks like a key or a token.
func Sanitize(text string) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(text, "?"))
	text = secretPattern.ReplaceAllStringFunc(text, func(s string) string {
		if uuidPattern.MatchString(s) {
			return s
		}
		return "[removed]"
	})
	if len(text) > MaxReasonBytes {
		text = strings.ToValidUTF8(text[:MaxReasonBytes-3], "") + "..."
	}
	return text
}

// Segment is an immutable part of the trail.
type Segment struct {
	Entries []Entry `json:"entries"`
}

// Key returns the store key of segment n.
func SegmentKey(n int) string { return fmt.Sprintf("audit/%d", n) }

// NextSegment returns the next segment to write: all entries but the newest
// keep ones. It returns false if there is nothing to move.
func (l Log) NextSegment(keep int) (n int, s Segment, ok bool) {
	move := len(l.Entries) - max(keep, 1)
	if move <= 0 {
		return 0, Segment{}, false
	}
	return l.Segments + 1, Segment{Entries: l.Entries[:move]}, true
}

// Rotated returns the log without the entries of its next segment s, after s
// was written. A segment that an interrupted rotation wrote earlier may be
// shorter than NextSegment's; it must hold the oldest entries of the log.
func (l Log) WithoutSegment(s Segment) (Log, error) {
	n := len(s.Entries)
	if n == 0 || n >= len(l.Entries) {
		return l, errors.Errorf("segment %d has %d entries, the head has %d", l.Segments+1, n, len(l.Entries))
	}
	for i, e := range s.Entries {
		if e.Hash != l.Entries[i].Hash {
			return l, &IntegrityError{Seq: l.Entries[i].Seq, Reason: fmt.Sprintf("segment %d holds another entry", l.Segments+1)}
		}
	}
	return Log{Segments: l.Segments + 1, Entries: slices.Clone(l.Entries[n:])}, nil
}

// BrokenError names the first entry at which the trail is not intact.
type IntegrityError struct {
	Seq    uint64
	Reason string
}

// Error implements error.
func (e *IntegrityError) Error() string { return fmt.Sprintf("audit entry %d: %s", e.Seq, e.Reason) }

// Verify checks consecutive entries. Previous is the entry before the first one,
// or nil if the list starts with the first entry of the trail. The error is a
// *BrokenError.
func Verify(previous *Entry, entries []Entry) error {
	var seq uint64
	var hash string
	if previous != nil {
		seq, hash = previous.Seq, previous.Hash
	}
	for _, e := range entries {
		switch {
		case e.Seq != seq+1:
			return &IntegrityError{Seq: seq + 1, Reason: fmt.Sprintf("is missing; entry %d follows entry %d", e.Seq, seq)}
		case e.Prev != hash:
			return &IntegrityError{Seq: e.Seq, Reason: "does not follow the entry before it"}
		case e.Hash != e.contentHash():
			return &IntegrityError{Seq: e.Seq, Reason: "its content was altered"}
		}
		seq, hash = e.Seq, e.Hash
	}
	return nil
}

// JSONLines returns one line of JSON for each entry.
func JSONLines(entries []Entry) []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, e := range entries {
		if err := enc.Encode(e); err != nil {
			panic(errors.Wrap(err, "audit entry does not encode"))
		}
	}
	return out.Bytes()
}
