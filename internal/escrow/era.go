package escrow

import (
	"maps"
	"slices"
	"time"
)

// When the store comes back from an older copy, a new era begins: the store no longer has
// what was written after the copy, and gives the same revisions out again. The record of an
// account has a key of its own in each era, so that a write that was sent in a former era
// cannot change it. It begins with the newest record that any daemon knows of the former
// eras, see Reconcile.

// maxCopyAge is the age of a copy that Reconcile assumes for holders that are not heard.
const maxCopyAge = 15 * time.Second

// Known is a record as one daemon, or the copy of the store, has it. Revisions order the
// records of all eras.
type Known struct {
	Record   Record
	Revision int64
}

// Era returns the era of the store that the holding acts in.
func (h *Holding) Era() int64 { return h.era }

// Reconciled reports whether the account's record of the current era is known. Until it is,
// the holding spends and transfers what it has and writes nothing.
func (h *Holding) Reconciled() bool { return h.reconciled }

// EnterEra begins a new era. The newest known record is kept as evidence. Responses to writes
// of the former era are not counted from now on.
func (h *Holding) EnterEra(era int64) {
	if era <= h.era {
		return
	}
	h.era, h.reconciled, h.exhaustedUntil = era, false, time.Time{}
}

// Known returns the newest known record; ok is false if there is none.
func (h *Holding) Known() (k Known, ok bool) {
	return Known{Record: h.record, Revision: h.revision}, h.revision > 0
}

// Begin returns the write that creates the account's record of the current era from a
// reconciled one. It returns false if the record exists already or a write is in flight.
func (h *Holding) Begin(r Record) (Write, bool) {
	if h.reconciled || h.writeInFlight {
		return Write{}, false
	}
	h.writeInFlight = true
	return Write{Record: r, Era: h.era}, true
}

// BeginEmpty begins the current era for an account that never had a record: the first draw
// creates it.
func (h *Holding) BeginEmpty() {
	if _, known := h.Known(); !h.reconciled && !known {
		h.reconciled = true
	}
}

// debt returns the tokens that are used or transferred beyond those that the record has for
// this holder.
func (h *Holding) debt() int64 { return max(0, -h.Available()) }

// Evidence is what can be found out about an account's record of the former eras.
type Evidence struct {
	// Known are the newest records of the daemons that answered.
	Known []Known
	// Copy is the record in the restored store, if it has one. It may also be the work of a
	// daemon that wrote before it heard of the new era.
	Copy *Known
	// Heard are the holders that answered, Unheard those that are known to be missing.
	// Holders that a record lists and that did not answer count as missing, too.
	Heard   map[string]bool
	Unheard []string
}

// Reconcile returns the record with which an account begins a new era. The newest record of
// the former eras holds all draws, since each write builds on the one before, and its writer
// knows it. Where holders are missing, one of them may be that writer: what they may have
// drawn since counts as drawn, up to the whole rest of the budget. They return what they did
// not draw once they act again.
func Reconcile(e Evidence, prepaid int64) Record {
	var newest Known
	for _, k := range e.Known {
		if k.Revision > newest.Revision {
			newest = k
		}
	}
	if e.Copy != nil && newest.Revision == 0 {
		newest = *e.Copy
	}
	r := newest.Record.clone()
	if e.Copy != nil && e.Copy.Revision > newest.Revision {
		r.raise(e.Copy.Record, e.Heard, prepaid)
	}
	rest := max(0, prepaid-r.TotalDrawn())
	for _, holder := range r.Missing(e) {
		r.Drawn[holder] += r.within(r.undrawnBound(holder, rest, prepaid), prepaid)
	}
	return r
}

// clone returns a copy of the record with maps that can be changed.
func (r Record) clone() Record {
	next := Record{Retired: r.Retired, Drawn: make(map[string]int64, len(r.Drawn)), Rate: make(map[string]int64, len(r.Rate))}
	for holder, n := range r.Drawn {
		next.Drawn[holder], next.Rate[holder] = n, r.Rate[holder]
	}
	return next
}

// raise raises the entries of the holders that are not heard, and the retired spend, to
// those of another record, as far as the budget reaches. What the other record has retired of
// a holder that is still listed here counts once.
func (r *Record) raise(other Record, heard map[string]bool, prepaid int64) {
	retired := other.Retired
	for holder, n := range r.Drawn {
		if _, listed := other.Drawn[holder]; !listed {
			retired -= n
		}
	}
	r.Retired += r.within(retired-r.Retired, prepaid)
	for _, holder := range slices.Sorted(maps.Keys(other.Drawn)) {
		if !heard[holder] {
			r.Drawn[holder] += r.within(other.Drawn[holder]-r.Drawn[holder], prepaid)
			r.Rate[holder] = max(r.Rate[holder], other.Rate[holder])
		}
	}
}

// within limits an increase to what the record leaves of the budget.
func (r Record) within(increase, prepaid int64) int64 {
	return max(0, min(increase, prepaid-r.TotalDrawn()))
}

// Missing returns the holders that did not answer, in order.
func (r Record) Missing(e Evidence) []string {
	absent := make(map[string]bool, len(e.Unheard))
	for _, holder := range e.Unheard {
		absent[holder] = true
	}
	for holder := range r.Drawn {
		absent[holder] = true
	}
	var list []string
	for holder := range absent {
		if !e.Heard[holder] {
			list = append(list, holder)
		}
	}
	slices.Sort(list)
	return list
}

// undrawnBound returns what a holder that is missing may have drawn since the record: its
// part of what all holders keep of the rest, and what it spends in the age of a copy.
func (r Record) undrawnBound(holder string, rest, prepaid int64) int64 {
	rate := float64(r.Rate[holder])
	held := maxOwnerHeldFraction * float64(rest) * max(r.rateShare(holder, rate), 1/float64(len(r.Drawn)+1))
	if left := float64(rest) / float64(max(prepaid, 1)); left < shrinkBelowFraction {
		held *= left / shrinkBelowFraction
	}
	return int64(held + rate*maxCopyAge.Seconds())
}
