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
	// prefillLoad and decodeLoad are how many requests an engine's slot holds
	// in each stage, waiting ones included.
	prefillLoad = 0.75
	decodeLoad  = 1.25
	// The pulls are how much it counts that an engine keeps the shared parts:
	// little where they can be fetched, as in prefill and in reading a prompt at
	// a decode engine; more where decoding puts them.
	prefillPull = 0.05
	decodePull  = 0.13
	readingPull = 0.04
	// smallPrompt is the tokens up to which a decode engine reads the prompt
	// itself.
	smallPrompt = 512
	// releaseTimeout bounds the freeing of a prompt that nobody will use.
	releaseTimeout = time.Second
)

// prompted serves a request with a prompt.
func (j *job) prompted() {
	source, p, ok := j.read()
	if !ok {
		return
	}
	for {
		var err error
		if p == nil {
			w := j.decodeWant()
			if source.Handle != "" {
				// What was read would be lost by a refusal.
				w.patience = time.Until(j.limit)
			}
			p, err = j.broker.enter(j.ctx, w, nil)
		}
		if err != nil {
			j.release(source)
			j.giveUp(err)
			return
		}
		j.waited += p.waited
		c := j.call()
		c.Source = source
		if p.want.key.work == usage.Reading {
			c.Fetch = j.broker.home(time.Now(), j.service.Name, j.shared(), p.server)
		}
		f := j.once(p, c)
		if f == nil {
			return
		}
		if source.Handle != "" && f.outcome == retry.NotRun {
			j.release(source)
		}
		source = Source{}
		if !j.again(p.server, f) {
			return
		}
		p = nil
	}
}

// readingWants ask for an engine that reads prompts: the first for a prefill
// engine, the other for a decode engine that reads one beside its streams.
func readingWants(service string, share uint64) (prefill, reading want) {
	prefill = want{key: lineKey{service, roster.Prefill, usage.Short}, load: prefillLoad, share: share, pull: prefillPull}
	reading = want{key: lineKey{service, roster.Decode, usage.Reading}, load: decodeLoad, share: share, pull: readingPull}
	return prefill, reading
}

// readingWants are those of the request.
func (j *job) readingWants() (prefill, reading want) {
	prefill, reading = readingWants(j.service.Name, j.shared())
	prefill, reading = j.timed(prefill), j.timed(reading)
	// The place must come early enough for what follows it.
	prefill.aim = prefill.aim.Add(-j.broker.usual(j.service.Name))
	return prefill, reading
}

func (j *job) decodeWant() want {
	w := j.want(roster.Decode, j.broker.work(j.route.Name, j.request.Output), decodeLoad)
	w.share, w.pull = j.shared(), decodePull
	if w.key.work == usage.Long {
		w.patience = max(w.patience, time.Duration(longPatience*float64(time.Until(j.limit))))
	}
	return w
}

// usual is how long a request with a prompt usually takes from its prefill
// place to its first event, when it waits for nothing.
func (b *Broker) usual(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold := b.line(lineKey{service: service, role: roster.Prefill}).hold
	return time.Duration(usualMargin*hold*float64(time.Second)) + usualDecode
}

const (
	// usualMargin is the usual prefill time's factor that covers most of them.
	usualMargin = 1.5
	// usualDecode covers the wait and the first step at a decode engine.
	usualDecode = 15 * time.Millisecond
	// longHold is the usual time at a decode engine from which on a route's
	// requests are long.
	longHold = 0.3
	// longPatience is the part of its time that a long request waits for a
	// place: it takes one for seconds, and waiting is better than coming back.
	longPatience = 0.2
	// longOutput is how many tokens make a request long while nothing is known
	// of its route.
	longOutput = 1000
)

// work is what the route's requests ask of a decode engine.
func (b *Broker) work(route string, output int) usage.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold, known := b.holds[route]
	if hold > longHold || !known && output > longOutput {
		return usage.Long
	}
	return usage.Short
}

// held learns how long a route's requests take a slot.
func (b *Broker) held(route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holds == nil {
		b.holds = map[string]float64{}
	}
	hold, known := b.holds[route]
	if !known {
		hold = took.Seconds()
	}
	b.holds[route] = hold + holdLearnt*(took.Seconds()-hold)
}

