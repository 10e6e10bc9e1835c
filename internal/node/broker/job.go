package broker

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// Reason is why a request ended as it did. It is written to the log and to the
// metrics.
type Reason string

// The reasons.
const (
	answered        Reason = "Answered" // complete response sent
	noConfiguration Reason = "NoConfiguration"
	noRoute         Reason = "NoRoute"
	noServer        Reason = "NoServer"   // no backend server is ready
	stopping        Reason = "Stopping"   // the deadline is after a planned stop
	overloaded      Reason = "Overloaded" // the wait for a permit is too long
	rejectedByCost  Reason = "Shed"       // others cost their callers more
	timedOut        Reason = "TimedOut"
	clientGone      Reason = "CallerGone"
	serverFailed    Reason = "ServerFailed"  // response with status 500 or above
	serverRefused   Reason = "ServerRefused" // confirmed not to have run
	serverLost      Reason = "ServerLost"    // no complete, verified response
	streamBroken    Reason = "StreamBroken"
	notDelivered    Reason = "NotDelivered"  // sending to the client failed
	tooSlow         Reason = "TooSlow"       // too many bytes wait for the client
	originUnknown   Reason = "OriginUnknown" // nobody knows who began the stream
	quarantined     Reason = "Quarantined"   // the request crashes backend servers
	notRecorded     Reason = "NotRecorded"   // the stream begins again elsewhere
	unauthorized    Reason = "Unauthorized"  // the request has no valid key
	unconfirmed     Reason = "Unconfirmed"   // the list of accounts may be outdated
)

// errTimeout is the cancellation cause of a request whose deadline has passed.
var errTimeout = errors.New("the time limit of the request has passed")

// ErrStopped is the cancellation cause of a request that is in progress at the end of a planned
// stop. Its client gets an error that says what is known of it.
var ErrStopped = errors.New("the process has stopped")

// job is a request in progress.
type job struct {
	broker  *Broker
	request *Request
	out     Output
	table   *table.Table
	route   *table.Route
	service table.Service
	// accounts is set if client accounts are configured, account is that of the request.
	accounts bool
	account  auth.Account
	ctx      context.Context
	cancel   context.CancelFunc
	// slow is set while the client of a stream is behind.
	slow *slowClient
	// deadline is when the request must have its final response.
	deadline time.Time
	// attempts counts the attempts, failed prefills included. Those that failed
	// to connect count as dialFailures instead.
	attempts, dialFailures int
	// failedReply is the latest error response of a backend server.
	failedReply *Reply
	// excluded has the IDs of the backend servers where the request has failed.
	excluded map[string]bool
	// outcome is the outcome of all attempts together, attempted is set once one
	// has failed.
	outcome   retry.Outcome
	attempted bool
	// headerSent is set once the header of a stream has been sent to the
	// client, which began is.
	headerSent bool
	began      streamHeader
	// server is the ID of the latest backend server, waited the total time in
	// queues.
	server string
	waited time.Duration
	// prefilledBy is the prefill engine that has computed the prompt's KV
	// cache.
	prefilledBy roster.Server
	// kept is the prompt of that KV cache while it is counted at the engine.
	kept keptPrompt
	// lastEvent is when the latest event of the stream arrived, longestGap the
	// longest time between two events so far.
	lastEvent  time.Time
	longestGap time.Duration
	// reserved is how many bytes of Broker.MaxBuffered the responses have.
	reserved int
	// quarantinedUntil is when the quarantine of the request ends, zero if it is in
	// none.
	quarantinedUntil time.Time
	// trial is set while the request is the trial of a part in quarantine, trialSent once it
	// may have been sent.
	trial     Trial
	trialSent bool
	// software is bound once the stream has begun. originFrom is set if the client resumes
	// a stream.
	software   software
	originFrom origin.Source
	// placed counts the backend servers to which the request was sent to begin its stream,
	// recorded is the result of Origins.Place.
	placed   int
	recorded <-chan struct{}
	// hop is set if the request is served for a peer.
	hop CarriedOutput
	// probed is the ID of the only backend server to which the request may be sent, empty if
	// there are others. left is set once the request has given up a permit at a backend
	// server that does not respond.
	probed string
	left   bool
	// failedAt has the IDs of the backend servers that the request has reached, carriers
	// those of the peers that it was handed to.
	failedAt []string
	carriers map[string]bool
	// resumeAfter is the ID of the last event that the client has got of a stream that
	// broke, finished is set once the client has the whole response.
	resumeAfter string
	finished    bool
	// unanswered is set if the response is not a backend server's.
	unanswered bool
	// cachedCaller is the result of caller, nil before its first call. shedWait is the
	// predicted wait for capacity if the request was rejected.
	cachedCaller *caller
	shedWait     time.Duration
	// stages has log fields with the duration of each stage.
	stages []zap.Field
}

