package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Revision orders the writes of the whole store; 0 is the revision of a key that
// does not exist.
//
// It consists of an era and a number, compared in this order. A store that is
// restored from an older copy assigns numbers again, in an era that is higher by
// one. Revisions of stores without eras have era 0.
type Revision int64

// numberBits is the number of low bits of a Revision that hold the store's number;
// the rest holds the era.
const numberBits = 43

// MaxNumber is the highest number of a Revision. No write has it.
const MaxNumber = 1<<numberBits - 1

// NewRevision returns the revision with the store's number in an era, or an error if
// one of them is out of range.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era >= 1<<(63-numberBits) {
		return 0, errors.Errorf("era %d of the store is out of range", era)
	}
	if number < 0 || number > MaxNumber {
		return 0, errors.Errorf("revision %d of the store is out of range", number)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r >> numberBits) }

// Number returns the store's own number of the revision within its era.
func (r Revision) Number() int64 { return int64(r & MaxNumber) }

// String returns the revision as "ERA/NUMBER", or as "NUMBER" in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
