package cli

import (
	stdlog "log"
	"strings"

	"github.com/rs/zerolog"
)

// contentMark precedes the bytes of a response in a message of the HTTP library.
const contentMark = " starting with "

// libraryLog writes what libraries write to the standard logger as log lines, without the
// content of responses: it is the callers', and an endpoint in trouble sends much of it.
type libraryLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(strings.TrimSpace(string(p)), contentMark)
	l.log.Info().Str("text", text).Msg("message of a library")
	return len(p), nil
}

// redirectLibraryLog sends the lines of the standard logger to log.
func redirectLibraryLog(log zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log})
}
