package capacity

import (
	"runtime"
	"testing"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/directory"
)

// changed returns c with one account changed.
func changed(c *config.Config) *config.Config {
	next := c.Clone()
	a := next.Accounts[accountName(0)]
	a.Weight++
	next.Accounts[accountName(0)] = a
	return next
}

// sectionBytes returns the bytes of the sections that next has and m has not,
// with the manifest, which is what one change costs in the store.
func sectionBytes(m, next config.Manifest, sections map[config.Hash][]byte) int {
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

// BenchmarkCapacityConfig measures the configuration at three sizes.
func BenchmarkCapacityConfig(b *testing.B) {
	for b.Loop() {
		points := make(map[string][]Point)
		for _, part := range fractions {
			measureConfig(b, part, func(name string, v float64) {
				points[name] = append(points[name], Point{Size: float64(Accounts / part), Value: v})
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
			add(s.name, s.unit, "accounts", s.wall, points[s.name])
		}
	}
}

func measureConfig(b *testing.B, part int, report func(string, float64)) {
	c := world(part)
	text := config.Format(c)
	report("config.text", float64(len(text)))
	report("config.parse", fastest(func() { must(b, c, parseError(text)) }))
	manifest, sections, err := config.Split(c, nil)
	must(b, 0, err)
	total := 0
	for _, s := range sections {
		total += len(s)
	}
	report("config.section_bytes", float64(total))
	report("config.load", fastest(func() {
		_, err := config.Join(nil, nil, manifest, func(h config.Hash) ([]byte, bool) { s, ok := sections[h]; return s, ok })
		must(b, 0, err)
	}))
	next := changed(c)
	nextManifest, nextSections, err := config.Split(next, manifest)
	must(b, 0, err)
	report("config.sections", float64(len(manifest.Hashes())))
	report("config.manifest", float64(len(manifest.Encode())))
	report("config.change_bytes", float64(sectionBytes(manifest, nextManifest, nextSections)))
	report("config.change", fastest(func() {
		edited := changed(c)
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
	report("config.join", fastest(func() {
		_, err := config.Join(c, manifest, nextManifest, lookup)
		must(b, 0, err)
	}))
	d := &directory.Directory{}
	report("config.install", fastest(func() { d.SetConfig(next) }))
}

func parseError(text []byte) error {
	_, err := config.Parse("fleet.toml", text)
	return err
}

// BenchmarkCapacityConfigHeap measures the heap of a configuration in force,
// joined from its sections as a daemon does.
func BenchmarkCapacityConfigHeap(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, part := range fractions {
			manifest, sections, err := config.Split(world(part), nil)
			must(b, 0, err)
			heap := heapOf(func() any {
				c, err := config.Join(nil, nil, manifest, func(h config.Hash) ([]byte, bool) { s, ok := sections[h]; return s, ok })
				d := &directory.Directory{}
				d.SetConfig(must(b, c, err))
				return d
			})
			points = append(points, Point{float64(Accounts / part), heap})
			runtime.KeepAlive(sections)
		}
		add("config.heap", "bytes", "accounts", true, points)
	}
}
