package broker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// TestRequestsAvoidUnreachableServers checks that an unreachable backend
// server gets no request until a connection to it succeeds.
func TestRequestsAvoidUnreachableServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.down = map[string]bool{"a": true}
		f.fleet.scripted["a"] = []behavior{unreachable}
		core, logs := observer.New(zap.InfoLevel)
		f.Log = zap.New(core)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Reconnect(ctx) }()
		serve := func(count int) (toFirst int) {
			t.Helper()
			before := len(f.fleet.sent)
			for i := range count {
				r := newRequest("/read/x")
				r.ID = fmt.Sprint("r", before, "-", i)
				c := f.serve(t.Context(), r)
				assert.Equal(t, 200, c.replies[0].Status)
				time.Sleep(50 * time.Millisecond)
			}
			for _, s := range f.fleet.sent[before:] {
				if s.server == "a" {
					toFirst++
				}
			}
			return toFirst
		}
		assert.Equal(t, 1, serve(100), "only one attempt fails")
		assert.Greater(t, f.fleet.connectCalls(), 10)
		assert.Less(t, f.fleet.connectCalls(), 100)

		f.fleet.mu.Lock()
		f.fleet.down = nil
		f.fleet.mu.Unlock()
		time.Sleep(2 * (reconnectInterval + reconnectPause))
		assert.Greater(t, serve(20), 5, "it is used again")
		attempts := f.fleet.connectCalls()
		time.Sleep(time.Second)
		assert.Equal(t, attempts, f.fleet.connectCalls(), "no attempts once it is reachable")
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Equal(t, 1, logs.FilterMessage("backend server cannot be reached").Len())
		assert.Equal(t, 1, logs.FilterMessage("backend server can be reached again").Len())
	})
}

// TestReconnectsAreBounded checks the limit on concurrent attempts to connect.
func TestReconnectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.down = map[string]bool{}
		for i := range 10 * maxReconnects {
			id := fmt.Sprint("s", i)
			f.addServer(id, "plain", "")
			f.fleet.down[id] = true
			s, _ := f.roster.Find(id, 1)
			f.Usage.Start(time.Now(), s, usage.Short)
			f.Usage.End(time.Now(), s, usage.Result{Verdict: usage.Unreachable})
		}
		ctx, cancel := context.WithTimeout(t.Context(), reconnectPause/2)
		defer cancel()
		assert.ErrorIs(t, f.Reconnect(ctx), context.DeadlineExceeded)
		assert.Equal(t, maxReconnects, f.fleet.connectCalls())
	})
}

// TestUnreachableServersAreKept guards against removing the record that a backend
// server is unreachable while it is in the roster, and against a log message that
// it is reachable again when it has left.
func TestUnreachableServersAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.down = map[string]bool{"a": true}
		core, logs := observer.New(zap.InfoLevel)
		f.Log = zap.New(core)
		server, _ := f.roster.Find("a", 1)
		f.Usage.RecordRemote(time.Now(), server, usage.Result{Verdict: usage.Unreachable})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.Reconnect(ctx) }()
		sweepFor5Minutes := func() {
			for range 60 {
				time.Sleep(5 * time.Second)
				f.Usage.Sweep(time.Now())
			}
		}
		sweepFor5Minutes()
		assert.True(t, f.Usage.Get(time.Now(), server).Unreachable)
		f.leave("a")
		sweepFor5Minutes()
		assert.False(t, f.Usage.Get(time.Now(), server).Unreachable, "it has left")
		assert.Zero(t, logs.FilterMessage("backend server can be reached again").Len())
		assert.Equal(t, 1, logs.FilterMessage("unreachable backend server has left").Len())
	})
}

// TestServerThatMayHaveRestartedWaitsForItsEntry guards against streams that are taken for ones
// of the version in the entry of a server that has started again under its ID with another
// one: it gets none until the new entry is there, or would be.
func TestServerThatMayHaveRestartedWaitsForItsEntry(t *testing.T) {
	for _, c := range []struct {
		name   string
		entry  bool
		others int
		wait   time.Duration
		used   bool
	}{
		{"before the entry", false, 3, entryDelay / 2, false},
		{"with the new entry", true, 3, entryDelay / 2, true},
		{"no new entry comes", false, 3, entryDelay + time.Second, true},
		{"all could not be reached: the links were cut", false, 0, entryDelay / 2, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addVersion("d", "v1")
			for i := range c.others {
				f.addVersion(fmt.Sprint("e", i), "v1")
			}
			server, _ := f.roster.Find("d", 1)
			f.fleet.down = map[string]bool{"d": true}
			f.Usage.MarkUnreachable(time.Now(), server)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = f.Reconnect(ctx) }()
			time.Sleep(time.Second)
			f.fleet.mu.Lock()
			f.fleet.down = nil
			f.fleet.mu.Unlock()
			time.Sleep(2 * (reconnectInterval + reconnectPause))
			if c.entry {
				server.Born, server.Version = 2, "v2"
				f.roster.Update(time.Now(), 2, []roster.Event{{Server: server}}, roster.Grace{})
			}
			time.Sleep(c.wait)
			f.fleet.fallback = events(1, 3, true)
			used := false
			for range 12 {
				c := f.serve(t.Context(), newPromptRequest("/talk/x", 100, 5))
				assert.True(t, c.ended)
				used = used || f.fleet.sent[len(f.fleet.sent)-1].server == "d"
			}
			assert.Equal(t, c.used, used, c.name)
		})
	}
}
