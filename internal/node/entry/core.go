// Package entry takes callers' requests, and owns the promises made to each
// caller: a whole answer to its own request, or a refusal that tells truly
// whether the request was run.
//
// Core is the entry without its protocol: it takes a Request and returns a
// Reply. Server is the HTTP form of it.
//
// # Usage
//
//	core := &entry.Core{Process: "entry-1", Config: holder, Board: table, Sender: client, ...}
//	reply := core.Serve(ctx, entry.Request{Method: "POST", Path: "/v1/chat/completions", Body: body})
//	defer reply.Close()
//
// A request for a model is admitted, placed and relayed; its answer may be
// fetched again from another engine when one fails, since a model's work is
// idempotent. A call of a plain service is sent once unless the deployment
// declares it idempotent; with an idempotency key it is claimed first.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
	"ebonyscale.example/ebonyscale/internal/route/admit"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Request is a caller's request.
type Request struct {
	Method string
	// Path is the path with its query.
	Path   string
	Fields []engine.Field
	Body   []byte
	// Account is the client account, and Key the idempotency key, if any.
	Account, Key string
	Priority     int
	// Deadline is when the answer has to be whole; zero for the deployment's.
	Deadline time.Time
}

// Reply is the answer to a request. Body has to be closed.
type Reply struct {
	// ID is the identity that the request was given.
	ID      string
	Status  int
	Fields  []engine.Field
	Body    io.ReadCloser
	Outcome retry.Outcome
	// Reason is set for refusals and errors.
	Reason     string
	RetryAfter time.Duration
	// Streamed is set if the body comes as it is produced.
	Streamed bool
}

// Sender sends calls to backend servers.
type Sender interface {
	Send(ctx context.Context, server spec.BackendServer, call engine.Call) (*engine.Answer, error)
}

// Core serves requests. The exported fields are set before the first call.
type Core struct {
	Process string
	Config  *apply.Holder
	Board   *board.Board
	Sender  Sender
	Store   store.Writer
	Trace   *trace.Line
	Meters  *meter.Set
	Log     *zap.Logger
	// Demand takes note of what was asked for, for the planner.
	Demand *demand.Tally
	Policy place.Policy
	// MaxRequests bounds the requests at once; 0 means no bound.
	MaxRequests int
	MaxDeadline time.Duration
	// StallTimeout is how long a backend server may be silent.
	StallTimeout time.Duration
	// Later takes work on claims that has to be repeated until the platform
	// answers. It returns false if it has no room.
	Later func(work func(ctx context.Context) error) bool
	// Seed makes the choices by chance of a run repeatable.
	Seed uint64

	mu        sync.Mutex
	ledger    admit.Ledger
	budget    retry.Budget
	random    *rand.Rand
	lastSweep time.Time

	requestCount atomic.Uint64
	active       atomic.Int64
	closing      atomic.Bool
	buffers      sync.Pool
}

// ledgerSweepInterval is the time between two sweeps of the ledger.
const ledgerSweepInterval = time.Minute

// Active returns how many requests are being served.
func (c *Core) Active() int { return int(c.active.Load()) }

// Close makes the core refuse new requests; those under way go on.
func (c *Core) Close() { c.closing.Store(true) }

// Serve serves one request.
func (c *Core) Serve(ctx context.Context, r Request) *Reply {
	id := c.Process + "-" + strconv.FormatUint(c.requestCount.Add(1), 36)
	active := c.active.Add(1)
	reply := c.route(ctx, id, r, active)
	reply.ID = id
	if reply.Reason != "" {
		c.recordRejection(id, r, reply)
	}
	if !reply.Streamed {
		c.active.Add(-1)
	}
	return reply
}

func (c *Core) route(ctx context.Context, id string, r Request, active int64) *Reply {
	config := c.Config.Current()
	switch {
	case config == nil:
		return rejection(503, retry.NotRun, "NotReady", "no configuration is in force yet", time.Second)
	case c.closing.Load():
		return rejection(503, retry.NotRun, "Stopping", "this process is stopping", time.Second)
	case c.MaxRequests > 0 && active > int64(c.MaxRequests):
		return rejection(429, retry.NotRun, admit.NodeFull.String(), "this process has as many requests as it may", time.Second)
	}
	d := config.Deployment
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(d.Deadline)
	}
	if c.MaxDeadline > 0 {
		r.Deadline = earlier(r.Deadline, time.Now().Add(c.MaxDeadline))
	}
	path, _, _ := strings.Cut(r.Path, "?")
	switch {
	case path == "/v1/models" && r.Method == "GET":
		return listModels(d)
	case path == "/v1/chat/completions" || path == "/v1/completions":
		if r.Method != "POST" {
			return rejection(405, retry.NotRun, "MethodNotAllowed", "use POST", 0)
		}
		return c.serveModel(ctx, id, d, r)
	}
	service, ok := d.ServiceFor(path)
	if !ok {
		return rejection(404, retry.NotRun, "NoSuchPath", "no model or service has this path", 0)
	}
	return c.servePlain(ctx, id, d, service, path, r)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Core) recordRejection(id string, r Request, reply *Reply) {
	c.Meters.Add("Refused."+reply.Reason, 1)
	c.Meters.Add("Outcome."+reply.Outcome.String(), 1)
	c.Trace.Add(trace.Event{Kind: trace.Refused, Request: id, Detail: reply.Outcome.String() + " " + reply.Reason})
	c.Log.Debug("refused", zap.String("Request", id), zap.String("Path", r.Path), zap.String("Reason", reply.Reason), zap.Stringer("Outcome", reply.Outcome))
}

// randomUint64 returns a random number.
func (c *Core) randomUint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.Seed, 2))
	}
	return c.random.Uint64()
}

// decideRetry applies the retry rules with the process's budget.
func (c *Core) decideRetry(f retry.Failure) retry.Decision {
	random := c.randomUint64()
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.Decide(f, &c.budget, random)
}

// depositRetry counts a first try for the retry budget.
func (c *Core) depositRetry(d *spec.Deployment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Share = d.RetryShare
	c.budget.Earn()
}

// shareUsed returns how much of its share an account has used.
func (c *Core) shareUsed(account string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastSweep) > ledgerSweepInterval {
		c.ledger.Sweep(now)
		c.lastSweep = now
	}
	return c.ledger.Ratio(account, now)
}

// charge books the tokens of an admitted request.
func (c *Core) charge(account string, share float64, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Charge(account, share, tokens, time.Now())
}

// errorBody is the body of refusals and errors. The lower-case names are those
// that clients of the model protocols expect.
type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"Outcome"`
}

func errorJSON(outcome retry.Outcome, reason, message string) []byte {
	text, _ := json.Marshal(map[string]errorBody{"error": {
		Message: message, Type: "ebonyscale_error", Code: reason, Outcome: outcome.String(),
	}})
	return text
}

func rejection(status int, outcome retry.Outcome, reason, message string, after time.Duration) *Reply {
	reply := jsonReply(status, errorJSON(outcome, reason, message))
	reply.Outcome, reply.Reason, reply.RetryAfter = outcome, reason, after
	return reply
}

func jsonReply(status int, body []byte) *Reply {
	return &Reply{
		Status: status, Outcome: retry.Run, Body: io.NopCloser(strings.NewReader(string(body))),
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func listModels(d *spec.Deployment) *Reply {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range d.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: d.Name})
	}
	body, _ := json.Marshal(list)
	return jsonReply(200, body)
}

// Close closes the reply's body.
func (r *Reply) Close() error {
	if r.Body == nil {
		return nil
	}
	return r.Body.Close()
}
