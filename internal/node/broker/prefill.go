package broker

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const (
	// prefillPerSlot is the maximum number of permits per slot of a prefill
	// engine.
	prefillPerSlot = 0.75
	// windowShare is the longest predicted wait at an engine for a prefill, as a
	// share of the latency target. It keeps the engine busy between two
	// permits; any longer wait is spent here, where the order can still change.
	windowShare = 0.4
	// minPrefillWaitShare and maxPrefillWaitShare bound the longest wait for a
	// permit to prefill, as shares of the latency target.
	minPrefillWaitShare = 0.15
	maxPrefillWaitShare = 0.6
	// smallPrompt is the number of tokens up to which a prompt is prefilled by
	// the decode engine.
	smallPrompt = 512
	// releaseTimeout bounds the release of an unused KV cache.
	releaseTimeout = time.Second
)

// prefillNeeds returns the needs for a prefill: the first for a prefill engine,
// the second for a decode engine that prefills locally.
func prefillNeeds(service string, prompt assign.Prompt, chain []kept.Part) (prefill, localPrefill need) {
	prefill = need{key: queueKey{service, roster.Prefill, usage.Short}, prompt: prompt, chain: chain}
	localPrefill = need{key: queueKey{service, roster.Decode, usage.LocalPrefill}, prompt: prompt, chain: chain}
	return prefill, localPrefill
}

// prefillNeeds returns the needs of the request's prefill, with its priority and
// times.
func (j *job) prefillNeeds() (prefill, localPrefill need) {
	prompt, chain := j.prompt()
	prefill, localPrefill = prefillNeeds(j.service.Name, prompt, chain)
	prefill, localPrefill = j.withTiming(prefill), j.withTiming(localPrefill)
	// The stages after the permit also take time, which counts towards the latency
	// target: a request that waits longer is served late, and makes those behind it
	// late as well.
	target, start := j.route.LatencyTarget, j.broker.expectedStart(j.service.Name)
	prefill.startBy = prefill.startBy.Add(-start)
	if j.software.bound {
		return prefill, localPrefill
	}
	longest := max(target-start, time.Duration(minPrefillWaitShare*float64(target)))
	prefill.maxWait = min(longest, time.Duration(maxPrefillWaitShare*float64(target)), time.Until(j.deadline))
	localPrefill.maxWait = prefill.maxWait
	return prefill, localPrefill
}

// startPrefill records the prefill of a permit in the predicted caches, and chooses
// the engine from which its prefix is fetched. b.mu must be held.
func (b *Broker) startPrefill(p *permit) {
	set := b.engineSet(p.since, p.need.key.service)
	key, chain := p.server.Key(), p.need.chain
	holder, tokens := b.kept.Holder(chain, key, set.fetchable)
	if tokens > b.kept.Tokens(key, chain) {
		p.fetch = set.index[holder].server.Address
	}
	capacity := int64(0)
	if t := b.Table(); t != nil && t.Services[p.need.key.service].Engine != nil {
		capacity = int64(keptShare * float64(t.Services[p.need.key.service].Engine.CacheTokens))
	}
	b.kept.Start(key, capacity, chain, p.need.prompt.Own)
	if p.ahead == 0 {
		b.recordProgress(p.since, key)
	}
}

// recordPrefill updates the times of an engine that has just completed the prefill of a
// permit that this process issued. The prefill has occupied the engine since it began or
// the one before it completed. b.mu must be held.
func (b *Broker) recordPrefill(p *permit) {
	now, key := time.Now(), p.server.Key()
	began := p.since
	if last := b.progress[key]; last.After(began) {
		began = last
	}
	b.Usage.RecordPrefill(now, p.server, p.units, now.Sub(began))
	b.recordProgress(now, key)
}

// recordProgress records that an engine has completed a prefill or begins the first
// one. b.mu must be held.
func (b *Broker) recordProgress(now time.Time, engine uint64) {
	if b.progress == nil {
		b.progress = map[uint64]time.Time{}
	}
	b.progress[engine] = now
	for _, set := range b.engineSets {
		if e, ok := set.index[engine]; ok {
			e.began = now
		}
	}
}

// keptShare is the share of an engine's KV cache that keeps prompts; running
// requests need the rest.
const keptShare = 0.8

// recordKept records the end of the prefill of a permit in the predicted caches.
// b.mu must be held.
func (b *Broker) recordKept(p *permit, completed bool) {
	if completed {
		b.kept.Done(p.server.Key(), p.need.chain)
		return
	}
	b.kept.Failed(p.server.Key(), p.need.chain)
}

// gapTarget returns the target for the time between two events of the service's
// streams, 0 if there is none.
func (b *Broker) gapTarget(service string) time.Duration {
	if t := b.Table(); t != nil {
		return t.Services[service].TokenGapTarget
	}
	return 0
}

// window returns the longest predicted wait for a prefill at an engine.
func (n need) window() time.Duration {
	return time.Duration(windowShare * float64(n.target))
}

// MarshalLogObject logs the prediction for the prefill, to compare with the actual
// time. It is empty if another process made it.
func (p *permit) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if p.coordinator == "" {
		e.AddInt("Tokens", p.forecast.Tokens)
		e.AddInt("Cached", p.forecast.Cached)
		e.AddInt("Fetched", p.forecast.Fetched)
		e.AddInt("Ahead", p.ahead)
		e.AddDuration("Finish", p.forecast.Finish)
	}
	return nil
}

