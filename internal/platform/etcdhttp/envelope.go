package etcdhttp

import (
	"bytes"
	"strconv"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// envelopeMark starts a stored value; 1 is the version of the envelope.
const envelopePrefix = "azurehatch/1 "

// seal returns the stored form of a value.
func encodeEnvelope(opID string, value []byte) []byte {
	stored := make([]byte, 0, len(envelopePrefix)+len(opID)+3+len(value))
	stored = append(stored, envelopePrefix...)
	stored = strconv.AppendQuote(stored, opID) // no line break is left
	stored = append(stored, '\n')
	return append(stored, value...)
}

// unseal splits a stored value. One that another tool wrote has no operation
// id.
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

// item converts an answer's key; the caller has checked the prefix.
func (s *Store) item(kv etcdjson.KeyValue) platform.Item {
	opID, value := decodeEnvelope(kv.Value)
	return platform.Item{
		Key:      string(kv.Key[len(s.opts.Prefix):]),
		Value:    value,
		Revision: platform.Revision(kv.ModRevision),
		OpID:     opID,
	}
}
