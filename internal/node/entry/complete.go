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
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/route/admit"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// maxResponse is the largest answer that is not streamed, in bytes.
const maxResponse = 64 << 20

// errNoEngine says that no engine is left to try.
var errNoEngine = errors.New("no engine is left to try")

// terminalError ends a request: it is not tried again.
type terminalError struct {
	outcome retry.Outcome
	reason  string
	err     error
	// response is an engine's refusal to hand on, if not nil.
	response *engine.Answer
}

// Error gives the reason and the cause.
func (f *terminalError) Error() string { return f.reason + ": " + f.err.Error() }

// Unwrap returns the cause.
func (f *terminalError) Unwrap() error { return f.err }

// job is a model request under way.
type job struct {
	core       *Core
	id         string
	deployment *spec.Deployment
	request    Request
	parsed     modelRequest
	ctx        context.Context
	cancel     context.CancelFunc
	attempts   int
	// excluded names the engines that failed this request.
	excluded []string
	ticket   *board.Ticket
	server   string
	// initial is the placement made at admission, used for the first try.
	initial  *placement
	started  time.Time
	finished bool
	// offset is how many events had come when the answer was last opened.
	offset int
}

// placement is a choice with the servers that were chosen.
type placement struct {
	decision        place.Decision
	prefill, decode spec.BackendServer
	cached, ahead   float64
	streams         int
}

func (c *Core) serveModel(ctx context.Context, id string, d *spec.Deployment, r Request) *Reply {
	w, err := parse(d, r.Body)
	if m, ok := asRequestError(err); ok {
		return rejection(m.status, retry.NotRun, m.code, m.detail, 0)
	}
	now := time.Now()
	j := &job{core: c, id: id, deployment: d, request: r, parsed: w, started: now}
	chosen, found := j.choosePlacement(now)
	estimate := admit.Estimate{Found: found}
	if !found {
		c.Demand.Add(w.prompt, w.output)
	} else {
		c.Demand.Add(max(w.prompt-int(chosen.cached), 1), w.output)
		estimate.Wait, estimate.Finish = chosen.decision.Wait, chosen.decision.Finish
	}
	decision := admit.Decide(admit.Request{
		Priority: r.Priority, FirstToken: d.FirstToken, Left: r.Deadline.Sub(now), Ratio: c.shareUsed(r.Account),
	}, estimate)
	if !decision.Admit {
		return rejection(rejectionStatus(decision.Reason), retry.NotRun, decision.Reason.String(), "refused before it was sent to an engine", decision.RetryAfter)
	}
	c.charge(r.Account, d.Share(r.Account), w.prompt+w.output)
	c.depositRetry(d)
	c.Meters.Add("Admitted", 1)
	c.Trace.Add(trace.Event{Kind: trace.Admitted, Request: id, Detail: w.model.Name})
	j.initial = chosen
	j.ctx, j.cancel = context.WithDeadline(ctx, r.Deadline)
	if w.stream {
		return j.serveStream()
	}
	return j.serveBuffered()
}

func rejectionStatus(r admit.Reason) int {
	switch r {
	case admit.DeadlinePassed:
		return 400
	case admit.OverShare, admit.NodeFull:
		return 429
	}
	return 503
}

