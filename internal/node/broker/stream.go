package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/event"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const (
	// prefillPerSlot and decodePerSlot are the number of permits per slot of an
	// engine in each stage, including those for requests that wait at the
	// engine.
	prefillPerSlot = 0.75
	decodePerSlot  = 1.25
	// The affinities weigh locality of the prompt prefix against load. They are
	// low for prefill and local prefill, where the prefix's KV cache can be
	// fetched, and higher for decode, which determines where it is stored.
	prefillAffinity      = 0.05
	decodeAffinity       = 0.13
	localPrefillAffinity = 0.04
	// smallPrompt is the number of tokens up to which a prompt is prefilled by
	// the decode engine.
	smallPrompt = 512
	// releaseTimeout bounds the release of an unused KV cache.
	releaseTimeout = time.Second
)

// servePrompt serves a request with a prompt, disaggregated or colocated.
func (j *job) servePrompt() {
	source, p, ok := j.prefillPrompt()
	if !ok {
		return
	}
	for {
		var err error
		if p == nil {
			n := j.decodeNeed()
			if source.Handle != "" {
				// A rejection would waste the prefill.
				n.maxWait = time.Until(j.deadline)
			}
			p, err = j.broker.acquire(j.ctx, n, nil)
		}
		if err != nil {
			j.releaseKV(source)
			j.giveUp(err)
			return
		}
		j.waited += p.waited
		c := j.newCall()
		c.Source = source
		if p.need.key.work == usage.LocalPrefill {
			c.Fetch = j.broker.preferredEngine(time.Now(), j.service.Name, j.hashPrefix(), p.server)
		}
		f := j.attempt(p, c)
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

// prefillNeeds returns the needs for a prefill: the first for a prefill engine,
// the second for a decode engine that prefills locally.
func prefillNeeds(service string, prefixHash uint64) (prefill, localPrefill need) {
	prefill = need{key: queueKey{service, roster.Prefill, usage.Short}, perSlot: prefillPerSlot, prefixHash: prefixHash, affinity: prefillAffinity}
	localPrefill = need{key: queueKey{service, roster.Decode, usage.LocalPrefill}, perSlot: decodePerSlot, prefixHash: prefixHash, affinity: localPrefillAffinity}
	return prefill, localPrefill
}

// prefillNeeds returns the needs of the request's prefill, with its priority and
// times.
func (j *job) prefillNeeds() (prefill, localPrefill need) {
	prefill, localPrefill = prefillNeeds(j.service.Name, j.hashPrefix())
	prefill, localPrefill = j.withTiming(prefill), j.withTiming(localPrefill)
	// The stages after the permit also take time, which counts towards the latency
	// target.
	prefill.startBy = prefill.startBy.Add(-j.broker.expectedStart(j.service.Name))
	return prefill, localPrefill
}

// decodeNeed returns the need for a permit at a decode engine. Long requests
// may wait longer.
func (j *job) decodeNeed() need {
	n := j.need(roster.Decode, j.broker.workKind(j.route.Name, j.request.MaxOutputTokens), decodePerSlot)
	n.prefixHash, n.affinity = j.hashPrefix(), decodeAffinity
	if n.key.work == usage.Long {
		n.maxWait = max(n.maxWait, time.Duration(longMaxWaitShare*float64(time.Until(j.deadline))))
	}
	return n
}

// expectedStart returns how long a request usually takes from its prefill
// permit to its first event if it does not wait.
func (b *Broker) expectedStart(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	holdTime := b.queue(queueKey{service: service, role: roster.Prefill}).holdTime
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
	holdTime, known := b.routeHolds[route]
	if holdTime > longHold || !known && output > longOutput {
		return usage.Long
	}
	return usage.Short
}

// recordHold updates the average time that a route's requests hold a decode
// permit.
func (b *Broker) recordHold(route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routeHolds == nil {
		b.routeHolds = map[string]float64{}
	}
	holdTime, known := b.routeHolds[route]
	if !known {
		holdTime = took.Seconds()
	}
	b.routeHolds[route] = holdTime + holdWeight*(took.Seconds()-holdTime)
}

// hashPrefix returns the hash of the prompt's prefix, which is all parts but
// the last. It is 0 if there is none.
func (j *job) hashPrefix() uint64 {
	if len(j.request.Parts) < 2 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, p := range j.request.Parts[:len(j.request.Parts)-1] {
		if _, err := d.WriteString(p.ID + ","); err != nil {
			return 0
		}
	}
	return d.Sum64() | 1
}

// prefillPrompt prefills the prompt if it is not small. It returns the KV cache
// of a prefill engine, or a permit at a decode engine that prefills locally;
// neither if the prompt is small or no engine prefills. It returns false if the
// request has ended.
func (j *job) prefillPrompt() (KVSource, *permit, bool) {
	if j.request.PromptTokens <= smallPrompt {
		return KVSource{}, nil, true
	}
	for {
		p, err := j.acquirePrefill()
		if errors.Is(err, errNoServer) {
			return KVSource{}, nil, true
		}
		if err != nil {
			j.giveUp(err)
			return KVSource{}, nil, false
		}
		if p.need.key.work == usage.LocalPrefill {
			return KVSource{}, p, true
		}
		j.waited += p.waited
		source, f := j.prefill(p)
		if f == nil {
			return source, nil, true
		}
		// A failed prefill counts as an attempt.
		j.attempts++
		if !j.prepareRetry(p.server, f) {
			return KVSource{}, nil, false
		}
	}
}

// prefill computes the prompt's KV cache on the engine of the permit, which it
// releases.
func (j *job) prefill(p *permit) (KVSource, *failure) {
	start := time.Now()
	c := j.newCall()
	c.Fetch = j.broker.preferredEngine(start, j.service.Name, j.hashPrefix(), p.server)
	j.broker.Log.Info("prefill placed", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name),
		zap.Uint64("Version", j.table.Version), zap.String("Server", p.server.ID), zap.Int64("Born", p.server.Born),
		zap.Int("Prompt", j.request.PromptTokens), zap.Duration("Waited", p.waited), zap.String("Coordinator", p.coordinator),
		zap.Stringer("Fetch", c.Fetch))
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	if j.attempts+1 < j.route.Attempts {
		j.broker.setAbort(p, func() { cancel(errStalled) })
	}
	source, response, err := j.broker.Servers.Prefill(ctx, p.server, c)
	took := time.Since(start)
	j.stages = append(j.stages, zap.Duration("Prefill", took), zap.String("PrefillServer", p.server.ID))
	if err == nil && response == nil {
		j.prefilledBy = p.server
		p.release(usage.Result{Verdict: usage.OK, LatencyRatio: j.broker.latencyRatio(p.need.key, took)})
		return source, nil
	}
	// A failed prefill never means that the request has run.
	f := &failure{outcome: retry.NotRun, reason: serverLost, err: err, retryCharged: errors.Is(context.Cause(ctx), errStalled)}
	if response != nil {
		f.reason, f.err = serverRefused, newStatusError(response)
		response.Body.Close()
	}
	f.dialFailed = err != nil && call.StageOf(err) == call.StageDialing
	verdict := j.verdict(f)
	if err != nil && verdict == usage.Unreachable && call.StageOf(err) != call.StageDialing {
		verdict = usage.Failed
	}
	p.release(usage.Result{Verdict: verdict})
	return KVSource{}, f
}

// releaseKV releases a KV cache that will not be used, in the background.
func (j *job) releaseKV(source KVSource) {
	if source.Handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := j.broker.Servers.Release(ctx, source); err != nil {
			j.broker.Log.Info("release of a prompt's unused KV cache failed", zap.String("Request", j.request.ID), zap.Error(err))
		}
	}()
}

