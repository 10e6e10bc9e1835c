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

// Names of the header fields towards callers.
const (
	DeadlineHeader = "X-Deadline-Ms"
	PriorityHeader = "X-Priority"
	AccountHeader  = "X-Account"
	KeyHeader      = "Idempotency-Key"
	OutcomeHeader  = "X-Outcome"
	ReasonHeader   = "X-Reason"
	IDHeader       = "X-Request-Id"
)

// maxKeyBytes is the largest account name or idempotency key, in bytes.
const maxKeyBytes = 256

// maxPriority bounds the priority on both sides of zero.
const maxPriority = 9

// Server is the HTTP form of a Core.
type Server struct {
	Core   *Core
	Limits setup.Limits

	http *fasthttp.Server
}

// Serve answers requests on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Prepare makes the server ready for Serve.
func (s *Server) Prepare() {
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          handleReadError,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    int(s.Limits.MaxBody),
		ReadBufferSize:        int(s.Limits.MaxHeader),
		ReadTimeout:           s.Limits.HeaderTimeout,
		IdleTimeout:           s.Limits.IdleTimeout,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		// Callers' header names go to plain services as they came.
		DisableHeaderNamesNormalizing: false,
	}
}

// Shutdown closes the listener and waits for the requests under way.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down callers' server: %w", err)
	}
	return nil
}

// discardLogger drops what the HTTP library logs of callers' connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handleReadError answers requests that could not be read.
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

func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.recoverPanic(c)
	request, err := readRequest(c, time.Now())
	if m, ok := asRequestError(err); ok {
		writeReply(c, rejection(m.status, retry.NotRun, m.code, m.detail, 0))
		return
	}
	// The context of the connection is not used: it ends with the handler,
	// while a streamed answer goes on.
	writeReply(c, s.Core.Serve(context.Background(), request))
	if s.Core.closing.Load() {
		c.SetConnectionClose()
	}
}

// recoverPanic answers a request on which this process failed, and goes on.
func (s *Server) recoverPanic(c *fasthttp.RequestCtx) {
	fault := recover()
	if fault == nil {
		return
	}
	s.Core.Meters.Add("Panics", 1)
	s.Core.Log.Error("a request made this process fail", zap.Any("Fault", fault), zap.ByteString("Stack", debug.Stack()))
	c.Response.Reset()
	writeReply(c, rejection(500, retry.Unknown, "Internal", "this process failed on the request", 0))
}

// writeReply gives the reply to the caller.
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

// readRequest makes a Request of what the caller sent.
func readRequest(c *fasthttp.RequestCtx, now time.Time) (Request, error) {
	header := &c.Request.Header
	r := Request{Method: string(c.Method()), Path: string(c.RequestURI()), Body: append([]byte(nil), c.PostBody()...)}
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

// notForwarded reports whether a header field is not handed on to backend servers,
// because it is about this connection or this system.
func notForwarded(name string) bool {
	switch strings.ToLower(name) {
	case "host", "connection", "content-length", "transfer-encoding", "keep-alive", "upgrade", "te", "trailer", "expect",
		"proxy-connection", "x-deadline-ms", "x-priority", "x-request-id", "x-resume-offset", "x-phase", "x-kv-from":
		return true
	}
	return false
}

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

// Operators answers on the operators' address: health, readiness, metrics and
// profiles.
type Operators struct {
	Ready func() bool
	JSON  func() string
	// SetLevel changes the level of the log.
	SetLevel func(text string) error
}

// Handler is the HTTP handler.
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
