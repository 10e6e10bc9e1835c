package auth

import (
	"bytes"
	"fmt"
	"strings"
)

// Credential is what a client gives to prove its account. It contains the digest of the
// key only. The zero value is that of a client that gives none.
type Credential struct {
	state state
	key   Key
}

// state is what a client has given.
type state uint8

const (
	absent state = iota
	malformed
	given
)

// Add adds the value of one header field, "SCHEME KEY". The scheme is compared regardless
// of case, and spaces around both words are allowed. A second value makes the Credential
// malformed, since it would be ambiguous which key counts.
func (c *Credential) Add(scheme string, value []byte) {
	key, ok := cutScheme(scheme, value)
	if c.state != absent || !ok {
		*c = Credential{state: malformed}
		return
	}
	*c = Credential{state: given, key: Digest(key)}
}

// space is what may surround the value of a header field.
const space = " \t"

// cutScheme returns the key of "SCHEME KEY", or false if the value has another form.
func cutScheme(scheme string, value []byte) ([]byte, bool) {
	value = bytes.Trim(value, space)
	if len(value) <= len(scheme) || !strings.EqualFold(string(value[:len(scheme)]), scheme) {
		return nil, false
	}
	rest := value[len(scheme):]
	key := bytes.TrimLeft(rest, " ")
	if len(key) == len(rest) || !ValidKey(string(key)) {
		return nil, false
	}
	return key, true
}

// ValidKey reports whether a client can give the key: it is not empty and contains
// neither spaces nor control characters.
func ValidKey(key string) bool {
	if key == "" {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return true
}

// Format implements fmt.Formatter, so that no verb prints the digest.
func (Credential) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// String returns "[redacted]".
func (Credential) String() string { return redacted }

// MarshalText implements encoding.TextMarshaler for JSON and logs.
func (Credential) MarshalText() ([]byte, error) { return []byte(redacted), nil }
