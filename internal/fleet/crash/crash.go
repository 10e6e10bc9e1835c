// Package crash finds the part of a prompt that crashes backend servers, and keeps
// prompts with that part away from them.
//
// An engine may crash whenever it responds to a prompt with some part, whatever else
// the prompt holds (a query of death). Requests with that part come at any process,
// and each of them, and each retry, takes another engine with all requests that it
// has in progress.
//
// When an engine ends, every request that it had in progress is suspect, and every
// shared part of these prompts. Evidence collects the crashes and separates the cause
// from the bystanders:
//
//   - A part that was served after a crash did not cause it. Parts that many requests
//     share are served all the time, so that they drop out at once.
//   - Of the remaining parts the one that was there at most crashes is the cause, and
//     explains these crashes: the parts beside it are not charged with them.
//   - Crashes at the same moment count once: they have a common cause outside, such as
//     the power of a rack.
//
// A Quarantine has the parts that were found. They expire, since a later version of an
// engine may not crash.
//
// # Usage
//
//	var e crash.Evidence
//	e.Add(now, crash.Report{At: now, Server: server.Key(), Request: id, Suspects: suspects})
//	e.Succeeded("91bd3f06", now)
//	for _, part := range e.Causes(now, known) {
//		q.Add(part, now.Add(crash.QuarantineTime))
//	}
//	until, found := q.Until(now, parts)
//
// Evidence is a pure data structure that is not safe for concurrent use; Quarantine
// and Successes are.
package crash

import "time"

// Report says that a request was in progress at a backend server when that ended.
type Report struct {
	// Server identifies the incarnation of the backend server, Request the request.
	Server, Request uint64
	// At is when the end was noticed.
	At time.Time
	// Suspects are the parts of the prompt that other requests may share, in order.
	Suspects []Suspect
}

// Suspect is a part of a prompt that may have crashed a backend server.
type Suspect struct {
	// Part is the ID of the part.
	Part string
	// Succeeded is when a request with the part was last served completely, as far
	// as the process knows that reports it; zero if never.
	Succeeded time.Time
}

// MaxPartBytes is the length up to which the ID of a part is considered, in bytes.
const MaxPartBytes = 64
