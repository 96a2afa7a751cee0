package budget

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// recorder is a rapid.TB that notes a failure instead of failing the test.
type recorder struct {
	rapid.TB
	failed string
}

type stopped struct{}

func (r *recorder) Helper()             {}
func (r *recorder) Name() string        { return "flaw" }
func (r *recorder) Log(...any)          {}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Failed() bool        { return r.failed != "" }
func (r *recorder) Fail()               { r.failed += "failed" }
func (r *recorder) FailNow()            { r.Fail(); panic(stopped{}) }

func (r *recorder) Error(args ...any)                 { r.failed += fmt.Sprint(args...) }
func (r *recorder) Errorf(format string, args ...any) { r.failed += fmt.Sprintf(format, args...) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); panic(stopped{}) }
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...); panic(stopped{}) }

// Guards against a fuzz that cannot fail: with each of these rules switched
// off, it must find a violation.
func TestFuzzFindsFlaws(t *testing.T) {
	if err := flag.Set("rapid.shrinktime", "0s"); err != nil {
		t.Fatal(err)
	}
	for name, f := range map[string]flaw{
		"reclaim on time alone":               flawReclaimOnTime,
		"no sequence in the flush":            flawNoSequence,
		"release what a dead daemon reserved": flawReleaseDead,
		"accept an old epoch's answer":        flawOldAck,
		"skip the mirror":                     flawNoMirror,
		"no settlement numbers":               flawNoWatermark,
		"reuse tokens that a mirror shows":    flawReuseMirrored,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &recorder{}
			func() {
				defer func() {
					if v := recover(); v != nil && v != any(stopped{}) {
						panic(v)
					}
				}()
				rapid.Check(r, property(f))
			}()
			if r.failed == "" {
				t.Fatal("the fuzz did not find the flaw")
			}
			t.Log(r.failed)
		})
	}
}
