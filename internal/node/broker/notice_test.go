package broker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// A backend server that has asked for a pause gets no request until its end, also if
// there is no other: the request is then rejected at once and has not run.
func TestPausedServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for _, id := range []string{"a", "b"} {
			s, _ := f.roster.Find(id, 1)
			f.Notice(s, Notice{Pause: 2 * time.Second})
		}
		start := time.Now()
		got := f.serve(t.Context(), newRequest("/write/1"))
		assert.Equal(t, 503, got.replies[0].Status)
		assert.Zero(t, time.Since(start))
		assert.Zero(t, f.fleet.arrived())
		time.Sleep(2 * time.Second)
		got = f.serve(t.Context(), newRequest("/write/1"))
		assert.Equal(t, 200, got.replies[0].Status)
	})
}

// servePrompts serves 20 prompts with five prefixes, one each 30 ms, and returns what
// the engines got for them.
func (f *fixture) servePrompts(ctx context.Context) []*sent {
	before := f.fleet.arrived()
	for i := range 20 {
		r := newPromptRequest("/chat/1", 9000, 100)
		r.ID, r.Parts[0].ID = fmt.Sprint("r", before+i), fmt.Sprint("shared", i%5)
		go f.serve(ctx, r)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return f.fleet.sent[before:]
}

// Prompts avoid paused engines in each stage, and as a source of KV caches as well.
func TestPausedEnginesGetNoPrompts(t *testing.T) {
	for _, paused := range []string{"p1", "d1", "d2"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addEngines()
			f.addServer("p2", "model", roster.Prefill)
			used := false
			for _, s := range f.servePrompts(t.Context()) {
				used = used || s.server == paused || s.call.Fetch == addressOf(paused)
			}
			assert.True(t, used, paused)
			s, _ := f.roster.Find(paused, 1)
			f.Notice(s, Notice{Pause: 3 * time.Second})
			got := f.servePrompts(t.Context())
			assert.GreaterOrEqual(t, len(got), 20)
			for _, s := range got {
				assert.NotEqual(t, paused, s.server)
				assert.NotEqual(t, addressOf(paused), s.call.Fetch)
			}
		})
	}
}

// An unreachable backend server that has asked for a pause is not connected to before
// its end.
func TestPausedServerIsNotConnectedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s, _ := f.roster.Find("a", 1)
		f.Usage.RecordRemote(time.Now(), s, usage.Result{Verdict: usage.Unreachable})
		f.Notice(s, Notice{Pause: 2 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Reconnect(ctx) }()
		time.Sleep(2*time.Second - time.Millisecond)
		assert.Zero(t, f.fleet.connectCalls())
		time.Sleep(time.Second)
		assert.Positive(t, f.fleet.connectCalls())
		cancel()
		synctest.Wait()
	})
}

// A coordinator may grant an engine that has asked this process for a pause. The
// permit is given back, and the request goes elsewhere.
func TestGrantOfPausedEngineIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := newLoadCounter()
		s := newCluster(t, 2, &fleet{fallback: counter.delays(20 * time.Millisecond)})
		f := s.nodes["p1"]
		for _, id := range []string{"p1", "d1"} {
			engine, _ := f.roster.Find(id, 1)
			f.Notice(engine, Notice{Pause: time.Second})
		}
		got := f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		assert.Equal(t, 503, got.replies[0].Status)
		assert.Zero(t, f.fleet.arrived())
		time.Sleep(time.Second)
		got = f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		assert.Empty(t, got.replies)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		s.assertIdle(t)
	})
}

func TestLeavingIsAnnounced(t *testing.T) {
	f := newFixture(t)
	var announced []string
	f.Announce = func(s roster.Server) { announced = append(announced, s.ID) }
	s, _ := f.roster.Find("a", 1)
	f.Notice(s, Notice{Leaving: true})
	f.Notice(s, Notice{Pause: time.Second})
	assert.Equal(t, []string{"a"}, announced)
}
