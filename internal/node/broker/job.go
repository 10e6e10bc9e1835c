package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// Reason says why a request ended as it did.
type Reason string

// The reasons.
const (
	answered        Reason = "Answered"
	noConfiguration Reason = "NoConfiguration"
	noRoute         Reason = "NoRoute"
	noServer        Reason = "NoServer"
	stopping        Reason = "Stopping"
	overloaded      Reason = "Overloaded"
	timedOut        Reason = "TimedOut"
	callerGone      Reason = "CallerGone"
	serverFailed    Reason = "ServerFailed"
	serverRefused   Reason = "ServerRefused"
	serverLost      Reason = "ServerLost"
	streamBroken    Reason = "StreamBroken"
	notDelivered    Reason = "NotDelivered"
)

// errTimeout is the cause of the end of a request whose time is up.
var errTimeout = errors.New("the time for the request is up")

// job is a request under way.
type job struct {
	broker  *Broker
	request *Request
	out     Output
	table   *table.Table
	route   *table.Route
	service table.Service
	ctx     context.Context
	// limit is when the request must have its final answer.
	limit time.Time
	// sends counts the backend servers that the request was sent to, unsent
	// those that could not be reached.
	sends, unsent int
	// reply is the newest failure that a backend server itself answered with.
	reply    *Reply
	excluded map[string]bool
	// outcome is what is known of all sendings together.
	outcome retry.Outcome
	sent    bool
	// begun is set once the caller has the header of a stream.
	begun  bool
	server string
	waited time.Duration
	// readBy is the engine that has read the prompt apart.
	readBy roster.Server
	// stages tells how long each stage took, for the log.
	stages []zap.Field
}

// failure is a sending that brought no answer to hand on.
type failure struct {
	outcome retry.Outcome
	reason  Reason
	err     error
	// reply is the backend server's own failure, if it sent one.
	reply *Reply
	// paid is set if the quota has been asked for the next sending already.
	paid bool
	// unsent is set if nothing left this process.
	unsent bool
}

// maxUnsent is how many backend servers that cannot be reached are tried.
const maxUnsent = 3

// maxAnswer is the largest answer that is not in events, in bytes.
const maxAnswer = 16 << 20

// plain serves a request in one stage.
func (j *job) plain() {
	for {
		p, err := j.broker.enter(j.ctx, j.want("", usage.Short, plainLoad), nil)
		if err != nil {
			j.giveUp(err)
			return
		}
		j.waited += p.waited
		f := j.once(p, j.call())
		if f == nil {
			return
		}
		if !j.again(p.server, f) {
			return
		}
	}
}

// plainLoad is how many requests a slot of a plain service holds.
const plainLoad = 1.5

func (j *job) want(role roster.Role, work usage.Work, load float64) want {
	return j.timed(want{key: lineKey{j.service.Name, role, work}, load: load})
}

// timed adds to what is wanted how urgent the request is and where it has failed.
func (j *job) timed(w want) want {
	w.rank, w.excluded = j.route.Priority, j.excluded
	w.aim = j.request.Arrived.Add(j.route.Aim)
	w.patience = min(time.Duration(patience*float64(j.route.Aim)), time.Until(j.limit))
	return w
}

// patience is the part of a route's aim that a request waits for a place: what
// is left covers the work. A request that would wait for longer is refused at
// once, while its caller has the time to come back.
const patience = 0.6

func (j *job) call() Call {
	return Call{
		Request: j.request, Deadline: j.limit, After: j.request.After, Fresh: !j.route.Repeatable(), MaxOpen: j.broker.maxOpen(j.service),
	}
}

// maxOpen is this process's part of the connections that a backend server of
// the service accepts.
func (b *Broker) maxOpen(service table.Service) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(service.MaxConnections/(max(b.Others.Alive(), 1)+1), 2)
}

