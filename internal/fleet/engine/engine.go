// Package engine defines the messages between this system and a backend server:
// calls and responses, load reports, and orders.
//
// Client implements them over HTTP. The rest of the system uses the types and, of
// the header names and paths, only IDHeader, so that another protocol mainly needs
// another Client.
//
// # Usage
//
//	client := &engine.Client{}
//	response, err := client.Send(ctx, server, engine.Call{ID: id, Path: path, Body: body})
//	if err != nil {
//		// call.StageOf(err) tells whether the server may have read the call.
//	}
//	defer response.Body.Close()
//
// An engine responds to a streaming call with server-sent events. Each event
// carries the ID of the call, and the last one is the end marker, so that
// mismatched and truncated responses are detected.
package engine

import (
	"errors"
	"fmt"
	"io"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Phase is the part of a request that an engine executes.
type Phase int

// The phases of a request.
const (
	// Whole is prefill and decode on one engine.
	Whole Phase = iota
	// PrefillOnly computes and keeps the KV cache of the prompt.
	PrefillOnly
	// DecodeOnly imports a KV cache and decodes from it.
	DecodeOnly
)

// String returns the phase's name.
func (p Phase) String() string { return [...]string{"Whole", "Prefill", "Decode"}[p] }

// Field is one header field.
type Field = call.Field

// Call is one request to a backend server.
type Call struct {
	// ID identifies the request. Its retries have the same ID.
	ID     string
	Method string
	// Path is the path with the query.
	Path   string
	Fields []Field
	Body   []byte
	// Priority is sent to engines only. It is 0 for ordinary requests; higher is
	// more important.
	Priority int
	// Offset is the number of events that were already received; the engine
	// resumes the stream after them.
	Offset int
	Phase  Phase
	// KvFrom is the address of the engine to import the KV cache from, for
	// DecodeOnly.
	KvFrom string
	// AtMostOnce is set if the request must not reach a backend server twice. It
	// is then sent on a new connection: if the server had closed an idle one, it
	// would be unknown whether it has read the request.
	AtMostOnce bool
	// Again is set if the request has been sent before. It is then sent on a new
	// connection too: a kept one may bring the refusal of an earlier attempt once more,
	// with the same ID.
	Again bool
	// ReadTimeout limits each read of the response. 0 means no limit.
	ReadTimeout time.Duration
}

// Response is the response to a call. The caller must close Body. Reading it
// returns io.EOF only after the complete body.
type Response struct {
	Status int
	// Fields are the header fields without those that are not forwarded, such as
	// hop-by-hop fields.
	Fields []Field
	Body   io.ReadCloser
	// NotRun is set if the backend server states that it rejected the call
	// without executing it.
	NotRun bool
	// Foreign is set if the response may be that to another call: it does not have the
	// call's ID, and came on a connection that has had other calls. It proves nothing.
	Foreign bool
}

// Report is an engine's report of its state and load.
type Report struct {
	Engine string
	// Incarnation increases with each start of the engine.
	Incarnation uint64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	Role     spec.Role
	Models   []Loaded
	// OrderID and Fence, the fencing token, are those of the last order that the
	// engine accepted.
	OrderID string `json:",omitempty"`
	Fence   uint64 `json:",omitempty"`
	// Changing is set while the engine is out of service for an order.
	Changing bool `json:",omitempty"`
	// Leaving is set if the engine is to get no new requests.
	Leaving bool `json:",omitempty"`
	// Running and Queued count requests.
	Running int `json:",omitempty"`
	Queued  int `json:",omitempty"`
	// QueuedTokens counts the prompt tokens that wait for prefill.
	QueuedTokens int `json:",omitempty"`
	// KvTokens counts the tokens of the KV cache that streams use, of KvCapacity.
	KvTokens   int `json:",omitempty"`
	KvCapacity int `json:",omitempty"`
	// CacheEvents are changes of the prefix cache, oldest first.
	CacheEvents []CacheEvent `json:",omitempty"`
}

// Loaded is a model that an engine has loaded.
type Loaded struct {
	Model    string
	Version  int64
	Adapters []string `json:",omitempty"`
}

// CacheEvent reports a block that was added to an engine's prefix cache or
// evicted from it. Sequence numbers have gaps where events were lost.
type CacheEvent struct {
	Sequence uint64
	// Prefix is the block hash.
	Prefix  uint64
	Evicted bool
}

// Order tells an engine to change its role or its models. The engine is out of
// service until the change is complete.
type Order struct {
	ID string
	// Fence is the fencing token of the sender's lease.
	Fence uint64
	Role  spec.Role
	// Load is the set of models that the engine is to serve; an empty list
	// leaves the models unchanged.
	Load []Loaded
	// SendBefore is the expiry of the sender's lease less its safety margin. It
	// is not sent, but is the deadline for writing the order.
	SendBefore time.Time `json:"-"`
}

// Errors of orders.
var (
	// ErrStaleFence means that the engine rejected the order, as it has accepted one
	// with a higher fencing token.
	ErrStaleFence = errors.New("engine refused the order: its fencing token is stale")
	// ErrBusy means that the engine is carrying out another order.
	ErrBusy = errors.New("engine is busy with another order")
)

// StatusError is a response with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error returns a text with the status.
func (e StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
