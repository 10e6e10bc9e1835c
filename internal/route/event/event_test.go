package event

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readAll returns the text of all events and the error that ended them.
func readAll(r *Reader) (string, error) {
	var text strings.Builder
	for {
		e, err := r.Next()
		if err != nil {
			return text.String(), err
		}
		text.Write(e.Text)
	}
}

func TestReader(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\nx-weight-versions: 3\ndata: b\n\n"
	for _, c := range []struct {
		name, in, out string
		err           error
	}{
		{"whole", two, two, io.EOF},
		{"empty", "", "", io.EOF},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", io.EOF},
		{"a comment", ": hello\n\n" + two, ": hello\n\n" + two, io.EOF},
		{"without id", "data: a\n\n", "data: a\n\n", io.EOF},
		{"truncated within an event", two + "id: 3\ndat", two, ErrTruncated},
		{"truncated before the blank line", two + "id: 3\ndata: c\n", two, ErrTruncated},
		{"duplicate id", two + "id: 2\ndata: b\n\n", two, ErrOutOfOrder},
		{"lower id", two + "id: 1\ndata: a\n\n", two, ErrOutOfOrder},
		{"invalid id", "id: 1x\n\n", "", ErrMalformed},
		{"invalid field name", two + "id: 3\nda\x01a: c\n\n", two, ErrMalformed},
		{"line without a field name", two + "oops\n\n", two, ErrMalformed},
		{"not UTF-8", two + "data: \xff\n\n", two, ErrMalformed},
	} {
		for _, source := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in)), iotest.DataErrReader(strings.NewReader(c.in))} {
			text, err := readAll(&Reader{Source: source})
			assert.Equal(t, c.out, text, c.name)
			assert.ErrorIs(t, err, c.err, c.name)
		}
	}
}

func TestReaderResumes(t *testing.T) {
	r := Reader{Source: strings.NewReader("id: 3\ndata: c\n\n"), LastID: 3, HasLastID: true}
	_, err := r.Next()
	assert.ErrorIs(t, err, ErrOutOfOrder, "an event that the client already has")
	r = Reader{Source: strings.NewReader("id: 4\ndata: d\n\n"), LastID: 3, HasLastID: true}
	e, err := r.Next()
	require.NoError(t, err)
	assert.Equal(t, uint64(4), e.ID)
}

func TestReaderReturnsSourceError(t *testing.T) {
	broken := errors.New("reset")
	_, err := readAll(&Reader{Source: io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(broken))})
	assert.ErrorIs(t, err, broken)
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("id: 1\r\n\r\n:\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		text, err := readAll(&Reader{Source: iotest.OneByteReader(strings.NewReader(in))})
		if err == nil || !strings.HasPrefix(in, text) {
			t.Fatalf("%q of %q, %v", text, in, err)
		}
	})
}
