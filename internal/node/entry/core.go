// Package entry serves clients' requests and guarantees each client either the
// complete response to its own request, or an error with the correct outcome:
// whether the request was run, was not run, or may have been run.
//
// Core is independent of the client protocol: it serves a Request with a Reply.
// Server exposes it over HTTP. Package tree runs a Core; the processes of package
// core serve requests with package broker instead.
//
// # Usage
//
//	core := &entry.Core{Process: "entry-1", Config: active, Estimates: estimates, Sender: client, ...}
//	reply := core.Serve(ctx, entry.Request{Method: "POST", Path: "/v1/chat/completions", Body: body})
//	defer reply.Close()
//
// A model request is admitted, placed on engines and its response relayed. When
// an engine fails, another one resumes the response, since model requests are
// idempotent. A call to a plain service, which is one without engines, is retried
// freely only if the deployment declares it idempotent. Otherwise it is sent again
// only if it certainly has not run, and its idempotency key, if any, is claimed in
// the platform's store first.
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

	"ebonyscale.example/ebonyscale/internal/base/budget"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
	"ebonyscale.example/ebonyscale/internal/route/admit"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Request is a client's request.
type Request struct {
	Method string
	// Path is the path with its query.
	Path   string
	Fields []engine.Field
	Body   []byte
	// Account is the client account, and Key the idempotency key, if any.
	Account, Key string
	// content identifies what a backend server works on.
	content uint64
	// Priority is 0 for ordinary requests; higher is more important.
	Priority int
	// Deadline is when the response must be complete; zero means the
	// deployment's default.
	Deadline time.Time
}

// Reply is the response to a request. The receiver must close it.
type Reply struct {
	// ID is the request ID that Core assigned.
	ID      string
	Status  int
	Fields  []engine.Field
	Body    io.ReadCloser
	Outcome retry.Outcome
	// Reason is set for rejections and errors.
	Reason string
	// RetryAfter is when the client may retry; 0 if it is not specified.
	RetryAfter time.Duration
	// Streamed is set if the body is read while the engine produces it.
	Streamed bool
}

// Sender sends calls to backend servers. It must be safe for concurrent use.
type Sender interface {
	// Send sends one call and returns the response, whose body the caller has to
	// close.
	Send(ctx context.Context, server spec.BackendServer, call engine.Call) (*engine.Response, error)
	// Connect opens a connection to a backend server. The error wraps
	// syscall.ECONNREFUSED if no process listens there.
	Connect(ctx context.Context, server spec.BackendServer) error
}

// Core serves requests. The exported fields are set before the first call. Every
// method is safe for concurrent use.
type Core struct {
	Process   string
	Config    *apply.Active
	Estimates *stats.Estimates
	Sender    Sender
	Store     store.Writer
	Trace     *trace.Timeline
	Meters    *meter.Set
	Log       *zap.Logger
	// Demand records the requested work, for the planner.
	Demand *demand.Tally
	Policy place.Policy
	// MaxRequests bounds the concurrent requests; 0 means no bound.
	MaxRequests int
	// MaxDeadline bounds the time to a request's deadline; 0 means no bound.
	MaxDeadline time.Duration
	// StallTimeout is how long an engine may take for each part of a response.
	StallTimeout time.Duration
	// Responses bounds the bytes of the responses that are read whole, of all requests
	// together.
	Responses budget.Budget
	// Defer enqueues an update of a claim that is retried until the platform
	// responds. It returns false if the queue is full; nil drops the updates.
	Defer func(work func(ctx context.Context) error) bool
	// Push makes the other processes read the claims soon; nil tells nobody.
	Push func()
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64

	// mu guards ledger, budget, random and lastSweep.
	mu        sync.Mutex
	ledger    admit.Ledger
	budget    retry.Budget
	random    *rand.Rand
	lastSweep time.Time

	requestCount atomic.Uint64
	active       atomic.Int64
	quarantine   quarantine
	closing      atomic.Bool
	buffers      sync.Pool
}

// ledgerSweepInterval is the time between two removals of unused accounts from the
// ledger.
const ledgerSweepInterval = time.Minute

// Active returns how many requests are being served.
func (c *Core) Active() int { return int(c.active.Load()) }

// Close makes the core reject new requests; those being served continue.
func (c *Core) Close() { c.closing.Store(true) }

// Serve serves one request and returns the reply, which the caller must close;
// failures are replies too. If the reply is streamed, the request remains active
// until the reply's body has been read to the end or closed.
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

// route rejects requests that the process cannot accept, and serves the others by
// their path.
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
	r.content = r.contentHash()
	if left := c.quarantined(r.content); left > 0 {
		return rejectQuarantined(retry.NotRun, left)
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

// recordRejection counts and logs a reply with a reason.
func (c *Core) recordRejection(id string, r Request, reply *Reply) {
	c.Meters.Add("Refused."+reply.Reason, 1)
	c.Meters.Add("Outcome."+reply.Outcome.String(), 1)
	c.Trace.Add(trace.Event{Kind: trace.Refused, Request: id, Detail: reply.Outcome.String() + " " + reply.Reason})
	c.Log.Debug("refused", zap.String("Request", id), zap.String("Path", r.Path), zap.String("Reason", reply.Reason), zap.Stringer("Outcome", reply.Outcome))
}

// randomUint64 returns a random number from the seeded generator.
func (c *Core) randomUint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.Seed, 2))
	}
	return c.random.Uint64()
}

// decideRetry applies the retry rules with the process's retry budget.
func (c *Core) decideRetry(f retry.Failure) retry.Decision {
	random := c.randomUint64()
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.Decide(f, &c.budget, random)
}

// depositRetry credits a first attempt to the retry budget.
func (c *Core) depositRetry(d *spec.Deployment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Share = d.RetryShare
	c.budget.Deposit()
}

// shareUsed returns the account's recent use over its share; 1 is a use of exactly
// its share.
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

// charge adds the tokens of an admitted request to the account's use.
func (c *Core) charge(account string, share float64, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Charge(account, share, tokens, time.Now())
}

// errorBody is the body of rejections and errors. The lower-case names are those
// that clients of the model APIs expect.
type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"Outcome"`
}

// errorJSON returns the encoded body of an error response.
func errorJSON(outcome retry.Outcome, reason, message string) []byte {
	body, _ := json.Marshal(map[string]errorBody{"error": {
		Message: message, Type: "ebonyscale_error", Code: reason, Outcome: outcome.String(),
	}})
	return body
}

// rejection returns a reply that rejects a request or reports its failure.
func rejection(status int, outcome retry.Outcome, reason, message string, retryAfter time.Duration) *Reply {
	reply := jsonReply(status, errorJSON(outcome, reason, message))
	reply.Outcome, reply.Reason, reply.RetryAfter = outcome, reason, retryAfter
	return reply
}

// jsonReply returns a reply with a JSON body and the outcome Run.
func jsonReply(status int, body []byte) *Reply {
	return &Reply{
		Status: status, Outcome: retry.Run, Body: io.NopCloser(strings.NewReader(string(body))),
		Fields: []engine.Field{{Name: "Content-Type", Value: "application/json"}},
	}
}

// modelList is the body of the response to GET /v1/models.
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