// once sends the request to one backend server and hands its answer on. It
// returns nil if the request has ended.
func (j *job) once(p *place, c Call) *failure {
	j.sends++
	j.server = p.server.ID
	began := time.Now()
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	if j.route.Repeatable() && j.sends < j.route.Attempts {
		j.broker.abandonable(p, func() { cancel(errStalled) })
	}
	j.broker.Log.Info("placed", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name),
		zap.Uint64("Version", j.table.Version), zap.String("Server", p.server.ID), zap.Int64("Born", p.server.Born),
		zap.Int("Send", j.sends), zap.Duration("Waited", p.waited), zap.String("Coordinator", p.coordinator))
	answer, err := j.broker.Servers.Send(ctx, p.server, c)
	if err != nil {
		f := j.lost(ctx, err)
		p.leave(usage.Result{Verdict: j.verdict(f)})
		return f
	}
	defer answer.Body.Close()
	if f := refused(answer); f != nil {
		p.leave(usage.Result{Verdict: j.verdict(f)})
		return f
	}
	if j.route.Kind == table.Stream && answer.Status < 300 {
		return j.relay(p, answer, c)
	}
	f := j.whole(answer)
	took := time.Since(began)
	switch {
	case f == nil:
		p.leave(usage.Result{Verdict: usage.Fine, Slowness: j.broker.slowness(p.want.key, took)})
	default:
		p.leave(usage.Result{Verdict: j.verdict(f)})
	}
	return f
}

// slowness compares a time with the usual one of its line.
func (b *Broker) slowness(key lineKey, took time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rates == nil {
		b.rates = map[lineKey]float64{}
	}
	usual, ok := b.rates[key]
	if !ok {
		usual = took.Seconds()
	}
	b.rates[key] = usual + holdLearnt*(took.Seconds()-usual)
	if usual <= 0 {
		return 1
	}
	return took.Seconds() / usual
}

// errStalled is the cause of the end of a sending whose backend server says
// nothing any more.
var errStalled = errors.New("the backend server is stalled")

// lost is the failure of a sending without an answer.
func (j *job) lost(ctx context.Context, err error) *failure {
	f := &failure{outcome: retry.Unknown, reason: serverLost, err: err, paid: errors.Is(context.Cause(ctx), errStalled)}
	if call.StageOf(err) == call.StageDialing {
		f.outcome, f.unsent = retry.NotRun, true
	}
	return f
}

// refused is the failure of an answer that vouches that nothing ran.
func refused(a *Answer) *failure {
	if a.Replaced || a.NotRun {
		return &failure{outcome: retry.NotRun, reason: serverRefused, err: errStatus(a)}
	}
	if !a.Sealed {
		return &failure{outcome: retry.Unknown, reason: serverLost, err: errUnsealed}
	}
	return nil
}

// errUnsealed says that an answer does not come from the backend server.
var errUnsealed = errors.New("answer without the backend server's signature")

// statusError is a backend server's answer that is no success.
type statusError struct {
	status   int
	replaced bool
}

func errStatus(a *Answer) error { return &statusError{a.Status, a.Replaced} }

// Error names the status.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// verdict is what a failure says of the backend server.
func (j *job) verdict(f *failure) usage.Verdict {
	var status *statusError
	switch {
	case j.ctx.Err() != nil && errors.Is(context.Cause(j.ctx), errTimeout):
		return usage.Failed
	case j.ctx.Err() != nil:
		return usage.Nothing
	case errors.Is(f.err, call.ErrBusy):
		return usage.Full
	case errors.As(f.err, &status) && status.replaced:
		return usage.Replaced
	case f.reason == serverRefused:
		return usage.Full
	case f.reason == serverLost && f.outcome == retry.NotRun:
		return usage.Unreachable
	}
	return usage.Failed
}

// whole reads an answer and hands it on.
func (j *job) whole(a *Answer) *failure {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = call.ErrTooLarge
	}
	if err != nil {
		return &failure{outcome: retry.Unknown, reason: serverLost, err: fmt.Errorf("read answer: %w", err)}
	}
	reply := Reply{Status: a.Status, Fields: a.Fields, Body: body}
	if a.Status >= 500 {
		return &failure{outcome: retry.Run, reason: serverFailed, err: errStatus(a), reply: &reply}
	}
	j.outcome = retry.Run
	j.end(reply, answered, nil)
	return nil
}

// again decides whether the request is sent once more; if not, it ends it.
func (j *job) again(server roster.Server, f *failure) bool {
	j.learn(f)
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[server.ID] = true
	why := ""
	switch {
	case j.ctx.Err() != nil:
		j.giveUp(context.Cause(j.ctx))
		return false
	case f.outcome != retry.NotRun && !j.route.Repeatable():
		why = retry.MayHaveRun.String()
	case f.unsent && j.unsent <= maxUnsent:
	case j.sends >= j.route.Attempts:
		why = retry.TriesUsedUp.String()
	case !f.paid && !j.broker.take(j.service.Name):
		why = retry.BudgetUsedUp.String()
	}
	j.broker.Log.Info("sending failed", zap.String("Request", j.request.ID), zap.String("Server", server.ID),
		zap.String("Reason", string(f.reason)), zap.Stringer("Outcome", f.outcome), zap.String("NotAgain", why), zap.Error(f.err))
	if why == "" {
		j.broker.Meters.Add("Repeats", 1)
		return true
	}
	j.fail(f)
	return false
}

