package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/route/quota"
)

// sent is an attempt as the fake fleet has received it.
type sent struct {
	server  string
	call    Call
	prefill bool
	ran     bool
	// lost is set if the request did not reach the backend server.
	lost bool
	at   time.Time
}

// behavior is how a backend server responds to one request. It sets sent.ran if
// the request runs.
type behavior func(ctx context.Context, s *sent) (*Response, error)

// fleet is the fake backend servers of a test. It implements Servers.
type fleet struct {
	mu       sync.Mutex
	sent     []*sent
	released []KVSource
	// scripted has the behavior of each backend server for its next requests.
	scripted map[string][]behavior
	// fallback is used when a backend server has no scripted behavior left.
	fallback behavior
	// down has the backend servers that refuse Connect, cutOff those to which it times
	// out; connects counts its calls.
	down, cutOff map[string]bool
	connects     int
}

func (f *fleet) next(server string) behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.scripted[server]
	if len(list) == 0 {
		return f.fallback
	}
	f.scripted[server] = list[1:]
	return list[0]
}

func (f *fleet) record(s *sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.at = time.Now()
	f.sent = append(f.sent, s)
}

func (f *fleet) Send(ctx context.Context, server roster.Server, c Call) (*Response, error) {
	s := &sent{server: server.ID, call: c}
	f.record(s)
	return f.next(server.ID)(ctx, s)
}

func (f *fleet) Prefill(ctx context.Context, server roster.Server, c Call) (KVSource, *Response, error) {
	s := &sent{server: server.ID, call: c, prefill: true}
	f.record(s)
	response, err := f.next(server.ID)(ctx, s)
	if err != nil || response.Status != 200 {
		return KVSource{}, response, err
	}
	return KVSource{Address: server.Address, Handle: "h-" + c.Request.ID}, nil, nil
}

func (f *fleet) Release(_ context.Context, source KVSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, source)
	return nil
}

// Connect fails for backend servers that are down.
func (f *fleet) Connect(_ context.Context, server roster.Server, _ int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connects++
	if f.down[server.ID] {
		return &call.Error{Stage: call.StageDialing, Err: syscall.ECONNREFUSED}
	}
	if f.cutOff[server.ID] {
		return &call.Error{Stage: call.StageDialing, Err: syscall.ETIMEDOUT}
	}
	return nil
}

// connectCalls returns the number of calls of Connect.
func (f *fleet) connectCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connects
}

// runs counts the attempts whose request ran, prefills not included.
func (f *fleet) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.sent {
		if s.ran && !s.prefill {
			count++
		}
	}
	return count
}

// arrived counts the attempts that reached a backend server.
func (f *fleet) arrived() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.sent {
		if !s.lost {
			count++
		}
	}
	return count
}

// servers lists the backend servers of all attempts in order.
func (f *fleet) servers() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, s := range f.sent {
		names = append(names, s.server)
	}
	return strings.Join(names, " ")
}

func newResponse(status int, body string) *Response {
	return &Response{Status: status, Verified: true, Body: io.NopCloser(strings.NewReader(body)), Fields: []call.Field{{Name: "X-Seal", Value: "s"}}}
}

func succeeds(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	return newResponse(200, "ok "+s.call.Request.ID), nil
}

func fails(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	return newResponse(500, "oops"), nil
}

func rejects(context.Context, *sent) (*Response, error) {
	response := newResponse(503, "")
	response.NotRun, response.Verified = true, false
	return response, nil
}

func replaced(context.Context, *sent) (*Response, error) {
	response := newResponse(421, "")
	response.Replaced, response.Verified = true, false
	return response, nil
}

func unverified(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	response := newResponse(200, "what is this")
	response.Verified = false
	return response, nil
}

var errReset = errors.New("reset")

func unreachable(_ context.Context, s *sent) (*Response, error) {
	s.lost = true
	return nil, &call.Error{Stage: call.StageDialing, Err: errReset}
}

func losesResponse(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	return nil, &call.Error{Stage: call.StageReading, Err: errReset}
}

func hangs(ctx context.Context, s *sent) (*Response, error) {
	s.ran = true
	<-ctx.Done()
	return nil, &call.Error{Stage: call.StageReading, Err: ctx.Err()}
}

func truncates(_ context.Context, s *sent) (*Response, error) {
	s.ran = true
	response := newResponse(200, "")
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), brokenBody{}))
	return response, nil
}

// brokenBody is a body that fails on the first read.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errReset }

// events responds with the events from..to, and then ends the stream or, if not
// whole, breaks it.
func events(from, to int, whole bool) behavior {
	return func(_ context.Context, s *sent) (*Response, error) {
		s.ran = true
		response := newResponse(200, "")
		var text strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
		}
		var body io.Reader = strings.NewReader(text.String())
		if !whole {
			body = io.MultiReader(body, strings.NewReader("id: 9"), brokenBody{})
		}
		response.Body = io.NopCloser(body)
		return response, nil
	}
}

// pacedBody is a body that yields one event per gap.
type pacedBody struct {
	ctx        context.Context
	next, last int
	gap        time.Duration
}

func (p *pacedBody) Read(text []byte) (int, error) {
	if p.next > p.last {
		return 0, io.EOF
	}
	if !timer.Wait(p.ctx, p.gap) {
		return 0, p.ctx.Err()
	}
	n := copy(text, fmt.Sprintf("id: %d\ndata: x\n\n", p.next))
	p.next++
	return n, nil
}

