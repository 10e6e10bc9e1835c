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
)

// breaksOff closes the connection after the request has begun to run.
func breaksOff(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	return nil, &call.Error{Stage: call.StageReading, Err: fmt.Errorf("read header: %w", syscall.ECONNRESET)}
}

// TestEndedServerIsLogged checks that a refused connection is what tells a backend
// server that has ended from one that closes connections.
func TestEndedServerIsLogged(t *testing.T) {
	for _, ended := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			f := newFixture(t)
			f.Log = zap.New(core)
			f.addServer("d", "model", "Decode")
			f.fleet.down = map[string]bool{"d": ended}
			f.fleet.scripted["d"] = []behavior{breaksOff}
			r := newRequest("/talk/")
			r.Parts = []Part{{"aa", 100}, {"bb", 200}, {"own", 50}}
			f.serve(t.Context(), r)
			time.Sleep(time.Second)
			lines := logs.FilterMessage("backend server ended with a request in progress").All()
			if !ended {
				assert.Empty(t, lines)
				return
			}
			if assert.Len(t, lines, 1) {
				assert.Equal(t, []any{"aa", "bb"}, lines[0].ContextMap()["Parts"])
				assert.Equal(t, "d", lines[0].ContextMap()["Server"])
			}
		})
	}
}
