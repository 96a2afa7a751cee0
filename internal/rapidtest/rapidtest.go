// Package rapidtest helps tests with pgregory.net/rapid: fixed seeds, and a
// check that a property rejects a deliberately broken variant. Only tests use
// it.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Main runs the tests of a package with a fixed seed unless -rapid.seed is
// given, so that the verdict is the same on every run. It does not return.
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
	// An expected failure needs no shrinking, which takes up to 30 s.
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
		t.Error("the property accepts the broken variant")
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
