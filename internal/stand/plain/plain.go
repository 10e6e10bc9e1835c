// Package plain is a stand-in for a plain service: a job service that books
// claims and orders, or a storefront that records rentals.
//
// A Server keeps a count of how often each request ran, which the checkers
// read: a non-idempotent request must never run twice.
//
// # Usage
//
//	s := &plain.Server{Name: "bay-jobs-1", Took: 5 * time.Millisecond}
//	answer, err := s.Send(ctx, call)
//	runs := s.Seen()
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
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// Faults are the ways in which a server misbehaves.
type Faults struct {
	// Down refuses connections.
	Down bool
	// LoseAnswers is how many of the next calls run and go unanswered.
	LoseAnswers int
	// Refuse answers every call with a definite refusal.
	Refuse bool
	// Cross puts another request's identity into the next answer.
	Cross bool
	// Delay is added to each call, before it runs.
	Delay time.Duration
}

// Run is one execution of a request.
type Run struct {
	At     time.Time
	Method string
	Path   string
	// ID is the request identity that the system gave; Body is what was sent.
	ID, Body string
}

// Server is the stand-in. The zero value answers at once.
type Server struct {
	Name string
	Took time.Duration

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

// Seen returns every execution so far.
func (s *Server) Seen() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Send runs a call.
func (s *Server) Send(ctx context.Context, sent engine.Call) (*engine.Response, error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		return nil, &call.Error{Stage: call.StageDialing, Err: errors.New("server is down")}
	}
	if f.Refuse {
		return answer(503, `{"error":"refused"}`, true), nil
	}
	timer := time.NewTimer(s.Took + f.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		// The call was read, so that it runs although nobody waits.
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{At: time.Now(), Method: sent.Method, Path: sent.Path, ID: sent.ID, Body: string(sent.Body)})
	number := len(s.runs)
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	identity := sent.ID
	if s.faults.Cross {
		s.faults.Cross, identity = false, "another-request"
	}
	s.mu.Unlock()
	if lost || ctx.Err() != nil {
		return nil, &call.Error{Stage: call.StageReading, Err: errors.New("answer lost")}
	}
	result := answer(200, fmt.Sprintf(`{"id":%q,"server":%q,"number":%d}`, sent.ID, s.Name, number), false)
	result.Fields = append(result.Fields, engine.Field{Name: engine.IDHeader, Value: identity})
	return result, nil
}

func answer(status int, text string, notRun bool) *engine.Response {
	return &engine.Response{
		Status: status, NotRun: notRun,
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   io.NopCloser(strings.NewReader(text)),
	}
}

// Paths that switch a running stand-in.
const (
	FaultPath = "/stand/faults"
	SeenPath  = "/stand/seen"
)

// Handler is the HTTP form of the server.
func (s *Server) Handler(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case FaultPath:
		var faults Faults
		if json.Unmarshal(c.PostBody(), &faults) == nil {
			s.SetFaults(faults)
		}
	case SeenPath:
		text, _ := json.Marshal(s.Seen())
		c.SetBody(text)
	default:
		s.serve(c)
	}
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	sent := engine.Call{
		ID: string(c.Request.Header.Peek(engine.IDHeader)), Method: string(c.Method()),
		Path: string(c.RequestURI()), Body: append([]byte(nil), c.PostBody()...),
	}
	result, err := s.Send(context.Background(), sent)
	if err != nil {
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { conn.Close() })
		return
	}
	body, _ := io.ReadAll(result.Body)
	c.SetStatusCode(result.Status)
	for _, f := range result.Fields {
		c.Response.Header.Set(f.Name, f.Value)
	}
	c.Response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	if result.NotRun {
		c.Response.Header.Set(engine.OutcomeHeader, engine.NotRunOutcome)
	}
	c.SetBody(body)
}
