package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/route/admit"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const (
	// maxResponse is the largest engine response that is not streamed, in bytes. An attempt
	// with a longer one fails.
	maxResponse = 64 << 20
	// maxRejection is the largest rejection of an engine that is forwarded, in bytes.
	maxRejection = 1 << 20
)

// errNoEngine means that no engine is left to try.
var errNoEngine = errors.New("no engine is left to try")

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
	reply := jsonReply(t.response.Status, errorJSON(t.outcome, "EngineRefused", "the engine refused the request"))
	if kept, err := j.core.readResponse(t.response.Body, maxRejection); err == nil {
		reply = keptReply(t.response.Status, kept)
	}
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
		kept, err := j.core.readResponse(source, maxResponse)
		source.Close()
		if err == nil && !bytes.Contains(kept.text, []byte(`"id":"`+j.id+`"`)) {
			j.core.Meters.Add("Crossed", 1)
			kept.release()
			err = relay.ErrMismatched
		}
		if err != nil {
			cause = err
			continue
		}
		j.ticket.FirstToken(time.Now())
		j.done(nil)
		return keptReply(200, kept)
	}
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

// endTicket ends the ticket of the current attempt, if any.
func (j *job) endTicket() {
	if j.ticket != nil {
		j.ticket.End()
		j.ticket = nil
	}
}
