package broker

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/event"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const (
	// decodePerSlot is the number of permits per slot of a decode engine,
	// including those for requests that wait at the engine.
	decodePerSlot = 1.25
	// decodeAffinity weighs locality of the prompt prefix against load. The
	// choice determines where the KV cache of the prefix is kept.
	decodeAffinity = 0.13
)

// servePrompt serves a request with a prompt, disaggregated or colocated.
func (j *job) servePrompt() {
	source, p, ok := j.prefillPrompt()
	if !ok {
		return
	}
	defer j.freeKept()
	for {
		if p == nil && source.Handle == "" && (j.attempted || j.left) && j.cutOff() && j.carry() {
			return
		}
		var err error
		if p == nil {
			p, err = j.broker.acquire(j.ctx, j.decodeNeedAfter(source), nil)
		}
		if err != nil {
			j.releaseKV(source)
			j.giveUp(err)
			return
		}
		j.waited += p.waited
		if j.quarantined() && !j.sendTrial() {
			p.release(usage.Result{})
			j.releaseKV(source)
			j.giveUp(errQuarantined)
			return
		}
		if j.leaves(p) {
			p.release(usage.Result{})
			j.releaseKV(source)
			source, p = KVSource{}, nil
			continue
		}
		c := j.newCall()
		c.Source = source
		if p.need.key.work == usage.LocalPrefill {
			c.Fetch = j.fetchSource(p)
		}
		f := j.attempt(p, c)
		j.freeKept()
		if f == nil {
			return
		}
		if source.Handle != "" && f.outcome == retry.NotRun {
			j.releaseKV(source)
		}
		source = KVSource{}
		if !j.prepareRetry(p.server, f) {
			return
		}
		p = nil
	}
}

// decodeNeedAfter returns the need for a permit at a decode engine after a prefill, whose
// source has no handle if there was none.
func (j *job) decodeNeedAfter(source KVSource) need {
	n := j.decodeNeed()
	if source.Handle != "" {
		// A rejection would waste the prefill.
		n.maxWait, n.begun = time.Until(j.deadline), true
	}
	return n
}

// decodeNeed returns the need for a permit at a decode engine. Long requests
// may wait longer.
func (j *job) decodeNeed() need {
	n := j.need(roster.Decode, j.broker.workKind(j.route.Name, j.request.MaxOutputTokens), decodePerSlot)
	n.prompt, n.chain = j.prompt()
	n.affinity = decodeAffinity
	if n.key.work == usage.Long {
		n.gapTarget = j.route.TokenGapTarget
		n.maxWait = max(n.maxWait, time.Duration(longMaxWaitShare*float64(time.Until(j.deadline))))
	}
	return n
}

// expectedStart returns how long a request usually takes from its prefill
// permit to its first event if it does not wait.
func (b *Broker) expectedStart(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startTime(service)
}

// startTime is expectedStart with b.mu held.
func (b *Broker) startTime(service string) time.Duration {
	holdTime := initialHold
	if q, known := b.queues[queueKey{service: service, role: roster.Prefill}]; known {
		holdTime = q.holdTime
	}
	return time.Duration(prefillMargin*holdTime*float64(time.Second)) + decodeStart
}

const (
	// prefillMargin is the factor on the average prefill time that covers most
	// prefills.
	prefillMargin = 1.5
	// decodeStart covers the wait and the first step at a decode engine.
	decodeStart = 15 * time.Millisecond
	// longHold is the average time, in seconds, that a route's requests hold a
	// decode permit above which they are long.
	longHold = 0.3
	// longMaxWaitShare is the share of the time to the deadline that a long
	// request may wait for a permit. It holds one for seconds, so that waiting
	// is better than a retry by the client.
	longMaxWaitShare = 0.2
	// longOutput is the number of output tokens above which a request is long
	// while there is no average for its route.
	longOutput = 1000
)

