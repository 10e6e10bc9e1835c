package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// scripted implements Sender with one step for each call; the last one is repeated.
type scripted struct {
	steps []func() (*engine.Response, error)
	calls []engine.Call
}

func (s *scripted) Send(_ context.Context, _ spec.BackendServer, c engine.Call) (*engine.Response, error) {
	s.calls = append(s.calls, c)
	return s.steps[min(len(s.calls), len(s.steps))-1]()
}

func (s *scripted) Connect(context.Context, spec.BackendServer) error { return nil }

// refused returns a response by which a server says that the call was not run.
func refused() (*engine.Response, error) {
	return &engine.Response{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// contentRefused is the response of an engine to content that it doesn't take.
func contentRefused() (*engine.Response, error) {
	return &engine.Response{Status: 400, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func lost() (*engine.Response, error) {
	return nil, &call.Error{Stage: call.StageReading, Err: io.ErrUnexpectedEOF}
}

// TestServeToldNotRunOnlyIfNoAttemptRan checks for calls that may run again that a refusal by
// the last server doesn't hide that an earlier attempt may have run.
func TestServeToldNotRunOnlyIfNoAttemptRan(t *testing.T) {
	model := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name  string
		want  retry.Outcome
		steps []func() (*engine.Response, error)
	}{
		{"refused by all", retry.NotRun, []func() (*engine.Response, error){refused}},
		{"lost, then refused", retry.Unknown, []func() (*engine.Response, error){lost, refused}},
		{"refused, lost, refused", retry.Unknown, []func() (*engine.Response, error){refused, lost, refused}},
		{"lost, content refused", retry.Unknown, []func() (*engine.Response, error){lost, contentRefused}},
	} {
		for _, r := range []Request{{Method: "GET", Path: "/s/1"}, {Method: "POST", Path: "/v1/chat/completions", Body: []byte(model)}} {
			if r.Method == "GET" && c.name == "lost, content refused" {
				continue // It is the response of a plain service.
			}
			synctest.Test(t, func(t *testing.T) {
				core, _ := newFragileCore(t)
				sender := &scripted{steps: c.steps}
				core.Sender = sender
				for k := range 3 {
					core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: fmt.Sprint("e", k), Incarnation: 1, Sequence: 1, Models: []engine.Loaded{{Model: "m", Version: 1}}})
				}
				r.Deadline = time.Now().Add(5 * time.Second)
				reply := core.Serve(t.Context(), r)
				assert.Equal(t, c.want, reply.Outcome, "%s: %s", r.Path, c.name)
				assert.Equal(t, c.want == retry.NotRun, reply.Status == 503, "%s: %s", r.Path, c.name)
				_ = reply.Body.Close()
			})
		}
	}
}

// foreign returns a refusal that may be that of another call.
func foreign(status int) func() (*engine.Response, error) {
	return func() (*engine.Response, error) {
		return &engine.Response{Status: status, Foreign: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
}

// TestServeRefusalOfAnotherCallIsNoProof checks that a model request isn't told as not run
// after a refusal that may be that of another call, and that each attempt but the first is
// sent as one that was sent before.
func TestServeRefusalOfAnotherCallIsNoProof(t *testing.T) {
	for _, status := range []int{400, 429, 503} {
		synctest.Test(t, func(t *testing.T) {
			core, _ := newFragileCore(t)
			sender := &scripted{steps: []func() (*engine.Response, error){foreign(status), refused}}
			core.Sender = sender
			for k := range 3 {
				core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: fmt.Sprint("e", k), Incarnation: 1, Sequence: 1, Models: []engine.Loaded{{Model: "m", Version: 1}}})
			}
			body := []byte(`{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`)
			reply := core.Serve(t.Context(), Request{Method: "POST", Path: "/v1/chat/completions", Body: body, Deadline: time.Now().Add(5 * time.Second)})
			assert.Equal(t, retry.Unknown, reply.Outcome, status)
			assert.Greater(t, len(sender.calls), 1, "it may run again: %d", status)
			for i, c := range sender.calls {
				assert.Equal(t, i > 0, c.Again, status)
			}
			_ = reply.Body.Close()
		})
	}
}
