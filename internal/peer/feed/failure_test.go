package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// leaveWithin is the time within which a change has to be known to all.
const leaveWithin = 3 * time.Second

// settle is how long the processes of a world run before something happens.
const settle = 15 * time.Second

// play runs a world of 30 processes in 2 zones in a bubble.
func play(t *testing.T, relays int, do func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 30, 2, relays)
		ctx, cancel := context.WithCancel(t.Context())
		w.start(ctx)
		time.Sleep(settle)
		do(t, w)
		for _, p := range w.list {
			for kind, v := range p.views {
				assert.Zero(t, v.back, "%s: %s went back", p.Name, kind)
			}
		}
		cancel()
		w.end()
	})
}

// TestCutRelayServesNothingStale guards against a relay that goes on with a view that the
// store has not confirmed for 1.5 s, also if it was paused itself and thinks little time has
// passed since its last call.
func TestCutRelayServesNothingStale(t *testing.T) {
	for name, cut := range map[string]func(w *world, p *process){
		"cut":    func(_ *world, p *process) { p.link.set(true, time.Time{}) },
		"paused": func(_ *world, p *process) { p.link.set(false, time.Now().Add(10*time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 1, func(t *testing.T, w *world) {
				relay := w.relaysOf("z0")[0]
				query := &wire.FeedQuery{Positions: []*wire.FeedPosition{{Kind: "servers", List: true}, {Kind: "members", List: true}}}
				assert.False(t, relay.feed.Answer(t.Context(), query).Refused)
				cut(w, relay)
				time.Sleep(maxStale)
				for range 30 {
					assert.True(t, relay.feed.Answer(t.Context(), query).Refused)
					time.Sleep(200 * time.Millisecond)
				}
				w.store.put("servers/new", "x")
				relay.link.set(false, time.Time{})
				recovered := false
				for range 5000 {
					time.Sleep(time.Millisecond)
					if answer := relay.feed.Answer(t.Context(), query); !answer.Refused {
						recovered = true
						for _, part := range answer.Parts {
							isNew := func(o *wire.FeedObject) bool { return o.Key == "servers/new" }
							assert.True(t, part.Kind != "servers" || part.Refused || slices.ContainsFunc(part.Objects, isNew), "an answer without the change")
						}
					}
				}
				assert.True(t, recovered)
			})
		})
	}
}

// TestRestoredStore guards against objects of the time before the store came back from an
// older copy, and against a relay that is a step behind the others.
func TestRestoredStore(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		w.store.mu.Lock()
		copied, revision := maps.Clone(w.store.objects), w.store.revision
		w.store.mu.Unlock()
		w.store.put("servers/lost", "x")
		w.store.put("config/main", "lost")
		time.Sleep(3 * time.Second)
		for _, p := range w.list {
			assert.Equal(t, "lost", p.views["config"].get("config/main"))
		}
		w.store.restore(copied, revision)
		time.Sleep(leaveWithin)
		for _, p := range w.list {
			assert.Equal(t, "0", p.views["config"].get("config/main"), p.Name)
			assert.Empty(t, p.views["servers"].get("servers/lost"), p.Name)
			assert.Positive(t, p.views["servers"].outages, "%s: entries may be missing", p.Name)
		}
	})
}

