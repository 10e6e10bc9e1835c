package prefix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

func added(sequence, hash uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Prefix: hash}
}

func evicted(sequence, hash uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Prefix: hash, Evicted: true}
}

func TestMatch(t *testing.T) {
	blocks := []uint64{11, 12, 13}
	cases := []struct {
		name   string
		events [][]engine.CacheEvent
		assume []uint64
		want   float64
	}{
		{"empty", nil, nil, 0},
		{"all added", [][]engine.CacheEvent{{added(1, 11), added(2, 12), added(3, 13)}}, nil, 3},
		{"prefix added", [][]engine.CacheEvent{{added(1, 11), added(2, 12)}}, nil, 2},
		{"last block evicted", [][]engine.CacheEvent{{added(1, 11), added(2, 12), evicted(3, 12)}}, nil, 1},
		{"uncertain after a gap", [][]engine.CacheEvent{{added(1, 11), added(2, 12)}, {added(9, 99)}}, nil, 1},
		{"added again after the gap", [][]engine.CacheEvent{{added(1, 11), added(2, 12)}, {added(9, 12)}}, nil, 2},
		{"stale event", [][]engine.CacheEvent{{added(5, 11), added(6, 12)}, {evicted(5, 12)}}, nil, 2},
		{"assumed", nil, blocks, 1.5},
		{"assumed and then evicted", [][]engine.CacheEvent{{evicted(1, 13)}}, blocks, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var x Index
			x.Assume(c.assume)
			for _, events := range c.events {
				x.Apply(events)
			}
			assert.InDelta(t, c.want, x.Match(blocks), 1e-9)
		})
	}
}

func TestBlocks(t *testing.T) {
	prompt := []byte(strings.Repeat("x", 3*BlockBytes))
	blocks := Blocks(nil, prompt)
	assert.Len(t, blocks, 3)
	assert.Equal(t, blocks[:2], Blocks(nil, prompt[:2*BlockBytes+5]), "equal prefixes have equal hashes")
	prompt[0] = 'y'
	assert.NotEqual(t, blocks[2], Blocks(nil, prompt)[2], "a hash covers all text before the end of its block")
}

func TestIndexIsBounded(t *testing.T) {
	var x Index
	for i := range uint64(3 * MaxBlocks) {
		x.Assume([]uint64{i + 1})
	}
	assert.LessOrEqual(t, len(x.entries), MaxBlocks)
}
