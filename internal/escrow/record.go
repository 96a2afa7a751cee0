// Package escrow keeps the prepaid budgets of client accounts as bounded
// counters: the store's record of an account says how many tokens each daemon
// has drawn, and a daemon spends only tokens that it holds. The sum of the drawn
// tokens never exceeds the prepaid budget, so the spend cannot exceed it either,
// whatever crashes and network partitions occur. Tokens of a crashed daemon count as
// spent.
//
// The package performs no I/O. The caller serializes the calls, passes the time and
// carries out the writes that the methods return.
package escrow

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Record is the store's value for one account.
//
// Invariant: Retired + sum(Drawn) <= the prepaid budget at the time of the
// last draw.
type Record struct {
	// Retired is the number of tokens spent by holders that have ended.
	Retired int64 `json:"retired"`
	// Drawn is the net amount that each holder has drawn, by holder id. It may be
	// negative: a holder can return tokens that it received from a peer.
	Drawn map[string]int64 `json:"drawn,omitempty"`
	// Rate is the recent spend per second of each holder as of its last write.
	Rate map[string]int64 `json:"rate,omitempty"`
}

// ParseRecord decodes a record. An empty value stands for a new account.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode budget record")
}

// Encode returns the record's value.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode budget record")
}

// TotalDrawn returns the tokens drawn by all holders, including those that have
// ended.
func (r Record) TotalDrawn() int64 {
	sum := r.Retired
	for _, n := range r.Drawn {
		sum += n
	}
	return sum
}

// holderSeparator separates the instance from the incarnation in a holder id.
const holderSeparator = "/"

// HolderID returns the holder id of one incarnation of an instance.
func HolderID(instance, incarnation string) string { return instance + holderSeparator + incarnation }

// instanceOf returns the instance part of a holder id.
func instanceOf(holder string) string {
	if i := strings.LastIndex(holder, holderSeparator); i >= 0 {
		return holder[:i]
	}
	return holder
}

// withHolder returns a copy of the record with the drawn amount and rate of a holder.
// Earlier incarnations of the same instance have ended, so the tokens that they drew
// are retired.
func (r Record) withHolder(holder string, drawn, rate int64) Record {
	next := Record{
		Retired: r.Retired, Drawn: make(map[string]int64, len(r.Drawn)+1), Rate: make(map[string]int64, len(r.Drawn)+1),
	}
	for name, n := range r.Drawn {
		if name != holder && instanceOf(name) == instanceOf(holder) {
			next.Retired += n
			continue
		}
		next.Drawn[name] = n
		next.Rate[name] = r.Rate[name]
	}
	next.Drawn[holder] = drawn
	next.Rate[holder] = rate
	return next
}

// rateShare returns the fraction of all holders' rate of spend that belongs to the
// holder if it spends at rate.
func (r Record) rateShare(holder string, rate float64) float64 {
	sum := rate
	for name, n := range r.Rate {
		if instanceOf(name) != instanceOf(holder) {
			sum += float64(n)
		}
	}
	if sum <= 0 {
		return 1 / float64(len(r.Drawn)+1)
	}
	return rate / sum
}

// withoutHolder returns a copy of the record in which the holder has ended after
// spending an amount.
func (r Record) withoutHolder(holder string, spent int64) Record {
	next := r.withHolder(holder, 0, 0)
	delete(next.Drawn, holder)
	delete(next.Rate, holder)
	next.Retired += spent
	return next
}
