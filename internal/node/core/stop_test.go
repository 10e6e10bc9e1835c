package core

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/node/httpd"
)

// answering is a handler that answers every request at once.
type answering struct{}

func (answering) Serve(_ context.Context, x *httpd.Exchange) {
	_ = x.Respond(200, nil, []byte("done"))
}

// TestConnectionsUntilTheEndOfAStopAreServed checks that a planned stop cuts off no
// connection that it has accepted, though clients go on connecting until its end.
func TestConnectionsUntilTheEndOfAStopAreServed(t *testing.T) {
	n := newNode(t)
	server := &httpd.Server{Handler: answering{}, Limits: n.Limits}
	listener, err := httpd.Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	var clients sync.WaitGroup
	var served, cut atomic.Int64
	ended := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(2 * time.Millisecond):
					clients.Go(func() { connectAndSend(listener.Addr().String(), &served, &cut) })
				}
			}
		})
	}
	n.Stop(t.Context(), server, 2*stopMargin)
	listener.Close()
	server.Close()
	close(ended)
	clients.Wait()
	assert.Positive(t, served.Load())
	assert.Zero(t, cut.Load(), "connections without a response, of %d", served.Load())
}

// sendWithin is how long a new connection is kept for its first request. A client that has
// sent it by then gets a response; this process can be too busy for one of its clients to.
const sendWithin = 200 * time.Millisecond

// connectAndSend connects, sends a request a little later and counts whether it is served.
func connectAndSend(address string, served, cut *atomic.Int64) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	time.Sleep(5 * time.Millisecond)
	_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	inTime := time.Since(began) < sendWithin
	if err == nil {
		var one [1]byte
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Read(one[:])
	}
	if err == nil {
		served.Add(1)
		return
	}
	if inTime && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		cut.Add(1)
	}
}
