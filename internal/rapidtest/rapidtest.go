// Package rapidtest provides helpers for tests with pgregory.net/rapid: fixed
// seeds, and a check that a property rejects a deliberately broken variant. It is
// imported only by tests.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Main runs the tests of a package with a fixed seed unless -rapid.seed is given,
// so that every run checks the same cases. It does not return.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		set("rapid.seed", "20260801")
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// MustFail runs a property on a broken variant and fails t if the property
// accepts it.
func MustFail(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	// Shrinking takes up to 30 s and an expected failure does not need it.
	shrink := flag.Lookup("rapid.shrinktime").Value.String()
	set("rapid.shrinktime", "1ms")
	defer set("rapid.shrinktime", shrink)
	rec := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(rec, prop)
	}()
	<-done
	if !rec.failed {
		t.Error("property accepts the broken variant")
	}
}

// recorder is a testing.TB that records a failure instead of reporting it.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
