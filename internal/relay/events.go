package relay

import (
	"bytes"

	"github.com/azurehatch/azurehatch/internal/upstream"
)

// eventEnd terminates an event.
var eventEnd = []byte("\n\n")

// eventBuffer holds the part of a stream that is not forwarded yet.
type eventBuffer struct {
	memory  *upstream.Buffer
	pending []byte
	// searched is the length of the part of pending in which no event ends.
	searched int
}

// add adds the next part. It returns false if there is no memory for it.
func (b *eventBuffer) add(chunk []byte) (ok bool) {
	b.pending, ok = b.memory.Append(b.pending, chunk)
	return ok
}

// complete returns the events that are complete; empty if there is none. They stay valid
// until the next call of add or remove.
func (b *eventBuffer) complete() []byte {
	// The end of an event may begin with the last byte searched before.
	from := max(b.searched-len(eventEnd)+1, 0)
	end := bytes.LastIndex(b.pending[from:], eventEnd)
	if end < 0 {
		b.searched = len(b.pending)
		return nil
	}
	return b.pending[:from+end+len(eventEnd)]
}

// remove removes the first n bytes, which complete has returned.
func (b *eventBuffer) remove(n int) {
	if n == len(b.pending) && n > readBytes {
		b.pending = nil // most events are far smaller
		b.memory.Release()
	}
	b.pending = append(b.pending[:0], b.pending[min(n, len(b.pending)):]...)
	b.searched = len(b.pending)
}

// blank reports whether the stream can end here: no event has begun after the last complete
// one.
func (b *eventBuffer) blank() bool {
	rest := b.pending[len(b.complete()):]
	return len(bytes.TrimSpace(rest)) == 0
}

// wellFormed reports whether each line of complete events is empty, a comment, or a field with a name of
// lower-case letters, digits and hyphens. An engine that answers a streaming route with something else than
// events, such as a JSON document with blank lines, sends any number of tokens between these.
func wellFormed(events []byte) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, isField := bytes.Cut(line, []byte(":"))
		if len(line) == 0 {
			continue
		}
		if !isField || bytes.ContainsFunc(name, func(r rune) bool {
			return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
		}) {
			return false
		}
	}
	return true
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	field := []byte("id:")
	at := bytes.LastIndex(events, append([]byte("\n"), field...))
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(events, field):
		at = 0
	default:
		return "", false
	}
	line := events[at+len(field):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line)), true
}
