// Package broker takes a caller's request to a backend server and its answer
// back, and owns the promises made to the caller: the whole answer to its own
// request, or an end that tells truly whether the request has run.
//
// # Usage
//
//	b := &broker.Broker{Zone: "calicut", Table: config.Current, Roster: roster, Servers: client, ...}
//	b.Serve(ctx, &request, output)
//
// A request is owned by one job from its arrival to its end. The job finds the
// route, waits for a place at a backend server of the route's service, sends
// the request, and either relays the answer or decides what a failure means.
// What is known of a request that failed is an Outcome; only NotRun and
// requests that may be repeated are sent again, within the route's attempts and
// the quota that all processes share.
//
// A request with a prompt takes two stages where the fleet has engines for
// each: a prefill engine reads the prompt, and a decode engine fetches what was
// read and makes the events.
package broker

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/route/quota"
)

// Part is one part of a prompt. Requests share parts by their ID.
type Part struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	ID, Host, Method string
	// Path is the path with its query.
	Path   string
	Fields []call.Field
	Body   []byte
	// Arrived is when the request had been read, Deadline when the caller
	// stops waiting; zero if it does not say.
	Arrived, Deadline time.Time
	// Parts is the prompt in order; Prompt and Output are its tokens and the
	// most tokens to make.
	Parts          []Part
	Prompt, Output int
	// After is the identity of the last event that the caller has, if it
	// resumes a stream.
	After string
}

// Reply is a whole answer.
type Reply struct {
	Status int
	Fields []call.Field
	Body   []byte
	// RetryAfter is when the caller may come back; 0 if it is not told.
	RetryAfter time.Duration
}

// Output is where the answer goes. An output that is neither answered nor
// ended breaks off, which the caller sees.
type Output interface {
	Answer(reply Reply) error
	Begin(status int, fields []call.Field) error
	Event(text []byte) error
	End() error
}

// Source is where a decode engine finds what a prefill engine has read.
type Source struct {
	Address netip.AddrPort
	Handle  string
}

// Call is one sending of a request.
type Call struct {
	Request *Request
	// Deadline is when the backend server must stop work.
	Deadline time.Time
	// After resumes a stream behind the event.
	After string
	// Source is set if the prompt has been read elsewhere.
	Source Source
	// Fetch is another engine that may keep more of the prompt.
	Fetch netip.AddrPort
	// Fresh asks for a new connection.
	Fresh bool
	// MaxOpen bounds the connections to the backend server.
	MaxOpen int
}

// Answer is a backend server's answer whose body is being read.
type Answer struct {
	Status int
	Fields []call.Field
	// NotRun is set if the backend server vouches that it did not run the
	// request, Replaced if it is not the one that was meant.
	NotRun, Replaced bool
	// Sealed is set if the answer bears the backend server's signature.
	Sealed bool
	Body   interface {
		Read(p []byte) (int, error)
		Close() error
	}
}

// Servers are the backend servers. Errors have a call.Stage.
type Servers interface {
	// Send sends the request.
	Send(ctx context.Context, server roster.Server, c Call) (*Answer, error)
	// Prefill has an engine read the prompt. The answer is nil if it did.
	Prefill(ctx context.Context, server roster.Server, c Call) (Source, *Answer, error)
	// Release frees what Prefill has read and nobody will use.
	Release(ctx context.Context, source Source) error
	// Reach makes a connection, for a later request to use.
	Reach(ctx context.Context, server roster.Server, maxOpen int) error
}

// Others are the other processes of the system.
type Others interface {
	// Alive is how many processes may be alive, Heard how many were heard of
	// lately, this one included in both.
	Alive() int
	Heard() int
	// Unheard is how many others that have fallen silent may still use backend
	// servers of the zone.
	Unheard(zone, own string) int
	// Server is what the others have at a backend server, Line what they have
	// waiting for one kind of them.
	Server(key uint64) peers.Load
	Line(key uint64) peers.Load
	// Coordinator is the process that decides for all about what the key names;
	// stopping says that this one does not.
	Coordinator(key uint64, stopping bool) string
}

// Broker serves requests. The exported fields are set before Serve.
type Broker struct {
	Zone    string
	Table   func() *table.Table
	Roster  *roster.Roster
	Usage   *usage.Table
	Servers Servers
	// Others are the other processes of the system.
	Others Others
	// Name is this process's name among the others, Coordination carries
	// messages between them; if it is nil, this process decides alone.
	Name         string
	Coordination Coordination
	Rule         quota.Rule
	Meters       *meter.Set
	Log          *zap.Logger
	// Seed makes the choices at random repeat.
	Seed uint64

	closing atomic.Pointer[closing]

	mu     sync.Mutex
	quotas map[string]*quota.Quota
	lines  map[lineKey]*line
	rates  map[lineKey]float64
	holds  map[string]float64
	drawn  uint64
	coordinator
	remote
}

// closing is a planned stop.
type closing struct{ open, end time.Time }

// Close begins a planned stop that cuts what is under way at end. From open on
// only requests are taken whose time is up before that.
func (b *Broker) Close(open, end time.Time) { b.closing.Store(&closing{open, end}) }

// takes reports whether a request whose time is up at limit is still taken.
func (b *Broker) takes(now, limit time.Time) bool {
	c := b.closing.Load()
	return c == nil || now.Before(c.open) || !limit.After(c.end)
}

// Serve answers one request. It returns once the answer has ended.
func (b *Broker) Serve(ctx context.Context, r *Request, out Output) {
	t := b.Table()
	j := &job{broker: b, request: r, out: out, table: t}
	if t == nil {
		j.refuse(noConfiguration)
		return
	}
	path, _, _ := strings.Cut(r.Path, "?")
	route, found := t.Match(r.Host, path)
	if !found {
		j.end(Reply{Status: 404}, noRoute, nil)
		return
	}
	j.route = route
	j.service = t.Services[route.Service(b.draw())]
	j.limit = r.Arrived.Add(route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(j.limit) {
		j.limit = r.Deadline
	}
	if !b.takes(time.Now(), j.limit) {
		j.refuse(stopping)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.limit, errTimeout)
	defer cancel()
	j.ctx = ctx
	b.count(j.service.Name)
	b.Meters.Add("Requests", 1)
	if route.Kind == table.Stream && route.Prompted && j.service.Engine != nil {
		j.prompted()
		return
	}
	j.plain()
}

func (b *Broker) quota(service string) *quota.Quota {
	q, ok := b.quotas[service]
	if !ok {
		if b.quotas == nil {
			b.quotas = map[string]*quota.Quota{}
		}
		q = &quota.Quota{Rule: b.Rule}
		b.quotas[service] = q
	}
	return q
}

// count counts a request for the service's quota.
func (b *Broker) count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota(service).Request(time.Now())
}

// take takes a repeat from the service's quota.
func (b *Broker) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota(service).Take(time.Now(), b.Others.Alive())
}

// draw returns the next number at random.
func (b *Broker) draw() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next()
}

// next is draw for those who hold the lock.
func (b *Broker) next() uint64 {
	b.drawn += 0x9e3779b97f4a7c15
	x := b.drawn ^ b.Seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
