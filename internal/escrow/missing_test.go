package escrow

import "testing"

// Guards against a request that is paid for twice near the end of a budget: a daemon draws
// what one request needs, is missing when the store is restored without that draw, and the
// others draw the same tokens.
func TestReconcileCountsTheLastRequestOfAMissingHolder(t *testing.T) {
	const prepaid, request = 14_500, 145
	record := Record{
		Drawn: map[string]int64{"a/1": 7000, "b/1": 7000, "c/1": 300},
		Rate:  map[string]int64{"a/1": 100, "b/1": 100, "c/1": 2},
	}
	for rest := int64(request); rest <= prepaid-14_300; rest += 5 {
		record.Drawn["b/1"] = prepaid - 7300 - rest
		r := Reconcile(Evidence{Known: []Known{{Record: record, Revision: 9}}, Heard: map[string]bool{"a/1": true, "b/1": true}}, prepaid)
		if got := r.Drawn["c/1"]; got < 300+request {
			t.Fatalf("rest %d: %d tokens count as drawn by the missing holder, which may have drawn %d", rest, got, 300+request)
		}
	}
}
