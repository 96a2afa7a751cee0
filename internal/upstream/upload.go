package upstream

import (
	"time"

	"github.com/pkg/errors"
)

// writeEndTimeout is the time that the write of a request may still take after the end of
// its response: on a busy machine a write returns some time after its bytes were sent.
const writeEndTimeout = 250 * time.Millisecond

// errEndedDuringWrite is the error of a response whose connection ended before the request
// was written whole.
var errEndedDuringWrite = errors.New("the connection ended before the request was written")

// upload tracks the write of one request. The kernel reports the reset of a connection once
// only: if a write takes the error, the read sees an end of the stream like that of a
// complete response without a length.
type upload struct {
	// headEnd is the number of bytes of the head's end seen in a row, body the number of
	// bytes of the body still to be written. Only the writer accesses them.
	headEnd  int
	body     int64
	finished bool
	// err is the error of the write, set before done is closed.
	err  error
	done chan struct{}
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

func newUpload(bodyBytes int64) *upload {
	return &upload{body: bodyBytes, done: make(chan struct{})}
}

// wrote records a write to the connection.
func (u *upload) wrote(b []byte, err error) {
	if u.finished {
		return
	}
	for len(b) > 0 && u.headEnd < len(headEnd) {
		switch b[0] {
		case headEnd[u.headEnd]:
			u.headEnd++
		case headEnd[0]:
			u.headEnd = 1
		default:
			u.headEnd = 0
		}
		b = b[1:]
	}
	u.body -= int64(len(b))
	if err != nil || u.headEnd == len(headEnd) && u.body <= 0 {
		u.finished, u.err = true, err
		close(u.done)
	}
}

// checkEnd returns an error if the connection ended before the request was written. closed
// is closed with the connection.
func (u *upload) checkEnd(closed <-chan struct{}) error {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return errors.Wrap(u.err, errEndedDuringWrite.Error())
	case <-closed:
	case <-timer.C:
	}
	return errEndedDuringWrite
}
