package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Sizes of the target deployment, from section 2.4 of the design document.
const (
	targetAccounts  = 31_000
	targetBudgets   = 68_000
	targetEndpoints = 4_300
)

// largeConfig returns a configuration of the target size, divided by divisor.
func largeConfig(divisor int) *Config {
	c := New()
	for i := range 23 {
		c.Services[fmt.Sprintf("model-%02d", i)] = Service{Kind: KindModel, Models: []string{fmt.Sprintf("m%d", i)}}
	}
	for i := range targetEndpoints / divisor {
		c.Endpoints[fmt.Sprintf("worker-%05d", i)] = Endpoint{Service: fmt.Sprintf("model-%02d", i%23),
			Address: fmt.Sprintf("127.%d.%d.1:9000", i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%14)}
	}
	accounts := targetAccounts / divisor
	for i := range accounts {
		c.Accounts[fmt.Sprintf("account-%05d", i)] = Account{Weight: 1 + i%5, Keys: []string{fmt.Sprintf("sha256:%064x", i)}}
	}
	for i := range targetBudgets / divisor {
		c.Budgets[BudgetID(fmt.Sprintf("account-%05d", i%accounts), fmt.Sprintf("budget-%d", i/accounts))] =
			Budget{Services: []string{fmt.Sprintf("model-%02d", i%23)}, Order: i / accounts}
	}
	return c
}

// Guards against sections that lose or alter entries, and against an edit of one
// entry that changes more than one section.
func TestSplitJoin(t *testing.T) {
	c := largeConfig(20)
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	m, sections, err := Split(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	lookup := func(h Hash) ([]byte, bool) { b, ok := sections[h]; return b, ok }
	got, err := Join(nil, nil, m, lookup)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c, got); diff != "" {
		t.Fatalf("configuration changed (-want +got):\n%s", diff)
	}
	edited := c.Clone()
	delete(edited.Accounts, "account-00007")
	edited.Accounts["account-new"] = Account{}
	m2, sections2, err := Split(edited, m)
	if err != nil {
		t.Fatal(err)
	}
	var fresh int
	for h, content := range sections2 {
		if _, ok := sections[h]; !ok {
			fresh++
			sections[h] = content
		}
	}
	if fresh < 1 || fresh > 2 {
		t.Errorf("edit of two entries writes %d sections, want 1 or 2", fresh)
	}
	got, err = Join(got, m, m2, lookup)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(edited, got); diff != "" {
		t.Errorf("update lost entries (-want +got):\n%s", diff)
	}
}

// Guards against sections that exceed the maximum size, and against a number of
// sections that changes although the configuration does not.
func TestSectionBounds(t *testing.T) {
	c := largeConfig(4)
	m, sections, err := Split(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	for h, content := range sections {
		if len(content) > MaxSectionBytes {
			t.Errorf("section %s has %d bytes", h, len(content))
		}
	}
	again, _, err := Split(c, m)
	if err != nil || !m.Equal(again) {
		t.Errorf("a second split differs: %v", err)
	}
	if len(m[EntryAccount]) < 8 {
		t.Errorf("%d sections of accounts, want several", len(m[EntryAccount]))
	}
	huge := New()
	huge.Accounts["a"] = Account{Keys: make([]string, MaxSectionBytes)}
	if _, _, err := Split(huge, nil); err == nil {
		t.Error("an entry larger than a section is accepted")
	}
}

// Guards against accepting a section whose content was altered in the store.
func TestJoinRejectsAlteredSection(t *testing.T) {
	m, sections, err := Split(largeConfig(100), nil)
	if err != nil {
		t.Fatal(err)
	}
	for h, content := range sections {
		broken := func(got Hash) ([]byte, bool) {
			if got == h {
				return append([]byte("x"), content...), true
			}
			b, ok := sections[got]
			return b, ok
		}
		if _, err := Join(nil, nil, m, broken); err == nil {
			t.Fatalf("altered section %s is accepted", h)
		}
	}
}

// BenchmarkSectionUpdate measures an edit of one account at the target size:
// the bytes written and the time to split and to join.
func BenchmarkSectionUpdate(b *testing.B) {
	c := largeConfig(1)
	m, sections, err := Split(c, nil)
	if err != nil {
		b.Fatal(err)
	}
	lookup := func(h Hash) ([]byte, bool) { v, ok := sections[h]; return v, ok }
	var total int
	for _, content := range sections {
		total += len(content)
	}
	var written int
	for i := 0; b.Loop(); i++ {
		next := c.Clone()
		next.Accounts[fmt.Sprintf("account-%05d", i%targetAccounts)] = Account{Weight: 9 + i}
		m2, sections2, err := Split(next, m)
		if err != nil {
			b.Fatal(err)
		}
		written = len(m2.Encode())
		for h, content := range sections2 {
			if _, ok := sections[h]; !ok {
				written += len(content)
				sections[h] = content
			}
		}
		if _, err := Join(c, m, m2, lookup); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(written), "bytes/update")
	b.ReportMetric(float64(len(m.Encode())), "manifest_bytes")
	b.ReportMetric(float64(total), "config_bytes")
	b.ReportMetric(float64(len(m.Hashes())), "sections")
}

// BenchmarkJoinUpdate measures how long a daemon takes to install an edit of one
// account at the target size, and the heap size of the configuration.
func BenchmarkJoinUpdate(b *testing.B) {
	var before, after runtime.MemStats
	base := largeConfig(1)
	m, sections, err := Split(base, nil)
	if err != nil {
		b.Fatal(err)
	}
	lookup := func(h Hash) ([]byte, bool) { v, ok := sections[h]; return v, ok }
	runtime.GC()
	runtime.ReadMemStats(&before)
	c, err := Join(nil, nil, m, lookup)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	next := base.Clone()
	next.Accounts["account-00001"] = Account{Weight: 9}
	m2, sections2, err := Split(next, m)
	if err != nil {
		b.Fatal(err)
	}
	for h, content := range sections2 {
		sections[h] = content
	}
	for b.Loop() {
		if _, err := Join(c, m, m2, lookup); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap_bytes")
}

// Guards against losing entries at the boundaries of the parts that Parse decodes.
func TestParseLargeText(t *testing.T) {
	c := largeConfig(40)
	got, err := Parse("large.toml", Format(c))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// BenchmarkParse measures the parser at the target size.
func BenchmarkParse(b *testing.B) {
	text := Format(largeConfig(1))
	for b.Loop() {
		if _, err := Parse("large.toml", text); err != nil {
			b.Fatal(err)
		}
	}
}
