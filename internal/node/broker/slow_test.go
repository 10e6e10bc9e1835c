package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/node/spool"
)

// slowReader is the TimedOutput of a client that reads from a time on, or never if that is
// nil. It panics on concurrent calls.
type slowReader struct {
	client
	reads <-chan struct{}
	// gone is closed by Abort.
	gone  chan struct{}
	kept  []byte
	busy  atomic.Bool
	fails atomic.Bool
}

func newSlowReader(reads <-chan struct{}) *slowReader {
	return &slowReader{reads: reads, gone: make(chan struct{})}
}

// after returns a channel that is closed after the time.
func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

func (s *slowReader) enter() {
	if !s.busy.CompareAndSwap(false, true) {
		panic("concurrent calls")
	}
}

func (s *slowReader) TryEvent(text []byte, wait time.Duration) (bool, error) {
	s.enter()
	defer s.busy.Store(false)
	select {
	case <-s.reads:
		return true, s.client.Event(text)
	case <-time.After(wait):
		s.kept = append(s.kept, text...)
		return false, nil
	}
}

func (s *slowReader) Flush() error { return s.Event(nil) }

func (s *slowReader) Event(text []byte) error {
	s.enter()
	defer s.busy.Store(false)
	select {
	case <-s.reads:
	case <-s.gone:
		return errReset
	case <-time.After(20 * time.Second):
		return errReset
	}
	if s.fails.Load() {
		return errReset
	}
	text, s.kept = append(s.kept, text...), nil
	return s.client.Event(text)
}

func (s *slowReader) Abort() { close(s.gone) }

// unread is a body that yields an event of the size per gap, and records the longest time
// for which it remained unread.
type unread struct {
	ctx        context.Context
	next, last int
	size       int
	gap        time.Duration
	since      time.Time
	longest    *atomic.Int64
}

func sizedEvent(id, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", size))
}

func (u *unread) Read(p []byte) (int, error) {
	if !u.since.IsZero() {
		u.longest.Store(max(u.longest.Load(), int64(time.Since(u.since))))
	}
	defer func() { u.since = time.Now() }()
	if u.next > u.last {
		return 0, io.EOF
	}
	if !timer.Wait(u.ctx, u.gap) {
		return 0, u.ctx.Err()
	}
	u.next++
	return copy(p, sizedEvent(u.next-1, u.size)), nil
}

// newSlowFixture returns a fixture with a decode engine whose responses have so many events of
// the size, and the longest time for which one of them remained unread.
func newSlowFixture(t *testing.T, count, size int, gap time.Duration) (*fixture, *atomic.Int64) {
	f := newFixture(t)
	tab, err := table.Parse([]byte(strings.ReplaceAll(routes, `"TimeoutMs":5000`, `"TimeoutMs":30000`)))
	require.NoError(t, err)
	f.Table = func() *table.Table { return tab }
	f.Origins = nil // The list of the fixture is for one request at a time.
	longest := &atomic.Int64{}
	f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
		s.ran = true
		r := newResponse(200, "")
		r.Body = io.NopCloser(&unread{ctx: ctx, next: 1, last: count, size: size, gap: gap, longest: longest})
		return r, nil
	}
	f.addServer("d", "model", "Decode")
	f.addServer("e", "model", "Decode")
	return f, longest
}

// wantEvents returns the events from 1 to count.
func wantEvents(count, size int) string {
	var text strings.Builder
	for i := 1; i <= count; i++ {
		text.WriteString(sizedEvent(i, size))
	}
	return text.String()
}

// patientRequest returns a request whose client waits for 25 s.
func patientRequest(path string) *Request {
	r := newPromptRequest(path, 100, 5)
	r.Deadline = time.Now().Add(25 * time.Second)
	return r
}

// reasons returns how many requests ended for the reason.
func (f *fixture) reasons(reason Reason) int64 { return f.Meters.Value("Ended." + string(reason)) }

// TestClientPausesForSeconds guards against a backend server that aborts a response because
// the client reads nothing for 5 s, and against lost or repeated events after that.
func TestClientPausesForSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, size = 400, 200
		f, longest := newSlowFixture(t, count, size, 20*time.Millisecond)
		c := newSlowReader(after(5 * time.Second))
		f.Serve(t.Context(), patientRequest("/talk/x"), c)
		assert.Equal(t, wantEvents(count, size), c.events.String())
		assert.True(t, c.ended)
		assert.Less(t, time.Duration(longest.Load()), 100*time.Millisecond, "the response is read on")
		assert.Equal(t, 1, f.fleet.runs())
		assert.Zero(t, f.buffered.Load())
		assert.EqualValues(t, 1, f.reasons(answered))
		assert.EqualValues(t, 1, f.Meters.Value("SlowStreams"), "it is direct again when the client has caught up")
	})
}

// TestPromptClientCostsNothing guards against a queue or a goroutine for a client that reads.
func TestPromptClientCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newSlowFixture(t, 50, 200, 20*time.Millisecond)
		c := newSlowReader(after(0))
		f.Serve(t.Context(), patientRequest("/talk/x"), c)
		assert.True(t, c.ended)
		assert.Zero(t, f.Meters.Value("SlowStreams"))
	})
}

