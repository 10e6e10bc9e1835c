package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/route/admit"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// maxResponse is the largest engine response that is not streamed, in bytes. A
// longer one is truncated.
const maxResponse = 64 << 20

// errNoEngine means that no engine is left to try.
var errNoEngine = errors.New("no engine is left to try")

// terminalError ends a request: there is no further attempt.
type terminalError struct {
	outcome retry.Outcome
	reason  string
	err     error
	// response is an engine's rejection to forward to the client, or nil. Its body
	// has to be closed.
	response *engine.Response
}

// Error returns the reason and the cause.
func (t *terminalError) Error() string { return t.reason + ": " + t.err.Error() }

// Unwrap returns the cause.
func (t *terminalError) Unwrap() error { return t.err }

// job is a model request in progress. It is used by one goroutine at a time.
type job struct {
	core       *Core
	id         string
	deployment *spec.Deployment
	request    Request
	parsed     modelRequest
	ctx        context.Context
	cancel     context.CancelFunc
	attempts   int
	// excluded are the names of the engines that failed this request.
	excluded []string
	// ticket accounts for the current attempt at its engine; nil without one.
	// server is the engine of the last attempt, begun that engine's start.
	ticket *stats.Ticket
	server spec.BackendServer
	begun  start
	// initial is the placement made at admission, used for the first attempt.
	initial  *placement
	started  time.Time
	finished bool
	// mayHaveRun is set once an attempt has failed that may have run.
	mayHaveRun bool
	// offset is how many events had been received when the response was last
	// opened or resumed.
	offset int
}

// placement is a placement decision with the engines that it names.
type placement struct {
	decision        place.Decision
	prefill, decode spec.BackendServer
	// cached is how many tokens of the prompt the prefill engine has cached, ahead
	// how many tokens of other prompts wait there for prefill, and streams how many
	// streams run there.
	cached, ahead float64
	streams       int
}

// serveModel parses a model request, chooses engines for it, and serves it if
// admission control admits it with the latencies predicted for these engines.
func (c *Core) serveModel(ctx context.Context, id string, d *spec.Deployment, r Request) *Reply {
	p, err := parse(d, r.Body)
	if e, ok := asRequestError(err); ok {
		return rejection(e.status, retry.NotRun, e.code, e.detail, 0)
	}
	now := time.Now()
	j := &job{core: c, id: id, deployment: d, request: r, parsed: p, started: now}
	chosen, found := j.choosePlacement(now)
	estimate := admit.Estimate{Found: found}
	if !found {
		c.Demand.Add(p.prompt, p.output)
	} else {
		c.Demand.Add(max(p.prompt-int(chosen.cached), 1), p.output)
		estimate.Wait, estimate.Finish = chosen.decision.Wait, chosen.decision.Finish
	}
	decision := admit.Decide(admit.Request{
		Priority: r.Priority, FirstToken: d.FirstToken, Left: r.Deadline.Sub(now), Ratio: c.shareUsed(r.Account),
	}, estimate)
	if !decision.Admit {
		return rejection(rejectionStatus(decision.Reason), retry.NotRun, decision.Reason.String(), "refused before it was sent to an engine", decision.RetryAfter)
	}
	c.charge(r.Account, d.Share(r.Account), p.prompt+p.output)
	c.depositRetry(d)
	c.Meters.Add("Admitted", 1)
	c.Trace.Add(trace.Event{Kind: trace.Admitted, Request: id, Detail: p.model.Name})
	j.initial = chosen
	j.ctx, j.cancel = context.WithDeadline(ctx, r.Deadline)
	if p.stream {
		return j.serveStream()
	}
	return j.serveBuffered()
}

// rejectionStatus returns the HTTP status of a rejection by admission control.
func rejectionStatus(r admit.Reason) int {
	switch r {
	case admit.DeadlinePassed:
		return 400
	case admit.OverShare, admit.NodeFull:
		return 429
	}
	return 503
}

