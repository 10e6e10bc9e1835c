package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// TestEarlierRefusalOnceMore checks that a refusal which a server writes once more on a kept
// connection is not taken for one of the call that runs: it has another ID or none.
func TestEarlierRefusalOnceMore(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"} {
		for _, repeated := range []string{IDHeader + ": r1\r\n", ""} {
			address := serveRaw(t, func(number int) string {
				refusal := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + OutcomeHeader + ": " + NotRunOutcome + "\r\n"
				if number == 1 {
					return refusal + IDHeader + ": r1\r\n\r\n"
				}
				return refusal + repeated + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + IDHeader + ": r2\r\n\r\n"
			})
			var client Client
			for i, id := range []string{"r1", "r2"} {
				r, err := client.Send(t.Context(), spec.BackendServer{Name: "s", Address: address}, Call{ID: id, Method: "GET", Path: "/"})
				require.NoError(t, err)
				assert.Equal(t, i == 0, r.NotRun, "%s, %q", status, repeated)
				assert.Equal(t, i == 1, r.Foreign, "%s, %q", status, repeated)
				r.Body.Close()
			}
			r, err := client.Send(t.Context(), spec.BackendServer{Name: "s", Address: address}, Call{ID: "r1", Method: "GET", Path: "/", Again: true})
			require.NoError(t, err)
			assert.True(t, r.NotRun && !r.Foreign, "its own, on a new connection")
			r.Body.Close()
		}
	}
}

// serveRaw starts a server that writes respond's text for each request, which have numbers
// from 1 on each connection.
func serveRaw(t *testing.T, respond func(number int) string) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					var request fasthttp.Request
					if request.Read(reader) != nil {
						return
					}
					_, _ = io.WriteString(conn, respond(number))
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(fmt.Sprint(listener.Addr()))
}