// maxDialFailures is how many failures to connect are retried beside the
// route's attempts.
const maxDialFailures = 3

// servePlain serves a request without a prefill stage.
func (j *job) servePlain() {
	for {
		if (j.attempted || j.left) && j.cutOff() && j.carry() {
			return
		}
		p, err := j.acquirePlain()
		if err != nil {
			j.giveUp(err)
			return
		}
		j.waited += p.waited
		if j.quarantined() && !j.sendTrial() {
			p.release(usage.Result{})
			j.giveUp(errQuarantined)
			return
		}
		if j.leaves(p) {
			p.release(usage.Result{})
			continue
		}
		f := j.attempt(p, j.newCall())
		if f == nil {
			return
		}
		if !j.prepareRetry(p.server, f) {
			return
		}
	}
}

// need returns what the request needs from a queue of its service.
func (j *job) need(role roster.Role, work usage.Work, perSlot float64) need {
	return j.withTiming(need{key: queueKey{j.service.Name, role, work}, perSlot: perSlot})
}

// withTiming fills in the priority, the times and the excluded backend servers.
func (j *job) withTiming(n need) need {
	n.priority, n.excluded, n.caller = j.account.Rank(j.route.Priority), j.excluded, j.caller()
	n.target = j.route.LatencyTarget
	n.startBy = j.request.Arrived.Add(j.route.LatencyTarget)
	n.maxWait = min(time.Duration(maxWaitShare*float64(j.route.LatencyTarget)), time.Until(j.deadline))
	return j.bind(n)
}

// maxWaitShare is the share of a route's latency target that a request may wait
// for a permit; the rest is for the work. A request that would wait longer is
// rejected immediately, while its client still has time to retry.
const maxWaitShare = 0.6

// newCall returns the call for the next attempt. Requests that must not run
// twice use a new connection, and so does each attempt but the first: only on a
// connection that has had no response to the request is a refusal with its ID surely
// that of this attempt. A server may write an earlier one once more, and two of the
// attempts may reach the same address.
func (j *job) newCall() Call {
	return Call{
		Request: j.request, Deadline: j.deadline, After: j.request.After, NewConnection: !j.route.Repeatable() || j.attempts+j.dialFailures > 0,
		MaxConnections: j.broker.maxConnections(j.service), Accounts: j.accounts, Account: j.account.Name,
	}
}

// mayUse reports whether a backend server that was chosen before may still get a request: it
// has not begun to leave, and does not ask for a pause.
func (b *Broker) mayUse(server roster.Server) bool {
	_, ready := b.Roster.Find(server.ID, server.Born)
	return ready && !b.Usage.Get(time.Now(), server).Paused
}

// maxConnections returns this process's share of the connections that a backend
// server of the service accepts, or 0 if they are not limited. The share leaves
// capacity for one process that is not a member yet, and is at least 2.
func (b *Broker) maxConnections(service table.Service) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(service.MaxConnections/(max(b.Peers.Members(), 1)+1), 2)
}

