package broker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/event"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// A process whose links to all backend servers of a service are cut, while clients and
// peers still reach it, hands whole requests to a peer: that serves them as its own, and
// what it sends to the client comes back over the hop as it arrives. A request that is
// carried is never carried again, so that there is no circle. This process stays its owner:
// it counts it in the retry quota, and answers for what is known of it.

// Carrier hands requests to peers. It must be safe for concurrent use.
type Carrier interface {
	// Choose returns the name of a live peer that reaches backend servers of the service
	// and is not excluded, empty if there is none.
	Choose(service string, excluded map[string]bool) string
	// Carry has the peer serve the request and relays the response to out. It returns nil
	// once out has the whole response, else a *CarryError. When ctx ends, the peer aborts
	// the request.
	Carry(ctx context.Context, peer string, c Carried, out Relay) error
}

// Relay sends the response of a peer to the client.
type Relay interface {
	Output
	// Bind is called before Begin and Respond, as that of CarriedOutput.
	Bind(software string, attempts int)
	// Reserve reserves memory for the body of a complete response, in bytes.
	Reserve(n int) error
}

// Carried is a request that one process serves for another.
type Carried struct {
	// Request is the client's request. Deadline and After may differ from what the client
	// sent: they say what is left.
	Request *Request
	// Service is the service that the request goes to, by a configuration of TableVersion.
	Service      string
	TableVersion uint64
	// Attempts is how many attempts have been used, Failed has the backend servers that
	// the request has reached.
	Attempts int
	Failed   []string
	// Kind is the kind of the route, Repeatable is set if the request may run more than
	// once, and MaxAttempts is how often it may be tried.
	Kind        table.Kind
	Repeatable  bool
	MaxAttempts int
	// Bound is set if the stream goes on at servers of the version Software only.
	Bound    bool
	Software string
	// Hops is the number of peers that the request has been handed to, this one included.
	Hops int
	// LastPeer is set if no other peer can serve the request. It is not part of what the
	// peer gets.
	LastPeer bool
	// Authenticated is set if client accounts are configured at the process that hands the
	// request over. It has checked the key then: Account is the client account, empty if
	// the route is public and the client gave no known key, and Priority the one that holds
	// for the request. The key is not part of it.
	Authenticated bool
	Account       string
	Priority      int
}

// CarriedOutput sends the response to a carried request to the process that has handed it
// over. Refuse is called instead of Respond or End if there is no response of a backend
// server.
type CarriedOutput interface {
	Output
	// Bind is called before Begin and Respond with the version of the servers that may go
	// on with the stream, empty if there is none, and the attempts used.
	Bind(software string, attempts int)
	// Refuse says how a request ended that no backend server has answered.
	Refuse(outcome retry.Outcome, reason Reason, attempts int) error
}

// CarryError is a request that a peer has not served.
type CarryError struct {
	// Outcome is NotRun if it is certain that the request does not run there.
	Outcome retry.Outcome
	// Reason is the peer's, empty if the hop broke. Attempts is how many attempts have been
	// used, 0 if that is not known.
	Reason   Reason
	Attempts int
	Err      error
}

