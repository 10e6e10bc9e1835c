package broker

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/hold"
)

// promptState has the prompts of the requests that are in progress at engines.
type promptState struct {
	// promptTokens sums the prompt tokens of the permits at each engine, those granted to
	// peers included, by engine key.
	promptTokens map[uint64]int
	// meanPrompts has the mean prompt of the requests at the engines of each role. It is used
	// for the requests of peers that don't tell their prompts.
	meanPrompts map[promptKey]*hold.Mean
}

// keptPrompt is the prompt of a KV cache that a prefill engine keeps until a decode engine has
// fetched it.
type keptPrompt struct {
	server roster.Server
	tokens int
}

// promptKey identifies the engines of a service with one role.
type promptKey struct {
	service string
	role    roster.Role
}

// tokens returns the tokens of the whole prompt, 0 if there is none.
func (n need) tokens() int { return n.prompt.Shared + n.prompt.Own }

// cacheTokens returns the KV cache of each engine of the service in tokens, 0 if it is not
// configured.
func (b *Broker) cacheTokens(service string) float64 {
	t := b.Table()
	if t == nil || t.Services[service].Engine == nil {
		return 0
	}
	return float64(t.Services[service].Engine.CacheTokens)
}

// CountsPrompts reports whether the prompts at the engines of a service are counted: its CacheTokens
// are configured.
func (b *Broker) CountsPrompts() bool {
	t := b.Table()
	if t == nil {
		return false
	}
	for _, s := range t.Services {
		if s.Engine != nil && s.Engine.CacheTokens > 0 {
			return true
		}
	}
	return false
}