// choosePlacement chooses the engines for the next attempt. It returns false if
// there is none.
func (j *job) choosePlacement(now time.Time) (*placement, bool) {
	c := j.core
	buffer, _ := c.buffers.Get().(*stats.Buffer)
	if buffer == nil {
		buffer = &stats.Buffer{}
	}
	defer c.buffers.Put(buffer)
	query := stats.Query{Model: j.parsed.model.Name, KvBytes: j.parsed.model.KvBytes, Blocks: j.parsed.blocks, BlockTokens: prefix.BlockTokens, Exclude: j.excluded}
	c.Estimates.Candidates(now, query, buffer)
	decision := place.Choose(place.Request{
		Prompt: j.parsed.prompt, Output: j.parsed.output, FirstToken: j.deployment.FirstToken, TokenGap: j.deployment.TokenGap,
		Left: j.request.Deadline.Sub(now), Random: c.randomUint64(), Policy: c.Policy,
	}, buffer.Engines)
	if decision.Reason != place.Chosen {
		return nil, false
	}
	p := &placement{decision: decision, prefill: buffer.Servers[decision.Prefill], decode: buffer.Servers[decision.Decode]}
	e := buffer.Engines[decision.Prefill]
	p.cached, p.ahead, p.streams = e.Cached, e.Waiting, e.Running
	return p, true
}

// serveStream serves a response whose events are relayed as the engine produces
// them.
func (j *job) serveStream() *Reply {
	s := &relay.Stream{ID: j.id, Open: j.open, Done: j.done, ErrorEvent: failEvent}
	s.OnEvent = j.onEvent
	if err := s.Prime(); err != nil {
		return j.failureReply(err)
	}
	return &Reply{
		Status: 200, Outcome: retry.Run, Body: s, Streamed: true,
		Fields: []engine.Field{{Name: "Content-Type", Value: "text/event-stream"}, {Name: "Cache-Control", Value: "no-cache"}},
	}
}

// onEvent records in the ticket that the count-th event of the response has been
// received.
func (j *job) onEvent(count int) {
	if count == j.offset+1 {
		j.ticket.FirstToken(time.Now())
	}
	if stats.SampleDue(count) {
		j.ticket.Tokens(time.Now(), count)
	}
}

// failEvent returns the error event that ends a streamed response that could not be
// completed.
func failEvent(err error) []byte {
	outcome, reason := retry.Unknown, "AnswerBroken"
	var t *terminalError
	if errors.As(err, &t) {
		reason = t.reason
	}
	event := append([]byte("event: error\ndata: "), errorJSON(outcome, reason, "the answer broke off and could not be resumed")...)
	return append(event, "\n\n"...)
}

// done accounts for the end of the request; err is nil after a complete response.
// Only the first call counts.
func (j *job) done(err error) {
	if j.finished {
		return
	}
	j.finished = true
	j.endTicket()
	j.cancel()
	c := j.core
	if j.parsed.stream {
		c.active.Add(-1)
	}
	switch {
	case err == nil:
		c.quarantine.succeeded(time.Now(), j.request.content)
		c.Meters.Add("Answered", 1)
		c.Meters.Add("AnswerMs", time.Since(j.started).Milliseconds())
		c.Trace.Add(trace.Event{Kind: trace.Answered, Request: j.id, Engine: j.server.Name})
	case errors.Is(err, io.ErrClosedPipe):
		c.Meters.Add("Abandoned", 1)
		c.Trace.Add(trace.Event{Kind: trace.Abandoned, Request: j.id, Engine: j.server.Name, Detail: "the caller has gone"})
	default:
		c.Meters.Add("Broken", 1)
		c.Trace.Add(trace.Event{Kind: trace.Broken, Request: j.id, Engine: j.server.Name, Detail: err.Error()})
	}
}

// failureReply returns the reply to a request that failed before anything was sent
// to the client.
func (j *job) failureReply(err error) *Reply {
	if j.parsed.stream {
		// done has decremented active or is about to, and Serve decrements it
		// again since this reply is not streamed.
		j.core.active.Add(1)
	}
	j.done(err)
	var t *terminalError
	if !errors.As(err, &t) {
		t = &terminalError{outcome: retry.Unknown, reason: "AnswerBroken", err: err}
	}
	if t.response != nil {
		return j.forwardRejection(t)
	}
	if errors.Is(t, errQuarantined) {
		return rejectQuarantined(t.outcome, j.core.quarantined(j.request.content))
	}
	status := failureStatus(t.outcome)
	if errors.Is(err, context.DeadlineExceeded) {
		status = 504
	}
	return rejection(status, t.outcome, t.reason, t.err.Error(), time.Second)
}

// forwardRejection returns an engine's own rejection of the request's content to
// the client, and closes the engine's response.
func (j *job) forwardRejection(t *terminalError) *Reply {
	defer t.response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(t.response.Body, 1<<20))
	if err != nil {
		body = errorJSON(t.outcome, "EngineRefused", "the engine refused the request")
	}
	reply := jsonReply(t.response.Status, body)
	reply.Outcome, reply.Reason = t.outcome, "EngineRefused"
	return reply
}