// workKind returns the kind of work of a route's requests at a decode engine.
func (b *Broker) workKind(route string, output int) usage.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold, known := b.routeHolds[route]
	if hold.mean > longHold || !known && output > longOutput {
		return usage.Long
	}
	return usage.Short
}

// routeHold is the average time, in seconds, that a route's requests hold a permit, and when the
// latest of them ended.
type routeHold struct {
	mean float64
	at   time.Time
}

// recordHold updates the average time that a route's requests hold a permit at a decode engine, or
// at a backend server of a plain service.
func (b *Broker) recordHold(route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routeHolds == nil {
		b.routeHolds = map[string]routeHold{}
	}
	hold, known := b.routeHolds[route]
	if !known {
		hold.mean = took.Seconds()
	}
	b.routeHolds[route] = routeHold{hold.mean + holdWeight*(took.Seconds()-hold.mean), time.Now()}
}

// relayStream relays a stream of events. A stream that breaks is resumed on
// another engine if its route allows that. It returns a failure only if the
// client has received nothing yet.
func (j *job) relayStream(p *permit, response *Response, c Call) *failure {
	r := &event.Reader{Source: response.Body, Reserve: j.reserve}
	if after, err := strconv.ParseUint(c.After, 10, 64); err == nil {
		r.LastID, r.HasLastID = after, true
	}
	started, sampler := false, j.newGapSampler(p.server)
	for {
		sampler.ready()
		e, err := r.Next()
		if err == io.EOF && started {
			j.broker.recordHold(j.route.Name, time.Since(p.since))
			p.release(usage.Result{Verdict: usage.OK})
			j.recordServed(response)
			if j.slow != nil {
				// Others may use the connection before the client has read everything. The
				// error does not matter, as the response is complete.
				_ = response.Body.Close()
			}
			j.endStream()
			return nil
		}
		if err == nil {
			now := time.Now()
			j.broker.Usage.MarkActive(now, p.server)
			j.measureGap(now)
			sampler.event(now)
		}
		if err == nil && !started {
			j.countBegan()
		}
		if err == nil && !started && c.After != "" && !e.HasID {
			err = errNoID
		}
		if err == nil && !started {
			if !j.beginStream(p.server) {
				p.release(usage.Result{})
				return &failure{outcome: retry.Unknown, reason: notRecorded, err: errNotRecorded}
			}
			started = true
			j.recordStart(p, c)
		}
		if err != nil {
			return j.handleBroken(p, r, err)
		}
		if err := j.relayEvent(response, e); err != nil {
			p.release(usage.Result{})
			j.logEnd(0, j.sendReason(err), err)
			return nil
		}
	}
}

// recordStart records the first event of a stream that is relayed from the backend server of
// the permit.
func (j *job) recordStart(p *permit, c Call) {
	j.broker.clearAbort(p)
	p.endPrefill()
	if c.Source.Handle != "" {
		j.freeKept()
		j.broker.Usage.RecordTransfer(time.Now(), j.prefilledBy, time.Since(p.since))
	}
	j.stages = append(j.stages, zap.Duration("First", time.Since(j.request.Arrived)))
}

// errNoID is the error of a resumed stream whose first event does not say where it goes on.
var errNoID = errors.New("the stream goes on with an event without an ID")

// streamHeader is what all responses that make up a stream have in common.
type streamHeader struct {
	status    int
	mediaType string
}

func newStreamHeader(status int, fields []call.Field) streamHeader {
	h := streamHeader{status: status}
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Content-Type") {
			mediaType, _, _ := strings.Cut(f.Value, ";")
			h.mediaType = strings.ToLower(strings.TrimSpace(mediaType))
		}
	}
	return h
}

// continues reports whether a response with the header may be relayed: any if the client has
// got nothing of a stream, else only one of the same stream. The client would take the bytes
// of another one for part of it.
func (j *job) continues(status int, fields []call.Field) bool {
	return !j.headerSent || newStreamHeader(status, fields) == j.began
}

