package store

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestVersionThatIsNoNumberIsNoAnswer guards against an object that counts as new because its
// version can't be read.
func TestVersionThatIsNoNumberIsNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	text := ""
	go func() {
		_ = fasthttp.Serve(listener, func(c *fasthttp.RequestCtx) { c.Response.Header.Set(VersionHeader, text) })
	}()
	client := &Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
	for _, c := range []struct {
		text    string
		version uint64
		sound   bool
	}{{"7", 7, true}, {"x", 0, false}, {"-1", 0, false}, {"7 7", 0, false}, {"99999999999999999999", 0, false}} {
		text = c.text
		object, err := client.Get(t.Context(), "a")
		assert.Equal(t, c.sound, err == nil, "%q: %v", c.text, err)
		assert.Equal(t, c.version, object.Version, c.text)
		_, err = client.Put(t.Context(), Object{Key: "a", Value: []byte("1"), Version: 6})
		assert.Equal(t, c.sound, err == nil, "%q: %v", c.text, err)
		assert.False(t, NotWritten(err), c.text)
	}
}