// shared is a hash of the parts that the request shares with others: all but
// the last.
func (j *job) shared() uint64 {
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

// read has a prefill engine read the prompt, if that is worth it. Where none
// has a free place, it returns a place at a decode engine that reads the prompt
// itself. It returns false if the request has ended.
func (j *job) read() (Source, *place, bool) {
	if j.request.Prompt <= smallPrompt {
		return Source{}, nil, true
	}
	for {
		p, err := j.reader()
		if errors.Is(err, errNoServer) {
			return Source{}, nil, true
		}
		if err != nil {
			j.giveUp(err)
			return Source{}, nil, false
		}
		if p.want.key.work == usage.Reading {
			return Source{}, p, true
		}
		j.waited += p.waited
		source, f := j.prefill(p)
		if f == nil {
			return source, nil, true
		}
		// A prefill that failed counts like a sending.
		j.sends++
		if !j.again(p.server, f) {
			return Source{}, nil, false
		}
	}
}

func (j *job) prefill(p *place) (Source, *failure) {
	began := time.Now()
	c := j.call()
	c.Fetch = j.broker.home(began, j.service.Name, j.shared(), p.server)
	j.broker.Log.Info("prefill placed", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name),
		zap.Uint64("Version", j.table.Version), zap.String("Server", p.server.ID), zap.Int64("Born", p.server.Born),
		zap.Int("Prompt", j.request.Prompt), zap.Duration("Waited", p.waited), zap.String("Coordinator", p.coordinator),
		zap.Stringer("Fetch", c.Fetch))
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	if j.sends+1 < j.route.Attempts {
		j.broker.abandonable(p, func() { cancel(errStalled) })
	}
	source, answer, err := j.broker.Servers.Prefill(ctx, p.server, c)
	took := time.Since(began)
	j.stages = append(j.stages, zap.Duration("Prefill", took), zap.String("PrefillServer", p.server.ID))
	if err == nil && answer == nil {
		j.readBy = p.server
		p.leave(usage.Result{Verdict: usage.Fine, Slowness: j.broker.slowness(p.want.key, took)})
		return source, nil
	}
	// Reading a prompt runs nothing, however it ended.
	f := &failure{outcome: retry.NotRun, reason: serverLost, err: err, paid: errors.Is(context.Cause(ctx), errStalled)}
	if answer != nil {
		f.reason, f.err = serverRefused, errStatus(answer)
		answer.Body.Close()
	}
	f.unsent = err != nil && call.StageOf(err) == call.StageDialing
	verdict := j.verdict(f)
	if err != nil && verdict == usage.Unreachable && call.StageOf(err) != call.StageDialing {
		verdict = usage.Failed
	}
	p.leave(usage.Result{Verdict: verdict})
	return Source{}, f
}

// release frees a prompt that was read and will not be used.
func (j *job) release(source Source) {
	if source.Handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := j.broker.Servers.Release(ctx, source); err != nil {
			j.broker.Log.Info("a prompt that was read could not be freed", zap.String("Request", j.request.ID), zap.Error(err))
		}
	}()
}

// relay hands on an answer in events. A stream that breaks goes on elsewhere
// if its route allows that.
func (j *job) relay(p *place, answer *Answer, c Call) *failure {
	r := &event.Reader{Source: answer.Body}
	if after, err := strconv.ParseUint(c.After, 10, 64); err == nil {
		r.Last, r.Started = after, true
	}
	begun := false
	for {
		e, err := r.Next()
		if err == io.EOF && begun {
			j.broker.held(j.route.Name, time.Since(p.since))
			p.leave(usage.Result{Verdict: usage.Fine})
			j.finish()
			return nil
		}
		if err == nil {
			j.broker.Usage.Alive(time.Now(), p.server)
		}
		if err == nil && !begun {
			begun = true
			j.broker.fixed(p)
			if c.Source.Handle != "" {
				j.broker.Usage.Handed(time.Now(), j.readBy, time.Since(p.since))
			}
			j.stages = append(j.stages, zap.Duration("First", time.Since(j.request.Arrived)))
		}
		if err != nil {
			return j.broken(p, r, err)
		}
		if err := j.hand(answer, e); err != nil {
			p.leave(usage.Result{})
			j.note(0, notDelivered, err)
			return nil
		}
	}
}

// hand gives the caller an event, after the answer's header if it is the first.
func (j *job) hand(answer *Answer, e event.Event) error {
	if err := j.begin(answer); err != nil {
		return err
	}
	return j.out.Event(e.Text)
}

// begin hands on the header of the first answer; a resumed stream keeps it.
func (j *job) begin(answer *Answer) error {
	j.outcome = retry.Run
	if j.begun {
		return nil
	}
	j.begun = true
	if err := j.out.Begin(answer.Status, answer.Fields); err != nil {
		return fmt.Errorf("begin answer: %w", err)
	}
	return nil
}

func (j *job) finish() {
	if err := j.out.End(); err != nil {
		j.note(0, notDelivered, err)
		return
	}
	j.note(200, answered, nil)
}

// broken deals with a stream that ended before its end. The request has run,
// and is over unless its route lets it resume.
func (j *job) broken(p *place, r *event.Reader, err error) *failure {
	f := &failure{outcome: retry.Unknown, reason: streamBroken, err: err}
	p.leave(usage.Result{Verdict: j.verdict(f)})
	if !j.begun {
		return f
	}
	cause := context.Cause(j.ctx)
	if cause == nil && j.route.Repeatable() && j.sends < j.route.Attempts && j.broker.take(j.service.Name) {
		j.broker.Log.Info("stream goes on elsewhere", zap.String("Request", j.request.ID), zap.String("Server", p.server.ID),
			zap.Uint64("After", r.Last), zap.Error(err))
		j.resume(p.server, r)
		return nil
	}
	reason := streamBroken
	switch {
	case errors.Is(cause, errTimeout):
		reason = timedOut
	case cause != nil:
		reason = callerGone
	}
	j.note(0, reason, err)
	return nil
}

// resume sends the request to another engine so that it goes on after the
// events that were handed on.
func (j *job) resume(failed roster.Server, r *event.Reader) {
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[failed.ID] = true
	p, err := j.broker.enter(j.ctx, j.decodeWant(), nil)
	if err != nil {
		j.note(0, streamBroken, err)
		return
	}
	c := j.call()
	if r.Started {
		c.After = strconv.FormatUint(r.Last, 10)
	}
	if f := j.once(p, c); f != nil {
		j.note(0, f.reason, f.err)
	}
}
