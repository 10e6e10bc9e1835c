package entry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/budget"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// bodies counts the bytes of the bodies of all requests. The zero value has no limit.
type bodies struct{ budget.Budget }

// body is the body of a request or a response, whose bytes are reserved.
type body struct {
	all      *budget.Budget
	reserved atomic.Int64
	text     []byte
}

// release frees the bytes of the body. Further calls have no effect.
func (b *body) release() { b.all.Release(b.reserved.Swap(0)) }

const (
	// firstBody is the size of the first buffer of a body; it doubles when it is full.
	firstBody = 4 << 10
	// bodiesRetryAfter is when a client may retry after the limit was reached. It is about
	// the duration of a plain request.
	bodiesRetryAfter = time.Second
)

// errBodiesFull means that the bodies of all requests together are too large.
var errBodiesFull = errors.New("too many bytes of requests are buffered")

// read reads the body of a request of at most maximum bytes. Its bytes are reserved before they
// are read, those of a body in chunks as well. The body must be released also after an error.
func (b *bodies) read(c *fasthttp.RequestCtx, maximum int) (*body, error) {
	r := &body{all: &b.Budget}
	stream, length := c.RequestBodyStream(), c.Request.Header.ContentLength()
	if length > maximum {
		return r, fasthttp.ErrBodyTooLarge
	}
	if stream == nil || length == 0 {
		return r, nil
	}
	return r, r.fill(stream, length, maximum)
}

// fill reads length bytes, or up to io.EOF if length is negative. More than maximum bytes are
// the error fasthttp.ErrBodyTooLarge.
func (b *body) fill(stream io.Reader, length, maximum int) error {
	most := maximum + 1 // One byte more than allowed shows that there are too many.
	if length > 0 {
		most = length
	}
	for {
		if len(b.text) == cap(b.text) {
			if err := b.grow(most); err != nil {
				return err
			}
		}
		n, err := stream.Read(b.text[len(b.text):cap(b.text)])
		b.text = b.text[:len(b.text)+n]
		switch {
		case len(b.text) > maximum:
			return fasthttp.ErrBodyTooLarge
		case err == io.EOF && length > len(b.text):
			return io.ErrUnexpectedEOF
		case err == io.EOF || length == len(b.text):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, up to most bytes.
func (b *body) grow(most int) error {
	size := min(max(firstBody, 2*cap(b.text)), most)
	if !b.all.Reserve(int64(size)) {
		return errBodiesFull
	}
	before := cap(b.text)
	b.text = append(make([]byte, 0, size), b.text...)
	b.reserved.Add(int64(size - before))
	b.all.Release(int64(before))
	return nil
}

// rejectUnread rejects a request whose body could not be read, and closes its connection.
func rejectUnread(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errBodiesFull) {
		writeReply(c, rejection(503, retry.NotRun, "BodiesFull", "too many requests with large bodies", bodiesRetryAfter))
		c.SetConnectionClose()
		return
	}
	handleReadError(c, err)
}

// releasing is the body of a reply that needs another body until its end: a streamed reply that
// of the request, since another engine may have to resume it, others that of the response.
type releasing struct {
	io.ReadCloser
	needed *body
}

// Close implements io.Closer.
func (r releasing) Close() error {
	defer r.needed.release()
	return r.ReadCloser.Close()
}
