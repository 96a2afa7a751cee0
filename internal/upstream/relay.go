package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Limits of a relayed stream.
const (
	// relayBufferBytes is the read buffer of one stream.
	relayBufferBytes = 16 << 10
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
)

// Errors of a relayed stream.
var (
	// ErrTruncated means that the endpoint's stream ended before [DONE].
	ErrTruncated = errors.New("the endpoint's stream ended before it was complete")
	// ErrMalformed means that the endpoint sent what is not a chat stream.
	ErrMalformed = errors.New("the endpoint sent a malformed event")
	// ErrCallerGone means that the caller's connection broke.
	ErrCallerDisconnected = errors.New("the caller closed the connection")
)

// Usage is the token count that an engine reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the billed tokens.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// Progress is what has been relayed of a stream so far.
type Progress struct {
	// Tokens counts the content chunks relayed to the caller.
	Tokens int64
	// LastEventID is the engine's id of the last relayed event; empty if the
	// engine sends none, and the stream then can't be resumed.
	LastEventID string
	// Usage is the engine's own count, once it has reported one.
	Usage *Usage
	// Done is true after [DONE].
	Done bool
}

// Relay copies a chat completion stream to the caller.
type Relay struct {
	// IDPrefix is put before the engine's event ids.
	IDPrefix string
	// ForwardUsage is true if the caller asked for the usage chunk.
	ForwardUsage bool
	// OnToken is called after each content chunk with the count so far; an
	// error ends the relay. May be nil.
	OnToken func(tokens int64) error

	progress    Progress
	eventBuf    []byte
	eventID     []byte // of the event being read
	lastEventID []byte // of the last relayed event
}

// Progress returns what has been relayed so far.
func (r *Relay) Progress() Progress {
	p := r.progress
	p.LastEventID = string(r.lastEventID)
	return p
}

// Writer is where a stream goes.
type StreamWriter interface {
	io.Writer
	http.Flusher
}

// Copy relays events from src to dst until [DONE], an error or the end. It may
// be called again with the resumed stream.
func (r *Relay) Copy(dst StreamWriter, src io.Reader) error {
	in := bufio.NewReaderSize(src, relayBufferBytes)
	for !r.progress.Done {
		if err := r.relayEvent(dst, in); err != nil {
			return err
		}
		if in.Buffered() == 0 || r.progress.Done {
			dst.Flush()
		}
	}
	return nil
}

// event relays one event, that is the lines up to a blank one.
func (r *Relay) relayEvent(dst io.Writer, in *bufio.Reader) error {
	r.eventBuf = r.eventBuf[:0]
	kind := chunkNone
	hasID := false
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			hasID = true
			r.eventID = append(r.eventID[:0], bytes.TrimSpace(id)...)
			line = nil
			r.eventBuf = append(append(append(append(r.eventBuf, "id: "...), r.IDPrefix...), r.eventID...), '\n')
		} else if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if kind, err = r.classify(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
		if line != nil {
			r.eventBuf = append(append(r.eventBuf, line...), '\n')
		}
		if len(r.eventBuf) > maxEventBytes {
			return ErrMalformed
		}
	}
	return r.writeEvent(dst, kind, hasID)
}

func (r *Relay) writeEvent(dst io.Writer, kind chunkKind, hasID bool) error {
	if len(r.eventBuf) == 0 || (kind == chunkUsage && !r.ForwardUsage) {
		return nil
	}
	r.eventBuf = append(r.eventBuf, '\n')
	if _, err := dst.Write(r.eventBuf); err != nil {
		return errors.Wrap(ErrCallerDisconnected, err.Error())
	}
	if hasID {
		r.lastEventID = append(r.lastEventID[:0], r.eventID...)
	}
	switch kind {
	case chunkDone:
		r.progress.Done = true
	case chunkContent:
		r.progress.Tokens++
		if r.OnToken != nil {
			return r.OnToken(r.progress.Tokens)
		}
	}
	return nil
}

func streamError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrMalformed
	}
	return errors.Wrap(ErrTruncated, err.Error())
}

// chunk is the kind of an event's data.
type chunkKind int

const (
	chunkNone chunkKind = iota
	chunkContent
	chunkOther
	chunkUsage
	chunkDone
)

var (
	doneData            = []byte("[DONE]")
	usagePattern        = []byte(`"usage":{`)
	noChoicesPattern    = []byte(`"choices":[]`)
	contentPattern      = []byte(`"content":"`)
	emptyContentPattern = []byte(`"content":""`)
	toolCallsPattern    = []byte(`"tool_calls":[`)
)

// inspect classifies data without decoding it: a quote inside a JSON string is
// escaped, so that the marks match keys only. Usage chunks alone are decoded.
func (r *Relay) classify(data []byte) (chunkKind, error) {
	if bytes.Equal(data, doneData) {
		return chunkDone, nil
	}
	if len(data) == 0 || data[0] != '{' || data[len(data)-1] != '}' {
		return chunkNone, ErrMalformed
	}
	kind := chunkOther
	if bytes.Contains(data, toolCallsPattern) || (bytes.Contains(data, contentPattern) && !bytes.Contains(data, emptyContentPattern)) {
		kind = chunkContent
	}
	if !bytes.Contains(data, usagePattern) {
		return kind, nil
	}
	var body struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return chunkNone, ErrMalformed
	}
	r.progress.Usage = &body.Usage
	if bytes.Contains(data, noChoicesPattern) {
		kind = chunkUsage
	}
	return kind, nil
}

// EventID is the id of a relayed event: the request, the endpoint that runs
// it, and the engine's own event number. It lets any daemon resume a stream.
type EventID struct {
	Request, Endpoint, Event string
}

const eventIDSeparator = "~"

// Prefix returns what precedes the engine's event number.
func (e EventID) Prefix() string {
	return e.Request + eventIDSeparator + e.Endpoint + eventIDSeparator
}

// ParseEventID reads the id that a caller sends as Last-Event-ID.
func ParseEventID(s string) (EventID, error) {
	parts := bytes.Split([]byte(s), []byte(eventIDSeparator))
	if len(parts) != 3 {
		return EventID{}, errors.Errorf("event id %q does not have three parts", s)
	}
	if _, err := strconv.ParseUint(string(parts[2]), 10, 63); err != nil {
		return EventID{}, errors.Errorf("event id %q does not end in a number", s)
	}
	return EventID{Request: string(parts[0]), Endpoint: string(parts[1]), Event: string(parts[2])}, nil
}
