package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// result is what a client has seen of one attempt.
type result struct {
	attempt string
	sent    time.Time
	// status is 0 if there was no complete answer.
	status int
	header http.Header
	body   []byte
	err    error
}

var attempts atomic.Uint64

// newAttempt returns the ID of a new attempt.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(attempts.Add(1)))
}

// head returns the head of a request.
func head(method, path, attempt string, deadlineMs int, fields ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "host: shop.example", "x-attempt-id: " + attempt, fmt.Sprintf("x-deadline-ms: %d", deadlineMs)}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n\r\n"
}

// connect opens a connection of a client.
func connect(address string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, nil, err
	}
	return conn, bufio.NewReader(conn), nil
}

// exchange sends a request on an open connection and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, attempt, request string, wait time.Duration) result {
	r := result{attempt: attempt, sent: time.Now()}
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, r.err = io.WriteString(conn, request); r.err != nil {
		return r
	}
	return r.read(reader)
}

// read reads the answer.
func (r result) read(reader *bufio.Reader) result {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header, r.body = response.StatusCode, response.Header, body
	return r
}

// send sends a request on a new connection.
func send(address, attempt, request string, wait time.Duration) result {
	conn, reader, err := connect(address)
	if err != nil {
		return result{attempt: attempt, sent: time.Now(), err: err}
	}
	defer conn.Close()
	return exchange(conn, reader, attempt, request, wait)
}

// readEvents sends a request and reads events until the stream ends or stop is closed. It
// returns the id of the last one, 0 if there was none.
func readEvents(address, request string, stop <-chan struct{}) int {
	conn, reader, err := connect(address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if stop != nil {
		go func() {
			<-stop
			conn.Close()
		}()
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != 200 {
		return 0
	}
	last := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	return last
}
