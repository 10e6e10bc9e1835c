package entry

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestFormsAreReadAsSent guards against forms that the HTTP library writes anew before they
// are forwarded.
func TestFormsAreReadAsSent(t *testing.T) {
	const body = "--b\r\nContent-Disposition: form-data; name=\"z\"; filename=\"f\"\r\n\r\nfile\r\n--b\r\n" +
		"Content-Disposition: form-data; name=\"a\"\r\nContent-Type: application/json\r\n\r\n{}\r\n--b--\r\ntail"
	s := &Server{}
	s.Limits.MaxBody, s.Limits.MaxHeader = 1<<16, 1<<12
	s.Prepare()
	got := make(chan string, 1)
	s.http.Handler = func(c *fasthttp.RequestCtx) {
		body, err := s.bodies.read(c, int(s.Limits.MaxBody))
		assert.NoError(t, err)
		r, err := readRequest(c, body.text, time.Now())
		assert.NoError(t, err)
		got <- string(r.Body)
	}
	near, far := net.Pipe()
	defer near.Close()
	go func() { _ = s.http.ServeConn(far) }()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	head := "POST /claims HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := io.WriteString(near, head+body)
	require.NoError(t, err)
	assert.Equal(t, body, <-got)
}
