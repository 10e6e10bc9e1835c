// Package kept predicts which prefixes of prompts engines keep in their KV caches,
// from the prefills that were placed on them. It mirrors a cache in which the least
// recently used parts yield.
//
// # Usage
//
//	var m kept.Map
//	m.Start(engine, capacity, chain, own)
//	m.Done(engine, chain)
//	tokens := m.Tokens(engine, chain)
//	holder, tokens := m.Holder(chain, engine, usable)
//
// A process that places all prefills of a service predicts well. One that places
// some of them knows only those, and expects too little. The zero value is empty. A
// Map is not safe for concurrent use.
package kept

import "container/list"

// Part is a prefix of a prompt up to the end of one of its shared parts.
type Part struct {
	// Hash identifies the prefix, which includes the parts before this one.
	Hash uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// Map has the predicted caches by engine key.
type Map struct {
	engines map[uint64]*cache
	// holders has the engines that keep a prefix or prefill it.
	holders map[uint64]map[uint64]*list.Element
}

// cache is the predicted cache of one engine, with the most recently used entry in
// front.
type cache struct {
	used    int64
	entries list.List
}

// entry is a part that an engine keeps. hash is 0 for a part that only one request
// has.
type entry struct {
	engine uint64
	hash   uint64
	tokens int
	// done is set once the part has been prefilled.
	done bool
}

const (
	// maxEntries bounds the entries of one engine.
	maxEntries = 8192
	// maxTokens bounds the tokens of one part.
	maxTokens = 1 << 24
)

// Start records that an engine begins to prefill a prompt. chain has the prompt's
// prefixes in order, own is the length of the rest, and capacity that of the
// engine's KV cache, in tokens; 0 means that it is unknown and bounded by the number
// of entries only.
func (m *Map) Start(engine uint64, capacity int64, chain []Part, own int) {
	c, ok := m.engines[engine]
	if !ok {
		if m.engines == nil {
			m.engines, m.holders = map[uint64]*cache{}, map[uint64]map[uint64]*list.Element{}
		}
		c = &cache{}
		m.engines[engine] = c
	}
	m.push(c, entry{engine: engine, tokens: bounded(own), done: true})
	// The beginning of the prompt is used last, so that a prefix does not yield
	// before those that include it.
	for i := len(chain) - 1; i >= 0; i-- {
		if e, ok := m.holders[chain[i].Hash][engine]; ok {
			c.entries.MoveToFront(e)
			continue
		}
		m.push(c, entry{engine: engine, hash: chain[i].Hash, tokens: bounded(chain[i].Tokens)})
	}
	for c.entries.Len() > maxEntries || capacity > 0 && c.used > capacity {
		m.remove(c, c.entries.Back())
	}
}

func bounded(tokens int) int { return min(max(tokens, 0), maxTokens) }

// push adds an entry to an engine's cache.
func (m *Map) push(c *cache, added entry) {
	e := c.entries.PushFront(&added)
	c.used += int64(added.tokens)
	if added.hash == 0 {
		return
	}
	if m.holders[added.hash] == nil {
		m.holders[added.hash] = map[uint64]*list.Element{}
	}
	m.holders[added.hash][added.engine] = e
}

// remove removes an entry from an engine's cache.
func (m *Map) remove(c *cache, e *list.Element) {
	removed := c.entries.Remove(e).(*entry)
	c.used -= int64(removed.tokens)
	delete(m.holders[removed.hash], removed.engine)
	if len(m.holders[removed.hash]) == 0 {
		delete(m.holders, removed.hash)
	}
}

// Done records that an engine has prefilled a prompt with the prefixes, so that
// others can fetch them.
func (m *Map) Done(engine uint64, chain []Part) {
	for _, p := range chain {
		if e, ok := m.holders[p.Hash][engine]; ok {
			e.Value.(*entry).done = true
		}
	}
}

// Failed records that an engine has not completed a prefill: what it has of the
// prefixes is unknown, except for those it had before.
func (m *Map) Failed(engine uint64, chain []Part) {
	for _, p := range chain {
		if e, ok := m.holders[p.Hash][engine]; ok && !e.Value.(*entry).done {
			m.remove(m.engines[engine], e)
		}
	}
}

// Tokens returns how many tokens of the prefixes the engine is predicted to have
// once it has done the prefills that were started.
func (m *Map) Tokens(engine uint64, chain []Part) int { return m.Lookup(chain).Tokens(engine) }

// Lookup has the engines that keep the prefixes of one prompt. It is valid until the
// next change of the Map.
type Lookup struct {
	chain   []Part
	holders []map[uint64]*list.Element
}

// Lookup looks up the prefixes of a prompt, to ask for many engines.
func (m *Map) Lookup(chain []Part) Lookup {
	l := Lookup{chain: chain}
	for _, p := range chain {
		holders := m.holders[p.Hash]
		if len(holders) == 0 {
			break
		}
		l.holders = append(l.holders, holders)
	}
	return l
}

// Tokens has the meaning of Map.Tokens.
func (l Lookup) Tokens(engine uint64) int {
	sum := 0
	for i, holders := range l.holders {
		if _, ok := holders[engine]; !ok {
			break
		}
		sum += bounded(l.chain[i].Tokens)
	}
	return sum
}

// Holder returns an engine, other than the given one, that has prefilled the most
// of the prefixes, and how many tokens these have. usable reports whether the
// prefix can be fetched from an engine. It returns 0 tokens if there is none.
func (m *Map) Holder(chain []Part, other uint64, usable func(engine uint64) bool) (engine uint64, tokens int) {
	for _, p := range chain {
		tokens += bounded(p.Tokens)
	}
	for i := len(chain) - 1; i >= 0; i-- {
		found := false
		for holder, e := range m.holders[chain[i].Hash] {
			// The lowest key, so that the result does not depend on the order.
			if holder != other && e.Value.(*entry).done && usable(holder) && (!found || holder < engine) {
				engine, found = holder, true
			}
		}
		if found {
			return engine, tokens
		}
		tokens -= bounded(chain[i].Tokens)
	}
	return 0, 0
}

// Retain forgets the engines for which keep returns false.
func (m *Map) Retain(keep func(engine uint64) bool) {
	for engine, c := range m.engines {
		if keep(engine) {
			continue
		}
		for c.entries.Len() > 0 {
			m.remove(c, c.entries.Back())
		}
		delete(m.engines, engine)
	}
}
