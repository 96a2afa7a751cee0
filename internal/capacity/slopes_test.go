package capacity

import (
	"bytes"
	"math"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/peer"
)

// Guards against a wrong fit: points on a line must give that line, and other points
// must give a residual.
func TestFit(t *testing.T) {
	got, err := NewFit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil || math.Abs(got.Slope-2) > 1e-9 || math.Abs(got.Intercept-3) > 1e-9 || got.Residual > 1e-9 {
		t.Errorf("fit %+v, %v; want slope 2, intercept 3", got, err)
	}
	got, err = NewFit([]Point{{1, 1}, {2, 4}, {4, 16}})
	if err != nil || got.Residual < 0.03 {
		t.Errorf("fit of a parabola %+v, %v; want a residual", got, err)
	}
}

// Guards against a fit of fewer than three sizes.
func TestFitNeedsSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := NewFit(points); err == nil {
			t.Errorf("fit of %v succeeded", points)
		}
	}
}

// Guards against a page that differs from the one rendered from bench/slopes.json.
func TestPageMatchesSlopes(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Render(f)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("docs/CAPACITY.md differs; run go test -run xxx ./internal/capacity -slopes=page\n%s", diff)
	}
	// A changed point must change the page.
	for i := range f.Series {
		if f.Series[i].Name == "list.read" {
			f.Series[i].Points[2].Value *= 2
		}
	}
	if other, err := Render(f); err != nil || bytes.Equal(other, want) {
		t.Errorf("the page does not depend on list.read (%v)", err)
	}
}

// Guards against fits in the file that do not belong to its points, and against series
// with too few sizes. Only the benchmark of a mass restart has two.
func TestFileIsConsistent(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	refitted := &File{}
	for _, s := range f.Series {
		if !s.Fitted() && s.Name != "restart.worst" && s.Name != "restart.joined" {
			t.Errorf("series %s has %d sizes", s.Name, len(s.Points))
		}
		if err := refitted.Set(s); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff(f, refitted); diff != "" {
		t.Errorf("fits differ (-file +points):\n%s", diff)
	}
}

// Guards against a missing point that is taken as zero.
func TestRenderNeedsAllPoints(t *testing.T) {
	if _, err := Render(&File{}); err == nil {
		t.Error("a page without measurements was rendered")
	}
}

// Guards against settlement traffic that differs from the file. The traffic is
// deterministic, so a change of the protocol must change the page.
func TestSettlementTrafficMatchesSlopes(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	want, err := f.At("settle.bytes", 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := simulateSettlements(t, settleTick*10); math.Abs(got.bytes-want) > 1e-6 {
		t.Errorf("settlements of %v bytes/s, the file has %v", got.bytes, want)
	}
}

// Guards against negative values. A heap figure was negative when garbage of earlier
// work was freed during its measurement, because a single collection was not enough.
func TestPointsAreNotNegative(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range f.Series {
		for _, p := range s.Points {
			if p.Value < 0 || p.Size <= 0 {
				t.Errorf("series %s has %v at %v", s.Name, p.Value, p.Size)
			}
		}
	}
}

// Guards against more store writes than the page states, for example because of early
// flushes at a steady load.
func TestFlushesMatchSlopes(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	want, err := f.At("flush.writes", 1.0/longFlushSeconds)
	if err != nil {
		t.Fatal(err)
	}
	if got := simulateFlushes(t, longFlushSeconds*time.Second); got.writes != want || got.refused != 0 {
		t.Errorf("%v writes/s and %v refused, want %v and 0", got.writes, got.refused, want)
	}
}

// Guards against an instance list or a message that grows without a change of the
// page.
func TestBytesMatchSlopes(t *testing.T) {
	f, err := Read(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	list, err := f.At("list.read", Instances)
	if err != nil {
		t.Fatal(err)
	}
	if got := float64(len(instanceList(t, Instances))); got != list {
		t.Errorf("instance list of %v bytes, the file has %v", got, list)
	}
	reserve, err := f.At("wire.reserve", daemonIDBytes)
	if err != nil {
		t.Fatal(err)
	}
	r := budget.ReserveRequest{Shard: 100, Epoch: 100, LowestPending: 20_000, Reservation: newReservation(1)}
	if got := float64(peer.ReserveBytes(r)); got != reserve {
		t.Errorf("Reserve of %v bytes, the file has %v", got, reserve)
	}
}
