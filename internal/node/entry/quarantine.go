package entry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const (
	// endedCheckTimeout bounds the check whether a backend server has ended.
	endedCheckTimeout = time.Second
	// startRetention is how long it is remembered when the end of a backend server was
	// found out. It is as long as an end is evidence.
	startRetention = 10 * time.Minute
	// searchInterval is the time between two searches for causes as requests arrive, which
	// bounds what they cost.
	searchInterval = 20 * time.Millisecond
)

// quarantine keeps requests that crash backend servers away from them. The zero value
// has none. It is safe for concurrent use.
type quarantine struct {
	subjects crash.Quarantine
	served   crash.Successes

	// mu guards the fields below.
	mu       sync.Mutex
	evidence crash.Evidence
	endings  crash.Endings[start, spec.BackendServer]
	// ended has when the last end of each backend server was found out by this process.
	ended map[string]time.Time
	// ends are those that any process saw, in the order in which this one learned them.
	ends []*end
	// pending has the claims that are still to be told, and in how many messages. told has
	// when a request was served last that this process has told of.
	pending map[Claim]int
	told    map[uint64]time.Time
	// searched is when causes were last searched for as a request arrived.
	searched time.Time
}

// start identifies the time that a backend server runs without an end.
type start struct {
	server string
	// after is when its last end was found out, zero if there was none.
	after time.Time
}

// contentHash returns a hash of what a backend server works on: the method, the path with
// its query, the body and the client account. A client that sends a request again sends
// the same content, and may do so under another idempotency key.
func (r *Request) contentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest never returns an error.
	for _, text := range []string{r.Method, r.Path, r.Account} {
		_, _ = d.WriteString(text + "\x00")
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// start returns the current start of a backend server, to which a request is sent.
func (q *quarantine) start(server string) start {
	q.mu.Lock()
	defer q.mu.Unlock()
	return start{server, q.ended[server]}
}

// until returns when the quarantine of a request ends, false if it is in none.
func (q *quarantine) until(now time.Time, content uint64) (time.Time, bool) {
	return q.subjects.Until(now, []string{crash.RequestSubject(content)})
}

// succeeded records that a request was served completely.
func (q *quarantine) succeeded(now time.Time, content uint64) {
	q.served.Record(now, []string{crash.RequestSubject(content)})
}

// broke records that a backend server broke off a request. It returns whether the server
// is known to have ended, and whether the caller is to find that out and call checked.
func (q *quarantine) broke(s start, server spec.BackendServer, r crash.Broken) (ended, check bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endings.Sweep(r.At, func(spec.BackendServer) bool { return false }, nil)
	ended, check = q.endings.Break(s, server, r)
	if ended {
		q.report(r.At, s, r)
	}
	return ended, check
}

// checked records whether a connection to a backend server that broke off requests was
// refused, and returns the requests that were in progress if it has ended.
func (q *quarantine) checked(now time.Time, s start, refused bool) []crash.Broken {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.endings.Checked(now, s, refused)
	if len(requests) == 0 {
		return nil
	}
	if q.ended == nil {
		q.ended = map[string]time.Time{}
	}
	for server, at := range q.ended {
		if now.Sub(at) > startRetention {
			delete(q.ended, server)
		}
	}
	q.ended[s.server] = now
	for _, r := range requests {
		q.report(now, s, r)
	}
	return requests
}

// report adds a request that was in progress when a backend server ended to the evidence,
// and tells of it. q.mu must be held.
func (q *quarantine) report(now time.Time, s start, r crash.Broken) {
	server := xxhash.Sum64String(s.server)
	if q.addEnd(now, server, r.Content, r.At) {
		q.tell(Claim{Kind: Ended, Content: r.Content, Server: server, At: r.At})
	}
}

// searchDue reports whether causes are to be searched for as a request arrives.
func (q *quarantine) searchDue(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.searched) < searchInterval {
		return false
	}
	q.searched = now
	return true
}

// find puts the requests that were found to crash backend servers into quarantine, and
// returns them.
func (q *quarantine) find(now time.Time) []crash.Cause {
	q.mu.Lock()
	defer q.mu.Unlock()
	subjects := q.subjects.Subjects()
	known := func(subject string) time.Duration { return max(subjects[subject].Sub(now), 0) }
	q.tellServed(q.evidence.Suspects(now, known))
	causes := q.evidence.Causes(now, known)
	for _, c := range causes {
		q.evidence.Found(now, c.Subject, c.For)
		q.subjects.Add(c.Subject, now.Add(c.For))
		if content, err := crash.RequestContent(c.Subject); err == nil {
			q.tell(Claim{Kind: Quarantined, Content: content, At: now.Add(c.For)})
		}
	}
	return causes
}

// reasonQuarantined is the reason of the replies to requests in quarantine.
const reasonQuarantined = "Quarantined"

// errQuarantined means that the request crashes backend servers.
var errQuarantined = errors.New("the request crashes backend servers")

// quarantined returns for how long a request must not be sent to a backend server, 0 if
// it may be.
func (c *Core) quarantined(content uint64) time.Duration {
	now := time.Now()
	if c.quarantine.searchDue(now) {
		c.findCauses(now)
	}
	until, _ := c.quarantine.until(now, content)
	return max(until.Sub(now), 0)
}

// findCauses puts the requests that were found to crash backend servers into quarantine.
func (c *Core) findCauses(now time.Time) {
	causes := c.quarantine.find(now)
	for _, cause := range causes {
		c.Meters.Add("CrashCausesFound", 1)
		c.Log.Warn("requests crash backend servers and are in quarantine", zap.String("Subject", cause.Subject), zap.Duration("For", cause.For))
	}
	if len(causes) > 0 {
		c.push()
	}
}

// push makes the other processes read the claims soon.
func (c *Core) push() {
	if c.Push != nil {
		c.Push()
	}
}

// rejectQuarantined returns the reply to a request in quarantine for a time. The outcome
// is that of its earlier attempts.
func rejectQuarantined(outcome retry.Outcome, left time.Duration) *Reply {
	return rejection(failureStatus(outcome), outcome, reasonQuarantined, errQuarantined.Error(), left)
}

// checkBroken records a failed attempt that the backend server broke off, and finds out
// whether it has ended.
func (c *Core) checkBroken(ctx context.Context, s start, server spec.BackendServer, id string, content uint64, err error) {
	if ctx.Err() != nil || !call.BrokenOff(err) && !errors.Is(err, relay.ErrTruncated) {
		return
	}
	ended, check := c.quarantine.broke(s, server, crash.Broken{At: time.Now(), ID: id, Content: content})
	if ended {
		c.push()
	}
	if check {
		go c.checkEnded(s, server)
	}
}

// checkEnded finds out whether a backend server has ended.
func (c *Core) checkEnded(s start, server spec.BackendServer) {
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	err := c.Sender.Connect(ctx, server)
	requests := c.quarantine.checked(time.Now(), s, errors.Is(err, syscall.ECONNREFUSED))
	if len(requests) > 0 {
		c.push()
	}
	for _, r := range requests {
		c.Log.Info("backend server ended with a request in progress", zap.String("Server", server.Name), zap.String("Request", r.ID),
			zap.String("Content", strconv.FormatUint(r.Content, 16)))
	}
}