// Error returns the reason and the cause.
func (e *CarryError) Error() string {
	return fmt.Sprintf("carried request: %s: %s: %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *CarryError) Unwrap() error { return e.Err }

const (
	// MaxHops is the number of peers that one request is handed to.
	MaxHops = 3
	// placesPerHop is more than the backend servers to which one process sends a request:
	// the records of the next process count before those of the last.
	placesPerHop = 16
)

// PeerFull is the reason of a peer that serves as many requests for others as it may.
const PeerFull Reason = "PeerFull"

// cutOff reports whether this process reaches none of the backend servers that can serve
// the request.
func (j *job) cutOff() bool { return j.broker.cutOff(j.service.Name, j.software) }

// cutOff reports whether this process reaches none of the backend servers of the service that
// can go on with a stream of the version: connections to all of them fail, or those that
// accept connections don't respond while a peer reaches servers of the service. Prefill
// engines don't count, as any other engine can stand in for them.
func (b *Broker) cutOff(service string, s software) bool {
	r := b.reach(service, s)
	return r.NoneDialable() || r.NoneResponds() && b.Carrier != nil && b.Carrier.Choose(service, nil) != ""
}

// mostlyCut reports whether connections to half of the backend servers of the service fail.
func (j *job) mostlyCut() bool {
	r := j.broker.reach(j.service.Name, j.software)
	return r.Undialable > 0 && 2*r.Undialable >= r.All
}

// reach counts the backend servers of a service, and those that this process does not reach.
// The result is zero while connections to all backend servers succeed.
func (b *Broker) reach(service string, s software) usage.Reach {
	var r usage.Reach
	if b.undialable.Load() == 0 {
		return r
	}
	now := time.Now()
	for _, server := range b.Roster.Service(service) {
		if server.Role != roster.Prefill && s.accepts(server) {
			r.Add(b.Usage.Get(now, server))
		}
	}
	return r
}

// Lost returns the names of the services of which this process reaches no backend server,
// sorted. It includes services whose servers don't respond, whether or not a peer reaches
// them: if all processes say so, none hands requests to another.
func (b *Broker) Lost() []string {
	return b.servicesWhere(func(name string) bool { return !b.Reaches(name) })
}

// servicesWhere returns the names of the services for which the condition holds, sorted; none
// while connections to all backend servers succeed.
func (b *Broker) servicesWhere(condition func(name string) bool) []string {
	t := b.Table()
	if t == nil || b.undialable.Load() == 0 {
		return nil
	}
	var list []string
	for name := range t.Services {
		if condition(name) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Reaches reports whether this process can serve requests to the service for others.
func (b *Broker) Reaches(service string) bool { return !b.reach(service, software{}).NoneProven() }

// cutAlone reports whether this process reaches no backend server of the service while a
// peer does: its links are cut, and the servers have not ended.
func (b *Broker) cutAlone(service string) bool {
	return b.Carrier != nil && b.cutOff(service, software{}) && b.Carrier.Choose(service, nil) != ""
}

// canCarry reports whether a request that waits at a stalled backend server could go on at
// a peer. b.mu must be held.
func (b *Broker) canCarry(n need) bool {
	return b.Carrier != nil && b.cutOff(n.key.service, n.software) && b.Carrier.Choose(n.key.service, nil) != ""
}

// mayMove reports whether the request may run elsewhere in view of what is known of its
// attempts.
func (j *job) mayMove() bool {
	return !j.attempted || j.outcome == retry.NotRun || j.route.Repeatable()
}

// mayCarry reports whether the request may be handed to a peer, if there is one. A trial is
// never handed over: a peer that lacks the finding would serve it uncounted.
func (j *job) mayCarry() bool {
	return j.broker.Carrier != nil && j.hop == nil && !j.isTrial() && j.attempts < j.route.Attempts
}

// carry hands the request to peers until one has served it. It returns false if none has
// taken it, so that the request goes on here.
func (j *job) carry() bool {
	b := j.broker
	if !j.mayCarry() {
		return false
	}
	begun := j.headerSent
	for j.ctx.Err() == nil && len(j.carriers) < MaxHops {
		peer := b.Carrier.Choose(j.service.Name, j.carriers)
		if peer == "" {
			break
		}
		if j.carryTo(peer) {
			return true
		}
	}
	if j.headerSent && !begun {
		// A stream that a peer began goes on here, not from its beginning.
		j.resume("")
		return true
	}
	return false
}

// carryTo hands the request to one peer. It returns false if another one may be tried.
func (j *job) carryTo(peer string) bool {
	b := j.broker
	if j.carriers == nil {
		j.carriers = map[string]bool{}
	}
	j.carriers[peer] = true
	j.server = peer
	b.Meters.Add("Carried", 1)
	b.Log.Info("carried to a peer", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name), zap.String("Service", j.service.Name),
		zap.String("Peer", peer), zap.Int("Sends", j.attempts), zap.String("After", j.resumeAfter))
	relay, c := &carryRelay{job: j}, j.carried()
	c.LastPeer = len(j.carriers) == MaxHops || b.Carrier.Choose(j.service.Name, j.carriers) == ""
	err := b.Carrier.Carry(j.ctx, peer, c, relay)
	if relay.ended {
		return true
	}
	j.placed = placesPerHop * (len(j.carriers) + 1)
	f := &CarryError{Outcome: retry.Unknown, Err: err}
	errors.As(err, &f)
	if f.Outcome != retry.NotRun && f.Attempts == 0 && !relay.bound {
		// It may have run there, at one backend server at least.
		j.attempts++
	}
	return j.handleCarryError(peer, f)
}

// carried returns the request with what is left of it.
func (j *job) carried() Carried {
	r := *j.request
	r.Deadline = j.deadline
	if j.resumeAfter != "" {
		r.After = j.resumeAfter
	}
	return Carried{
		Request: &r, Service: j.service.Name, TableVersion: j.table.Version, Attempts: j.attempts, Failed: j.failedAt,
		Bound: j.software.bound, Software: j.software.version, Kind: j.route.Kind, Repeatable: j.route.Repeatable(), MaxAttempts: j.route.Attempts,
		Hops: len(j.carriers), Authenticated: j.accounts, Account: j.account.Name, Priority: j.account.Rank(j.route.Priority),
	}
}

// handleCarryError decides what becomes of a request that a peer has not served. It returns
// false if it may go on elsewhere.
func (j *job) handleCarryError(peer string, f *CarryError) bool {
	j.broker.Meters.Add("CarriedInVain", 1)
	j.broker.Log.Info("peer has not served a carried request", zap.String("Request", j.request.ID), zap.String("Peer", peer),
		zap.String("Reason", string(f.Reason)), zap.Stringer("Outcome", f.Outcome), zap.Error(f.Err))
	j.attempts = max(j.attempts, f.Attempts)
	if !j.headerSent {
		j.recordOutcome(f.Outcome)
	}
	cause := j.cause()
	again := j.attempts < j.route.Attempts && j.route.Repeatable()
	switch {
	case j.headerSent && (cause != nil || !again || !j.broker.tryRetry(j.service.Name)):
		j.logEnd(0, cutReason(cause), f)
	case j.headerSent:
		return false
	case cause != nil:
		j.giveUp(cause)
	case f.Outcome == retry.NotRun && (f.Reason == overloaded || f.Reason == quarantined || f.Reason == originUnknown):
		j.reject(f.Reason)
	case f.Outcome == retry.NotRun:
		return false
	case again && j.broker.tryRetry(j.service.Name):
		return false
	default:
		j.endUnanswered(Reply{Status: 502}, serverLost, f)
	}
	return true
}

// carryRelay relays what a peer sends to the client.
type carryRelay struct {
	job *job
	// bound is set once the peer has said how many attempts it has used.
	bound bool
	// ended is set once the request has ended, also if the client could not be reached.
	ended bool
}

// Bind implements Relay.
func (r *carryRelay) Bind(version string, attempts int) {
	r.bound = true
	r.job.attempts = max(r.job.attempts, attempts)
	if r.job.route.Kind == table.Stream && version != "" {
		r.job.software = software{bound: true, version: version}
	}
}

// Respond implements Output.
func (r *carryRelay) Respond(reply Reply) error {
	if r.job.headerSent {
		return errOtherResponse(&Response{Status: reply.Status})
	}
	r.ended = true
	r.job.outcome = retry.Run
	reason := answered
	if reply.Status >= 500 {
		reason = serverFailed
	}
	r.job.end(reply, reason, nil)
	return nil
}

// Reserve implements Relay.
func (r *carryRelay) Reserve(n int) error { return r.job.reserve(n) }

// Begin implements Output.
func (r *carryRelay) Begin(status int, fields []call.Field) error {
	if !r.job.continues(status, fields) {
		return errOtherResponse(&Response{Status: status})
	}
	return r.delivered(r.job.sendHeader(status, fields))
}

// Event implements Output.
func (r *carryRelay) Event(text []byte) error {
	reader := event.Reader{Source: bytes.NewReader(text)}
	if _, err := reader.Next(); err == nil && reader.HasLastID {
		r.job.resumeAfter = strconv.FormatUint(reader.LastID, 10)
	}
	r.job.measureGap(time.Now())
	return r.delivered(r.job.sendEvent(text))
}

// End implements Output.
func (r *carryRelay) End() error {
	r.ended = true
	r.job.endStream()
	return nil
}

// delivered ends the request if the client could not be reached.
func (r *carryRelay) delivered(err error) error {
	if err != nil && !r.ended {
		r.ended = true
		r.job.logEnd(0, r.job.sendReason(err), err)
	}
	return err
}

// ServeCarried serves a request for a peer and returns once the response has ended. It
// refuses one that this process would treat otherwise by an older configuration, or cannot
// serve by itself.
func (b *Broker) ServeCarried(ctx context.Context, c Carried, out CarriedOutput) {
	t, r := b.Table(), c.Request
	j := &job{broker: b, request: r, out: out, hop: out, table: t, attempts: c.Attempts, excluded: map[string]bool{}, failedAt: c.Failed}
	j.software = software{bound: c.Bound, version: c.Software}
	j.placed = placesPerHop * c.Hops
	for _, id := range c.Failed {
		j.excluded[id] = true
	}
	defer j.freeBuffers()
	defer j.finishHop()
	b.Meters.Add("CarriedForPeers", 1)
	if t == nil {
		j.reject(noConfiguration)
		return
	}
	route, found := t.Match(r.Host, r.pathOnly())
	if !found || !slices.ContainsFunc(route.Targets, func(t table.Target) bool { return t.Service == c.Service }) {
		j.reject(noRoute)
		return
	}
	if t.Version < c.TableVersion && (route.Kind != c.Kind || route.Repeatable() != c.Repeatable || route.Attempts != c.MaxAttempts) {
		j.reject(noConfiguration)
		return
	}
	j.route, j.service = route, t.Services[c.Service]
	if !j.acceptAccount(c) {
		return
	}
	if !b.Reaches(c.Service) {
		j.reject(noServer)
		return
	}
	j.run(ctx)
}

// finishHop tells the peer that a request has ended without a whole response.
func (j *job) finishHop() {
	if j.finished {
		return
	}
	if err := j.hop.Refuse(retry.Unknown, streamBroken, j.attempts); err != nil {
		j.broker.Log.Debug("end of a carried request could not be sent", zap.String("Request", j.request.ID), zap.Error(err))
	}
}

// respond sends a complete response to the client, or to the peer that carries the request.
func (j *job) respond(reply Reply, reason Reason) error {
	if j.hop == nil {
		return j.out.Respond(reply)
	}
	if !j.unanswered {
		j.bindHop()
		return j.out.Respond(reply)
	}
	outcome := j.outcome
	if !j.attempted {
		outcome = retry.NotRun
	}
	return j.hop.Refuse(outcome, reason, j.attempts)
}

// bindHop tells the peer that carries the request what it is bound to.
func (j *job) bindHop() {
	if j.hop != nil {
		j.hop.Bind(j.software.version, j.attempts)
	}
}
