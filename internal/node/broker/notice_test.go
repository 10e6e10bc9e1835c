package broker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
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

// Prompts avoid paused engines in each stage, as a source of KV caches as well.
func TestPausedEnginesGetNoPrompts(t *testing.T) {
	for _, paused := range []string{"p1", "d1", "d2"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addEngines()
			for i := range 20 {
				r := newPromptRequest("/chat/1", 9000, 100)
				r.ID = fmt.Sprint("warm", i)
				go f.serve(t.Context(), r)
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			before := len(f.fleet.sent)
			s, _ := f.roster.Find(paused, 1)
			f.Notice(s, Notice{Pause: 3 * time.Second})
			for i := range 20 {
				r := newPromptRequest("/chat/1", 9000, 100)
				r.ID = fmt.Sprint("r", i)
				go f.serve(t.Context(), r)
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			assert.Greater(t, len(f.fleet.sent), before+10)
			for _, s := range f.fleet.sent[before:] {
				assert.NotEqual(t, paused, s.server)
			}
		})
	}
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
