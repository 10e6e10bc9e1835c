package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// originList is a fake Origins. byDefault has where streams begin that it doesn't list.
type originList map[string]origin.Origin

const byDefault = "default"

func (originList) Restrict(string, string) (origin.Origin, bool) { return origin.Origin{}, false }

func (originList) Place(string, string, string, origin.Origin, int) <-chan struct{} { return nil }

func (originList) Await(context.Context, <-chan struct{}) bool { return true }

func (l originList) Begin(request string, o origin.Origin) { l[request] = o }

func (l originList) Find(_ context.Context, request, _, _ string) (origin.Origin, origin.Source) {
	if o, known := l[request]; known && request != "" {
		return o, origin.Remembered
	}
	if o, known := l[byDefault]; known {
		return o, origin.ByDefault
	}
	return origin.Origin{}, origin.Unknown
}

// addVersion adds a decode engine with a software version.
func (f *fixture) addVersion(id, version string) {
	f.roster.Update(time.Now(), 1, []roster.Event{{Server: roster.Server{
		ID: id, Born: 1, Service: "model", Zone: "calicut", Slots: 8, State: roster.Ready, Role: roster.Decode, Address: addressOf(id), Version: version,
	}}}, roster.Grace{})
}

// newVersions returns a fixture with two engines of v1, three of v2 and, if it is wanted,
// one that only prefills.
func newVersions(t *testing.T, prefill bool) (*fixture, originList) {
	f, origins := newFixture(t), originList{}
	f.Origins = origins
	for _, id := range []string{"a1", "b1"} {
		f.addVersion(id, "v1")
	}
	for _, id := range []string{"a2", "b2", "c2"} {
		f.addVersion(id, "v2")
	}
	if prefill {
		f.addServer("p", "model", "Prefill")
	}
	f.fleet.fallback = events(1, 3, true)
	return f, origins
}

// version returns that of an engine of newVersions.
func version(id string) string { return "v" + id[len(id)-1:] }

// TestBrokenStreamGoesOnAtItsVersion checks that the process resumes a stream at the version
// that began it, also if all engines of another one are idle, or not at all.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for _, tokens := range []int{100, 3000} {
		for _, alone := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f, origins := newVersions(t, true)
				first := true
				f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
					if s.prefill {
						return succeeds(ctx, s)
					}
					if !first {
						return events(3, 4, true)(ctx, s)
					}
					first = false
					assert.Empty(t, origins, "the stream has not begun")
					return events(1, 2, false)(ctx, s)
				}
				if alone {
					f.leave("b1")
					f.leave("b2")
					f.leave("c2")
				}
				r := newPromptRequest("/talk/", tokens, 80)
				c := f.serve(t.Context(), r)
				var decoded []string
				for _, s := range f.fleet.sent {
					if !s.prefill {
						decoded = append(decoded, s.server)
					}
				}
				began := version(decoded[0])
				assert.Equal(t, origin.Origin{Service: "model", Version: began}, origins[r.ID])
				if alone {
					assert.Len(t, decoded, 1, "no other engine has the version")
					assert.False(t, c.ended)
					return
				}
				assert.True(t, c.ended)
				if assert.Len(t, decoded, 2) {
					assert.Equal(t, began, version(decoded[1]))
				}
			})
		}
	}
}

// TestClientResumesAtTheVersionThatBeganTheStream checks the choice of the engine for each
// form of the request, with and without a prefill, and its retry.
func TestClientResumesAtTheVersionThatBeganTheStream(t *testing.T) {
	for _, tokens := range []int{100, 3000} {
		for _, prefill := range []bool{false, true} {
			for _, began := range []string{"v1", "v2"} {
				synctest.Test(t, func(t *testing.T) {
					f, origins := newVersions(t, prefill)
					origins["r0"] = origin.Origin{Service: "model", Version: began}
					failed := false
					f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
						switch {
						case s.prefill:
							return succeeds(ctx, s)
						case !failed:
							failed = true
							return losesResponse(ctx, s)
						}
						return events(5, 6, true)(ctx, s)
					}
					r := newPromptRequest("/talk/", tokens, 80)
					r.After, r.Origin = "4", "r0"
					assert.True(t, f.serve(t.Context(), r).ended)
					decoded := 0
					for _, s := range f.fleet.sent {
						if !s.prefill {
							decoded++
							assert.Equal(t, began, version(s.server))
							assert.Equal(t, "4", s.call.After)
						}
					}
					assert.Equal(t, 2, decoded)
					assert.NotContains(t, origins, r.ID, "clients name the request that began the stream")
				})
			}
		}
	}
}

