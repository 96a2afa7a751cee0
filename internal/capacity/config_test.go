package capacity

import (
	"runtime"
	"testing"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/directory"
)

// withChangedAccount returns a copy of c with one account changed.
func withChangedAccount(c *config.Config) *config.Config {
	next := c.Clone()
	a := next.Accounts[accountName(0)]
	a.Weight++
	next.Accounts[accountName(0)] = a
	return next
}

// changeBytes returns the bytes that a change from m to next writes to the store:
// the new manifest and the sections that m does not have.
func changeBytes(m, next config.Manifest, sections map[config.Hash][]byte) int {
	old := make(map[config.Hash]bool)
	for _, h := range m.Hashes() {
		old[h] = true
	}
	n := len(next.Encode())
	for h, content := range sections {
		if !old[h] {
			n += len(content)
		}
	}
	return n
}

// BenchmarkCapacityConfig measures sizes and processing times of the configuration at
// three sizes.
func BenchmarkCapacityConfig(b *testing.B) {
	for b.Loop() {
		points := make(map[string][]Point)
		for _, divisor := range sizeDivisors {
			measureConfig(b, divisor, func(name string, v float64) {
				points[name] = append(points[name], Point{Size: float64(Accounts / divisor), Value: v})
			})
		}
		for _, s := range []struct {
			name, unit string
			wall       bool
		}{
			{"config.text", "bytes", false}, {"config.change_bytes", "bytes", false}, {"config.manifest", "bytes", false},
			{"config.sections", "sections", false}, {"config.section_bytes", "bytes", false}, {"config.parse", "ns", true},
			{"config.change", "ns", true}, {"config.install", "ns", true}, {"config.join", "ns", true}, {"config.load", "ns", true},
		} {
			addSeries(s.name, s.unit, "accounts", s.wall, points[s.name])
		}
	}
}

// measureConfig measures the configuration of the target size divided by divisor.
func measureConfig(b *testing.B, divisor int, report func(string, float64)) {
	c := targetConfig(divisor)
	text := config.Format(c)
	report("config.text", float64(len(text)))
	report("config.parse", fastestNanoseconds(func() { must(b, c, parseError(text)) }))
	manifest, sections, err := config.Split(c, nil)
	must(b, 0, err)
	total := 0
	for _, s := range sections {
		total += len(s)
	}
	report("config.section_bytes", float64(total))
	report("config.load", fastestNanoseconds(func() {
		_, err := config.Join(nil, nil, manifest, func(h config.Hash) ([]byte, bool) { s, ok := sections[h]; return s, ok })
		must(b, 0, err)
	}))
	next := withChangedAccount(c)
	nextManifest, nextSections, err := config.Split(next, manifest)
	must(b, 0, err)
	report("config.sections", float64(len(manifest.Hashes())))
	report("config.manifest", float64(len(manifest.Encode())))
	report("config.change_bytes", float64(changeBytes(manifest, nextManifest, nextSections)))
	report("config.change", fastestNanoseconds(func() {
		edited := withChangedAccount(c)
		must(b, 0, edited.Validate())
		if n := len(config.Diff(c, edited)); n != 1 {
			b.Fatalf("%d changes, want 1", n)
		}
		_, _, err := config.Split(edited, manifest)
		must(b, 0, err)
	}))
	lookup := func(h config.Hash) ([]byte, bool) {
		if s, ok := nextSections[h]; ok {
			return s, true
		}
		s, ok := sections[h]
		return s, ok
	}
	report("config.join", fastestNanoseconds(func() {
		_, err := config.Join(c, manifest, nextManifest, lookup)
		must(b, 0, err)
	}))
	d := &directory.Directory{}
	report("config.install", fastestNanoseconds(func() { d.SetConfig(next) }))
}

func parseError(text []byte) error {
	_, err := config.Parse("fleet.toml", text)
	return err
}

// BenchmarkCapacityConfigHeap measures the heap of a configuration that is joined
// from its sections and installed, as in a daemon.
func BenchmarkCapacityConfigHeap(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, divisor := range sizeDivisors {
			manifest, sections, err := config.Split(targetConfig(divisor), nil)
			must(b, 0, err)
			heap := retainedHeap(func() any {
				c, err := config.Join(nil, nil, manifest, func(h config.Hash) ([]byte, bool) { s, ok := sections[h]; return s, ok })
				d := &directory.Directory{}
				d.SetConfig(must(b, c, err))
				return d
			})
			points = append(points, Point{float64(Accounts / divisor), heap})
			runtime.KeepAlive(sections)
		}
		addSeries("config.heap", "bytes", "accounts", true, points)
	}
}