// choosePlacement chooses engines for the request.
func (j *job) choosePlacement(now time.Time) (*placement, bool) {
	c := j.core
	buffer, _ := c.buffers.Get().(*board.Buffer)
	if buffer == nil {
		buffer = &board.Buffer{}
	}
	defer c.buffers.Put(buffer)
	query := board.Query{Model: j.parsed.model.Name, KvBytes: j.parsed.model.KvBytes, Blocks: j.parsed.blocks, BlockTokens: prefix.BlockTokens, Not: j.excluded}
	c.Board.Candidates(now, query, buffer)
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

// serveStream answers with events as they come.
func (j *job) serveStream() *Reply {
	s := &relay.Stream{ID: j.id, Open: j.open, Done: j.done, Fail: failEvent}
	s.OnEvent = j.onEvent
	if err := s.Prime(); err != nil {
		return j.failureReply(err)
	}
	return &Reply{
		Status: 200, Outcome: retry.Run, Body: s, Streamed: true,
		Fields: []engine.Field{{Name: "Content-Type", Value: "text/event-stream"}, {Name: "Cache-Control", Value: "no-cache"}},
	}
}

func (j *job) onEvent(count int) {
	if count == j.offset+1 {
		j.ticket.First(time.Now())
	}
	if board.Counts(count) {
		j.ticket.Tokens(time.Now(), count)
	}
}

// failEvent is the last event of an answer that could not be made whole.
func failEvent(err error) []byte {
	outcome, reason := retry.Unknown, "AnswerBroken"
	var f *terminalError
	if errors.As(err, &f) {
		reason = f.reason
	}
	event := append([]byte("event: error\ndata: "), errorJSON(outcome, reason, "the answer broke off and could not be resumed")...)
	return append(event, "\n\n"...)
}

// done is called once when a streamed answer has ended.
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
		c.Meters.Add("Answered", 1)
		c.Meters.Add("AnswerMs", time.Since(j.started).Milliseconds())
		c.Trace.Add(trace.Event{Kind: trace.Answered, Request: j.id, Engine: j.server})
	case errors.Is(err, io.ErrClosedPipe):
		c.Meters.Add("Abandoned", 1)
		c.Trace.Add(trace.Event{Kind: trace.Abandoned, Request: j.id, Engine: j.server, Detail: "the caller has gone"})
	default:
		c.Meters.Add("Broken", 1)
		c.Trace.Add(trace.Event{Kind: trace.Broken, Request: j.id, Engine: j.server, Detail: err.Error()})
	}
}

// failureReply is the refusal for a request that failed before anything was sent.
func (j *job) failureReply(err error) *Reply {
	if j.parsed.stream {
		// done has counted the request out already; Serve does it for a
		// refusal.
		j.core.active.Add(1)
	}
	j.done(err)
	var f *terminalError
	if !errors.As(err, &f) {
		f = &terminalError{outcome: retry.Unknown, reason: "AnswerBroken", err: err}
	}
	if f.response != nil {
		return j.forwardRejection(f.response)
	}
	status := 502
	if f.outcome == retry.NotRun {
		status = 503
	}
	if errors.Is(err, context.DeadlineExceeded) {
		status = 504
	}
	return rejection(status, f.outcome, f.reason, f.err.Error(), time.Second)
}

// forwardRejection gives the caller an engine's own refusal of the request's content.
func (j *job) forwardRejection(a *engine.Answer) *Reply {
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if err != nil {
		body = errorJSON(retry.NotRun, "EngineRefused", "the engine refused the request")
	}
	reply := jsonReply(a.Status, body)
	reply.Outcome, reply.Reason = retry.NotRun, "EngineRefused"
	return reply
}

// serveBuffered answers in one piece.
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
			err = relay.ErrCrossed
		}
		if err != nil {
			cause = err
			continue
		}
		j.ticket.First(time.Now())
		j.done(nil)
		return jsonReply(200, body)
	}
}

// open sends the request to an engine, or after a failure to the next. It
// implements relay.Opener.
func (j *job) open(offset int, cause error) (relay.Source, error) {
	if errors.Is(cause, relay.ErrCrossed) {
		j.core.Meters.Add("Crossed", 1)
		j.core.Trace.Add(trace.Event{Kind: trace.Crossed, Request: j.id, Engine: j.server})
	}
	if offset > j.offset {
		// The answer has come further: what failed before does not count.
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
		var f *terminalError
		if errors.As(err, &f) {
			return nil, err
		}
		cause = err
	}
}

// errRejected is a definite refusal by a backend server.
var errRejected = errors.New("refused by the engine")

// prepareRetry decides whether to go on after a failure, and waits.
func (j *job) prepareRetry(cause error) error {
	j.endTicket()
	if j.server != "" {
		j.excluded = append(j.excluded, j.server)
		if !errors.Is(cause, errRejected) && j.ctx.Err() == nil {
			j.core.Board.Failed(time.Now(), j.server)
		}
	}
	if err := j.ctx.Err(); err != nil {
		return &terminalError{outcome: retry.Unknown, reason: "DeadlinePassed", err: err}
	}
	failure := retry.Failure{
		Refused: errors.Is(cause, errRejected), Stage: call.StageOf(cause), Repeatable: true,
		Tries: j.attempts, Left: time.Until(j.request.Deadline),
	}
	decision := j.core.decideRetry(failure)
	if !decision.Again {
		return &terminalError{outcome: decision.Outcome, reason: decision.Reason.String(), err: cause}
	}
	j.core.Meters.Add("Retried", 1)
	j.core.Trace.Add(trace.Event{Kind: trace.Retried, Request: j.id, Engine: j.server, Detail: cause.Error()})
	if !timer.Wait(j.ctx, decision.Delay) {
		return &terminalError{outcome: decision.Outcome, reason: "DeadlinePassed", err: j.ctx.Err()}
	}
	return nil
}

