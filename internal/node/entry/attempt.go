package entry

import (
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
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

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
