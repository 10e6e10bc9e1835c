package entry

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// readResponse reads a response of at most maximum bytes, which it reserves from Responses. The
// error of a longer one is call.ErrTooLarge: a part of a response must not look complete. The body
// must be released unless there is an error.
func (c *Core) readResponse(source io.Reader, maximum int) (*body, error) {
	b := &body{all: &c.Responses}
	err := b.fill(source, -1, maximum)
	if err == nil {
		return b, nil
	}
	b.release()
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		err = call.ErrTooLarge
	}
	return nil, err
}

// keptReply returns a reply with the body of a response, which is released when the reply is
// closed.
func keptReply(status int, kept *body) *Reply {
	reply := jsonReply(status, kept.text)
	reply.Body = releasing{reply.Body, kept}
	return reply
}