// TestClientNeverReads guards against memory that grows with a stream that nobody reads, against
// its work going on at the backend server, and against an effect on other streams.
func TestClientNeverReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, size = 1000, 1000
		f, longest := newSlowFixture(t, count, size, 10*time.Millisecond)
		c := newSlowReader(nil)
		done := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			f.Serve(t.Context(), patientRequest("/talk/x"), c)
			done <- time.Since(start)
		}()
		other := newSlowReader(after(0))
		f.Serve(t.Context(), patientRequest("/talk/y"), other)
		assert.Equal(t, wantEvents(count, size), other.events.String())
		assert.True(t, other.ended)
		took := <-done
		assert.Less(t, took, 5*time.Second, "256 KB at 100 KB/s and the wait for room")
		assert.False(t, c.ended, "it must not look complete")
		assert.Empty(t, c.events.String())
		assert.LessOrEqual(t, time.Duration(longest.Load()), spool.RoomTimeout+100*time.Millisecond)
		assert.EqualValues(t, 1, f.reasons(tooSlow))
		assert.EqualValues(t, 1, f.reasons(answered))
		assert.Zero(t, f.buffered.Load())
		for _, id := range []string{"d", "e"} {
			s, _ := f.roster.Find(id, 1)
			assert.Zero(t, f.Usage.Get(time.Now(), s).Running, "the work has ended")
		}
	})
}

// TestManySlowClientsFillTheMemory guards against more memory than MaxBuffered for slow
// clients together, and against rejecting other requests instead of aborting slow streams.
func TestManySlowClientsFillTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, clients, count, size = 600 << 10, 8, 200, 1000
		f, _ := newSlowFixture(t, count, size, 10*time.Millisecond)
		f.MaxBuffered = bound
		ended := make(chan *slowReader, clients)
		for i := range clients {
			time.Sleep(200 * time.Millisecond)
			go func() {
				c := newSlowReader(after(4 * time.Second))
				r := patientRequest("/talk/x")
				r.ID = fmt.Sprint("s", i)
				f.Serve(t.Context(), r, c)
				ended <- c
			}()
		}
		most := int64(0)
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, f.buffered.Load())
		}
		prompt := newSlowReader(after(0))
		f.Serve(t.Context(), patientRequest("/talk/y"), prompt)
		assert.True(t, prompt.ended, "a new request is served")
		whole := 0
		for range clients {
			c := <-ended
			if c.ended {
				whole++
				assert.Equal(t, wantEvents(count, size), c.events.String())
			}
		}
		assert.LessOrEqual(t, most, int64(bound))
		assert.Greater(t, most, int64(bound/2), "the memory is used")
		assert.NotZero(t, whole, "not all streams are aborted")
		assert.EqualValues(t, clients-whole, f.reasons(tooSlow))
		assert.NotEqual(t, clients, whole, "the bound is reached")
		assert.Zero(t, f.buffered.Load())
	})
}

// TestClientGoneWhileEventsWait guards against work that goes on at the backend server for a
// client that has gone, and against a writer that remains blocked.
func TestClientGoneWhileEventsWait(t *testing.T) {
	for _, atEnd := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			count := 1000
			if atEnd {
				count = 20 // The response is complete when the client goes.
			}
			f, _ := newSlowFixture(t, count, 100, 20*time.Millisecond)
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(2*time.Second, func() { cancel(errors.New("client closed the connection")) })
			c := newSlowReader(nil)
			start := time.Now()
			f.Serve(ctx, patientRequest("/talk/x"), c)
			assert.Equal(t, 2*time.Second, time.Since(start))
			assert.False(t, c.ended)
			assert.EqualValues(t, 1, f.reasons(clientGone))
			assert.Zero(t, f.buffered.Load())
			assert.Equal(t, 1, f.fleet.runs(), "not repeated")
		})
	}
}

// TestWriteFailsWhileEventsWait guards against work that goes on for a client to which a write
// has failed in the background, and against an end that looks complete.
func TestWriteFailsWhileEventsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newSlowFixture(t, 3, 100, 3*time.Second)
		c := newSlowReader(after(4 * time.Second))
		c.fails.Store(true)
		start := time.Now()
		f.Serve(t.Context(), patientRequest("/talk/x"), c)
		assert.Equal(t, 4*time.Second, time.Since(start), "while the next event is awaited")
		assert.False(t, c.ended)
		assert.EqualValues(t, 1, f.reasons(notDelivered))
		assert.Zero(t, f.buffered.Load())
	})
}

// TestStreamResumesWhileClientIsBehind guards against lost or repeated events if the stream
// breaks while events wait: it goes on after the last event that was read.
func TestStreamResumesWhileClientIsBehind(t *testing.T) {
	for _, carried := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newSlowFixture(t, 0, 0, 0)
			if carried {
				peer := newFixture(t)
				peer.addVersion("d", "v1")
				peer.fleet.scripted["d"] = []behavior{events(6, 9, true)}
				f, _ = newCutFixture(t, map[string]peerBehavior{"p1": breaksStream(5), "p2": servedBy(peer)})
			} else {
				first := true
				f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
					if first {
						first = false
						return events(1, 5, false)(ctx, s)
					}
					assert.Equal(t, "5", s.call.After)
					return events(6, 9, true)(ctx, s)
				}
			}
			c := newSlowReader(after(time.Second))
			f.Serve(t.Context(), newPromptRequest("/talk/x", 100, 5), c)
			want := ""
			for i := 1; i <= 9; i++ {
				want += fmt.Sprintf("id: %d\ndata: x\n\n", i)
			}
			assert.Equal(t, want, c.events.String(), "carried: %t", carried)
			assert.True(t, c.ended)
		})
	}
}
