package etcdhttp

import (
	"bytes"
	"strconv"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// envelopePrefix is the start of a stored value; 1 is the version of the envelope
// format.
const envelopePrefix = "azurehatch/1 "

// encodeEnvelope returns the stored form of a value with its operation ID.
func encodeEnvelope(opID string, value []byte) []byte {
	stored := make([]byte, 0, len(envelopePrefix)+len(opID)+3+len(value))
	stored = append(stored, envelopePrefix...)
	stored = strconv.AppendQuote(stored, opID) // escapes line breaks
	stored = append(stored, '\n')
	return append(stored, value...)
}

// decodeEnvelope splits a stored value into its operation ID and the value. A value
// without an envelope, written by another tool, has no operation ID.
func decodeEnvelope(stored []byte) (opID string, value []byte) {
	rest, ok := bytes.CutPrefix(stored, []byte(envelopePrefix))
	if !ok {
		return "", stored
	}
	line, value, ok := bytes.Cut(rest, []byte("\n"))
	if !ok {
		return "", stored
	}
	opID, err := strconv.Unquote(string(line))
	if err != nil {
		return "", stored
	}
	return opID, value
}

// item converts a key-value pair of a response. The caller has checked that the
// key starts with the prefix.
func (s *Store) item(kv etcdjson.KeyValue) platform.Item {
	opID, value := decodeEnvelope(kv.Value)
	return platform.Item{
		Key:      string(kv.Key[len(s.opts.Prefix):]),
		Value:    value,
		Revision: platform.Revision(kv.ModRevision),
		OpID:     opID,
	}
}
