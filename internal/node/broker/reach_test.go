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

	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// TestNoRequestFindsOutWhoCanBeReached sends nothing to a backend server that
// could not be reached until a connection to it has come about.
func TestNoRequestFindsOutWhoCanBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.away = map[string]bool{"a": true}
		b.fleet.does["a"] = []behavior{unreachable}
		core, lines := observer.New(zap.InfoLevel)
		b.Log = zap.New(core)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- b.Reach(ctx) }()
		serve := func(count int) (toFirst int) {
			t.Helper()
			before := len(b.fleet.sent)
			for i := range count {
				r := request("/read/x")
				r.ID = fmt.Sprint("r", before, "-", i)
				c := b.serve(t.Context(), r)
				assert.Equal(t, 200, c.answered[0].Status)
				time.Sleep(50 * time.Millisecond)
			}
			for _, s := range b.fleet.sent[before:] {
				if s.server == "a" {
					toFirst++
				}
			}
			return toFirst
		}
		assert.Equal(t, 1, serve(100), "the one that found out")
		assert.Greater(t, b.fleet.reaches(), 10)
		assert.Less(t, b.fleet.reaches(), 100)

		b.fleet.mu.Lock()
		b.fleet.away = nil
		b.fleet.mu.Unlock()
		time.Sleep(2 * (reconnectInterval + reconnectPause))
		assert.Greater(t, serve(20), 5, "it is used again")
		tries := b.fleet.reaches()
		time.Sleep(time.Second)
		assert.Equal(t, tries, b.fleet.reaches(), "nobody is tried any more")
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Equal(t, 1, lines.FilterMessage("backend server cannot be reached").Len())
		assert.Equal(t, 1, lines.FilterMessage("backend server can be reached again").Len())
	})
}

// TestReachIsBounded tries few of many at once.
func TestReachIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.away = map[string]bool{}
		for i := range 10 * maxReconnects {
			id := fmt.Sprint("s", i)
			b.add(id, "plain", "")
			b.fleet.away[id] = true
			s, _ := b.roster.Find(id, 1)
			b.Usage.Start(time.Now(), s, usage.Short)
			b.Usage.End(time.Now(), s, usage.Result{Verdict: usage.Unreachable})
		}
		ctx, cancel := context.WithTimeout(t.Context(), reconnectPause/2)
		defer cancel()
		assert.ErrorIs(t, b.Reach(ctx), context.DeadlineExceeded)
		assert.Equal(t, maxReconnects, b.fleet.reaches())
	})
}

// TestLostServersAreNotForgotten keeps a backend server that cannot be reached
// lost for as long as its entry stands, and does not say that one which is gone
// can be reached.
func TestLostServersAreNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.away = map[string]bool{"a": true}
		core, lines := observer.New(zap.InfoLevel)
		b.Log = zap.New(core)
		server, _ := b.roster.Find("a", 1)
		b.Usage.Learn(time.Now(), server, usage.Result{Verdict: usage.Unreachable})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = b.Reach(ctx) }()
		sweep := func() {
			for range 60 {
				time.Sleep(5 * time.Second)
				b.Usage.Sweep(time.Now())
			}
		}
		sweep()
		assert.True(t, b.Usage.Look(time.Now(), server).Unreachable)
		b.leave("a")
		sweep()
		assert.False(t, b.Usage.Look(time.Now(), server).Unreachable, "it is gone")
		assert.Zero(t, lines.FilterMessage("backend server can be reached again").Len())
		assert.Equal(t, 1, lines.FilterMessage("unreachable backend server has left").Len())
	})
}