// attempt places the request and sends it once.
func (j *job) attempt(offset int) (relay.Source, error) {
	now := time.Now()
	p, ok := j.initial, j.initial != nil
	j.initial = nil
	if !ok {
		p, ok = j.choosePlacement(now)
	}
	if !ok && len(j.excluded) > 0 {
		// Every engine has failed this request: one that failed before may
		// have recovered.
		j.excluded = nil
		p, ok = j.choosePlacement(now)
	}
	if !ok {
		return nil, &terminalError{outcome: retry.NotRun, reason: place.NoEngine.String(), err: errNoEngine}
	}
	j.attempts++
	j.server = p.decode.Name
	j.core.Trace.Add(trace.Event{Kind: trace.Placed, Request: j.id, Engine: p.decode.Name, Detail: p.detail()})
	sent := engine.Call{
		ID: j.id, Method: "POST", Path: j.request.Path, Body: j.request.Body, Priority: j.request.Priority,
		Fields: j.request.Fields, Offset: offset, ReadTimeout: j.core.StallTimeout,
	}
	if p.decision.Split() {
		if err := j.prefill(p, sent); err != nil {
			return nil, err
		}
		sent.Phase, sent.KvFrom = engine.DecodeOnly, p.prefill.Address.String()
	}
	j.ticket = j.core.Board.Start(time.Now(), p.decode.Name, j.decodeWork(p))
	return j.send(p.decode, sent)
}

// decodeWork is what the request asks of the engine that decodes it.
func (j *job) decodeWork(p *placement) board.Work {
	w := board.Work{Prompt: j.parsed.prompt, Output: j.parsed.output, Cached: p.cached, Ahead: p.ahead, Streams: p.streams, Blocks: j.parsed.blocks}
	if p.decision.Split() {
		// The prompt was computed elsewhere.
		w.Cached, w.Ahead, w.Blocks = float64(w.Prompt), 0, nil
	}
	return w
}

func (p *placement) detail() string {
	text := "first " + p.decision.First.Round(time.Millisecond).String() + " gap " + p.decision.Gap.Round(time.Millisecond/10).String()
	if p.decision.Split() {
		text += " prefill " + p.prefill.Name
	}
	return text
}

// prefill has another engine compute the prompt's KV cache.
func (j *job) prefill(p *placement, sent engine.Call) error {
	ticket := j.core.Board.Start(time.Now(), p.prefill.Name, board.Work{Prompt: j.parsed.prompt, Cached: p.cached, Ahead: p.ahead, Streams: p.streams, Blocks: j.parsed.blocks})
	defer ticket.End()
	sent.Phase = engine.PrefillOnly
	j.server = p.prefill.Name
	source, err := j.send(p.prefill, sent)
	if err != nil {
		return err
	}
	defer source.Close()
	if _, err := io.Copy(io.Discard, source); err != nil {
		return fmt.Errorf("prefill on %s: %w", p.prefill.Name, err)
	}
	ticket.First(time.Now())
	j.server = p.decode.Name
	return nil
}

// send sends the request to an engine and sorts its answer.
func (j *job) send(server spec.BackendServer, sent engine.Call) (relay.Source, error) {
	answer, err := j.core.Sender.Send(j.ctx, server, sent)
	if err != nil {
		return nil, err
	}
	if answer.Status == 200 {
		j.core.Board.Worked(server.Name)
		return answer.Body, nil
	}
	if answer.NotRun || answer.Status == 429 || answer.Status == 503 {
		answer.Body.Close()
		return nil, errRejected
	}
	if answer.Status >= 400 && answer.Status < 500 {
		return nil, &terminalError{outcome: retry.NotRun, reason: "EngineRefused", err: engine.ErrStatus{Status: answer.Status}, response: answer}
	}
	answer.Body.Close()
	return nil, engine.ErrStatus{Status: answer.Status}
}

// endTicket gives the ticket back.
func (j *job) endTicket() {
	if j.ticket != nil {
		j.ticket.End()
		j.ticket = nil
	}
}