// learn takes in what a failure says of the request.
func (j *job) learn(f *failure) {
	j.sent = true
	switch {
	case f.outcome != retry.NotRun:
		j.outcome = f.outcome
	case j.sends+j.unsent == 1:
		j.outcome = retry.NotRun
	}
	if f.unsent {
		j.sends--
		j.unsent++
	}
	if f.reply != nil {
		j.reply = f.reply
	}
}

// fail ends the request after its last failure. What a backend server itself
// answered is handed on.
func (j *job) fail(f *failure) {
	switch {
	case j.reply != nil:
		j.end(*j.reply, serverFailed, f.err)
	case j.outcome == retry.NotRun:
		j.refuse(f.reason)
	default:
		j.end(Reply{Status: 502}, f.reason, f.err)
	}
}

const (
	// returnShare is the part of a caller's time after which it should come
	// back: with less, it meets the burst that it was refused in; callers do not
	// wait for more than a third.
	returnShare = 0.28
	// minReturn and maxReturn bound that time.
	minReturn = 100 * time.Millisecond
	maxReturn = 700 * time.Millisecond
)

// comeBack is when the caller may come back. Callers that are refused together
// come back spread over half of the time.
func (j *job) comeBack() time.Duration {
	wait := time.Duration(returnShare * float64(time.Until(j.limit)))
	wait = min(max(wait, minReturn), maxReturn)
	return wait*3/4 + time.Duration(j.broker.draw()%uint64(wait/2))
}

// giveUp ends a request that got no place, or whose time is up.
func (j *job) giveUp(cause error) {
	notRun := !j.sent || j.outcome == retry.NotRun
	switch {
	case j.reply != nil && j.callerThere(cause):
		j.end(*j.reply, serverFailed, cause)
	case errors.Is(cause, errNoServer):
		j.refuse(noServer)
	case errors.Is(cause, errOverloaded):
		j.refuse(overloaded)
	case errors.Is(cause, errTimeout) && notRun:
		j.refuse(timedOut)
	case errors.Is(cause, errTimeout):
		j.end(Reply{Status: 504}, timedOut, cause)
	default:
		j.note(0, callerGone, cause)
	}
}

// callerThere reports whether the caller still waits.
func (j *job) callerThere(cause error) bool {
	return j.ctx.Err() == nil || errors.Is(cause, errTimeout)
}

// refuse answers that the request has not run. It must be true.
func (j *job) refuse(reason Reason) {
	if j.sent && j.outcome != retry.NotRun {
		j.end(Reply{Status: 502}, reason, nil)
		return
	}
	j.outcome = retry.NotRun
	j.end(Reply{Status: 503, RetryAfter: j.comeBack()}, reason, nil)
}

// end hands on the final answer.
func (j *job) end(reply Reply, reason Reason, cause error) {
	if err := j.out.Answer(reply); err != nil {
		reason, cause = notDelivered, errors.Join(cause, err)
	}
	j.note(reply.Status, reason, cause)
}

// note writes the request's last line in the log.
func (j *job) note(status int, reason Reason, cause error) {
	took := time.Since(j.request.Arrived)
	fields := append(make([]zap.Field, 0, 16), zap.String("Request", j.request.ID), zap.Int("Status", status),
		zap.String("Reason", string(reason)), zap.Stringer("Outcome", j.outcome), zap.Int("Sends", j.sends),
		zap.String("Server", j.server), zap.Duration("Waited", j.waited), zap.Duration("Took", took))
	if j.route != nil {
		fields = append(fields, zap.String("Route", j.route.Name), zap.String("Service", j.service.Name), zap.Uint64("Version", j.table.Version))
		j.broker.Meters.Observe("Took."+string(j.route.Kind), took)
	}
	fields = append(fields, j.stages...)
	if cause != nil {
		fields = append(fields, zap.Error(cause))
	}
	j.broker.Meters.Add("Ended."+string(reason), 1)
	j.broker.Log.Info("ended", fields...)
}
