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
		{"blanks before an extension", "3 \t; a = \"b;c\"\r\nabc\r\n0;z\r\n\r\nnext", "abc", "next", nil},
		{"zeros and capitals", "0000000A\r\n0123456789\r\n0000\r\n\r\n", "0123456789", "", nil},
		{"CR and LF in the data", "4\r\n\r\n\r\n\r\n0\r\n\r\n", "\r\n\r\n", "", nil},
		{"a blank behind a size", "3 \r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a blank before a size", " 3\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"no size", "\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a sign", "+3\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a prefix", "0x3\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a separator", "1_0\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a size too large", "fffffffffffffffff\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a control byte in an extension", "3;a\x01\r\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"a size without CR", "3\nabc\r\n0\r\n\r\n", "", "", ErrChunk},
		{"data without CR", "3\r\nabc\n0\r\n\r\n", "abc", "", ErrChunk},
		{"more data than the size", "3\r\nabcd\r\n0\r\n\r\n", "abc", "", ErrChunk},
		{"less data than the size", "3\r\nab\r\n0\r\n\r\n", "ab\r", "", ErrChunk},
		{"little data in long lines", strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 20), strings.Repeat("a", 16), "", ErrChunk},
		{"a blank in a name of the trailer", "3\r\nabc\r\n0\r\nX Y: 1\r\n\r\n", "abc", "", ErrTrailer},
		{"a control byte in the trailer", "3\r\nabc\r\n0\r\nX: \x01\r\n\r\n", "abc", "", ErrTrailer},
		{"a trailer without CR", "3\r\nabc\r\n0\r\nX: y\n\r\n", "abc", "", ErrTrailer},
		{"an end without CR", "3\r\nabc\r\n0\r\n\n", "abc", "", ErrTrailer},
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