// serveBuffered serves a response that is not streamed. It reads the whole response
// before it replies, so that another engine can be tried until then.
func (j *job) serveBuffered() *Reply {
	var cause error
	for {
		source, err := j.open(0, cause)
		if err != nil {
			return j.failureReply(err)
		}
		body, err := io.ReadAll(io.LimitReader(source, maxResponse))
		source.Close()
		if err == nil && !bytes.Contains(body, []byte(`"id":"`+j.id+`"`)) {
			j.core.Meters.Add("Crossed", 1)
			err = relay.ErrMismatched
		}
		if err != nil {
			cause = err
			continue
		}
		j.ticket.FirstToken(time.Now())
		j.done(nil)
		return jsonReply(200, body)
	}
}

// open sends the request to an engine, and after a failure to another one, until
// an engine responds. The response continues after offset events; cause is the
// failure of the previous response, if any. It is used as a relay.Opener.
func (j *job) open(offset int, cause error) (relay.Source, error) {
	if errors.Is(cause, relay.ErrMismatched) {
		j.core.Meters.Add("Crossed", 1)
		j.core.Trace.Add(trace.Event{Kind: trace.Crossed, Request: j.id, Engine: j.server.Name})
	}
	if offset > j.offset {
		// The response has made progress: earlier failures no longer count.
		j.offset, j.attempts, j.excluded = offset, 1, nil
	}
	for {
		if cause != nil {
			if err := j.prepareRetry(cause); err != nil {
				return nil, err
			}
			if offset > 0 {
				j.core.Trace.Add(trace.Event{Kind: trace.Resumed, Request: j.id, Detail: fmt.Sprintf("after %d events", offset)})
			}
		}
		source, err := j.attempt(offset)
		if err == nil {
			return source, nil
		}
		var t *terminalError
		if errors.As(err, &t) {
			if j.mayHaveRun {
				t.outcome = retry.Unknown
			}
			return nil, err
		}
		cause = err
	}
}

// errRejected means that a backend server did not run the request: it confirmed
// that, or an engine responded with status 429 or 503.
var errRejected = errors.New("refused by the engine")

// prepareRetry ends the failed attempt, excludes its engine, records the failure in
// Estimates unless the engine merely rejected the request, and waits for the retry
// backoff. It returns a terminalError if the request must not be retried.
func (j *job) prepareRetry(cause error) error {
	j.endTicket()
	if j.server.Name != "" {
		j.excluded = append(j.excluded, j.server.Name)
		j.core.checkBroken(j.ctx, j.begun, j.server, j.id, j.request.content, cause)
		if !errors.Is(cause, errRejected) && j.ctx.Err() == nil {
			j.core.Estimates.RecordFailure(time.Now(), j.server.Name)
		}
	}
	if err := j.ctx.Err(); err != nil {
		return &terminalError{outcome: retry.Unknown, reason: "DeadlinePassed", err: err}
	}
	failure := retry.Failure{
		Rejected: errors.Is(cause, errRejected), Stage: call.StageOf(cause), Repeatable: true,
		MayHaveRun: j.mayHaveRun, Attempts: j.attempts, Left: time.Until(j.request.Deadline),
	}
	decision := j.core.decideRetry(failure)
	j.mayHaveRun = decision.Outcome == retry.Unknown
	if !decision.Retry {
		return &terminalError{outcome: decision.Outcome, reason: decision.Reason.String(), err: cause}
	}
	j.core.Meters.Add("Retried", 1)
	j.core.Trace.Add(trace.Event{Kind: trace.Retried, Request: j.id, Engine: j.server.Name, Detail: cause.Error()})
	if !timer.Wait(j.ctx, decision.Delay) {
		return &terminalError{outcome: decision.Outcome, reason: "DeadlinePassed", err: j.ctx.Err()}
	}
	if j.core.quarantined(j.request.content) > 0 {
		return &terminalError{outcome: decision.Outcome, reason: reasonQuarantined, err: errQuarantined}
	}
	return nil
}