// TestUnknownStreamIsRefused checks that a stream of which nobody knows the version is
// refused as not run, unless it is known to have begun at the default, and is never guessed.
func TestUnknownStreamIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(f *fixture, origins originList, r *Request)
		status int
	}{
		{"unknown", func(*fixture, originList, *Request) {}, 503},
		{"not named", func(_ *fixture, _ originList, r *Request) { r.Origin = "" }, 503},
		{"its version has left", func(f *fixture, origins originList, r *Request) {
			origins[r.Origin] = origin.Origin{Service: "model", Version: "v0"}
		}, 503},
		{"the route leads elsewhere", func(_ *fixture, origins originList, r *Request) {
			origins[r.Origin] = origin.Origin{Service: "plain", Version: ""}
		}, 503},
		{"it began at the default", func(f *fixture, origins originList, _ *Request) {
			origins[byDefault] = origin.Origin{Service: "model", Version: "v1"}
		}, 200},
		{"the default has left", func(_ *fixture, origins originList, _ *Request) {
			origins[byDefault] = origin.Origin{Service: "model", Version: "v0"}
		}, 503},
		{"the other versions have left", func(f *fixture, _ originList, _ *Request) {
			for _, id := range []string{"a2", "b2", "c2"} {
				f.roster.Update(time.Now(), 2, []roster.Event{{Server: roster.Server{ID: id}, Removed: true}}, roster.Grace{})
			}
			time.Sleep(origin.Retention)
		}, 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, origins := newVersions(t, false)
			f.fleet.fallback = events(5, 6, true)
			r := newPromptRequest("/talk/", 100, 80)
			r.After, r.Origin = "4", "r0"
			c.do(f, origins, r)
			r.Arrived, r.Deadline = time.Now(), time.Now().Add(time.Second)
			got := f.serve(t.Context(), r)
			if c.status == 200 {
				assert.True(t, got.ended, c.name)
				assert.Equal(t, "v1", version(f.fleet.sent[0].server), c.name)
				return
			}
			assert.Empty(t, f.fleet.sent, c.name)
			if assert.Len(t, got.replies, 1, c.name) {
				assert.Equal(t, c.status, got.replies[0].Status, c.name)
				assert.Positive(t, got.replies[0].RetryAfter, c.name)
			}
		})
	}
}

// TestResumedStreamsDoNotHoldUpOthers checks that requests behind one that waits for the
// engines of its version get the others' permits.
func TestResumedStreamsDoNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, origins := newVersions(t, false)
		origins["r0"] = origin.Origin{Service: "model", Version: "v1"}
		f.fleet.fallback = paced(20, 50*time.Millisecond)
		go f.tick(t.Context())
		resumed := func() *Request {
			r := newPromptRequest("/talk/", 100, 80)
			r.After, r.Origin = "4", "r0"
			return r
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 30 {
			go f.serve(ctx, resumed())
		}
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		c := f.serve(t.Context(), newPromptRequest("/talk/", 100, 80))
		assert.True(t, c.ended)
		assert.Less(t, c.endedAt.Sub(began), 1200*time.Millisecond)
	})
}

// neverRecorded is a fake Origins whose records fail once streams have been placed: until then
// they may begin anywhere.
type neverRecorded struct {
	originList
	placed *int
}

func (n neverRecorded) Restrict(string, string) (origin.Origin, bool) {
	return origin.Origin{Service: "model", Version: "v1"}, *n.placed > 0
}

func (n neverRecorded) Place(string, string, string, origin.Origin, int) <-chan struct{} {
	*n.placed++
	return make(chan struct{})
}

func (n neverRecorded) Await(context.Context, <-chan struct{}) bool { return false }

// TestStreamWithoutRecordDoesNotBeginElsewhere guards against a stream that begins at another
// version than the default without a record because it has no attempt left.
func TestStreamWithoutRecordDoesNotBeginElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newVersions(t, false)
		f.Origins = neverRecorded{originList{}, new(int)}
		f.pause(time.Minute, "a1", "b1")
		f.fleet.fallback = fails
		for _, id := range []string{"a2", "b2", "c2"} {
			f.fleet.scripted[id] = []behavior{losesResponse, events(1, 3, true)}
		}
		for i := range 6 {
			c := f.serve(t.Context(), newStream(i))
			assert.Empty(t, c.events.String())
			assert.Len(t, c.replies, 1)
		}
	})
}
