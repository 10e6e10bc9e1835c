package call

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestResponseIsReadThoughTheDeadlineIsNoticedLate guards against a response that is dropped as
// the process had no processor when the deadline passed, and against exchanges without end: one
// with a silent server, or one that was cancelled, ends in time.
func TestResponseIsReadThoughTheDeadlineIsNoticedLate(t *testing.T) {
	const timeout, pause = 50 * time.Millisecond, 150 * time.Millisecond
	answers := startServer(t, func(_ int, conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	silent := startServer(t, func(_ int, conn *net.TCPConn) { _, _ = readRequest(bufio.NewReader(conn)) })
	paused := func() bool { time.Sleep(pause); return true }
	request := &fasthttp.Request{}
	request.SetRequestURI("/")
	request.Header.SetHost("server")

	client := &Client{}
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		x, err := client.Do(ctx, answers, request, Options{TakeLate: true, Wanted: paused})
		require.NoError(t, err)
		body, err := x.Body(10)
		assert.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		x.Close()
		cancel()
	}
	assert.EqualValues(t, 20, client.Dials(), "an exchange whose deadline has passed leaves no connection")

	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := client.Do(ctx, silent, request, Options{TakeLate: true})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Less(t, time.Since(began), timeout+10*takeLateWithin)

	began = time.Now()
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(timeout, cancel)
	_, err = client.Do(ctx, silent, request, Options{TakeLate: true})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Less(t, time.Since(began), 10*takeLateWithin)
}

// TestConnectionsThatWentSilentTogetherCostOneCall guards against a process that, after all its
// connections went silent, tries each idle one until a timeout before it makes a new one.
func TestConnectionsThatWentSilentTogetherCostOneCall(t *testing.T) {
	const kept, timeout = 4, 100 * time.Millisecond
	var dead atomic.Bool
	together := make(chan struct{}, kept)
	address := startServer(t, func(n int, conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			_, err := readRequest(reader)
			if err == nil && dead.Load() && n < kept {
				time.Sleep(10 * timeout)
			}
			if err != nil {
				return
			}
			if first && n < kept {
				together <- struct{}{}
				for len(together) < kept {
					time.Sleep(time.Millisecond)
				}
			}
			_, _ = conn.Write([]byte(ok))
		}
	})
	client := &Client{}
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := get(ctx, client, address, Options{DropSilent: true})
		return err
	}
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() { assert.NoError(t, send()) })
	}
	calls.Wait()
	dead.Store(true)
	assert.Error(t, send())
	assert.NoError(t, send(), "the other connections went silent too")
}
