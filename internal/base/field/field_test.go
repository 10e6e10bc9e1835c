package field

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestParse(t *testing.T) {
	for _, c := range []struct{ line, name, value string }{
		{"A: b", "A", "b"},
		{"A:", "A", ""},
		{"x-1.!#$%&'*+^_`|~:\t b \tc: \"d\" \t", "x-1.!#$%&'*+^_`|~", "b \tc: \"d\""},
		{"A: \xc3\xa4\x80", "A", "\xc3\xa4\x80"},
	} {
		name, value, err := Parse([]byte(c.line))
		assert.NoError(t, err, "%q", c.line)
		assert.Equal(t, []string{c.name, c.value}, []string{string(name), string(value)}, "%q", c.line)
	}
	for _, line := range []string{"", "A", ": b", " A: b", "A : b", "A b: c", "A\t: b", "(A): b", "A\x00: b", "\xc3\xa4: b", "A: b\x00", "A: b\r", "A: \nb", "A: b\x7f", "\r"} {
		_, _, err := Parse([]byte(line))
		assert.ErrorIs(t, err, ErrSyntax, "%q", line)
	}
}
