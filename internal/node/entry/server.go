package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// Names of the header fields that clients send and receive.
const (
	DeadlineHeader = "X-Deadline-Ms"   // milliseconds until the response must be complete
	PriorityHeader = "X-Priority"      // a whole number from -maxPriority to maxPriority
	AccountHeader  = "X-Account"       // the client account
	KeyHeader      = "Idempotency-Key" // the idempotency key
	OutcomeHeader  = "X-Outcome"       // the name of the retry.Outcome of a response
	ReasonHeader   = "X-Reason"        // the reason of a rejection or an error
	IDHeader       = "X-Request-Id"    // the request ID that Core assigned
)

// maxKeyBytes bounds the length of an account name and of an idempotency key.
const maxKeyBytes = 256

// maxPriority bounds the absolute value of a priority.
const maxPriority = 9

// Server serves a Core over HTTP. Core and Limits are set before Prepare. Shutdown
// may be called while Serve runs.
type Server struct {
	Core   *Core
	Limits setup.Limits

	http   *fasthttp.Server
	bodies bodies
}

// Serve serves requests on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Prepare sets up the server. It is called before Serve.
func (s *Server) Prepare() {
	s.bodies.Limit = s.Limits.MaxBodies
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          handleReadError,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    int(s.Limits.MaxBody),
		// Package entry reads the bodies, since the library bounds each but not all together.
		StreamRequestBody: true,
		ReadBufferSize:    int(s.Limits.MaxHeader),
		ReadTimeout:       s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		CloseOnShutdown:   true,
		Logger:            discardLogger{},
		// Header names are normalized: plain services receive the canonical
		// form, not the client's spelling.
		DisableHeaderNamesNormalizing: false,
		// The library would write a form that it has parsed anew.
		DisablePreParseMultipartForm: true,
	}
}

// Shutdown closes the listener and waits until the requests being served have ended
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down server for callers: %w", err)
	}
	return nil
}

// discardLogger drops the HTTP library's log of client connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handleReadError rejects a request that could not be read.
func handleReadError(c *fasthttp.RequestCtx, err error) {
	status, code := 400, "Malformed"
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status, code = 431, "HeaderTooLarge"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = 413, "BodyTooLarge"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, code = 408, "TooSlow"
	}
	writeReply(c, rejection(status, retry.NotRun, code, "the request could not be read", 0))
	c.SetConnectionClose()
}

// handle serves one request.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.recoverPanic(c)
	body, err := s.bodies.read(c, int(s.Limits.MaxBody))
	streamed := false
	defer func() {
		if !streamed {
			body.release()
		}
	}()
	if err != nil {
		rejectUnread(c, err)
		return
	}
	request, err := readRequest(c, body.text, time.Now())
	if e, ok := asRequestError(err); ok {
		writeReply(c, rejection(e.status, retry.NotRun, e.code, e.detail, 0))
		return
	}
	// The connection's context is not used: it ends when the handler returns,
	// which is before the end of a streamed response.
	reply := s.Core.Serve(context.Background(), request)
	if reply.Streamed {
		streamed, reply.Body = true, releasing{reply.Body, body}
	}
	writeReply(c, reply)
	if s.Core.closing.Load() {
		c.SetConnectionClose()
	}
}

// recoverPanic replies to a request whose handler panicked, and keeps the process
// running.
func (s *Server) recoverPanic(c *fasthttp.RequestCtx) {
	value := recover()
	if value == nil {
		return
	}
	s.Core.Meters.Add("Panics", 1)
	s.Core.Log.Error("a request caused a panic in this process", zap.Any("Fault", value), zap.ByteString("Stack", debug.Stack()))
	c.Response.Reset()
	writeReply(c, rejection(500, retry.Unknown, "Internal", "this process failed on the request", 0))
}

