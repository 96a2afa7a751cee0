package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

func newLog(n int) Log {
	var l Log
	for i := range n {
		l = l.Append(Entry{At: time.Unix(int64(i), 0), Actor: fmt.Sprintf("op%d", i%2), Team: "north", Kind: KindApply,
			Subjects: []Subject{{"account", fmt.Sprintf("a%d", i)}}, Result: ResultDone, Revision: uint64(i + 1)})
	}
	return l
}

// Guards against tampering that verification does not detect or attributes to the
// wrong entry.
func TestVerifyNamesBrokenEntry(t *testing.T) {
	for _, test := range []struct {
		name string
		edit func([]Entry) []Entry
		want uint64
	}{
		{"intact", func(e []Entry) []Entry { return e }, 0},
		{"altered", func(e []Entry) []Entry { e[3].Reason = "other"; return e }, 4},
		{"altered with new hash", func(e []Entry) []Entry { e[3].Reason = "other"; e[3].Hash = e[3].contentHash(); return e }, 5},
		{"removed", func(e []Entry) []Entry { return append(e[:3], e[4:]...) }, 4},
		{"swapped", func(e []Entry) []Entry { e[3], e[4] = e[4], e[3]; return e }, 4},
		{"first removed", func(e []Entry) []Entry { return e[1:] }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := Verify(nil, test.edit(newLog(8).Entries))
			var broken *IntegrityError
			var got uint64
			if errors.As(err, &broken) {
				got = broken.Seq
			}
			if got != test.want {
				t.Errorf("broken entry %d (%v), want %d", got, err, test.want)
			}
		})
	}
}

// Guards against hashes that no longer match after an entry was encoded to JSON and
// decoded.
func TestVerifyAfterJSON(t *testing.T) {
	var got []Entry
	for line := range strings.Lines(string(JSONLines(newLog(5).Entries))) {
		var e Entry
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		got = append(got, e)
	}
	if err := Verify(nil, got); err != nil || len(got) != 5 {
		t.Errorf("%d entries: %v", len(got), err)
	}
}

// Guards against losing entries when a rotation is interrupted after writing the
// segment and repeated after entries were appended to the head.
func TestRotation(t *testing.T) {
	l := newLog(10)
	n, early, ok := l.NextSegment(4)
	if !ok || n != 1 || len(early.Entries) != 6 {
		t.Fatalf("segment %d with %d entries, want segment 1 with 6", n, len(early.Entries))
	}
	grown := l.Append(Entry{Kind: KindTopUp})
	rotated, err := grown.WithoutSegment(early)
	if err != nil {
		t.Fatal(err)
	}
	if rotated.Segments != 1 || len(rotated.Entries) != 5 {
		t.Errorf("%d segments, %d entries, want 1 and 5", rotated.Segments, len(rotated.Entries))
	}
	if err := Verify(&early.Entries[5], rotated.Entries); err != nil {
		t.Error(err)
	}
	if _, err := newLog(3).WithoutSegment(early); err == nil {
		t.Error("a segment with more entries than the head is accepted")
	}
	other := Segment{Entries: []Entry{{Seq: 1, Hash: "x"}}}
	if _, err := l.WithoutSegment(other); err == nil {
		t.Error("a segment with a different entry is accepted")
	}
	if _, _, ok := newLog(4).NextSegment(4); ok {
		t.Error("a short list is rotated")
	}
}

func TestFilter(t *testing.T) {
	entries := newLog(6).Append(Entry{At: time.Unix(6, 0), Kind: KindTopUp, Subjects: []Subject{{"budget", "a1/main"}},
		Result: ResultDone}).Append(Entry{At: time.Unix(7, 0), Kind: KindApply, Result: ResultRefused,
		Subjects: append(make([]Subject, MaxSubjects), Subject{"service", "s"})}).Entries
	for _, test := range []struct {
		name string
		f    Filter
		want []uint64
	}{
		{"time", Filter{From: time.Unix(2, 0), To: time.Unix(4, 0)}, []uint64{3, 4}},
		{"actor", Filter{Actor: "op1"}, []uint64{2, 4, 6}},
		{"account with budgets", Filter{Account: "a1"}, []uint64{2, 7, 8}},
		{"service beyond the listed subjects", Filter{Service: "s"}, []uint64{8}},
		{"kind", Filter{Kind: KindTopUp}, []uint64{7}},
		{"result", Filter{Result: ResultRefused}, []uint64{8}},
		{"office", Filter{Team: "south"}, nil},
	} {
		var got []uint64
		for _, e := range test.f.Select(entries) {
			got = append(got, e.Seq)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against keys and tokens in the trail, and against entries of unbounded
// size.
func TestEntryRevealsNoSecrets(t *testing.T) {
	secrets := []string{"Bearer abc", "sha256:00ff", strings.Repeat("a1", 16)}
	for _, secret := range secrets {
		e := Log{}.Append(Entry{Reason: "see " + secret + " there", Detail: secret, Actor: secret}).Entries[0]
		if line := string(JSONLines([]Entry{e})); strings.Contains(line, secret) {
			t.Errorf("entry reveals %q: %s", secret, line)
		}
	}
	const id = "0b9f5a1e-3c1d-4e8e-9a43-0f6ad1b4b111"
	if got := Sanitize("repeat of " + id); !strings.Contains(got, id) {
		t.Errorf("operation id removed: %q", got)
	}
	if got := Sanitize(strings.Repeat("é ", 1000)); len(got) > MaxReasonBytes {
		t.Errorf("reason has %d bytes", len(got))
	}
}
