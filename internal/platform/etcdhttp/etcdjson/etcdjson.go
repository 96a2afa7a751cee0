// Package etcdjson holds the messages of etcd v3's HTTP/JSON API that
// azurehatch uses. Keys and values are base64 and 64-bit integers are strings,
// as the JSON mapping of protocol buffers has it.
package etcdjson

// Paths of the API.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
	PathWatch          = "/v3/watch"
)

// gRPC status codes in error answers.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
)

// Error messages by which an answer is told from others with the same code.
const (
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooLarge      = "etcdserver: request is too large"
)

// Status is the body of an error answer.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of each answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key at a revision.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

// RangeRequest reads one key, or the keys up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// Values of Compare.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if all conditions hold, otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// HeaderOnly is an answer without further fields.
type HeaderOnly struct {
	Header Header `json:"header"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range       *RangeResponse `json:"response_range,omitempty"`
	Put         *HeaderOnly    `json:"response_put,omitempty"`
	DeleteRange *HeaderOnly    `json:"response_delete_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Lease is a request or an answer about a lease. TTL is in seconds; an answer
// to a keep-alive without a TTL means that the lease has expired.
type Lease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result *Lease  `json:"result,omitempty"`
	Error  *Status `json:"error,omitempty"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	CreateRequest WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys and the first revision of a watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of the watch stream.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Status      `json:"error,omitempty"`
}

// WatchResult tells that the watch was created or cancelled, or has events.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event that deleted its key; other events put
// it.
const EventDelete = "DELETE"

// Event is a change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// PrefixRange returns the key and the range end that select all keys with the
// prefix.
func PrefixRange(prefix string) (key, end []byte) {
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	// A range end of one zero byte means all keys from the first one on.
	if prefix == "" {
		prefix = "\x00"
	}
	return []byte(prefix), []byte{0}
}