// writeReply writes the reply to the client and closes it. A streamed reply is
// closed by the HTTP server after it has been read.
func writeReply(c *fasthttp.RequestCtx, r *Reply) {
	c.SetStatusCode(r.Status)
	header := &c.Response.Header
	for _, f := range r.Fields {
		header.Add(f.Name, f.Value)
	}
	header.Set(OutcomeHeader, r.Outcome.String())
	if r.ID != "" {
		header.Set(IDHeader, r.ID)
	}
	if r.Reason != "" {
		header.Set(ReasonHeader, r.Reason)
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if r.Streamed {
		c.SetBodyStream(r.Body, -1)
		return
	}
	defer r.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	c.SetBody(body.Bytes())
}

// readRequest converts a client's HTTP request with the body to a Request. Every error is a
// requestError.
func readRequest(c *fasthttp.RequestCtx, body []byte, now time.Time) (Request, error) {
	header := &c.Request.Header
	r := Request{Method: string(c.Method()), Path: string(c.RequestURI()), Body: body}
	for _, name := range []string{DeadlineHeader, PriorityHeader, AccountHeader, KeyHeader} {
		if len(header.PeekAll(name)) > 1 {
			return r, newRequestError(400, "DuplicateHeader", "%s was given more than once", name)
		}
	}
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(string(c.Path()), "..") {
		return r, newRequestError(400, "BadPath", "the path must begin with a slash")
	}
	var err error
	if r.Deadline, err = readDeadline(string(header.Peek(DeadlineHeader)), now); err != nil {
		return r, err
	}
	if text := string(header.Peek(PriorityHeader)); text != "" {
		r.Priority, err = strconv.Atoi(text)
		if err != nil || r.Priority > maxPriority || r.Priority < -maxPriority {
			return r, newRequestError(400, "BadHeader", "%s must be a whole number from -%d to %d", PriorityHeader, maxPriority, maxPriority)
		}
	}
	r.Account, r.Key = string(header.Peek(AccountHeader)), string(header.Peek(KeyHeader))
	if len(r.Account) > maxKeyBytes || len(r.Key) > maxKeyBytes {
		return r, newRequestError(400, "BadHeader", "%s and %s may have %d bytes at most", AccountHeader, KeyHeader, maxKeyBytes)
	}
	for name, value := range header.All() {
		if !notForwarded(string(name)) {
			r.Fields = append(r.Fields, engine.Field{Name: string(name), Value: string(value)})
		}
	}
	return r, nil
}

// notForwarded reports whether a header field is not forwarded to backend servers,
// because it concerns this connection or is set by this system.
func notForwarded(name string) bool {
	switch strings.ToLower(name) {
	case "host", "connection", "content-length", "transfer-encoding", "keep-alive", "upgrade", "te", "trailer", "expect",
		"proxy-connection", "x-deadline-ms", "x-priority", "x-request-id", "x-resume-offset", "x-phase", "x-kv-from":
		return true
	}
	return false
}

// readDeadline parses the deadline header, the milliseconds from now. An empty text
// is no deadline.
func readDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > math.MaxInt64/int64(time.Millisecond) {
		return time.Time{}, newRequestError(400, "BadHeader", "%s must be a whole number of milliseconds", DeadlineHeader)
	}
	if ms <= 0 {
		return time.Time{}, newRequestError(400, "DeadlinePassed", "%s must be over 0", DeadlineHeader)
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// Operators serves the operators' address: health, readiness, metrics, profiles and
// the log level. The fields are set before use.
type Operators struct {
	// Ready reports whether the process should get clients' requests.
	Ready func() bool
	// JSON returns the metrics as JSON.
	JSON func() string
	// SetLevel parses and sets the log level.
	SetLevel func(text string) error
}

// Handler handles a request to the operators' address.
func (o *Operators) Handler(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/healthz":
		c.SetBodyString("ok\n")
	case "/readyz":
		if !o.Ready() {
			c.SetStatusCode(503)
			c.SetBodyString("not ready\n")
			return
		}
		c.SetBodyString("ready\n")
	case "/debug/vars":
		c.SetContentType("application/json")
		c.SetBodyString(o.JSON())
	case "/log/level":
		if !c.IsPut() {
			c.SetStatusCode(405)
			return
		}
		if err := o.SetLevel(string(c.PostBody())); err != nil {
			c.SetStatusCode(400)
			c.SetBodyString(err.Error() + "\n")
		}
	default:
		if strings.HasPrefix(string(c.Path()), "/debug/pprof/") {
			pprofhandler.PprofHandler(c)
			return
		}
		c.SetStatusCode(404)
	}
}

// Listen opens a TCP listener.
func Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}
