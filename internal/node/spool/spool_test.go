package spool

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// open returns a queue whose writer is writing one byte, and a context that ends when it is
// aborted.
func open(t *testing.T, p *Pool, limit int64) (*Queue, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	q, err := p.Open(time.Now(), limit, 1, cancel)
	require.NoError(t, err)
	return q, ctx
}

// add adds events of the size until their sum is total.
func add(t *testing.T, q *Queue, size, total int) {
	t.Helper()
	for sum := 0; sum < total; sum += size {
		added, err := q.Add(t.Context(), make([]byte, size))
		require.NoError(t, err)
		require.True(t, added)
	}
}

// drain writes everything and returns the text.
func drain(q *Queue) string {
	var text strings.Builder
	for part, ok := q.Next(time.Now()); ok; part, ok = q.Next(time.Now()) {
		text.Write(part)
	}
	return text.String()
}

// TestQueueKeepsOrderAndFreesAll guards against lost, repeated or split events, and against
// bytes that remain reserved.
func TestQueueKeepsOrderAndFreesAll(t *testing.T) {
	var p Pool
	q, _ := open(t, &p, 0)
	want := ""
	for i := range 3000 {
		text := fmt.Sprintf("id: %d\n\n", i) + strings.Repeat("x", i%37)
		if i%500 == 0 {
			text += strings.Repeat("y", 2*segmentBytes)
		}
		want += text
		added, err := q.Add(t.Context(), []byte(text))
		require.NoError(t, err)
		require.True(t, added)
	}
	assert.Less(t, p.Load(), int64(len(want)*3/2), "small events share buffers")
	assert.Equal(t, want, drain(q))
	assert.Zero(t, p.Load())
	added, err := q.Add(t.Context(), []byte("z"))
	assert.NoError(t, err)
	assert.False(t, added, "the writer has ended")
	count, _ := p.Queues()
	assert.Zero(t, count)
}

// TestFurthestBehindMakesRoom guards against rejecting new requests while a slow client holds
// the memory, and against aborting streams in vain.
func TestFurthestBehindMakesRoom(t *testing.T) {
	const limit = 200 << 10
	var p Pool
	small, smallCtx := open(t, &p, limit)
	large, largeCtx := open(t, &p, limit)
	add(t, small, 4<<10, 40<<10)
	add(t, large, 4<<10, 120<<10)
	assert.ErrorIs(t, p.Reserve(limit+1, limit), ErrFull)
	assert.NoError(t, largeCtx.Err(), "it would not make enough room")
	require.NoError(t, p.Reserve(100<<10, limit))
	assert.ErrorIs(t, large.Err(), ErrBehind)
	assert.Error(t, largeCtx.Err())
	assert.NoError(t, smallCtx.Err())
	assert.LessOrEqual(t, p.Load(), int64(limit))
	_, more := large.Next(time.Now())
	assert.False(t, more, "what was dropped is not written in part")
	_, err := large.Add(t.Context(), []byte("x"))
	assert.ErrorIs(t, err, ErrBehind)
	assert.Len(t, drain(small), 40<<10)
	p.Free(100 << 10)
	assert.Zero(t, p.Load())
}

// TestOldestOfEqualsIsAborted guards against an arbitrary choice among clients that are
// equally far behind.
func TestOldestOfEqualsIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100 << 10
		var p Pool
		first, _ := open(t, &p, limit)
		time.Sleep(time.Second)
		second, _ := open(t, &p, limit)
		add(t, first, 4<<10, 40<<10)
		add(t, second, 4<<10, 40<<10)
		require.NoError(t, p.Reserve(40<<10, limit))
		assert.ErrorIs(t, first.Err(), ErrBehind)
		assert.NoError(t, second.Err())
	})
}

// TestOwnStreamIsAborted guards against a stream that goes on after it was aborted by its own
// event, and whose bytes remain reserved.
func TestOwnStreamIsAborted(t *testing.T) {
	const limit = 100 << 10
	var p Pool
	q, ctx := open(t, &p, limit)
	other, _ := open(t, &p, limit)
	add(t, q, 4<<10, 92<<10)
	_, err := q.Add(t.Context(), make([]byte, 40<<10))
	assert.ErrorIs(t, err, ErrBehind)
	assert.Error(t, ctx.Err())
	assert.NoError(t, other.Err())
	assert.EqualValues(t, 1, p.Load(), "that of the other queue")
}

// TestFullQueueWaitsForRoom guards against aborting a client that reads slowly but steadily,
// and against waiting for one that does not read until the backend server gives up.
func TestFullQueueWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Pool
		q, ctx := open(t, &p, 0)
		add(t, q, 4<<10, StreamBytes)
		go func() {
			time.Sleep(RoomTimeout / 2)
			q.Next(time.Now())
		}()
		start := time.Now()
		added, err := q.Add(t.Context(), make([]byte, 4<<10))
		assert.NoError(t, err)
		assert.True(t, added)
		assert.Equal(t, RoomTimeout/2, time.Since(start))
		start = time.Now()
		_, err = q.Add(t.Context(), make([]byte, 4<<10))
		assert.ErrorIs(t, err, ErrStreamFull)
		assert.Equal(t, RoomTimeout, time.Since(start))
		assert.Error(t, ctx.Err())
		assert.Zero(t, p.Load())
	})
}

// TestLargestEventIsTakenAlone guards against a stream that can't go on since one event is
// larger than the bound of a stream.
func TestLargestEventIsTakenAlone(t *testing.T) {
	var p Pool
	q, _ := open(t, &p, 0)
	add(t, q, 4*StreamBytes, 4*StreamBytes)
	text, more := q.Next(time.Now())
	assert.True(t, more)
	assert.Len(t, text, 4*StreamBytes)
	add(t, q, 100, 100)
}
