package broker

import (
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/hold"
)

// promptState has the prompts of the requests that are in progress at engines.
type promptState struct {
	// promptTokens sums the prompt tokens of the permits at each engine, those granted to
	// peers included, by engine key.
	promptTokens map[uint64]int
	// meanPrompts has the mean prompt of the requests at the engines of each role.
	meanPrompts map[promptKey]*hold.Mean
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

// holdPrompt counts the prompt of a permit at its engine. b.mu must be held.
func (b *Broker) holdPrompt(p *permit) {
	tokens := p.need.tokens()
	if tokens <= 0 || b.cacheTokens(p.need.key.service) == 0 {
		return
	}
	if b.promptTokens == nil {
		b.promptTokens, b.meanPrompts = map[uint64]int{}, map[promptKey]*hold.Mean{}
	}
	p.promptTokens = tokens
	b.promptTokens[p.server.Key()] += tokens
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
	key := p.server.Key()
	if b.promptTokens[key] -= p.promptTokens; b.promptTokens[key] <= 0 {
		delete(b.promptTokens, key)
	}
	p.promptTokens = 0
}

// promptFits reports whether an engine's memory takes the prompt. share is the share of it that
// live processes may use, load that of the peers without the permits that this process granted.
// b.mu must be held.
func (b *Broker) promptFits(n need, server uint64, share float64, load peers.Load) bool {
	cache := b.cacheTokens(n.key.service)
	if cache == 0 || n.tokens() == 0 {
		return true
	}
	held := hold.Load{Known: b.promptTokens[server], Others: load.Running, Prefill: load.PrefillTokens}
	return hold.Fits(share*cache, held, b.meanPrompts[promptKey{n.key.service, n.key.role}].Tokens(), n.tokens())
}
