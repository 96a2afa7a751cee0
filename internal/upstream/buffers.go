package upstream

import (
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// freeBufferBytes is the part of each buffer that needs no memory of the limit, so that
	// ordinary responses are never refused.
	freeBufferBytes = 16 << 10
	// bufferStep is the unit in which buffers take memory of the limit.
	bufferStep = 64 << 10
)

// DefaultBufferBytes is a limit for a daemon whose memory is not known.
const DefaultBufferBytes = 64 << 20

// Buffers bounds the memory that the unfinished responses of a daemon occupy together.
type Buffers struct {
	free *semaphore.Weighted
}

// NewBuffers returns a limit of so many bytes; 0 means DefaultBufferBytes.
func NewBuffers(bytes int64) *Buffers {
	if bytes <= 0 {
		bytes = DefaultBufferBytes
	}
	return &Buffers{free: semaphore.NewWeighted(bytes)}
}

// Buffer is the memory of one response. Release must be called at its end.
type Buffer struct {
	limit *Buffers
	held  int64
}

// Buffer returns the memory of a new response.
func (b *Buffers) Buffer() *Buffer { return &Buffer{limit: b} }

// Grow reports whether the response may occupy size bytes, and takes what it needs for that.
// A nil Buffer has no limit.
func (b *Buffer) Grow(size int) bool {
	if b == nil {
		return true
	}
	missing := int64(size) - freeBufferBytes - b.held
	if missing <= 0 {
		return true
	}
	missing = (missing + bufferStep - 1) / bufferStep * bufferStep
	if !b.limit.free.TryAcquire(missing) {
		return false
	}
	b.held += missing
	return true
}

// Release gives the memory back.
func (b *Buffer) Release() {
	b.limit.free.Release(b.held)
	b.held = 0
}

// Append appends more to data, which is what the response occupies. It returns false if there
// is no memory for that.
func (b *Buffer) Append(data, more []byte) ([]byte, bool) {
	if size := len(data) + len(more); size > cap(data) {
		var ok bool
		if data, ok = b.enlarge(data, max(size, 2*cap(data))); !ok {
			return data, false
		}
	}
	return append(data, more...), true
}

// enlarge copies data to a slice of the given capacity.
func (b *Buffer) enlarge(data []byte, size int) ([]byte, bool) {
	// While the data is copied, both copies are in memory.
	if !b.Grow(size + cap(data)) {
		return data, false
	}
	return append(make([]byte, 0, size), data...), true
}

// ReadAhead reads until the end of r, up to most bytes, or until no more memory may be
// occupied. The error is io.EOF after the end, and nil if there may be more.
func (b *Buffer) ReadAhead(r io.Reader, most int) ([]byte, error) {
	var data []byte
	for len(data) < most {
		if len(data) == cap(data) {
			var ok bool
			if data, ok = b.enlarge(data, min(max(2*cap(data), 4<<10), most)); !ok {
				return data, nil
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
