package claim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Shards is the number of records over which claims are distributed.
const Shards = 64

// Bounds of a claim shard.
const (
	// MaxRecordBytes keeps a record far below the store's limit of 1 MB.
	MaxRecordBytes = 512 << 10
	// MaxAnswerBytes limits a stored answer; a longer one is not stored.
	MaxAnswerBytes = 2 << 10
	// DefaultRetention is the default of Options.Retention.
	DefaultRetention = time.Hour
)

// ID identifies a non-idempotent request.
type ID struct {
	Account, Service, Key string
}

// String returns the key of the claim in its record.
func (id ID) String() string { return id.Account + "\x00" + id.Service + "\x00" + id.Key }

// ShardOf returns the shard of a claim.
func ShardOf(id ID) int { return int(xxhash.Sum64String(id.String()) % Shards) }

// State is the state of a claim. A released claim is not in the record.
type State uint8

// The states of a claim.
const (
	// Claimed means that the request may have been dispatched and is not known
	// to have run.
	Claimed State = iota + 1
	// Done means that the request ran.
	Done
	// Unknown means that the request was dispatched and its outcome is unknown.
	Unknown
)

// Claim is one entry of a record.
type Claim struct {
	// Token identifies the attempt that holds the claim. Invariant: it never
	// changes while the claim is in the record.
	Token string `json:"t"`
	// Daemon is the id of the daemon that may dispatch the request.
	Daemon string `json:"d"`
	State  State  `json:"s"`
	// Unix is the Unix time in seconds of the last change of State.
	Unix int64 `json:"u"`
	// Status and Answer are the first answer, if it was small enough.
	Status int    `json:"c,omitempty"`
	Answer []byte `json:"a,omitempty"`
}

// estimatedSize returns an upper estimate of the claim's encoded size in bytes.
func (c Claim) estimatedSize(id string) int {
	return len(id) + len(c.Token) + len(c.Daemon) + len(c.Answer)*4/3 + 80
}

// Record is the value of claim/<shard>.
type Record struct {
	Claims map[string]Claim `json:"claims"`
}

// Marshal encodes the record.
func (r *Record) Marshal() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode claim record")
}

// Unmarshal decodes a record; an empty value is an empty record.
func Unmarshal(value []byte) (*Record, error) {
	r := &Record{Claims: make(map[string]Claim)}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "decode claim record")
	}
	if r.Claims == nil {
		r.Claims = make(map[string]Claim)
	}
	return r, nil
}

// expire removes the claims that are older than the retention.
func (r *Record) expire(now time.Time, retention time.Duration) {
	for id, c := range r.Claims {
		if now.Sub(time.Unix(c.Unix, 0)) > retention {
			delete(r.Claims, id)
		}
	}
}

func (r *Record) estimatedSize() (bytes int) {
	for id, c := range r.Claims {
		bytes += c.estimatedSize(id)
	}
	return bytes
}

// dropAnswers removes the oldest stored answers until the record's estimated
// size is at most limit bytes, or no answer is left.
func (r *Record) dropAnswers(limit int) {
	for size := r.estimatedSize(); size > limit; {
		oldest := ""
		for id, c := range r.Claims {
			if o := r.Claims[oldest]; len(c.Answer) > 0 &&
				(oldest == "" || c.Unix < o.Unix || (c.Unix == o.Unix && id < oldest)) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		c := r.Claims[oldest]
		size -= len(c.Answer) * 4 / 3
		c.Answer = nil
		r.Claims[oldest] = c
	}
}