// attempt sends the request to one backend server and relays its response. It
// returns nil if the request has ended.
func (j *job) attempt(p *permit, c Call) *failure {
	j.attempts++
	j.server = p.server.ID
	start := time.Now()
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	if j.route.Repeatable() && j.attempts < j.route.Attempts {
		j.broker.setAbort(p, func() { cancel(errStalled) })
	}
	j.broker.Log.Info("placed", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name),
		zap.Uint64("Version", j.table.Version), zap.String("Server", p.server.ID), zap.Int64("Born", p.server.Born), zap.String("Software", p.server.Version),
		zap.Int("Send", j.attempts), zap.Duration("Waited", p.waited), zap.String("Coordinator", p.coordinator),
		zap.String("After", c.After), zap.String("Origin", j.request.Origin))
	j.placeStream(p.server)
	c.Wanted = func() bool { return j.broker.mayUse(p.server) }
	response, err := j.broker.Servers.Send(ctx, p.server, c)
	if err != nil {
		f := j.sendFailure(ctx, err)
		j.checkBroken(ctx, p.server, err)
		p.release(j.result(f))
		return f
	}
	defer response.Body.Close()
	if f := rejection(response); f != nil {
		p.release(j.result(f))
		return f
	}
	p.responded = true
	stream := j.route.Kind == table.Stream && response.Status < 300
	if !stream {
		j.countBegan()
	}
	if !j.continues(response.Status, response.Fields) {
		f := &failure{outcome: retry.Unknown, reason: serverFailed, err: errOtherResponse(response)}
		p.release(j.result(f))
		return f
	}
	if stream {
		return j.relayStream(p, response, c)
	}
	f := j.relayWhole(p, response)
	took := time.Since(start)
	switch {
	case f == nil:
		if j.broker.byCost() && p.need.key.role == "" {
			j.broker.recordHold(j.route.Name, took)
		}
		p.release(usage.Result{Verdict: usage.OK, LatencyRatio: j.broker.latencyRatio(p.need.key, took)})
	default:
		p.release(j.result(f))
	}
	return f
}

// latencyRatio returns the measured time over the moving average of the queue's
// requests, and updates the average.
func (b *Broker) latencyRatio(key queueKey, took time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responseTimes == nil {
		b.responseTimes = map[queueKey]float64{}
	}
	expected, ok := b.responseTimes[key]
	if !ok {
		expected = took.Seconds()
	}
	b.responseTimes[key] = expected + holdWeight*(took.Seconds()-expected)
	if expected <= 0 {
		return 1
	}
	return took.Seconds() / expected
}

// relayWhole reads a response completely and sends it to the client.
func (j *job) relayWhole(p *permit, response *Response) *failure {
	body, err := j.readBody(response.Body)
	if err != nil {
		j.checkBroken(j.ctx, p.server, err)
		return &failure{outcome: retry.Unknown, reason: serverLost, err: err}
	}
	j.recordServed(response)
	reply := Reply{Status: response.Status, Fields: response.Fields, Body: body}
	if response.Status >= 500 {
		return &failure{outcome: retry.Run, reason: serverFailed, err: newStatusError(response), reply: &reply}
	}
	j.outcome = retry.Run
	j.end(reply, answered, nil)
	return nil
}

// prepareRetry reports whether to retry the request after a failure. If not, it
// ends the request.
func (j *job) prepareRetry(server roster.Server, f *failure) bool {
	j.recordFailure(f)
	j.endProbe()
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[server.ID] = true
	if f.unreachable() {
		j.broker.undialable.CompareAndSwap(0, 1)
	}
	if !f.dialFailed {
		j.failedAt = append(j.failedAt, server.ID)
	}
	notRetried := ""
	switch {
	case j.ctx.Err() != nil:
		j.giveUp(context.Cause(j.ctx))
		return false
	case j.trialSent:
		notRetried = retry.TriesUsedUp.String()
	case f.outcome != retry.NotRun && !j.route.Repeatable():
		notRetried = retry.MayHaveRun.String()
	case f.dialFailed && j.dialFailures <= maxDialFailures:
	case j.attempts >= j.route.Attempts:
		notRetried = retry.TriesUsedUp.String()
	case !f.retryCharged && !j.broker.tryRetry(j.service.Name):
		notRetried = retry.BudgetUsedUp.String()
	}
	j.broker.Log.Info("attempt failed", zap.String("Request", j.request.ID), zap.String("Server", server.ID),
		zap.String("Reason", string(f.reason)), zap.Stringer("Outcome", f.outcome), zap.String("NotAgain", notRetried), zap.Error(f.err))
	if notRetried == "" {
		j.broker.Meters.Add("Repeats", 1)
		return true
	}
	j.fail(f)
	return false
}

