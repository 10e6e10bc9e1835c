package load

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// repeated is a body that repeats a text, without end if left is negative.
type repeated struct {
	text string
	left int
}

// Read implements io.Reader.
func (r *repeated) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(r.text, 1+(32<<10)/len(r.text)))
	if r.left > 0 {
		n = min(n, r.left)
		r.left -= n
	}
	return n, nil
}

// TestResponsesOverTheLimitAreNotComplete guards against a part of a response that counts as
// complete, and against events without end.
func TestResponsesOverTheLimitAreNotComplete(t *testing.T) {
	for size, complete := range map[int]bool{maxBody: true, maxBody + 1: false} {
		o := &Outcome{Status: 200}
		o.readBody(&repeated{"x", size})
		assert.Equal(t, complete, o.Complete, size)
		assert.Equal(t, !complete, o.Truncated, size)
	}
	o := &Outcome{Status: 200}
	o.readEvents(&repeated{"data: x\n", -1}, "")
	assert.ErrorIs(t, o.Err, errTooLong)
	assert.True(t, o.Truncated)
}
