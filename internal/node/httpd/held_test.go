package httpd

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldListener is a listener of a process that gets no processor time: nothing is accepted
// before accept is closed, and nothing is read before read is.
type heldListener struct {
	*net.TCPListener
	accept, read chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.accept
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn, read: l.read}, nil
}

type heldConn struct {
	*net.TCPConn
	read chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.read
	return c.TCPConn.Read(p)
}

// startHeld starts a server behind a heldListener, and sends it a request.
func startHeld(t *testing.T, limits func() Limits) (*Server, *heldListener, net.Conn) {
	t.Helper()
	plain, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	l := &heldListener{TCPListener: plain.(*net.TCPListener), accept: make(chan struct{}), read: make(chan struct{})}
	s := &Server{Handler: handler(echo), Limits: limits}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close(); s.Close() })
	conn, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, get)
	require.NoError(t, err)
	return s, l, conn
}

// TestCloseIdleServesRequestsThatWereNotRead guards against requests that have arrived and
// are closed unread since the process had no time to read them.
func TestCloseIdleServesRequestsThatWereNotRead(t *testing.T) {
	s, l, conn := startHeld(t, limits)
	close(l.accept)
	require.Eventually(t, func() bool { return s.Connections() == 1 }, time.Second, time.Millisecond)
	time.Sleep(2 * newFor)
	s.CloseIdle()
	close(l.read)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
	assert.Eventually(t, func() bool { s.CloseIdle(); return s.Connections() == 0 }, time.Second, time.Millisecond)
}

// TestIdleTimeoutServesRequestsThatWereNotRead is the same for the end of the time between
// two requests.
func TestIdleTimeoutServesRequestsThatWereNotRead(t *testing.T) {
	const timeout = 10 * time.Millisecond
	s, l, conn := startHeld(t, func() Limits { return Limits{HeaderTimeout: time.Second, IdleTimeout: timeout} })
	close(l.accept)
	require.Eventually(t, func() bool { return s.Connections() == 1 }, time.Second, time.Millisecond)
	time.Sleep(timeout + idleSlack + 100*time.Millisecond)
	close(l.read)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
}

// TestRefuseServesConnectionsThatWereNotAccepted guards against connections that are reset
// since the process had no time to accept them before it refused further ones.
func TestRefuseServesConnectionsThatWereNotAccepted(t *testing.T) {
	s, l, conn := startHeld(t, limits)
	close(l.read)
	refused := make(chan struct{})
	go func() {
		defer close(refused)
		s.Refuse(t.Context())
	}()
	time.Sleep(4 * handshakeTime)
	close(l.accept)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
	<-refused
}
