package broker

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// breaksOff closes the connection after the request has begun to run.
func breaksOff(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	return nil, &call.Error{Stage: call.StageReading, Err: fmt.Errorf("read header: %w", syscall.ECONNRESET)}
}

// TestEndedServerIsLogged checks that a refused connection is what tells a backend
// server that has ended from one that closes connections, and from one that is cut off.
func TestEndedServerIsLogged(t *testing.T) {
	for _, c := range []struct {
		name                 string
		down, cutOff, logged bool
	}{
		{"ended", true, false, true},
		{"accepts connections", false, false, false},
		{"cut off", false, true, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			f := newFixture(t)
			f.Log = zap.New(core)
			f.addServer("d", "model", "Decode")
			f.fleet.down = map[string]bool{"d": c.down}
			f.fleet.cutOff = map[string]bool{"d": c.cutOff}
			f.fleet.scripted["d"] = []behavior{breaksOff}
			r := newRequest("/talk/")
			r.Parts = []Part{{"aa", 100}, {"bb", 200}, {"own", 50}}
			f.serve(t.Context(), r)
			time.Sleep(time.Second)
			lines := logs.FilterMessage("backend server ended with a request in progress").All()
			if !c.logged {
				assert.Empty(t, lines, c.name)
				return
			}
			if assert.Len(t, lines, 1, c.name) {
				assert.Equal(t, []any{"aa", "bb"}, lines[0].ContextMap()["Parts"])
				assert.Equal(t, "d", lines[0].ContextMap()["Server"])
			}
		})
	}
}

// TestServerThatIsBackAtOnceHasEnded checks that the end of a server that accepts
// connections again before it is checked is noticed by its successor's entry, with the time
// at which the request broke off.
func TestServerThatIsBackAtOnceHasEnded(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		born  int64
		want  int
	}{
		{"successor", time.Second, 2, 1},
		{"older entry", time.Second, 0, 0},
		{"long after", crash.SupersededWithin + time.Second, 2, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			q := &quarantineList{}
			f.Quarantine = q
			f.addServer("d", "model", "Decode")
			f.fleet.scripted["d"] = []behavior{breaksOff}
			go f.tick(t.Context())
			broke := time.Now()
			f.serve(t.Context(), newRequest("/talk/"))
			time.Sleep(c.after)
			f.roster.Update(time.Now(), 2, []roster.Event{{Server: roster.Server{
				ID: "d-2", Born: c.born, Service: "model", State: roster.Ready, Role: roster.Decode, Address: addressOf("d"), Slots: 8,
			}}}, roster.Grace{})
			time.Sleep(time.Second)
			// Crashed is called with the lock held.
			f.mu.Lock()
			assert.Len(t, q.crashedContents, c.want, c.name)
			for _, at := range q.crashedAt {
				assert.Equal(t, broke, at, c.name)
			}
			f.mu.Unlock()
			time.Sleep(crash.SupersededWithin + crash.EndedRetention)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Zero(t, f.endings.Len(), c.name)
		})
	}
}

// TestEarlierBreaksAreNotChargedWithAnEnd checks that a request which a server broke off
// before it accepted connections again is not charged with its later end.
func TestEarlierBreaksAreNotChargedWithAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		q := &quarantineList{}
		f.Quarantine = q
		f.addServer("d", "model", "Decode")
		f.fleet.scripted["d"] = []behavior{breaksOff, breaksOff}
		go f.tick(t.Context())
		first, second := newRequest("/talk/"), newRequest("/talk/")
		first.Body, second.Body = []byte("first"), []byte("second")
		f.serve(t.Context(), first)
		time.Sleep(time.Second)
		f.fleet.mu.Lock()
		f.fleet.down = map[string]bool{"d": true}
		f.fleet.mu.Unlock()
		f.serve(t.Context(), second)
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, []uint64{second.contentHash("")}, q.crashedContents)
	})
}

// TestServerThatEndedIsUnreachableAtOnce guards against a server that is used as soon as it
// accepts connections again, as its end was seen by a request that broke off and no other
// request was refused meanwhile.
func TestServerThatEndedIsUnreachableAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addVersion("d", "v1")
		f.fleet.down = map[string]bool{"d": true}
		f.fleet.scripted["d"] = []behavior{breaksOff}
		f.serve(t.Context(), newRequest("/talk/"))
		time.Sleep(time.Second)
		server, _ := f.roster.Find("d", 1)
		assert.True(t, f.Usage.Get(time.Now(), server).Unreachable)
		assert.Equal(t, 1, f.fleet.connectCalls())
	})
}
