// Package detail describes where a request would be sent now, and why: the form in which a
// process explains its choice of a backend server, and the table that operators read.
//
// # Usage
//
//	e := detail.Explanation{Route: "chat", Service: "model", Decision: detail.Decision{Action: detail.Send, Server: "e1"}}
//	data, err := json.Marshal(e)
//	fmt.Print(e)
//
// Package broker fills an Explanation in. Everything here is a value without behavior, apart
// from its text.
package detail

import "time"

// Explanation says where a request would be sent, and why.
type Explanation struct {
	// Process is the name of the process whose view this is, AvailabilityZone its zone.
	Process, AvailabilityZone string
	// Version is that of the active configuration.
	Version uint64
	// Route is the name of the route that matches, Kind its kind.
	Route, Kind string
	// Account is the name of the client account, empty if there is none. Priority is the
	// account's if it has one, else the route's; 0 is served first.
	Account  string
	Priority int
	// Service is the one that the next request would go to, Targets has all that the route
	// splits its requests between.
	Service string
	Targets []Target
	// Software is the only software version at which a new stream would begin, empty if it
	// may begin at any.
	Software string `json:",omitempty"`
	// Work is the kind of work of the first call to a backend server.
	Work Work
	// LatencyTargetMs is the route's, TimeLeftMs the time to the deadline, in milliseconds.
	LatencyTargetMs, TimeLeftMs Milliseconds
	// Queues has the queue that the request would wait in, and after it the one whose
	// permits can serve it too, if there is one.
	Queues []Queue
	// Servers has the backend servers of the service by ID.
	Servers  []Server
	Decision Decision
}

// Milliseconds is a duration in milliseconds, rounded to microseconds.
type Milliseconds float64

// Ms returns a duration in milliseconds.
func Ms(d time.Duration) Milliseconds {
	return Milliseconds(float64(d.Microseconds()) / 1000)
}

// Duration returns the duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Target is a service that a route leads to, and its weight among them.
type Target struct {
	Service string
	Weight  float64
}

// Work is a kind of work of a call to a backend server.
type Work string

// The kinds of work.
const (
	// Plain is a request of a service without prompts.
	Plain Work = "Plain"
	// Prefill is the prefill of a prompt by an engine that only prefills. LocalPrefill is
	// that by a decode engine, which then also generates the events.
	Prefill      Work = "Prefill"
	LocalPrefill Work = "LocalPrefill"
	// DecodeShort and DecodeLong are the generation of events for a prompt that needs no
	// prefill of its own, by the time that it holds a slot.
	DecodeShort Work = "DecodeShort"
	DecodeLong  Work = "DecodeLong"
)

// Queue is a queue that can serve the request.
type Queue struct {
	Work Work
	// Order is the policy by which its waiters are served: Arrival or CostToCallers.
	Order string
	// Coordinator is the process that grants the permits of the queue for all processes,
	// empty if this process issues its permits by itself. What another process grants may
	// differ from what this one predicts.
	Coordinator string `json:",omitempty"`
	// Waiting counts the requests that wait here, Ahead those of them that would be served
	// before this one. UnitsAhead is how much of the capacity those ahead need, and those
	// of other processes if they are served before: requests, or prompt tokens of prefills.
	Waiting, Ahead, UnitsAhead int
	// Units is how much the request itself needs.
	Units int
	// PerSecond is how many units per second the backend servers complete.
	PerSecond float64
	// WaitMs is the expected wait if no permit is free, LongestWaitMs the longest one that
	// is accepted, in milliseconds.
	WaitMs, LongestWaitMs Milliseconds
	// Rank is the request's with the order CostToCallers.
	Rank float64 `json:",omitempty"`
}

// Server is a backend server of the service as the process sees it.
type Server struct {
	ID, AvailabilityZone string
	// Role is empty for servers of plain services.
	Role string `json:",omitempty"`
	// Running counts the requests of all processes there, Limit bounds them.
	Running, Limit int
	// CachedTokens is how many tokens of the prompt are predicted to be in its KV cache.
	CachedTokens int
	// WaitMs is the predicted time until a prefill of the prompt begins there, FinishMs
	// that until it ends, in milliseconds; both are 0 if they can't be predicted.
	WaitMs, FinishMs Milliseconds
	// GapMs is the predicted time between two events of a stream there, in milliseconds; 0
	// if the choice does not depend on it.
	GapMs Milliseconds `json:",omitempty"`
	// NotUsed is why the request would not be sent there, empty if it would.
	NotUsed Cause `json:",omitempty"`
}

// Cause is why a backend server is not used or a request is not sent at once. Reasons of
// rejections are those of the log line "ended".
type Cause string

// The causes that concern a backend server.
const (
	// Leaving means that it gets no new requests, as it is about to stop.
	Leaving Cause = "Leaving"
	// Paused means that it has asked for a pause, or that this process has no share of its
	// rate limit. Throttled means that this process has used its share for the moment.
	Paused    Cause = "Paused"
	Throttled Cause = "Throttled"
	// Unreachable, Stalled and Ejected mean that it is out of the rotation: connections to
	// it fail, it has requests and sends nothing, or requests there have failed.
	Unreachable Cause = "Unreachable"
	Stalled     Cause = "Stalled"
	Ejected     Cause = "Ejected"
	// OtherRole means that its role is not for this work, OtherVersion that the stream has
	// to begin at another software version.
	OtherRole    Cause = "OtherRole"
	OtherVersion Cause = "OtherVersion"
	// Connections means that this process has as many requests there as it may have
	// connections.
	Connections Cause = "Connections"
	// NotBest means that another one is predicted to serve the request sooner.
	NotBest Cause = "NotBest"
)

// The causes for which a request waits.
const (
	// NoPermit means that no backend server has a free permit.
	NoPermit Cause = "NoPermit"
	// Ahead means that requests that are served before wait already.
	Ahead Cause = "Ahead"
	// ShareUsed means that a permit is free, but this process has its share of them.
	ShareUsed Cause = "ShareUsed"
)

// Action is what becomes of a request.
type Action string

// The actions.
const (
	// Send sends it to a backend server at once.
	Send Action = "Send"
	// Wait lets it wait for a permit.
	Wait Action = "Wait"
	// Reject responds without running it.
	Reject Action = "Reject"
	// HandOver has a peer serve it, since this process reaches no backend server.
	HandOver Action = "HandOver"
)

// Decision is what would become of the request now.
type Decision struct {
	Action Action
	// Server is the ID of the backend server to which it is sent, Peer the name of the
	// process to which it is handed.
	Server string `json:",omitempty"`
	Peer   string `json:",omitempty"`
	// Status and Reason are those of a rejection; Reason is also why the request waits.
	Status int   `json:",omitempty"`
	Reason Cause `json:",omitempty"`
	// RetryAfterMinMs and RetryAfterMaxMs bound the Retry-After of a rejection, in
	// milliseconds; both are 0 if it has none.
	RetryAfterMinMs, RetryAfterMaxMs Milliseconds
}
