// Package crash finds the requests, and the parts of prompts, that crash backend servers,
// and keeps them away from them.
//
// A server may crash whenever it runs one request (a query of death), which its client
// sends again and again, or whenever it responds to a prompt with some part, whatever
// else the prompt holds. Such requests come at any process, and each of them, and each
// retry, takes another server with all requests that it has in progress.
//
// When a server ends, every request that it had in progress is suspect, and so is every
// shared part of their prompts. Both are subjects of the Evidence, which collects the
// crashes and separates the causes from the bystanders:
//
//   - A subject that was served after a crash did not cause it. Parts that many requests
//     share are served all the time, so that they drop out at once.
//   - A request is identified by its content, so that it stays one subject however often
//     it is sent. It is a cause after few crashes, since nobody else suffers, and
//     explains them: a request beside it is not charged with them. Where several were
//     there at the same crashes only, each may be a bystander that was retried, and is
//     kept away for a short time only.
//   - A request that was served before is less likely the cause than one that never was:
//     crashes that such a one may explain are not held against it, and others count from
//     a higher number on. Many clients may send it, so that it is there at every crash
//     while no server is up that could serve it.
//   - A part is a cause only if different requests with it were there. The part that was
//     there at most of the remaining crashes is the cause, and explains these crashes:
//     the parts beside it are not charged with them.
//   - Crashes at the same moment have a common cause outside, such as the power of a
//     rack, and count once: for a part always, for a request if one of these servers
//     did not have it.
//
// A Quarantine has the subjects that were found. They expire, since a later version of a
// server may not crash. Trials decides which single requests with a part in quarantine are
// sent nevertheless, to find out that the part is harmless.
//
// # Usage
//
//	var e crash.Evidence
//	e.Add(now, crash.Report{At: now, Server: server.Key(), Request: content, Suspects: suspects})
//	e.Succeeded("91bd3f06", now)
//	for _, c := range e.Causes(now, known) {
//		q.Add(c.Subject, now.Add(c.For))
//	}
//	until, found := q.Until(now, append(parts, crash.RequestSubject(content)))
//
// Evidence is a pure data structure that is not safe for concurrent use; Quarantine
// and Successes are.
package crash

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report says that a request was in progress at a backend server when that ended.
type Report struct {
	// Server identifies the incarnation of the backend server, Request the content of
	// the request.
	Server, Request uint64
	// At is when the request broke off.
	At time.Time
	// Suspects are the parts of the prompt that other requests may share, in order, from
	// the one at the place First on.
	Suspects []Suspect
	First    int
}

// Suspect is a part of a prompt that may have crashed a backend server.
type Suspect struct {
	// Part is the ID of the part.
	Part string
	// Succeeded is when a request with the part was last served completely, as far
	// as the process knows that reports it; zero if never.
	Succeeded time.Time
}

// requestPrefix begins the subjects that are requests. The IDs of parts have no colon.
const requestPrefix = "request:"

// RequestSubject returns the subject that stands for the requests with a content.
func RequestSubject(content uint64) string {
	return requestPrefix + strconv.FormatUint(content, 16)
}

// RequestContent returns the content of a subject that stands for requests, and an error
// for any other.
func RequestContent(subject string) (uint64, error) {
	digits, found := strings.CutPrefix(subject, requestPrefix)
	if !found {
		return 0, errNoRequest
	}
	content, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("content of %q: %w", subject, err)
	}
	return content, nil
}

// errNoRequest means that a subject is a part of prompts.
var errNoRequest = errors.New("subject is no request")

// IsRequest reports whether the subject stands for requests with one content.
func IsRequest(subject string) bool { return strings.HasPrefix(subject, requestPrefix) }

// Cause is a subject that crashes backend servers.
type Cause struct {
	Subject string
	// For is how long it is to be kept away from them.
	For time.Duration
}

// MaxPartBytes is the length of the longest subject that stands for a part, in bytes.
const MaxPartBytes = 64

// hashPrefix begins the subjects of parts with longer IDs.
const hashPrefix = "hash:"

// PartSubject returns the subject that stands for a part of prompts: its ID, or a hash of that
// if it is longer than MaxPartBytes. It is empty for an ID that no part has.
func PartSubject(id string) string {
	switch {
	case IsRequest(id):
		return ""
	case len(id) > MaxPartBytes:
		return hashPrefix + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return id
}
