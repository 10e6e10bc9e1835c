package entry

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// readResponse reads a response of at most maximum bytes. The error of a longer one is
// call.ErrTooLarge: a part of a response must not look complete.
func readResponse(source io.Reader, maximum int) ([]byte, error) {
	b := &body{all: &bodies{}}
	err := b.fill(source, -1, maximum)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		err = call.ErrTooLarge
	}
	return b.text, err
}
