package broker

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// identityFields are the fields that say on whose behalf a request is made.
var identityFields = []string{"Authorization", "Cookie"}

// contentHash returns a hash of what a backend server works on: the method, the host, the
// path with its query, the body and the client's identity. A client that retries a
// request, at whatever process, sends the same content under another ID and with another
// deadline, and may resume a stream with it. What a client says of the prompt in its body
// is left out: it may differ without a change of the work. account is the name of the
// client account, empty if there is none: backend servers get it in place of the key.
func (r *Request) contentHash(account string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest never returns an error. No field can contain a zero byte.
	for _, text := range []string{r.Method, r.Host, r.Path} {
		_, _ = d.WriteString(text + "\x00")
	}
	for _, name := range identityFields {
		for _, f := range r.Fields {
			if strings.EqualFold(f.Name, name) {
				_, _ = d.WriteString(name + ":" + f.Value + "\x00")
			}
		}
	}
	if account != "" {
		_, _ = d.WriteString("Account:" + account + "\x00")
	}
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
