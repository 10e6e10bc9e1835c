package call

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/field"
)

// ErrHead means that the head of a response violates the syntax of HTTP/1.1 (RFC 9112).
var ErrHead = errors.New("the head of the response is not valid")

// MinStatus and MaxStatus are the bounds of a status (RFC 9110, section 15).
const (
	MinStatus = 100
	MaxStatus = 599
)

// readHead reads the head of a response. It checks the syntax before the HTTP library reads
// the head, as that accepts more than the syntax allows and takes it for something else: a
// status 000 becomes 200, and a line that begins with a blank a part of the field before it.
func readHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	size, err := checkHead(reader)
	if err != nil {
		return err
	}
	before := reader.Buffered()
	if err := header.Read(reader); err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	if n := before - reader.Buffered(); n != size {
		return fmt.Errorf("%w: the library reads %d of its %d bytes", ErrHead, n, size)
	}
	return nil
}

// checkHead waits for a whole head, without consuming it, and returns its size in bytes. Each
// line is checked as it arrives, so that a server which then falls silent is not waited for.
func checkHead(reader *bufio.Reader) (size int, err error) {
	var check headCheck
	for wanted := 1; ; wanted = reader.Buffered() + 1 {
		_, readErr := reader.Peek(wanted)
		// What is buffered can be peeked at without an error.
		text, _ := reader.Peek(reader.Buffered())
		for {
			end := bytes.IndexByte(text[size:], '\n')
			if end < 0 {
				break
			}
			line := text[size : size+end+1]
			size += len(line)
			if complete, err := check.add(line); complete || err != nil {
				return size, err
			}
		}
		if readErr == io.EOF && len(text) > 0 {
			readErr = io.ErrUnexpectedEOF
		}
		if readErr != nil {
			return 0, fmt.Errorf("read head: %w", readErr)
		}
	}
}

// headCheck checks the lines of a head.
type headCheck struct {
	// started is set once the status line was checked, which has the version, HTTP/1.minor, and
	// the status.
	started bool
	minor   byte
	status  int
	// lengths and codings count the fields Content-Length and Transfer-Encoding. empty is set
	// if the length is 0.
	lengths, codings int
	empty            bool
}

// add checks the next line with its end. complete is set after the blank line that ends the
// head.
func (c *headCheck) add(line []byte) (complete bool, err error) {
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !found:
		// The library ends a head at a blank line of a lone LF, but waits for another end.
		return false, fmt.Errorf("%w: a line ends without CR", ErrHead)
	case !c.started:
		c.started = true
		return false, c.addStatus(text)
	case len(text) == 0:
		return true, c.checkFraming()
	}
	name, value, err := field.Parse(text)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrHead, err)
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		c.lengths++
		c.empty = len(bytes.Trim(value, "0")) == 0
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		c.codings++
	}
	return false, nil
}

// addStatus checks the status line: the version, the status and a reason. Some servers leave out
// the space before an empty reason.
func (c *headCheck) addStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !found || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' || !field.IsText(reason) {
		return fmt.Errorf("%w: status line", ErrHead)
	}
	if len(code) != 3 {
		return fmt.Errorf("%w: a status of %d bytes", ErrHead, len(code))
	}
	status, err := fasthttp.ParseUint(code)
	if err != nil || status < MinStatus || status > MaxStatus {
		return fmt.Errorf("%w: status %q", ErrHead, code)
	}
	if status == fasthttp.StatusSwitchingProtocols {
		return fmt.Errorf("%w: no request asks for another protocol", ErrHead)
	}
	c.minor, c.status = minor[0], status
	return nil
}

// checkFraming checks that there is one way to tell where the body ends. The library ignores a
// length beside chunks, and chunks in versions other than HTTP/1.1.
func (c *headCheck) checkFraming() error {
	none := c.status < fasthttp.StatusOK || c.status == fasthttp.StatusNoContent
	switch {
	case c.lengths > 1 || c.codings > 1 || c.lengths+c.codings > 1:
		return fmt.Errorf("%w: more than one length of the body", ErrHead)
	case c.codings > 0 && c.minor != '1':
		return fmt.Errorf("%w: chunks in another version than HTTP/1.1", ErrHead)
	case none && (c.codings > 0 || c.lengths > 0 && !c.empty):
		return fmt.Errorf("%w: a body with the status %d", ErrHead, c.status)
	}
	return nil
}