// TestOldEraOfARelay guards against a relay whose objects are older than those of its
// follower: it is not used, and the store is asked.
func TestOldEraOfARelay(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		relay := w.relaysOf("z0")[0]
		w.store.restore(nil, w.store.revision)
		w.store.put("servers/new", "x")
		time.Sleep(leaveWithin)
		w.mu.Lock()
		w.answer = func(name string, a *wire.FeedAnswer) {
			for _, part := range a.Parts {
				if name == relay.Name && !part.Refused {
					part.Listed, part.Revision, part.Objects = true, store.Revision(part.Revision), nil
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(leaveWithin)
		w.store.put("servers/newer", "x")
		time.Sleep(leaveWithin)
		for _, p := range w.list {
			assert.Equal(t, "x", p.views["servers"].get("servers/new"), p.Name)
			assert.Equal(t, "x", p.views["servers"].get("servers/newer"), p.Name)
			if p.AvailabilityZone == "z0" && p != relay {
				assert.Positive(t, p.meters.Value(RelayFailed), p.Name)
				assert.Less(t, p.meters.Value(RelayFailed), int64(5), "%s: the relay is avoided for 5 s", p.Name)
			}
		}
	})
}

// TestFollowerAheadOfRelay guards against a follower that got objects from the store and
// then older ones from a relay.
func TestFollowerAheadOfRelay(t *testing.T) {
	play(t, 1, func(t *testing.T, w *world) {
		relay := w.relaysOf("z0")[0]
		i := 0
		for w.list[i].AvailabilityZone != "z0" || w.list[i] == relay {
			i++
		}
		p := w.list[i]
		// The relay gets responses, but late.
		w.freeze(relay, 1400*time.Millisecond)
		w.store.put("config/main", "ahead")
		page, err := p.link.List(t.Context(), "config", "")
		assert.NoError(t, err)
		p.feed.readDirect(p.feed.views["config"], page, nil)
		page, err = p.feed.List(t.Context(), "config", "")
		assert.NoError(t, err)
		assert.Equal(t, "ahead", string(page.Objects[0].Value))
		_, err = p.feed.Changes(t.Context(), "config", page.Revision, 2*time.Second)
		assert.NoError(t, err)
	})
}

// TestNoRelayInTheZone guards against a process that waits for relays that do not exist.
func TestNoRelayInTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 30, 2, 1)
		p := w.list[0]
		ctx, cancel := context.WithCancel(t.Context())
		w.none = true
		w.run(ctx, p)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, "0", p.views["config"].get("config/main"))
		w.store.put("config/main", "1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, "1", p.views["config"].get("config/main"))
		calls := w.store.count()
		time.Sleep(time.Minute)
		assert.LessOrEqual(t, w.store.count()-calls, 2*7+3*4, "the polls last as long as without relays")
		cancel()
		w.end()
	})
}

// TestStoreDown guards against an outage of the store that a follower does not see because
// it reads from a relay, be it long or so short that relays answer all the time.
func TestStoreDown(t *testing.T) {
	const short, long = 700 * time.Millisecond, 5 * time.Second
	for i, down := range []time.Duration{short, short, short, short, long} {
		t.Run(fmt.Sprint(down, i), func(t *testing.T) {
			play(t, 2, func(t *testing.T, w *world) {
				// Outages begin at different times of the polls.
				time.Sleep(time.Duration(i) * 250 * time.Millisecond)
				w.store.setDown(true)
				time.Sleep(down)
				if down == long {
					for _, p := range w.list {
						assert.True(t, p.health.Outage(time.Now()), p.Name)
					}
				}
				// Entries have expired meanwhile.
				w.store.put("servers/s00", "")
				w.store.setDown(false)
				gone := map[string]bool{}
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					for _, p := range w.list {
						if !gone[p.Name] && p.views["servers"].get("servers/s00") == "" {
							gone[p.Name] = true
							assert.True(t, p.health.Outage(time.Now()), "%s takes an entry that expired for one that was removed", p.Name)
						}
					}
				}
				assert.Len(t, gone, len(w.list))
				time.Sleep(5 * time.Second)
				for _, p := range w.list {
					assert.False(t, p.health.Outage(time.Now()), "%s: the outage has ended", p.Name)
				}
			})
		})
	}
}

// TestOutageIsKnownToHaveEnded guards against an outage of the store that counts for too long: a
// process that sees its end late, or hears of it from a relay, must know the earliest time at
// which it may have ended. An entry that is removed when the store is stable again would
// otherwise be taken for one that expired.
func TestOutageIsKnownToHaveEnded(t *testing.T) {
	const (
		// written is how long after the end that a process has seen entries are expected
		// back, settled how long after the earliest one they may still be missing.
		written = 2200 * time.Millisecond
		settled = 5 * time.Second
	)
	for _, length := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			play(t, 2, func(t *testing.T, w *world) {
				for _, p := range w.list {
					p.link.set(true, time.Time{})
				}
				time.Sleep(length)
				for _, p := range w.list {
					p.link.set(false, time.Time{})
				}
				ended := time.Now()
				late := map[string]time.Duration{}
				for range 600 {
					time.Sleep(50 * time.Millisecond)
					now := time.Now()
					for _, p := range w.list {
						last, known := p.health.Last(now)
						until := earlier(last.Seen.Add(written), last.NotBefore.Add(settled))
						if known && now.Before(until) && now.Sub(ended) > settled {
							late[p.Name] = max(late[p.Name], now.Sub(ended))
						}
					}
				}
				assert.Empty(t, late, "processes that still expect entries back, and when after the end")
			})
		})
	}
}