// errOtherResponse returns the error of a response that does not continue the stream.
func errOtherResponse(response *Response) error {
	return fmt.Errorf("the response does not continue the stream: %w", newStatusError(response))
}

// errNotRecorded is the error of a stream that begins again elsewhere.
var errNotRecorded = errors.New("the origin of the stream could not be recorded")

// measureGap records the time of an event.
func (j *job) measureGap(now time.Time) {
	if !j.lastEvent.IsZero() {
		j.longestGap = max(j.longestGap, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
}

// relayEvent sends an event to the client, and before the first one the header.
func (j *job) relayEvent(response *Response, e event.Event) error {
	if err := j.sendHeader(response.Status, response.Fields); err != nil {
		return err
	}
	return j.sendEvent(e.Text)
}

// sendHeader sends the header of the first response. A resumed stream keeps it.
func (j *job) sendHeader(status int, fields []call.Field) error {
	j.outcome = retry.Run
	if j.headerSent {
		return nil
	}
	j.headerSent, j.began = true, newStreamHeader(status, fields)
	j.bindHop()
	if err := j.out.Begin(status, fields); err != nil {
		return fmt.Errorf("send response header: %w", err)
	}
	return nil
}

// endStream ends a complete stream once the client has got its events.
func (j *job) endStream() {
	if err := j.awaitWritten(); err != nil {
		j.logEnd(0, j.sendReason(err), err)
		return
	}
	j.finished = true
	if err := j.out.End(); err != nil {
		j.logEnd(0, notDelivered, err)
		return
	}
	j.logEnd(200, answered, nil)
}

// handleBroken handles a stream that broke before its end. If the client has
// received nothing yet, it returns a failure. Otherwise the request has run, so
// it is resumed if its route allows that, and ends if not.
func (j *job) handleBroken(p *permit, r *event.Reader, err error) *failure {
	f := &failure{outcome: retry.Unknown, reason: streamBroken, err: err}
	j.checkBroken(j.ctx, p.server, err)
	p.release(j.result(f))
	if !j.headerSent {
		return f
	}
	cause := j.cause()
	if cause == nil && !j.trialSent && j.route.Repeatable() && j.attempts < j.route.Attempts && j.broker.tryRetry(j.service.Name) {
		j.broker.Log.Info("stream broke, resuming on another engine", zap.String("Request", j.request.ID), zap.String("Server", p.server.ID),
			zap.String("Software", p.server.Version), zap.Uint64("After", r.LastID), zap.Error(err))
		if r.HasLastID {
			j.resumeAfter = strconv.FormatUint(r.LastID, 10)
		}
		j.resume(p.server.ID)
		return nil
	}
	if isTooSlow(cause) || errors.Is(cause, errUnwritten) {
		err = cause
	}
	j.logEnd(0, cutReason(cause), err)
	return nil
}

// resume retries the request on another engine, which continues after the last
// event that the client has received.
func (j *job) resume(failed string) {
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[failed] = true
	if j.cutOff() && j.carry() {
		return
	}
	p, err := j.broker.acquire(j.ctx, j.decodeNeed(), nil)
	if err != nil {
		if !j.mostlyCut() || !j.carry() {
			j.logEnd(0, streamBroken, err)
		}
		return
	}
	if j.quarantined() {
		p.release(usage.Result{})
		j.logEnd(0, quarantined, errQuarantined)
		return
	}
	c := j.newCall()
	if j.resumeAfter != "" {
		c.After = j.resumeAfter
	}
	f := j.attempt(p, c)
	if f == nil {
		return
	}
	if f.dialFailed {
		j.attempts--
	}
	if j.mayCarry() && (f.unreachable() || j.cutOff() && j.broker.tryRetry(j.service.Name)) && j.carry() {
		return
	}
	j.logEnd(0, f.reason, f.err)
}
