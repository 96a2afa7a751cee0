package rollout

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// runEdit carries out an edit without faults.
func runEdit(s *memstore.Store, edit Edit) (Result, error) {
	return runEditor(s, NewEditor(edit, nil))
}

func runEditor(s *memstore.Store, e *Editor) (Result, error) {
	for !e.Done() {
		var responses []Response
		for _, key := range e.Request().Get {
			item, err := s.Get(context.Background(), key)
			responses = append(responses, Response{item, err})
		}
		for _, put := range e.Request().Put {
			item, err := s.CompareAndSwap(context.Background(), put)
			responses = append(responses, Response{item, err})
		}
		for _, d := range e.Request().Delete {
			responses = append(responses, Response{Err: s.Delete(context.Background(), d.Key, d.Expected)})
		}
		e.Step(time.Unix(2000, 0), responses)
	}
	return e.Result()
}

func mustApply(t *testing.T, s *memstore.Store, op string, base uint64, content map[string]int) uint64 {
	t.Helper()
	result, err := runEdit(s, Edit{Action: ActionApply, OpID: op, Base: base, Config: configOf(content),
		HasSpend: func(account string) bool { return account == "spent" }})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// Guards against errors that the API cannot distinguish, and against a rollback
// that does not create a new revision.
func TestEditorResults(t *testing.T) {
	s := memstore.New(nil)
	mustApply(t, s, "1", 0, map[string]int{"a": 1, "spent": 1})
	mustApply(t, s, "2", 1, map[string]int{"a": 2, "spent": 1})

	_, err := runEdit(s, Edit{Action: ActionApply, OpID: "3", Base: 1, Config: configOf(map[string]int{"a": 3, "spent": 1})})
	var conflict *config.MergeError
	if !errors.As(err, &conflict) || conflict.Conflicts[0].Name != "a" {
		t.Errorf("conflict: got %v", err)
	}
	_, err = runEdit(s, Edit{Action: ActionApply, OpID: "4", Base: 2, Config: configOf(map[string]int{"a": 2})})
	var guard *config.GuardError
	if !errors.As(err, &guard) {
		t.Errorf("removed account with spend: got %v", err)
	}
	_, err = runEdit(s, Edit{Action: ActionRollback, OpID: "5", Base: 1, TargetRevision: 1})
	var stale *StaleError
	if !errors.As(err, &stale) || stale.Current != 2 {
		t.Errorf("stale rollback: got %v", err)
	}
	_, err = runEdit(s, Edit{Action: ActionRollback, OpID: "6", Base: 2, TargetRevision: 9})
	var unknown *UnknownRevisionError
	if !errors.As(err, &unknown) || unknown.Revision != 9 {
		t.Errorf("unknown revision: got %v", err)
	}
	invalid := config.New()
	invalid.Services["x"] = config.Service{Kind: "odd"}
	_, err = runEdit(s, Edit{Action: ActionApply, OpID: "7", Base: 2, Config: invalid})
	var errs config.Errors
	if !errors.As(err, &errs) {
		t.Errorf("invalid configuration: got %v", err)
	}
	rolledBack, err := runEdit(s, Edit{Action: ActionRollback, OpID: "8", Base: 2, TargetRevision: 1})
	if err != nil || rolledBack.Revision != 3 {
		t.Errorf("rollback: revision %d, error %v, want a new revision 3", rolledBack.Revision, err)
	}
	retried, err := runEdit(s, Edit{Action: ActionRollback, OpID: "8", Base: 2, TargetRevision: 1})
	if diff := cmp.Diff(Result{Revision: 3, Repeated: true}, retried); diff != "" || err != nil {
		t.Errorf("retry: %v (-want +got):\n%s", err, diff)
	}
}

// Guards against a retry that is accepted a second time because the entry of the
// first attempt has moved into a segment, and against unbounded growth of the head.
func TestRepeatAfterRotation(t *testing.T) {
	s := memstore.New(nil)
	content := map[string]int{}
	for i := range forcedRotationThreshold + 50 {
		content[fmt.Sprintf("a%d", i%7)] = i + 1
		mustApply(t, s, fmt.Sprintf("op-%d", i), uint64(i), content)
	}
	item, err := s.Get(context.Background(), HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	head, err := DecodeHead(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(head.Audit.Entries); n > forcedRotationThreshold || head.Audit.Segments != 1 || head.NeedsRotation() {
		t.Errorf("%d entries in the head, %d segments", n, head.Audit.Segments)
	}
	for _, i := range []int{0, 100, forcedRotationThreshold} {
		result, err := runEdit(s, Edit{Action: ActionApply, OpID: fmt.Sprintf("op-%d", i), Base: uint64(i), Config: configOf(content)})
		if want := (Result{Revision: uint64(i) + 1, Repeated: true}); err != nil || !cmp.Equal(want, result) {
			t.Errorf("retry of op-%d: %+v, %v", i, result, err)
		}
	}
	if _, err := runEdit(s, Edit{Action: ActionRotate, OpID: "r"}); err != nil {
		t.Fatal(err)
	}
	if _, err := runEdit(s, Edit{Action: ActionAppendAudit, OpID: "t", Entry: audit.Entry{Kind: audit.KindTopUp}}); err != nil {
		t.Fatal(err)
	}
	checkCollection(t, s, forcedRotationThreshold+50)
}

// checkCollection checks that collections bound the number of store keys and
// retain the revisions that must stay available.
func checkCollection(t *testing.T, s *memstore.Store, newest uint64) {
	t.Helper()
	for range 4 {
		if _, err := runEdit(s, Edit{Action: ActionCollect, OpID: "c"}); err != nil {
			t.Fatal(err)
		}
	}
	items, err := s.List(context.Background(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	if most := 2*(retainedRevisions+1) + 1; len(items) > most {
		t.Errorf("%d keys after the collection, want at most %d", len(items), most)
	}
	if _, err := runEdit(s, Edit{Action: ActionRead, OpID: "old", TargetRevision: newest - retainedRevisions + 1}); err != nil {
		t.Errorf("read of a retained revision: %v", err)
	}
	var unknown *UnknownRevisionError
	if _, err := runEdit(s, Edit{Action: ActionRead, OpID: "older", TargetRevision: 1}); !errors.As(err, &unknown) {
		t.Errorf("read of a collected revision: got %v, want UnknownRevisionError", err)
	}
}

// Guards against a second audit entry for one operation: a retry by another daemon
// must find the entry of the first attempt in a segment.
func TestRecordIsRepeatedAfterRotation(t *testing.T) {
	s := memstore.New(nil)
	record := func(op string) Result {
		e := NewEditor(Edit{Action: ActionAppendAudit, OpID: op, FirstAttemptAt: time.Unix(2000, 0),
			Entry: audit.Entry{Kind: audit.KindTopUp, Result: audit.ResultDone}}, nil)
		e.retainedEntries, e.forcedRotationThreshold = 2, 6
		result, err := runEditor(s, e)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	record("first")
	for i := range 30 {
		record(fmt.Sprintf("other-%d", i))
	}
	if result := record("first"); !result.Repeated {
		t.Errorf("retry appended a second audit entry: %+v", result)
	}
}