// Prompts calls do for each engine that holds prompts of requests of this process, with their
// tokens. Permits granted to peers are left out, since the peers report them. granted are the tokens
// of the permits that other processes granted. do must not call the Broker, which is locked.
func (b *Broker) Prompts(do func(server uint64, tokens, granted int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, tokens := range b.promptTokens {
		if tokens -= b.grantedByEngine[server].Prompts; tokens > 0 {
			do(server, tokens, b.remoteByEngine[server].Prompts)
		}
	}
}

// holdPrompt counts the prompt of a permit at its engine. b.mu must be held.
func (b *Broker) holdPrompt(p *permit) {
	tokens := p.need.tokens()
	if tokens <= 0 || b.cacheTokens(p.need.key.service) == 0 {
		return
	}
	b.addPrompt(p.server.Key(), tokens)
	p.promptTokens = tokens
	if b.meanPrompts == nil {
		b.meanPrompts = map[promptKey]*hold.Mean{}
	}
	key := promptKey{p.need.key.service, p.need.key.role}
	if b.meanPrompts[key] == nil {
		b.meanPrompts[key] = &hold.Mean{}
	}
	b.meanPrompts[key].Observe(tokens)
}

// freePrompt takes back what holdPrompt has counted. b.mu must be held.
func (b *Broker) freePrompt(p *permit) {
	if p.promptTokens == 0 {
		return
	}
	b.addPrompt(p.server.Key(), -p.promptTokens)
	p.promptTokens = 0
}

// addPrompt adds tokens, which may be negative, to those that an engine holds. b.mu must be held.
func (b *Broker) addPrompt(server uint64, tokens int) {
	if b.promptTokens == nil {
		b.promptTokens = map[uint64]int{}
	}
	if b.promptTokens[server] += tokens; b.promptTokens[server] <= 0 {
		delete(b.promptTokens, server)
	}
}

// keepPrompt counts the prompt of a prefill permit at its engine beyond the release of the permit,
// until freeKept: the engine keeps the KV cache for a decode engine.
func (j *job) keepPrompt(p *permit) {
	b := j.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.promptTokens > 0 {
		j.kept = keptPrompt{p.server, p.promptTokens}
		b.addPrompt(p.server.Key(), p.promptTokens)
	}
}

// freeKept takes back what keepPrompt has counted, and serves those that wait for the memory.
// Further calls have no effect.
func (j *job) freeKept() {
	if j.kept.tokens == 0 {
		return
	}
	b := j.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPrompt(j.kept.server.Key(), -j.kept.tokens)
	j.kept = keptPrompt{}
	b.serveIfWaiting(time.Now(), queueKey{service: j.service.Name, role: roster.Prefill})
}

// sharedMemory is the share of a KV cache that processes share out among themselves. It is less than
// hold.Share, since what they tell is old.
const sharedMemory = 0.75

// memory sums the prompts at the engines of one role, in tokens. It is zero if the service's
// CacheTokens are not configured.
type memory struct {
	// cache is the KV cache of each engine, capacity what the prompts of all processes may have
	// at all of them.
	cache, capacity float64
	// own and others are the prompts of this process and of its peers, running counts the
	// requests of the peers.
	own, others, running int
}

// addMemory adds an engine. share and load are as in promptFits. b.mu must be held.
func (b *Broker) addMemory(m *memory, n need, server uint64, share float64, load peers.Load) {
	if m.cache == 0 {
		return
	}
	granted := b.grantedByEngine[server]
	m.capacity += sharedMemory * share * m.cache
	m.own += b.promptTokens[server] - granted.Prompts
	m.others += granted.Prompts + int(peerPrompts(load).Tokens(b.meanPrompt(n)))
	m.running += granted.Requests + load.Running
}

// mayHold reports whether this process may have another prompt of so many tokens at the decode engines.
// Prefills are not shared out: their coordinator sees all of them, and the memory of a view for prefills
// is zero.
// The prompts that peers tell are as old as their last status message, so that all processes see the
// same room. So, as in mayAcquire, each may hold a share in proportion to its prompts, in progress and
// waiting. A process that holds less than the prompt, and whose share has no room for it, may hold it
// in the fraction of the time intervals that its room is of the prompt.
func (q *queue) mayHold(now time.Time, v view, tokens int, seed uint64) bool {
	m := v.memory
	if m.capacity == 0 || tokens == 0 || m.running+v.peerLoad.Waiting <= 0 {
		return true
	}
	own := float64(m.own + max(q.waitingPrompts(), tokens))
	mean := float64(tokens)
	if m.running > 0 {
		mean = max(mean, float64(m.others)/float64(m.running))
	}
	all := own + float64(max(m.others, 0)) + float64(max(v.peerLoad.Waiting, 0))*mean
	left := (m.capacity*own/all - float64(m.own)) / float64(tokens)
	if left >= 1 {
		return true
	}
	return m.own < tokens && left > 0 && assign.Score(seed, uint64(now.UnixNano())/uint64(q.holdInterval())) < left
}

// holdInterval returns the length of the intervals of mayHold. It is about as long as a request holds
// the memory: with shorter ones more processes would have had one in which they may hold a prompt.
func (q *queue) holdInterval() time.Duration {
	interval := shareInterval
	for interval.Seconds() < q.expectedHold() && interval < time.Minute {
		interval *= 2
	}
	return interval
}

// waitingPrompts returns the prompt tokens of the waiters.
func (q *queue) waitingPrompts() int {
	sum := 0
	for _, w := range q.waiting {
		sum += w.need.tokens()
	}
	return sum
}

// peerPrompts returns the load of the peers at an engine.
func peerPrompts(load peers.Load) hold.Load {
	return hold.Load{Told: load.PromptTokens, Others: load.Untold.Running, Prefill: load.Untold.PrefillTokens}
}

// meanPrompt returns the mean prompt of the requests that this process issued to the engines of the
// role, 0 if it is not known. b.mu must be held.
func (b *Broker) meanPrompt(n need) float64 {
	return b.meanPrompts[promptKey{n.key.service, n.key.role}].Tokens()
}

// promptFits reports whether an engine's memory takes the prompt. share is the share of it that
// live processes may use, load that of the peers without the permits that this process granted.
// b.mu must be held.
func (b *Broker) promptFits(n need, server uint64, share float64, load peers.Load) bool {
	cache := b.cacheTokens(n.key.service)
	if cache == 0 || n.tokens() == 0 {
		return true
	}
	held := peerPrompts(load)
	held.Known = b.promptTokens[server]
	return hold.Fits(share*cache, held, b.meanPrompt(n), n.tokens())
}