// paced responds with count events, each after the gap.
func paced(count int, gap time.Duration) behavior {
	return func(ctx context.Context, s *sent) (*Response, error) {
		s.ran = true
		response := newResponse(200, "")
		response.Body = io.NopCloser(&pacedBody{ctx, 1, count, gap})
		return response, nil
	}
}

// delays returns a behavior that applies then after the time d.
func delays(d time.Duration, then behavior) behavior {
	return func(ctx context.Context, s *sent) (*Response, error) {
		select {
		case <-time.After(d):
			return then(ctx, s)
		case <-ctx.Done():
			s.ran = true
			return nil, &call.Error{Stage: call.StageReading, Err: ctx.Err()}
		}
	}
}

// client is the Output of a test. It panics on calls in a wrong order.
type client struct {
	mu      sync.Mutex
	replies []Reply
	status  int
	events  strings.Builder
	ended   bool
	endedAt time.Time
	fail    error
}

func (c *client) Respond(r Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != 0 {
		panic("response within a stream")
	}
	c.replies = append(c.replies, r)
	c.endedAt = time.Now()
	return c.fail
}

func (c *client) Begin(status int, _ []call.Field) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != 0 || len(c.replies) > 0 {
		panic("header sent twice or after a response")
	}
	c.status = status
	return c.fail
}

func (c *client) Event(text []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == 0 || len(c.replies) > 0 {
		panic("event outside a stream")
	}
	c.events.Write(text)
	return c.fail
}

func (c *client) End() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.endedAt = time.Now()
	return c.fail
}

// noPeers implements Peers for a process without load on its peers.
type noPeers struct{ processes int }

func (p noPeers) Members() int                  { return max(p.processes, 1) }
func (p noPeers) Live() int                     { return max(p.processes, 1) }
func (noPeers) Silent(string, string) int       { return 0 }
func (noPeers) Server(uint64) peers.Load        { return peers.Load{} }
func (noPeers) Queue(uint64) peers.Load         { return peers.Load{} }
func (p noPeers) Rank(uint64) (int, int)        { return 0, p.Members() }
func (noPeers) Coordinator(uint64, bool) string { return "" }

const routes = `{"Version":3,"Routes":[
 {"Name":"read","Host":"h","Prefix":"/read/","Kind":"Idempotent","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":2},
 {"Name":"write","Host":"h","Prefix":"/write/","Kind":"AtMostOnce","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":2},
 {"Name":"once","Host":"h","Prefix":"/once/","Kind":"AtMostOnce","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":1},
 {"Name":"chat","Host":"h","Prefix":"/chat/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"model","Attempts":2,"Prompted":true,"GapMs":150},
 {"Name":"talk","Host":"h","Prefix":"/talk/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"model","Attempts":2,"Prompted":true,"Resumable":true,"GapMs":150}],
 "Services":[{"Name":"plain","MaxConnections":96},{"Name":"model","MaxConnections":100,"Engine":{"Slots":8}}]}`

// fixture is a broker with fake backend servers and a roster.
type fixture struct {
	*Broker
	fleet  *fleet
	roster *roster.Roster
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	tab, err := table.Parse([]byte(routes))
	require.NoError(t, err)
	servers := &fleet{scripted: map[string][]behavior{}, fallback: succeeds}
	f := &fixture{fleet: servers, roster: &roster.Roster{}}
	f.Broker = &Broker{
		Zone: "calicut", Table: func() *table.Table { return tab }, Roster: f.roster, Usage: &usage.Table{}, Servers: servers, Peers: noPeers{},
		RetryLimit: quota.Limit{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, Meters: &meter.Set{}, Log: zap.NewNop(),
	}
	f.Origins = originList{byDefault: {Service: "model"}}
	f.addServer("a", "plain", "")
	f.addServer("b", "plain", "")
	return f
}

// addressOf returns the address of the fake backend server with the ID.
func addressOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(xxhash.Sum64String(id)|1))
}

func (f *fixture) addServer(id, service string, role roster.Role) {
	f.roster.Update(time.Now(), 1, []roster.Event{{Server: roster.Server{
		ID: id, Born: 1, Service: service, Zone: "calicut", Slots: 8, State: roster.Ready, Role: role,
		Address: addressOf(id),
	}}}, roster.Grace{})
}

// tick is the interval of Broker.Tick.
const tick = 20 * time.Millisecond

// tick calls Broker.Tick until ctx ends.
func (f *fixture) tick(ctx context.Context) {
	for timer.Wait(ctx, tick) {
		f.Tick(time.Now())
	}
}

func (f *fixture) leave(id string) { f.roster.MarkLeaving(id, 1, 0, 0) }

// newRequest returns a request that arrives now.
func newRequest(path string) *Request {
	return &Request{ID: "r1", Host: "h", Method: "POST", Path: path, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second)}
}

// newPromptRequest returns a request with a prompt.
func newPromptRequest(path string, tokens, output int) *Request {
	r := newRequest(path)
	r.PromptTokens, r.MaxOutputTokens = tokens, output
	r.Parts = []Part{{"shared", tokens / 2}, {"own", tokens - tokens/2}}
	return r
}

func (f *fixture) serve(ctx context.Context, r *Request) *client {
	c := &client{}
	f.Broker.Serve(ctx, r, c)
	return c
}
