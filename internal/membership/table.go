package membership

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Table is the membership as one daemon sees it. It is not safe for use by
// several goroutines at once.
type Table struct {
	o Options
}

// New returns the table of a daemon that starts now. The caller then reads the
// platform's list, because WantList is true.
func New(o Options, _ time.Time) *Table { return &Table{o: o.withDefaults()} }

// Step takes a message from another daemon.
func (t *Table) Step(_ time.Time, _ Message) Output { return Output{} }

// Tick lets time pass; it is called every TickInterval.
func (t *Table) Tick(_ time.Time) Output { return Output{} }

// List takes a reading of the platform's list, which may be old.
func (t *Table) List(_ time.Time, _ []platform.Instance) Output { return Output{} }

// WantList reports whether the caller is to read the platform's list now. It
// is asked after each Tick. It is true once a second in the list readers of a
// failure domain and seldom in other daemons; a true answer counts as a read.
func (t *Table) WantList(_ time.Time) bool { return false }

// SendFailed takes the report that a message to the member could not be
// delivered, so that it is probed through others at once.
func (t *Table) SendFailed(_ time.Time, _ string) Output { return Output{} }

// Drain marks this daemon as leaving and announces it.
func (t *Table) Drain(_ time.Time) Output { return Output{} }

// Self returns this daemon as a member.
func (t *Table) Self() Member { return Member{} }

// Member returns the member with the ID.
func (t *Table) Member(_ string) (Member, bool) { return Member{}, false }

// Members returns all members ordered by ID, dead ones included until they are
// forgotten.
func (t *Table) Members() []Member { return nil }

// LiveIn returns the live members of a failure domain ordered by ID, this
// daemon included.
func (t *Table) LiveIn(_ string) []Member { return nil }

// Domains returns the names of the known failure domains in order.
func (t *Table) Domains() []string { return nil }

// DomainUnreachable reports whether the whole failure domain is silent.
func (t *Table) DomainUnreachable(_ string) bool { return false }

// Owner returns the live member of the failure domain that owns the key by
// rendezvous hashing.
func (t *Table) Owner(_, _ string) (Member, bool) { return Member{}, false }

// Endpoints returns the endpoints that the list shows as live or leaving,
// ordered by ID.
func (t *Table) Endpoints() []Endpoint { return nil }
