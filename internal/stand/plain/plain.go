// Package plain is a stand-in for a backend server of a plain service. The backend
// servers of plain services are not LLM engines: a job service, for example, or a
// storefront.
//
// A Server records each execution of a request, so that checkers can find
// non-idempotent requests that ran twice.
//
// # Usage
//
//	s := &plain.Server{Name: "bay-jobs-1", ServiceTime: 5 * time.Millisecond}
//	response, err := s.Send(ctx, call)
//	runs := s.Executions()
package plain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// Faults are the injected faults of a server.
type Faults struct {
	// Down rejects connections.
	Down bool
	// LoseAnswers is the number of next requests that run but whose responses
	// are lost.
	LoseAnswers int
	// Refuse rejects every request with status 503 and NotRun set.
	Refuse bool
	// Cross puts the ID of another request into the next response.
	Cross bool
	// Delay is added to each request before it runs.
	Delay time.Duration
}

// Run is one execution of a request.
type Run struct {
	At     time.Time
	Method string
	Path   string
	// ID is the request ID that the system set.
	ID, Body string
}

// Server is a stand-in for a plain backend server. The zero value responds at
// once. Its methods are safe for concurrent use.
type Server struct {
	Name string
	// ServiceTime is the duration of each request.
	ServiceTime time.Duration

	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns a copy of all executions so far, in order.
func (s *Server) Executions() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// errDown is the error of a connection to a server that is down.
var errDown = &call.Error{Stage: call.StageDialing, Err: fmt.Errorf("server is down: %w", syscall.ECONNREFUSED)}

// Connect returns the error that a connection to the server fails with if it is down, a
// *call.Error.
func (s *Server) Connect() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return errDown
	}
	return nil
}

// Send runs a request and returns its response. If ctx ends first, the request
// runs nevertheless, since the server has read it, and its response is lost. The
// errors are of type *call.Error.
func (s *Server) Send(ctx context.Context, request engine.Call) (*engine.Response, error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		return nil, errDown
	}
	if f.Refuse {
		return newResponse(503, `{"error":"refused"}`, true), nil
	}
	timer := time.NewTimer(s.ServiceTime + f.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		// The server has read the request and runs it nevertheless.
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{At: time.Now(), Method: request.Method, Path: request.Path, ID: request.ID, Body: string(request.Body)})
	number := len(s.runs)
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	id := request.ID
	if s.faults.Cross {
		s.faults.Cross, id = false, "another-request"
	}
	s.mu.Unlock()
	if lost || ctx.Err() != nil {
		return nil, &call.Error{Stage: call.StageReading, Err: errors.New("response lost")}
	}
	response := newResponse(200, fmt.Sprintf(`{"id":%q,"server":%q,"number":%d}`, request.ID, s.Name, number), false)
	response.Fields = append(response.Fields, engine.Field{Name: engine.IDHeader, Value: id})
	return response, nil
}

// newResponse returns a JSON response.
func newResponse(status int, text string, notRun bool) *engine.Response {
	return &engine.Response{
		Status: status, NotRun: notRun,
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   io.NopCloser(strings.NewReader(text)),
	}
}

// Control paths of a running stand-in, beside the paths of the service.
const (
	// FaultPath replaces the faults by the Faults in the JSON body.
	FaultPath = "/stand/faults"
	// SeenPath returns the runs in JSON.
	SeenPath = "/stand/seen"
)

// Handler serves the server's requests and its control paths over HTTP.
func (s *Server) Handler(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case FaultPath:
		var faults Faults
		if json.Unmarshal(c.PostBody(), &faults) == nil {
			s.SetFaults(faults)
		}
	case SeenPath:
		text, _ := json.Marshal(s.Executions())
		c.SetBody(text)
	default:
		s.serve(c)
	}
}

// serve handles a request to the service. If the response is lost, it closes the
// connection.
func (s *Server) serve(c *fasthttp.RequestCtx) {
	request := engine.Call{
		ID: string(c.Request.Header.Peek(engine.IDHeader)), Method: string(c.Method()),
		Path: string(c.RequestURI()), Body: append([]byte(nil), c.PostBody()...),
	}
	response, err := s.Send(context.Background(), request)
	if err != nil {
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { conn.Close() })
		return
	}
	body, _ := io.ReadAll(response.Body)
	c.SetStatusCode(response.Status)
	c.Response.Header.Set(engine.IDHeader, request.ID)
	for _, f := range response.Fields {
		c.Response.Header.Set(f.Name, f.Value)
	}
	c.Response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	if response.NotRun {
		c.Response.Header.Set(engine.OutcomeHeader, engine.NotRunOutcome)
	}
	c.SetBody(body)
}
