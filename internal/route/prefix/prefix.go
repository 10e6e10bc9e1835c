// Package prefix estimates which part of a prompt an engine has in its KV cache,
// so that a request can be sent to an engine that has prefilled its prefix before.
//
// A prompt is divided into blocks of BlockBytes. The hash of a block covers the
// prompt up to the end of the block, so equal hashes mean equal prefixes.
//
// # Usage
//
//	blocks := prefix.Blocks(nil, prompt)
//	index.Apply(events)
//	cached := index.Match(blocks) * prefix.BlockTokens
//
// An Index tracks the cache events of one engine. Events arrive late, may be lost,
// and are received only by the process that polls the engine. A process that has
// sent a prompt to the engine therefore assumes that its blocks are cached.
// A gap in the sequence numbers makes all earlier entries uncertain, as an eviction
// event may have been lost. A match that ends at an uncertain or assumed entry
// counts half until an event confirms the entry, since its block may have been
// evicted.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// Sizes of a block. The token count of a text is estimated at four bytes a token.
const (
	BytesPerToken = 4
	BlockTokens   = 256
	BlockBytes    = BlockTokens * BytesPerToken
)

// Blocks appends the hashes of the complete blocks of the prompt to list. An
// incomplete block at the end has none.
func Blocks(list []uint64, prompt []byte) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for len(prompt) >= BlockBytes {
		_, _ = digest.Write(prompt[:BlockBytes])
		list = append(list, digest.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return list
}

// Index tracks which blocks are expected in one engine's prefix cache. The zero
// value is empty and ready to use. It is not safe for concurrent use.
type Index struct {
	// entries maps a block hash to the sequence number of the event that added
	// the block, or to assumed.
	entries      map[uint64]uint64
	lastSequence uint64
	// uncertainBefore is the sequence number after the last gap. Entries with a
	// lower one may have been evicted by a lost event.
	uncertainBefore uint64
}

// Assume adds the blocks of a prompt that the engine has prefilled. They are cached
// unless they have been evicted since. Blocks added by an event keep its sequence
// number.
func (x *Index) Assume(blocks []uint64) {
	if x.entries == nil {
		x.entries = map[uint64]uint64{}
	}
	for _, hash := range blocks {
		if _, exists := x.entries[hash]; !exists {
			x.entries[hash] = assumed
		}
	}
	x.trim()
}

// assumed is the sequence number of entries that no event has confirmed. Those of
// events start at 1.
const assumed = 0

// trim removes arbitrary entries over MaxBlocks.
func (x *Index) trim() {
	for hash := range x.entries {
		if len(x.entries) <= MaxBlocks {
			return
		}
		delete(x.entries, hash)
	}
}

// MaxBlocks is the largest number of blocks in the index of one engine.
const MaxBlocks = 4096

// Apply applies cache events, oldest first. Stale events, whose sequence number is
// not above that of the last event applied, are skipped.
func (x *Index) Apply(events []engine.CacheEvent) {
	if x.entries == nil {
		x.entries = map[uint64]uint64{}
	}
	for _, event := range events {
		if event.Sequence <= x.lastSequence {
			continue
		}
		if event.Sequence != x.lastSequence+1 {
			x.uncertainBefore = event.Sequence
		}
		x.lastSequence = event.Sequence
		if event.Evicted {
			delete(x.entries, event.Prefix)
			continue
		}
		x.entries[event.Prefix] = event.Sequence
	}
	x.trim()
}

// LastSequence returns the sequence number of the last event applied, or 0.
func (x *Index) LastSequence() uint64 { return x.lastSequence }

// Reset removes all entries. Call it when the engine has restarted.
func (x *Index) Reset() { *x = Index{} }

// Match returns the expected number of leading blocks of a prompt in the engine's
// cache: the position of the last block in the index, or half of it if that block's
// entry is uncertain or assumed. It is 0 if the first block is not in the index.
func (x *Index) Match(blocks []uint64) float64 {
	if len(blocks) == 0 {
		return 0
	}
	if _, ok := x.entries[blocks[0]]; !ok {
		return 0
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		sequence, ok := x.entries[blocks[i]]
		if !ok {
			continue
		}
		if sequence == assumed || sequence < x.uncertainBefore {
			return float64(i+1) / 2
		}
		return float64(i + 1)
	}
	return 0
}
