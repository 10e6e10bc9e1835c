package broker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// responds returns the behavior of a server that responds with a status, a content type and
// a body.
func responds(status int, contentType, body string) behavior {
	return func(_ context.Context, s *sent) (*Response, error) {
		s.ran = true
		r := newResponse(status, body)
		if contentType != "" {
			r.Fields = append(r.Fields, call.Field{Name: "Content-Type", Value: contentType})
		}
		return r, nil
	}
}

// noStreams are responses that don't continue a stream.
var noStreams = map[string]behavior{
	"not found":             responds(404, "text/plain", "no such run"),
	"malformed":             responds(400, "", "id: 3\ndata: x\n\n"),
	"redirected":            responds(302, "", ""),
	"failed":                responds(500, "text/plain", "oops"),
	"another success":       responds(201, "text/event-stream", "id: 3\ndata: x\n\n"),
	"another type":          responds(200, "text/plain", "error: no such run\n\n"),
	"JSON":                  responds(200, "application/json", `{"error":"no such run"}`),
	"an event without type": responds(200, "", "error: no such run\n\n"),
	"nothing":               responds(200, "text/event-stream", ""),
	"no content":            responds(204, "", ""),
}

// TestErrorDoesNotGetIntoStreamThatHasBegun guards against the error of the next server in the
// middle of a client's stream, or a stream that ends with it as if it were complete: resumed
// here and through a peer.
func TestErrorDoesNotGetIntoStreamThatHasBegun(t *testing.T) {
	const begun = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	for name, second := range noStreams {
		for _, carried := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				first := func(ctx context.Context, s *sent) (*Response, error) {
					r, err := events(1, 2, false)(ctx, s)
					r.Fields = append(r.Fields, call.Field{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"})
					return r, err
				}
				if carried {
					peer := newFixture(t)
					peer.addVersion("d", "v1")
					peer.fleet.scripted["d"] = []behavior{second}
					f, _ = newCutFixture(t, map[string]peerBehavior{"p1": breaksStream(2), "p2": servedBy(peer)})
				} else {
					f.addVersion("d", "v1")
					f.addVersion("e", "v1")
					count := 0
					f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
						if count++; count == 1 {
							return first(ctx, s)
						}
						return second(ctx, s)
					}
				}
				c := f.serve(t.Context(), newPromptRequest("/talk/x", 100, 5))
				where := fmt.Sprintf("%s, carried: %t", name, carried)
				assert.Equal(t, begun, c.events.String(), where)
				assert.False(t, c.ended, where)
				assert.Empty(t, c.replies, where)
			})
		}
	}
}
