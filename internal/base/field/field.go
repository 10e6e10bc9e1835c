// Package field checks the syntax of header fields in HTTP messages (RFC 9110, section 5).
//
// # Usage
//
//	name, value, err := field.Parse(line)
//
// Readers that accept a line which is no field take it for different things: one joins it to
// the field before, another one ends the head there. So such a message is to be rejected.
package field

import (
	"bytes"
	"errors"
)

// ErrSyntax means that a line is no header field.
var ErrSyntax = errors.New("line is not a valid header field")

// Parse returns the name and the value of a line without its end, and the value without the
// blanks around it. They are parts of the line.
func Parse(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) || !IsText(value) {
		return nil, nil, ErrSyntax
	}
	return name, bytes.Trim(value, " \t"), nil
}

// IsToken reports whether text is a token, such as the name of a field or a method.
func IsToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// IsText reports whether text may be the value of a field: it has no control characters but
// tabs.
func IsText[T string | []byte](text T) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes has the bytes that a token may have.
var tokenBytes = func() (set [256]bool) {
	for b := range len(set) {
		set[b] = b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		set[b] = true
	}
	return set
}()
