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
	// maxExtraChunks is the number of content chunks that a stream may have beyond its limit
	// of output tokens, of which each chunk holds at least one.
	maxExtraChunks = 16
)

// MaxResponseBytes bounds a response: an endpoint in trouble may send bytes without end.
const MaxResponseBytes = 16 << 20

// Errors of a relayed stream.
var (
	// ErrTruncated means that the endpoint's stream ended before [DONE].
	ErrTruncated = errors.New("the endpoint's stream ended before it was complete")
	// ErrMalformed means that the endpoint sent an event that is not part of a
	// valid chat completion stream.
	ErrMalformed = errors.New("the endpoint sent a malformed event")
	// ErrTooLong means that a response goes on after the most that it can hold.
	ErrTooLong = errors.New("the endpoint's response is longer than any complete one")
	// ErrNoMemory means that a response needs more memory than is left for all of them.
	ErrNoMemory = errors.New("no memory for the endpoint's response")
	// ErrCallerDisconnected means that the caller's connection broke.
	ErrCallerDisconnected = errors.New("the caller closed the connection")
)

// Usage is the token count that an engine reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the billed tokens.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// Progress describes the part of a stream that has been relayed so far.
type Progress struct {
	// Tokens is the number of content chunks relayed to the caller.
	Tokens int64
	// LastEventID is the engine's ID of the last relayed event. It is empty if
	// the engine sends no IDs; the stream cannot be resumed then.
	LastEventID string
	// Usage is the token count reported by the engine, nil if it has reported
	// none yet.
	Usage *Usage
	// Done is true after [DONE] was relayed.
	Done bool
}

// Relay copies a chat completion stream to the caller.
type Relay struct {
	// IDPrefix is prepended to the engine's event IDs.
	IDPrefix string
	// MaxTokens is the limit of output tokens; 0 means none.
	MaxTokens int64
	// Memory is that of an unfinished event; nil means no limit.
	Memory *Buffer
	// ForwardUsage is true if the caller requested the usage chunk.
	ForwardUsage bool
	// OnToken is called after each content chunk with the number of content
	// chunks so far; an error ends the relay. It may be nil.
	OnToken func(tokens int64) error

	progress    Progress
	eventBuf    []byte
	idLine      []byte // line with the ID of the event being read
	eventID     []byte // ID of the event being read, without IDPrefix
	lastEventID []byte // ID of the last relayed event, without IDPrefix
}

// Progress returns the progress of the stream.
func (r *Relay) Progress() Progress {
	p := r.progress
	p.LastEventID = string(r.lastEventID)
	return p
}

// StreamWriter is the destination of a relayed stream.
type StreamWriter interface {
	io.Writer
	http.Flusher
}

// Copy relays events from src to dst until [DONE] or an error, which is
// ErrTruncated if src ends before [DONE] and ErrTooLong if it goes on without end. It may
// be called again with the resumed stream.
func (r *Relay) Copy(dst StreamWriter, src io.Reader) error {
	limited := &io.LimitedReader{R: src, N: MaxResponseBytes + 1}
	in := bufio.NewReaderSize(limited, relayBufferBytes)
	for !r.progress.Done {
		err := r.relayEvent(dst, in)
		if limited.N <= 0 || r.MaxTokens > 0 && r.progress.Tokens > r.MaxTokens+maxExtraChunks {
			return ErrTooLong
		}
		if err != nil {
			return err
		}
		if in.Buffered() == 0 || r.progress.Done {
			dst.Flush()
		}
	}
	return nil
}

// relayEvent relays one event, which ends with a blank line.
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
			r.idLine = append(append(append(r.idLine[:0], "id: "...), r.IDPrefix...), r.eventID...)
			line = r.idLine
		} else if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if kind, err = r.classify(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
		var ok bool
		if r.eventBuf, ok = r.Memory.Append(r.eventBuf, line); !ok {
			return ErrNoMemory
		}
		r.eventBuf = append(r.eventBuf, '\n')
		if len(r.eventBuf) > maxEventBytes {
			return ErrMalformed
		}
	}
	return r.writeEvent(dst, kind, hasID)
}

// writeEvent writes the event in eventBuf to dst and updates the progress. It
// omits usage chunks unless ForwardUsage is set.
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

// streamError converts an error of reading from the endpoint.
func streamError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrMalformed
	}
	return errors.Wrap(ErrTruncated, err.Error())
}

// chunkKind is the kind of an event's data.
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

// classify determines the kind of data without decoding it: quotes inside JSON
// strings are escaped, so that the patterns match keys only. Only chunks with
// usage are decoded.
func (r *Relay) classify(data []byte) (chunkKind, error) {
	if bytes.Equal(data, doneData) {
		return chunkDone, nil
	}
	if len(data) == 0 || data[0] != '{' || data[len(data)-1] != '}' {
		return chunkNone, ErrMalformed
	}
	kind := chunkOther
	if bytes.Contains(data, toolCallsPattern) ||
		bytes.Count(data, contentPattern) > bytes.Count(data, emptyContentPattern) {
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

// EventID is the ID of a relayed event. It consists of the request's ID, the ID of
// the endpoint that runs it, and the engine's event number, so that any daemon can
// resume the stream.
type EventID struct {
	Request, Endpoint, Event string
}

const eventIDSeparator = "~"

// Prefix returns the part of the ID before the engine's event number.
func (e EventID) Prefix() string {
	return e.Request + eventIDSeparator + e.Endpoint + eventIDSeparator
}

// ParseEventID parses the ID that a caller sends as Last-Event-ID.
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
