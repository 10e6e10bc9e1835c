// Package prefix names the beginnings of prompts, so that a request can be
// sent to an engine that has the KV cache of its beginning already.
//
// A prompt is cut into blocks of BlockBytes. The name of a block is a hash over
// the prompt up to the block's end, so that equal names mean equal beginnings.
//
// # Usage
//
//	blocks := prefix.Blocks(nil, prompt)
//	known.Apply(events)
//	cached := known.Match(blocks) * prefix.BlockTokens
//
// Known follows an engine's cache events. Events arrive late and with gaps, and
// only at the process that reads the engine. Any process that sends a prompt
// assumes its blocks to be cached from then on. A gap makes the entries older
// than it doubtful. Doubt and assumption halve an entry's worth until an event
// confirms it, since it may have been evicted.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// Sizes of a block. A token is taken to be four bytes of text.
const (
	BytesPerToken = 4
	BlockTokens   = 256
	BlockBytes    = BlockTokens * BytesPerToken
)

// Blocks appends the names of the whole blocks of the prompt to list.
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

// Known is what is known of one engine's prefix cache. The zero value knows
// nothing.
type Known struct {
	// entries has the sequence number of the event that added a block.
	entries map[uint64]uint64
	lastSequence    uint64
	// uncertainBefore is the sequence number before which entries may have been evicted
	// unseen.
	uncertainBefore uint64
}

// Assume notes that a prompt was computed, so that its blocks are cached unless
// they were evicted since. Blocks that an event tells of are left as they are.
func (k *Known) Assume(blocks []uint64) {
	if k.entries == nil {
		k.entries = map[uint64]uint64{}
	}
	for _, name := range blocks {
		if _, told := k.entries[name]; !told {
			k.entries[name] = assumed
		}
	}
	k.trim()
}

// assumed stands for the number of an event that was not seen.
const assumed = 0

// trim drops entries over the limit, whichever they are.
func (k *Known) trim() {
	for name := range k.entries {
		if len(k.entries) <= MaxBlocks {
			return
		}
		delete(k.entries, name)
	}
}

// MaxBlocks bounds the entries that are kept of one engine.
const MaxBlocks = 4096

// Apply takes in events, oldest first. Events that are old news are passed over.
func (k *Known) Apply(events []engine.CacheEvent) {
	if k.entries == nil {
		k.entries = map[uint64]uint64{}
	}
	for _, event := range events {
		if event.Sequence <= k.lastSequence {
			continue
		}
		if event.Sequence != k.lastSequence+1 {
			k.uncertainBefore = event.Sequence
		}
		k.lastSequence = event.Sequence
		if event.Evicted {
			delete(k.entries, event.Prefix)
			continue
		}
		k.entries[event.Prefix] = event.Sequence
	}
	k.trim()
}

// Last returns the number of the newest event taken in.
func (k *Known) Last() uint64 { return k.lastSequence }

// Reset forgets everything, as after the engine's restart.
func (k *Known) Reset() { *k = Known{} }

// Match returns how many leading blocks the engine is expected to have. A
// doubtful or assumed entry counts a half.
func (k *Known) Match(blocks []uint64) float64 {
	if len(blocks) == 0 {
		return 0
	}
	if _, ok := k.entries[blocks[0]]; !ok {
		return 0
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		sequence, ok := k.entries[blocks[i]]
		if !ok {
			continue
		}
		if sequence == assumed || sequence < k.uncertainBefore {
			return float64(i+1) / 2
		}
		return float64(i + 1)
	}
	return 0
}
