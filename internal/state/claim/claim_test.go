package claim_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/claim"
)

func newRegistry(p *platf.Platform) *claim.Registry {
	return &claim.Registry{Store: p, Retention: time.Hour, Prefix: "claim/"}
}

// TestConcurrentClaims checks that of many concurrent requests with the same key,
// each at another process, exactly one claims it, and none if the platform is
// out of service.
func TestConcurrentClaims(t *testing.T) {
	cases := []struct {
		name   string
		faults platf.Faults
		// least and most bound the number of claims made.
		least, most int
	}{
		{"no fault", platf.Faults{}, 1, 1},
		{"slow", platf.Faults{Delay: 500 * time.Millisecond}, 1, 1},
		{"responses lost", platf.Faults{LoseAnswers: 7}, 1, 1},
		{"stale reads", platf.Faults{Stale: 5}, 1, 1},
		{"down", platf.Faults{Down: true}, 0, 0},
		{"no responses", platf.Faults{Silent: true}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &platf.Platform{}
				p.SetFaults(c.faults)
				var mu sync.Mutex
				made := 0
				var group sync.WaitGroup
				for i := range 8 {
					group.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						defer cancel()
						_, prior, err := newRegistry(p).Claim(ctx, claim.Key{Account: "a", Key: "k", Digest: 1}, fmt.Sprint(i), time.Now().Add(time.Minute))
						mu.Lock()
						defer mu.Unlock()
						if err == nil && prior == nil {
							made++
						}
					})
				}
				group.Wait()
				assert.GreaterOrEqual(t, made, c.least)
				assert.LessOrEqual(t, made, c.most)
			})
		})
	}
}

// TestClaimStates goes through the states of claims, with duplicates in each.
func TestClaimStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		registry := newRegistry(&platf.Platform{})
		key := claim.Key{Account: "a", Key: "k", Digest: 1}
		ends := time.Now().Add(time.Minute)
		first, prior, err := registry.Claim(ctx, key, "r1", ends)
		require.NoError(t, err)
		require.Nil(t, prior)
		_, prior, err = registry.Claim(ctx, key, "r2", ends)
		require.NoError(t, err)
		assert.Equal(t, claim.InProgress, prior.State)
		assert.False(t, prior.OutcomeUnknown(time.Now()))
		assert.True(t, prior.OutcomeUnknown(ends.Add(time.Minute)), "the deadline has passed")
		_, _, err = registry.Claim(ctx, claim.Key{Account: "a", Key: "k", Digest: 2}, "r3", ends)
		require.ErrorIs(t, err, claim.ErrMismatch)
		_, prior, err = registry.Claim(ctx, claim.Key{Account: "b", Key: "k", Digest: 2}, "r4", ends)
		require.NoError(t, err)
		assert.Nil(t, prior, "the keys of two accounts are kept apart")
		require.NoError(t, registry.Release(ctx, first))
		second, prior, err := registry.Claim(ctx, key, "r5", ends)
		require.NoError(t, err)
		require.Nil(t, prior, "a released key can be claimed")
		require.NoError(t, registry.Finish(ctx, second, claim.Response{Status: 201, Body: []byte("done")}))
		_, prior, err = registry.Claim(ctx, key, "r6", ends)
		require.NoError(t, err)
		assert.Equal(t, claim.Done, prior.State)
		assert.Equal(t, "done", string(prior.Body))
		third, _, err := registry.Claim(ctx, claim.Key{Account: "c", Key: "big"}, "r7", ends)
		require.NoError(t, err)
		require.NoError(t, registry.Finish(ctx, third, claim.Response{Status: 200, Body: make([]byte, claim.MaxBody+1)}))
		_, prior, err = registry.Claim(ctx, claim.Key{Account: "c", Key: "big"}, "r8", ends)
		require.NoError(t, err)
		assert.True(t, prior.Truncated)
	})
}

// TestClaimRates checks that no claim fails at up to 100 keyed calls a second,
// each with two writes of 3 ms, which is within the platform's limit of 300 writes
// a second. With -v it prints the latency and the failures at rates up to 1,000 a
// second.
func TestClaimRates(t *testing.T) {
	for _, rate := range []int{10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 5
			p := &platf.Platform{Writes: 300, Reads: 2000}
			p.SetFaults(platf.Faults{Delay: 3 * time.Millisecond})
			registry := newRegistry(p)
			var mu sync.Mutex
			var delays []time.Duration
			failed := 0
			var group sync.WaitGroup
			for i := range rate * seconds {
				time.Sleep(time.Second / time.Duration(rate))
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					began := time.Now()
					made, _, err := registry.Claim(ctx, claim.Key{Account: "a", Key: fmt.Sprint(i)}, "r", began.Add(time.Minute))
					took := time.Since(began)
					if err == nil {
						_ = registry.Finish(ctx, made, claim.Response{Status: 200})
					}
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed++
						return
					}
					delays = append(delays, took)
				})
			}
			group.Wait()
			sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
			calls := p.Calls()
			if testing.Verbose() {
				fmt.Printf("%5d keyed calls/s: %6.1f writes/s, added p50 %v p99 %v, refused as not run %.1f%%\n", rate, float64(calls.Writes)/seconds,
					delays[len(delays)/2], delays[len(delays)*99/100], 100*float64(failed)/float64(rate*seconds))
			}
			if rate <= 100 {
				assert.Zero(t, failed)
			}
		})
	}
}
