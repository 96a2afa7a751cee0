// Package audit implements the audit trail of changes as a hash chain of entries.
// The newest entries are part of the configuration head record; older ones are
// moved to immutable segments. The package appends, rotates, verifies, filters and
// exports entries. It performs no I/O.
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

// Kind is the kind of action that an entry records.
type Kind string

// The kinds of an entry.
const (
	KindApply    Kind = "config.apply"
	KindRollback Kind = "config.rollback"
	KindDrain    Kind = "endpoint.drain"
	KindTopUp    Kind = "account.topup"
	KindOrder    Kind = "order"
	// KindAccess is a request that was denied before its action was known, for
	// example because it had no valid token.
	KindAccess Kind = "access"
)

// Result is the outcome of the recorded action.
type Result string

// The results of an action.
const (
	ResultDone    Result = "done"
	ResultRefused Result = "refused"
	ResultFailed  Result = "failed"
)

// Limits on the size of an entry. They keep the head record small: it contains the
// newest entries and is written with each edit.
const (
	MaxSubjects    = 32
	MaxReasonBytes = 500
)

// Subject identifies an object that an entry refers to, for example kind
// "account", name "acme".
type Subject struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Entry is one record of the audit trail.
type Entry struct {
	// Seq numbers the entries consecutively from 1.
	Seq   uint64    `json:"seq"`
	At    time.Time `json:"at"`
	Actor string    `json:"actor"`
	Team  string    `json:"office"`
	Kind  Kind      `json:"kind"`
	// Subjects holds at most MaxSubjects subjects; MoreSubjects counts those
	// omitted.
	Subjects     []Subject `json:"subjects,omitempty"`
	MoreSubjects int       `json:"more_subjects,omitempty"`
	// Base is the configuration revision that the edit was based on, Revision the
	// one that it created; 0 if there is none.
	Base     uint64 `json:"base,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Manifest is the hash of the manifest of Revision.
	Manifest string `json:"manifest,omitempty"`
	OpID     string `json:"op_id,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Result   Result `json:"result"`
	// Detail is the reason of a refusal or the amount of a top-up.
	Detail string `json:"detail,omitempty"`
	// Prev is the Hash of the previous entry, "" for the first one.
	Prev string `json:"prev"`
	// Hash is the hexadecimal SHA-256 of the JSON encoding with an empty Hash.
	Hash string `json:"hash"`
}

// contentHash returns the value of Hash for the other fields.
func (e Entry) contentHash() string {
	e.Hash = ""
	content, err := json.Marshal(e)
	if err != nil {
		// Strings, numbers and times with a four-digit year always encode.
		panic(errors.Wrap(err, "encode audit entry"))
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Log is the part of the trail that the configuration head record contains: the
// newest entries and the number of segments that hold the older ones.
type Log struct {
	// Segments is the number of immutable segments, which are numbered from 1.
	Segments int `json:"segments"`
	// Entries is never empty after the first append: the next append needs the hash
	// of the last entry.
	Entries []Entry `json:"entries"`
}

// Append returns the log with e appended. It sets Seq, Prev and Hash of e, limits
// its size and removes secrets from its free text.
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

// FindOperation returns the first of the entries that records the operation.
func FindOperation(entries []Entry, opID string) (Entry, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return opID != "" && e.OpID == opID })
	if i < 0 {
		return Entry{}, false
	}
	return entries[i], true
}

// secretPattern matches what may be a secret: bearer tokens, SHA-256 hashes of
// keys, and strings of 32 or more characters from the base64 alphabets, like
// generated tokens.
var secretPattern = regexp.MustCompile(`(?i)(bearer\s+\S+|sha256:[0-9a-f]+|[A-Za-z0-9+/=_-]{32,})`)

// uuidPattern matches operation ids, which are not secret.
var uuidPattern = regexp.MustCompile(`^[0-9a-f]{8}-([0-9a-f]{4}-){3}[0-9a-f]{12}$`)

// Sanitize prepares free text for the trail: it replaces control characters,
// removes anything that looks like a key or a token, and truncates the result to
// MaxReasonBytes.
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

// SegmentKey returns the store key of segment n.
func SegmentKey(n int) string { return fmt.Sprintf("audit/%d", n) }

// NextSegment returns the next segment to write and its number. The segment holds
// all entries except the newest keep ones, of which at least one stays in the log.
// It returns false if there are no entries to move.
func (l Log) NextSegment(keep int) (n int, s Segment, ok bool) {
	moveCount := len(l.Entries) - max(keep, 1)
	if moveCount <= 0 {
		return 0, Segment{}, false
	}
	return l.Segments + 1, Segment{Entries: l.Entries[:moveCount]}, true
}

// WithoutSegment returns the log without the entries of its next segment s, which
// must have been written already. If an interrupted rotation wrote s earlier, it
// may be shorter than the result of NextSegment, but it must hold the oldest
// entries of the log.
func (l Log) WithoutSegment(s Segment) (Log, error) {
	n := len(s.Entries)
	if n == 0 || n >= len(l.Entries) {
		return l, errors.Errorf("segment %d has %d entries, the head has %d", l.Segments+1, n, len(l.Entries))
	}
	for i, e := range s.Entries {
		if e.Hash != l.Entries[i].Hash {
			return l, &IntegrityError{Seq: l.Entries[i].Seq, Reason: fmt.Sprintf("segment %d holds a different entry", l.Segments+1)}
		}
	}
	return Log{Segments: l.Segments + 1, Entries: slices.Clone(l.Entries[n:])}, nil
}

// IntegrityError reports the first entry at which the hash chain is broken.
type IntegrityError struct {
	Seq    uint64
	Reason string
}

// Error implements error.
func (e *IntegrityError) Error() string { return fmt.Sprintf("audit entry %d: %s", e.Seq, e.Reason) }

// Verify checks the hash chain of consecutive entries. previous is the entry before
// the first one, or nil if the list starts with the first entry of the trail. The
// error is an *IntegrityError.
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
			return &IntegrityError{Seq: e.Seq, Reason: "does not link to the previous entry"}
		case e.Hash != e.contentHash():
			return &IntegrityError{Seq: e.Seq, Reason: "its content does not match its hash"}
		}
		seq, hash = e.Seq, e.Hash
	}
	return nil
}

// JSONLines returns the entries as JSON Lines.
func JSONLines(entries []Entry) []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, e := range entries {
		if err := enc.Encode(e); err != nil {
			panic(errors.Wrap(err, "encode audit entry"))
		}
	}
	return out.Bytes()
}