// endPrefill ends the prefill of a permit that stays in use for the decode.
func (p *permit) endPrefill() {
	if p.finishPrefill(true) && p.coordinator != "" {
		p.broker.Coordination.Release(p.coordinator, PermitRelease{Number: p.number, Prefilled: true, Kept: true})
	}
}

// finishPrefill frees the permit's capacity for prefills. It returns false if there
// was no prefill, or it has ended before.
func (p *permit) finishPrefill(completed bool) bool {
	b := p.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.need.key.prefills() || p.units == 0 {
		return false
	}
	b.Usage.EndPrefill(p.server, p.units)
	q := b.queue(p.need.key)
	q.held -= p.units
	ended := Grants{Prefills: -1, Tokens: -p.units}
	b.adjustEngine(p.server, ended)
	if p.coordinator == "" {
		if completed {
			b.recordPrefill(p)
		}
	} else {
		q.remote -= p.units
		addGrant(b.remoteByEngine, p.server.Key(), ended)
	}
	b.recordKept(p, completed)
	p.units, p.prefilled = 0, completed
	b.serveFreed(time.Now(), p.need.key)
	return true
}

// prompt returns the request's prompt, and its prefixes up to the end of each shared
// part, which are all but the last, and at most maxChain.
func (j *job) prompt() (assign.Prompt, []kept.Part) {
	own, chain := j.request.PromptTokens, []kept.Part(nil)
	var d xxhash.Digest
	d.Reset()
	for _, part := range j.request.chain() {
		// A Digest never returns an error.
		_, _ = d.WriteString(part.ID + ",")
		tokens := min(max(part.Tokens, 0), own)
		own -= tokens
		chain = append(chain, kept.Part{Hash: d.Sum64() | 1, Tokens: tokens})
	}
	return newPrompt(own, chain), chain
}

// newPrompt returns the prompt with the prefixes and so many tokens behind them.
func newPrompt(own int, chain []kept.Part) assign.Prompt {
	p := assign.Prompt{Own: own}
	for _, part := range chain {
		p.Shared += part.Tokens
		p.PrefixHash = part.Hash
	}
	return p
}

// prefillPrompt prefills the prompt if it is not small. It returns the KV cache
// of a prefill engine, or a permit at a decode engine that prefills locally;
// neither if the prompt is small or no engine prefills. It returns false if the
// request has ended. A trial goes to one server, which prefills and decodes.
func (j *job) prefillPrompt() (KVSource, *permit, bool) {
	if j.request.PromptTokens <= smallPrompt || j.trial != nil {
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
		if j.quarantined() {
			p.release(usage.Result{})
			j.giveUp(errQuarantined)
			return KVSource{}, nil, false
		}
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
	// Prefills may be repeated, but see newCall for the attempts after the first.
	c.NewConnection = j.attempts+j.dialFailures > 0
	c.Fetch = j.fetchSource(p)
	c.Wanted = func() bool { return j.broker.mayUse(p.server) }
	j.broker.Log.Info("prefill placed", zap.String("Request", j.request.ID), zap.String("Route", j.route.Name),
		zap.Uint64("Version", j.table.Version), zap.String("Server", p.server.ID), zap.Int64("Born", p.server.Born),
		zap.Int("Prompt", j.request.PromptTokens), zap.Duration("Waited", p.waited), zap.String("Coordinator", p.coordinator),
		zap.Int("Own", p.need.prompt.Own), zap.Object("Forecast", p), zap.Stringer("Fetch", c.Fetch))
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
		j.keepPrompt(p)
		p.release(usage.Result{Verdict: usage.OK, Prefilled: true})
		return source, nil
	}
	// A failed prefill never means that the request has run.
	f := &failure{outcome: retry.NotRun, reason: serverLost, err: err, retryCharged: errors.Is(context.Cause(ctx), errStalled)}
	if response != nil {
		f.reason, f.err = serverRefused, newStatusError(response)
		response.Body.Close()
	}
	f.dialFailed = err != nil && call.StageOf(err) == call.StageDialing
	j.checkBroken(ctx, p.server, err)
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

// fetchSource returns the address of the engine from which the engine of the permit
// fetches the prompt's prefix: one that is predicted to keep it, else the preferred
// decode engine. It is invalid if there is none.
func (j *job) fetchSource(p *permit) netip.AddrPort {
	if p.fetch.IsValid() {
		return p.fetch
	}
	return j.broker.preferredEngine(time.Now(), j.service.Name, p.need.prompt.PrefixHash, p.server)
}

// preferredEngine returns the address of the decode engine that comes first in
// the rendezvous order of the prefix hash, from which requester can fetch the
// prefix's KV cache. Engines that are unreachable or stalled are skipped, because
// the fetch would not complete, and those that want no request. The address is
// invalid if there is no such engine or if it is requester itself.
func (b *Broker) preferredEngine(now time.Time, service string, prefixHash uint64, requester roster.Server) netip.AddrPort {
	if prefixHash == 0 {
		return netip.AddrPort{}
	}
	var preferred roster.Server
	bestScore := 2.0
	for _, s := range b.Roster.Service(service) {
		if s.Role != roster.Decode {
			continue
		}
		if snapshot := b.Usage.Get(now, s); snapshot.Unreachable || snapshot.Stalled || snapshot.Paused {
			continue
		}
		if score := assign.Score(xxhash.Sum64String(s.ID), prefixHash); score < bestScore {
			bestScore, preferred = score, s
		}
	}
	if preferred.ID == requester.ID {
		return netip.AddrPort{}
	}
	return preferred.Address
}
