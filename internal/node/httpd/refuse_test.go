package httpd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRefuseResetsNoConnection checks that clients which connect while a server begins to
// refuse connections are either refused or served, never reset.
func TestRefuseResetsNoConnection(t *testing.T) {
	var served, reset atomic.Int64
	for range 30 {
		listener, err := Listen("127.0.0.1:0")
		require.NoError(t, err)
		s := &Server{Handler: handler(echo), Limits: limits}
		go func() { _ = s.Serve(listener) }()
		var clients sync.WaitGroup
		ended := make(chan struct{})
		for range 8 {
			clients.Go(func() {
				for connectUntil(ended, listener.Addr().String(), &served, &reset) {
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		s.Refuse(t.Context())
		close(ended)
		clients.Wait()
		s.Close()
	}
	assert.Positive(t, served.Load())
	assert.Zero(t, reset.Load(), "connections that were reset, of %d served", served.Load())
}

// connectUntil sends one request on a connection of its own and counts whether it is served
// or the connection was reset. It returns false once connections are refused or ended is
// closed.
func connectUntil(ended <-chan struct{}, address string, served, reset *atomic.Int64) bool {
	select {
	case <-ended:
		return false
	default:
	}
	conn, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = io.WriteString(conn, get)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	if err != nil {
		reset.Add(1)
		return true
	}
	served.Add(1)
	return true
}
