package chunk

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReader(t *testing.T) {
	for _, c := range []struct {
		name, in, body, rest string
		err                  error
	}{
		{"empty", "0\r\n\r\nnext", "", "next", nil},
		{"two chunks", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nnext", "abcde", "next", nil},
		{"an extension", "3;a=b\r\nabc\r\n0\r\n\r\n", "abc", "", nil},
		{"a trailer", "3\r\nabc\r\n0\r\nX: y\r\nContent-Length: 9\r\n\r\nnext", "abc", "next", nil},
		{"no end", "3\r\nabc\r\n", "abc", "", io.ErrUnexpectedEOF},
		{"no end of the trailer", "3\r\nabc\r\n0\r\nX: y\r\n", "abc", "", io.ErrUnexpectedEOF},
		{"no field in the trailer", "0\r\nGET / HTTP/1.1\r\n\r\n", "", "", ErrTrailer},
		{"long trailer", "0\r\n" + strings.Repeat("X: y\r\n", maxTrailers) + "\r\n", "", "", ErrTrailer},
		{"long line in the trailer", "0\r\nX: " + strings.Repeat("y", 1<<13) + "\r\n\r\n", "", "", ErrTrailer},
	} {
		connection := bufio.NewReader(strings.NewReader(c.in))
		r := NewReader(connection)
		body, err := io.ReadAll(r)
		assert.Equal(t, c.body, string(body), c.name)
		if c.err != nil {
			assert.ErrorIs(t, err, c.err, c.name)
			_, err = r.Read(make([]byte, 1))
			assert.ErrorIs(t, err, c.err, "%s: the error stays", c.name)
			continue
		}
		assert.NoError(t, err, c.name)
		rest, err := io.ReadAll(connection)
		assert.NoError(t, err, c.name)
		assert.Equal(t, c.rest, string(rest), c.name)
	}
}
