// Package etcdjson defines the messages of etcd v3's HTTP/JSON API that azurehatch
// uses. As in the JSON mapping of protocol buffers, keys and values are encoded as
// base64 and 64-bit integers as strings.
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

// gRPC status codes of error responses.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
)

// Error messages that distinguish errors with the same status code.
const (
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooLarge      = "etcdserver: request is too large"
)

// Status is the body of an error response.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of each response. Revision is the revision of the store.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key and its value at a revision.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

// RangeRequest reads the key Key or, if RangeEnd is set, the keys from Key up to
// but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// Values of Compare.Target and Compare.Result.
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

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if all conditions hold, and otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// HeaderOnly is a response without further fields.
type HeaderOnly struct {
	Header Header `json:"header"`
}

// ResponseOp is the result of a RequestOp.
type ResponseOp struct {
	Range       *RangeResponse `json:"response_range,omitempty"`
	Put         *HeaderOnly    `json:"response_put,omitempty"`
	DeleteRange *HeaderOnly    `json:"response_delete_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Lease is a request or a response about a lease. TTL is in seconds. A keep-alive
// response without a TTL means that the lease has expired.
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

// WatchResult reports that the watch was created or cancelled, or contains events.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event that deleted its key; the other events are
// puts.
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
	// A range end of one zero byte selects all keys from Key on.
	if prefix == "" {
		prefix = "\x00"
	}
	return []byte(prefix), []byte{0}
}