// relayStream relays a stream of events. A stream that breaks is resumed on
// another engine if its route allows that. It returns a failure only if the
// client has received nothing yet.
func (j *job) relayStream(p *permit, response *Response, c Call) *failure {
	r := &event.Reader{Source: response.Body}
	if after, err := strconv.ParseUint(c.After, 10, 64); err == nil {
		r.LastID, r.HasLastID = after, true
	}
	started := false
	for {
		e, err := r.Next()
		if err == io.EOF && started {
			j.broker.recordHold(j.route.Name, time.Since(p.since))
			p.release(usage.Result{Verdict: usage.OK})
			j.endStream()
			return nil
		}
		if err == nil {
			j.broker.Usage.MarkActive(time.Now(), p.server)
		}
		if err == nil && !started {
			started = true
			j.broker.clearAbort(p)
			if c.Source.Handle != "" {
				j.broker.Usage.RecordTransfer(time.Now(), j.prefilledBy, time.Since(p.since))
			}
			j.stages = append(j.stages, zap.Duration("First", time.Since(j.request.Arrived)))
		}
		if err != nil {
			return j.handleBroken(p, r, err)
		}
		if err := j.relayEvent(response, e); err != nil {
			p.release(usage.Result{})
			j.logEnd(0, notDelivered, err)
			return nil
		}
	}
}

// relayEvent sends an event to the client, and before the first one the header.
func (j *job) relayEvent(response *Response, e event.Event) error {
	if err := j.sendHeader(response); err != nil {
		return err
	}
	return j.out.Event(e.Text)
}

// sendHeader sends the header of the first response. A resumed stream keeps it.
func (j *job) sendHeader(response *Response) error {
	j.outcome = retry.Run
	if j.headerSent {
		return nil
	}
	j.headerSent = true
	if err := j.out.Begin(response.Status, response.Fields); err != nil {
		return fmt.Errorf("send response header: %w", err)
	}
	return nil
}

// endStream ends a complete stream.
func (j *job) endStream() {
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
	p.release(usage.Result{Verdict: j.verdict(f)})
	if !j.headerSent {
		return f
	}
	cause := context.Cause(j.ctx)
	if cause == nil && j.route.Repeatable() && j.attempts < j.route.Attempts && j.broker.tryRetry(j.service.Name) {
		j.broker.Log.Info("stream broke, resuming on another engine", zap.String("Request", j.request.ID), zap.String("Server", p.server.ID),
			zap.Uint64("After", r.LastID), zap.Error(err))
		j.resume(p.server, r)
		return nil
	}
	reason := streamBroken
	switch {
	case errors.Is(cause, errTimeout):
		reason = timedOut
	case cause != nil:
		reason = clientGone
	}
	j.logEnd(0, reason, err)
	return nil
}

// resume retries the request on another engine, which continues after the last
// event that the client has received.
func (j *job) resume(failed roster.Server, r *event.Reader) {
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[failed.ID] = true
	p, err := j.broker.acquire(j.ctx, j.decodeNeed(), nil)
	if err != nil {
		j.logEnd(0, streamBroken, err)
		return
	}
	c := j.newCall()
	if r.HasLastID {
		c.After = strconv.FormatUint(r.LastID, 10)
	}
	if f := j.attempt(p, c); f != nil {
		j.logEnd(0, f.reason, f.err)
	}
}
