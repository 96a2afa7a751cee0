package budget

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// recorder is a rapid.TB that records a failure instead of failing the test.
type recorder struct {
	rapid.TB
	failure string
}

// stopped is the panic value with which a recorder ends the check.
type stopped struct{}

func (r *recorder) Helper()             {}
func (r *recorder) Name() string        { return "disabled rule" }
func (r *recorder) Log(...any)          {}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Failed() bool        { return r.failure != "" }
func (r *recorder) Fail()               { r.failure += "failed" }
func (r *recorder) FailNow()            { r.Fail(); panic(stopped{}) }

func (r *recorder) Error(args ...any)                 { r.failure += fmt.Sprint(args...) }
func (r *recorder) Errorf(format string, args ...any) { r.failure += fmt.Sprintf(format, args...) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); panic(stopped{}) }
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...); panic(stopped{}) }

// Guards against a fuzz test that cannot fail: with each of these rules disabled
// it must find a violation.
func TestFuzzFindsFlaws(t *testing.T) {
	for _, tt := range []struct {
		name string
		rule ruleSet
		// seed is a seed with which the violation is found early.
		seed string
	}{
		{"reclaim on time alone", ruleAwaitHolders, "8"},
		{"no sequence in the flush", ruleFlushSequence, "13"},
		{"release what a dead daemon reserved", ruleChargeDead, "8"},
		{"accept an old epoch's answer", ruleRefuseOldEpoch, "8"},
		{"skip the mirror", ruleMirror, "4"},
		{"no settlement numbers", ruleSettlementNumbers, "8"},
		{"reuse tokens that a mirror shows", ruleHoldUncleared, "8"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			setFlags(t, map[string]string{"rapid.shrinktime": "0s", "rapid.seed": tt.seed, "rapid.checks": "150"})
			r := &recorder{}
			func() {
				defer func() {
					if v := recover(); v != nil && v != any(stopped{}) {
						panic(v)
					}
				}()
				rapid.Check(r, property(tt.rule))
			}()
			if r.failure == "" {
				t.Fatal("the fuzz test found no violation although a rule is disabled")
			}
			t.Log(r.failure)
		})
	}
}

// setFlags sets flags until the end of the test.
func setFlags(t *testing.T, flags map[string]string) {
	for name, value := range flags {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, old) })
	}
}