// giveUp ends a request that got no permit or was canceled. cause is the error
// of acquire or the cancellation cause.
func (j *job) giveUp(cause error) {
	notRun := !j.attempted || j.outcome == retry.NotRun
	switch {
	case j.failedReply != nil && j.clientConnected(cause):
		j.end(*j.failedReply, serverFailed, cause)
	case errors.Is(cause, errNoServer):
		j.reject(noServer)
	case errors.Is(cause, errOverloaded):
		if (j.cutOff() || j.dialFailures > 0 && j.mostlyCut()) && j.mayMove() && j.carry() {
			return
		}
		j.reject(j.shedReason(cause))
	case errors.Is(cause, errQuarantined):
		j.reject(quarantined)
	case errors.Is(cause, errTimeout) && notRun:
		j.reject(timedOut)
	case errors.Is(cause, ErrStopped):
		j.reject(stopping)
	case errors.Is(cause, errTimeout):
		j.endUnanswered(Reply{Status: 504}, timedOut, cause)
	default:
		j.logEnd(0, clientGone, cause)
	}
}

// clientConnected reports whether the client still waits for the response.
func (j *job) clientConnected(cause error) bool {
	return j.ctx.Err() == nil || errors.Is(cause, errTimeout) || errors.Is(cause, ErrStopped)
}

// reject responds with 503, which guarantees to the client that the request has
// not run. If it may have run, it responds with 502.
func (j *job) reject(reason Reason) {
	if j.attempted && j.outcome != retry.NotRun {
		j.endUnanswered(Reply{Status: 502}, reason, nil)
		return
	}
	j.outcome = retry.NotRun
	j.endUnanswered(Reply{Status: 503, RetryAfter: j.retryAfter()}, reason, nil)
}

// endUnanswered sends a final response that is not a backend server's.
func (j *job) endUnanswered(reply Reply, reason Reason, cause error) {
	j.unanswered = true
	j.end(reply, reason, cause)
}

// end sends the final response.
func (j *job) end(reply Reply, reason Reason, cause error) {
	j.finished = true
	if err := j.respond(reply, reason); err != nil {
		reason, cause = notDelivered, errors.Join(cause, err)
	}
	j.logEnd(reply.Status, reason, cause)
}

// logEnd writes the final log entry and the metrics of the request.
func (j *job) logEnd(status int, reason Reason, cause error) {
	took := time.Since(j.request.Arrived)
	fields := append(make([]zap.Field, 0, 16), zap.String("Request", j.request.ID), zap.Int("Status", status),
		zap.String("Reason", string(reason)), zap.Stringer("Outcome", j.outcome), zap.Int("Sends", j.attempts),
		zap.String("Server", j.server), zap.Duration("Waited", j.waited), zap.Duration("Took", took))
	if j.route != nil {
		fields = append(fields, zap.String("Route", j.route.Name), zap.String("Service", j.service.Name), zap.Uint64("Version", j.table.Version))
		j.broker.Meters.Observe("Took."+string(j.route.Kind), took)
	}
	if j.accounts {
		fields = append(fields, zap.String("Account", j.account.Name))
	}
	if j.originFrom != "" {
		fields = append(fields, zap.String("Origin", j.request.Origin), zap.String("OriginFrom", string(j.originFrom)), zap.String("Software", j.software.version))
		j.broker.Meters.Add("Resumed."+string(reason), 1)
	}
	fields = append(fields, j.stages...)
	if j.longestGap > 0 {
		fields = append(fields, zap.Duration("MaxGap", j.longestGap))
		if j.route.TokenGapTarget > 0 {
			j.broker.Meters.Observe("EventGap", j.longestGap)
		}
	}
	if cause != nil {
		fields = append(fields, zap.Error(cause))
	}
	j.broker.Meters.Add("Ended."+string(reason), 1)
	j.broker.Log.Info("ended", fields...)
}
