// Package escrow keeps the prepaid budgets of client accounts as bounded
// counters: the store's record of an account says how many tokens each daemon
// has drawn, and a daemon spends only what it holds. The sum of what is drawn
// never exceeds the prepaid budget, so the spend can't either, whatever daemons
// and partitions do. Tokens of a daemon that died count as spent.
//
// The package does no input or output. The caller holds the lock, passes the
// time and carries out the writes and messages that it returns.
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
	// Retired is the spend of holders that have ended.
	Retired int64 `json:"retired"`
	// Drawn is the net amount that each holder has taken, by holder. It may be
	// negative: a holder can return tokens that it received from a peer.
	Drawn map[string]int64 `json:"drawn,omitempty"`
	// Rate is the recent spend a second of each holder, as of its last write.
	Rate map[string]int64 `json:"rate,omitempty"`
}

// ParseRecord decodes a record; an empty value is the record of a new account.
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

// TotalDrawn is what all holders have taken together.
func (r Record) TotalDrawn() int64 {
	sum := r.Retired
	for _, n := range r.Drawn {
		sum += n
	}
	return sum
}

// holderSeparator stands between the instance and the start of a holder's id.
const holderSeparator = "/"

// HolderID names one start of an instance.
func HolderID(instance, incarnation string) string { return instance + holderSeparator + incarnation }

// instanceOf returns the instance of a holder's id.
func instanceOf(holder string) string {
	if i := strings.LastIndex(holder, holderSeparator); i >= 0 {
		return holder[:i]
	}
	return holder
}

// with returns a copy in which holder has drawn an amount and spends at a rate. Earlier starts of
// the same instance have ended, so what they drew is retired.
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

// share is the part of the holders' spend that is the holder's, at its rate.
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

// without returns a copy in which holder has ended after spending an amount.
func (r Record) withoutHolder(holder string, spent int64) Record {
	next := r.withHolder(holder, 0, 0)
	delete(next.Drawn, holder)
	delete(next.Rate, holder)
	next.Retired += spent
	return next
}