// attempt places the request and sends it once. The error is a terminalError if no
// further attempt makes sense.
func (j *job) attempt(offset int) (relay.Source, error) {
	now := time.Now()
	p, ok := j.initial, j.initial != nil
	j.initial = nil
	if !ok {
		p, ok = j.choosePlacement(now)
	}
	if !ok && len(j.excluded) > 0 {
		// Every engine has failed this request. One that failed before may have
		// recovered.
		j.excluded = nil
		p, ok = j.choosePlacement(now)
	}
	if !ok {
		return nil, &terminalError{outcome: retry.NotRun, reason: place.NoEngine.String(), err: errNoEngine}
	}
	j.attempts++
	j.sendTo(p.decode)
	j.core.Trace.Add(trace.Event{Kind: trace.Placed, Request: j.id, Engine: p.decode.Name, Detail: p.detail()})
	outgoing := engine.Call{
		ID: j.id, Method: "POST", Path: j.request.Path, Body: j.request.Body, Priority: j.request.Priority,
		Fields: j.request.Fields, Offset: offset, Again: j.attempts > 1, ReadTimeout: j.core.StallTimeout,
	}
	if p.decision.Split() {
		if err := j.prefill(p, outgoing); err != nil {
			return nil, err
		}
		outgoing.Phase, outgoing.KvFrom = engine.DecodeOnly, p.prefill.Address.String()
	}
	j.ticket = j.core.Estimates.Start(time.Now(), p.decode.Name, j.decodeWork(p))
	return j.send(p.decode, outgoing)
}

// decodeWork returns the request's work at the engine that decodes it.
func (j *job) decodeWork(p *placement) stats.Work {
	w := stats.Work{Prompt: j.parsed.prompt, Output: j.parsed.output, Cached: p.cached, Ahead: p.ahead, Streams: p.streams, Blocks: j.parsed.blocks}
	if p.decision.Split() {
		// The prefill engine has computed the KV cache of the whole prompt.
		w.Cached, w.Ahead, w.Blocks = float64(w.Prompt), 0, nil
	}
	return w
}

// detail describes the placement for the trace: the predicted latencies, and the
// prefill engine if it is another one.
func (p *placement) detail() string {
	text := "first " + p.decision.First.Round(time.Millisecond).String() + " gap " + p.decision.Gap.Round(time.Millisecond/10).String()
	if p.decision.Split() {
		text += " prefill " + p.prefill.Name
	}
	return text
}

// prefill sends the request to the prefill engine, which computes the KV cache of
// the prompt, and returns once that is done.
func (j *job) prefill(p *placement, outgoing engine.Call) error {
	ticket := j.core.Estimates.Start(time.Now(), p.prefill.Name, stats.Work{Prompt: j.parsed.prompt, Cached: p.cached, Ahead: p.ahead, Streams: p.streams, Blocks: j.parsed.blocks})
	defer ticket.End()
	outgoing.Phase = engine.PrefillOnly
	j.sendTo(p.prefill)
	source, err := j.send(p.prefill, outgoing)
	if err != nil {
		return err
	}
	defer source.Close()
	if _, err := io.Copy(io.Discard, source); err != nil {
		return fmt.Errorf("prefill on %s: %w", p.prefill.Name, err)
	}
	ticket.FirstToken(time.Now())
	j.sendTo(p.decode)
	return nil
}

// send sends the request to an engine and returns the body of a response with status
// 200, which the caller must close. The error is errRejected if the engine did not
// run the request, and a terminalError if it rejected the request's content.
func (j *job) send(server spec.BackendServer, outgoing engine.Call) (relay.Source, error) {
	response, err := j.core.Sender.Send(j.ctx, server, outgoing)
	if err != nil {
		return nil, err
	}
	if response.Status == 200 {
		j.core.Estimates.RecordSuccess(server.Name)
		return response.Body, nil
	}
	if response.Foreign {
		response.Body.Close()
		return nil, fmt.Errorf("%w: %w", errForeign, engine.StatusError{Status: response.Status})
	}
	if response.NotRun || response.Status == 429 || response.Status == 503 {
		response.Body.Close()
		return nil, errRejected
	}
	if response.Status >= 400 && response.Status < 500 {
		return nil, &terminalError{outcome: retry.NotRun, reason: "EngineRefused", err: engine.StatusError{Status: response.Status}, response: response}
	}
	response.Body.Close()
	return nil, engine.StatusError{Status: response.Status}
}

// errForeign means that a response which is no success may be that to another call.
var errForeign = errors.New("response without the ID of the call")

// sendTo records the engine to which the request is sent next.
func (j *job) sendTo(server spec.BackendServer) {
	j.server, j.begun = server, j.core.quarantine.start(server.Name)
}

// endTicket ends the ticket of the current attempt, if any.
func (j *job) endTicket() {
	if j.ticket != nil {
		j.ticket.End()
		j.ticket = nil
	}
}
