package broker

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// TestContentOfARequestSentAgainIsTheSame checks what tells two requests apart and what
// does not: a client that retries sends another ID and deadline, and may resume.
func TestContentOfARequestSentAgainIsTheSame(t *testing.T) {
	request := func(change func(r *Request)) uint64 {
		r := newPromptRequest("/talk/1?x=1", 3000, 80)
		r.Body = []byte("body")
		r.Fields = []call.Field{{Name: "authorization", Value: "a"}, {Name: "X-Trace", Value: "1"}}
		change(r)
		return r.contentHash("")
	}
	same := request(func(*Request) {})
	for name, c := range map[string]struct {
		change func(r *Request)
		same   bool
	}{
		"ID and deadline": {func(r *Request) { r.ID, r.Deadline = "r2", r.Deadline.Add(1) }, true},
		"resumed":         {func(r *Request) { r.After = "7" }, true},
		"trace":           {func(r *Request) { r.Fields[1].Value = "2" }, true},
		"header case":     {func(r *Request) { r.Fields[0].Name = "Authorization" }, true},
		"method":          {func(r *Request) { r.Method = "GET" }, false},
		"host":            {func(r *Request) { r.Host = "g" }, false},
		"path":            {func(r *Request) { r.Path = "/talk/2?x=1" }, false},
		"query":           {func(r *Request) { r.Path = "/talk/1?x=2" }, false},
		"body":            {func(r *Request) { r.Body = []byte("bodz") }, false},
		"client":          {func(r *Request) { r.Fields[0].Value = "b" }, false},
		"prompt's parts":  {func(r *Request) { r.Parts = r.Parts[:1] }, true},
		"path and body":   {func(r *Request) { r.Path, r.Body = r.Path+"b", r.Body[1:] }, false},
	} {
		assert.Equal(t, c.same, same == request(c.change), name)
	}
}
