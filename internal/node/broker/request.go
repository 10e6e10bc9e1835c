package broker

import (
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/route/auth"
)

// Part is one part of a prompt. Requests whose prompts begin with parts of the
// same IDs share a prefix.
type Part struct {
	ID     string
	Tokens int
}

// Request is a client's request.
type Request struct {
	ID, Host, Method string
	// Path is the path with its query.
	Path   string
	Fields []call.Field
	// OpenFields, if not nil, are the fields that are forwarded instead of Fields while no
	// client accounts are configured. They have also those that name a key or an account.
	OpenFields []call.Field
	// Credential is what the client gives to prove its account. It may be absent, and Fields
	// have what would be in OpenFields, if Table has no client accounts.
	Credential auth.Credential
	// Table is the configuration that the request was read by and is served by; if it is
	// nil, the active one is used.
	Table *table.Table
	Body  []byte
	// Arrived is when the request had been read completely, Deadline when the
	// client stops waiting; Deadline is zero if the client does not set one.
	Arrived, Deadline time.Time
	// Parts lists the parts of the prompt in order. PromptTokens is the number
	// of prompt tokens and MaxOutputTokens the maximum number of output tokens;
	// each is 0 if unknown.
	Parts                         []Part
	PromptTokens, MaxOutputTokens int
	// After is the ID of the last event that the client has received, if it
	// resumes a stream, and Origin the ID of its request that brought the first one.
	After, Origin string

	// content is the hash of contentHash. Body must not be read after the response,
	// so that it is computed before the request is sent.
	content uint64
	// subjects is the result of sharedParts, nil before its first call.
	subjects []string
}

// pathOnly returns the path without its query.
func (r *Request) pathOnly() string {
	path, _, _ := strings.Cut(r.Path, "?")
	return path
}

// Reply is a complete response to the client.
type Reply struct {
	Status int
	Fields []call.Field
	Body   []byte
	// RetryAfter is how long the client should wait before it retries; 0 sets
	// no Retry-After header.
	RetryAfter time.Duration
	// Challenge is set if the client has to give a valid key.
	Challenge bool
}

// Output sends the response to the client: either one call of Respond, or
// Begin, any number of calls of Event, and End. Calls are never concurrent, and
// the text of an event is valid only during the call; it may be several whole
// events. If Serve returns without a call of Respond or End, the response has to
// be aborted, so that the client notices that it is truncated.
type Output interface {
	Respond(reply Reply) error
	Begin(status int, fields []call.Field) error
	Event(text []byte) error
	End() error
}
