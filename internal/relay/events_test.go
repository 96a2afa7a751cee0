package relay

import (
	"bytes"
	"testing"

	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Guards against searching an event from its beginning with each part of it that arrives: a
// few endless events would take the processor from all other requests.
func TestEventIsSearchedOnce(t *testing.T) {
	b := eventBuffer{memory: upstream.NewBuffers(0).Buffer()}
	for n := range 64 {
		if !b.add(bytes.Repeat([]byte("data: a\n"), 512)) {
			t.Fatal("no memory")
		}
		if events := b.complete(); len(events) != 0 {
			t.Fatalf("%d bytes of complete events, want none", len(events))
		}
		if b.searched != len(b.pending) {
			t.Fatalf("after part %d the next search begins at %d of %d bytes", n, b.searched, len(b.pending))
		}
	}
}

// Guards against an event end that is missed because it is split between two parts.
func TestEventEndsInAnyPart(t *testing.T) {
	text := []byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n\nid: 3")
	for size := 1; size <= len(text); size++ {
		b := eventBuffer{memory: upstream.NewBuffers(0).Buffer()}
		var got []byte
		for part := text; len(part) > 0; part = part[min(size, len(part)):] {
			if !b.add(part[:min(size, len(part))]) {
				t.Fatal("no memory")
			}
			events := b.complete()
			got = append(got, events...)
			b.remove(len(events))
		}
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; string(bytes.TrimRight(got, "\n"))+"\n\n" != want || b.blank() {
			t.Errorf("parts of %d bytes: forwarded %q, pending %q", size, got, b.pending)
		}
	}
}
