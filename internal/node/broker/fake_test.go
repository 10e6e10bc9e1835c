package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

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

// sent is a request as a backend server got it.
type sent struct {
	server  string
	call    Call
	prefill bool
	ran     bool
	// lost is set if the request never reached the backend server.
	lost bool
	at   time.Time
}

// behavior is what a backend server does with one request. It returns the
// answer, whether the request ran, and an error.
type behavior func(ctx context.Context, s *sent) (*Answer, error)

// fleet are the backend servers of a test.
type fleet struct {
	mu       sync.Mutex
	sent     []*sent
	released []Source
	// does says what each does; others answer in order.
	does map[string][]behavior
	// default behavior if does has none.
	usual behavior
	// away are those that Reach does not reach, reached counts its calls.
	away    map[string]bool
	reached int
}

func (f *fleet) next(server string) behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.does[server]
	if len(list) == 0 {
		return f.usual
	}
	f.does[server] = list[1:]
	return list[0]
}

func (f *fleet) note(s *sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.at = time.Now()
	f.sent = append(f.sent, s)
}

func (f *fleet) Send(ctx context.Context, server roster.Server, c Call) (*Answer, error) {
	s := &sent{server: server.ID, call: c}
	f.note(s)
	return f.next(server.ID)(ctx, s)
}

func (f *fleet) Prefill(ctx context.Context, server roster.Server, c Call) (Source, *Answer, error) {
	s := &sent{server: server.ID, call: c, prefill: true}
	f.note(s)
	response, err := f.next(server.ID)(ctx, s)
	if err != nil || response.Status != 200 {
		return Source{}, response, err
	}
	return Source{Address: server.Address, Handle: "h-" + c.Request.ID}, nil, nil
}

func (f *fleet) Release(_ context.Context, source Source) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, source)
	return nil
}

// Reach fails for those that are away.
func (f *fleet) Reach(_ context.Context, server roster.Server, _ int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached++
	if f.away[server.ID] {
		return &call.Error{Stage: call.StageDialing, Err: errReset}
	}
	return nil
}

// reaches counts the calls of Reach.
func (f *fleet) reaches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// runs counts the runs of all requests.
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

// arrived counts the sendings that reached a backend server.
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

// to lists the backend servers that requests were sent to.
func (f *fleet) to() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, s := range f.sent {
		names = append(names, s.server)
	}
	return strings.Join(names, " ")
}

func answerOf(status int, body string) *Answer {
	return &Answer{Status: status, Sealed: true, Body: io.NopCloser(strings.NewReader(body)), Fields: []call.Field{{Name: "X-Seal", Value: "s"}}}
}

func good(_ context.Context, s *sent) (*Answer, error) {
	s.ran = true
	return answerOf(200, "ok "+s.call.Request.ID), nil
}

func fails(_ context.Context, s *sent) (*Answer, error) {
	s.ran = true
	return answerOf(500, "oops"), nil
}

func refuses(context.Context, *sent) (*Answer, error) {
	response := answerOf(503, "")
	response.NotRun, response.Sealed = true, false
	return response, nil
}

func replaced(context.Context, *sent) (*Answer, error) {
	response := answerOf(421, "")
	response.Replaced, response.Sealed = true, false
	return response, nil
}

func unsealed(_ context.Context, s *sent) (*Answer, error) {
	s.ran = true
	response := answerOf(200, "what is this")
	response.Sealed = false
	return response, nil
}

var errReset = errors.New("reset")

func unreachable(_ context.Context, s *sent) (*Answer, error) {
	s.lost = true
	return nil, &call.Error{Stage: call.StageDialing, Err: errReset}
}

func loses(_ context.Context, s *sent) (*Answer, error) {
	s.ran = true
	return nil, &call.Error{Stage: call.StageReading, Err: errReset}
}

func hangs(ctx context.Context, s *sent) (*Answer, error) {
	s.ran = true
	<-ctx.Done()
	return nil, &call.Error{Stage: call.StageReading, Err: ctx.Err()}
}

func cuts(_ context.Context, s *sent) (*Answer, error) {
	s.ran = true
	response := answerOf(200, "")
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), broken{}))
	return response, nil
}

// broken is a body that breaks off.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errReset }

// events answers with events from..to, and then ends or breaks off.
func events(from, to int, whole bool) behavior {
	return func(_ context.Context, s *sent) (*Answer, error) {
		s.ran = true
		response := answerOf(200, "")
		var text strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
		}
		var body io.Reader = strings.NewReader(text.String())
		if !whole {
			body = io.MultiReader(body, strings.NewReader("id: 9"), broken{})
		}
		response.Body = io.NopCloser(body)
		return response, nil
	}
}

// pace gives a body's events one by one.
type pace struct {
	ctx        context.Context
	next, last int
	gap        time.Duration
}

func (p *pace) Read(text []byte) (int, error) {
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

// paced answers with events, one after each pause.
func paced(count int, gap time.Duration) behavior {
	return func(ctx context.Context, s *sent) (*Answer, error) {
		s.ran = true
		response := answerOf(200, "")
		response.Body = io.NopCloser(&pace{ctx, 1, count, gap})
		return response, nil
	}
}

// takes does something after a while.
func takes(d time.Duration, then behavior) behavior {
	return func(ctx context.Context, s *sent) (*Answer, error) {
		select {
		case <-time.After(d):
			return then(ctx, s)
		case <-ctx.Done():
			s.ran = true
			return nil, &call.Error{Stage: call.StageReading, Err: ctx.Err()}
		}
	}
}

// caller is the output of a test.
type caller struct {
	mu       sync.Mutex
	answered []Reply
	status   int
	events   strings.Builder
	ended    bool
	at       time.Time
	fail     error
}

func (c *caller) Answer(r Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != 0 {
		panic("an answer in a stream")
	}
	c.answered = append(c.answered, r)
	c.at = time.Now()
	return c.fail
}

func (c *caller) Begin(status int, _ []call.Field) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != 0 || len(c.answered) > 0 {
		panic("begun twice")
	}
	c.status = status
	return c.fail
}

func (c *caller) Event(text []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == 0 || len(c.answered) > 0 {
		panic("an event outside of a stream")
	}
	c.events.Write(text)
	return c.fail
}

func (c *caller) End() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.at = time.Now()
	return c.fail
}

// alone is a process without others.
type alone struct{ processes int }

func (a alone) Alive() int                    { return max(a.processes, 1) }
func (a alone) Heard() int                    { return max(a.processes, 1) }
func (alone) Unheard(string, string) int      { return 0 }
func (alone) Server(uint64) peers.Load        { return peers.Load{} }
func (alone) Line(uint64) peers.Load          { return peers.Load{} }
func (alone) Coordinator(uint64, bool) string { return "" }

const routes = `{"Version":3,"Routes":[
 {"Name":"read","Host":"h","Prefix":"/read/","Kind":"Idempotent","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":2},
 {"Name":"write","Host":"h","Prefix":"/write/","Kind":"AtMostOnce","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":2},
 {"Name":"once","Host":"h","Prefix":"/once/","Kind":"AtMostOnce","TimeoutMs":1000,"AimMs":300,"Service":"plain","Attempts":1},
 {"Name":"chat","Host":"h","Prefix":"/chat/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"model","Attempts":2,"Prompted":true},
 {"Name":"talk","Host":"h","Prefix":"/talk/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"model","Attempts":2,"Prompted":true,"Resumable":true}],
 "Services":[{"Name":"plain","MaxConnections":96},{"Name":"model","MaxConnections":100,"Engine":{"Slots":8}}]}`

// bed is a broker with its surroundings.
type bed struct {
	*Broker
	fleet  *fleet
	roster *roster.Roster
}

func newBed(t testing.TB) *bed {
	t.Helper()
	tab, err := table.Parse([]byte(routes))
	require.NoError(t, err)
	f := &fleet{does: map[string][]behavior{}, usual: good}
	b := &bed{fleet: f, roster: &roster.Roster{}}
	b.Broker = &Broker{
		Zone: "calicut", Table: func() *table.Table { return tab }, Roster: b.roster, Usage: &usage.Table{}, Servers: f, Others: alone{},
		Rule: quota.Rule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}, Meters: &meter.Set{}, Log: zap.NewNop(),
	}
	b.add("a", "plain", "")
	b.add("b", "plain", "")
	return b
}

func (b *bed) add(id, service string, role roster.Role) {
	b.roster.Update(time.Now(), 1, []roster.Event{{Server: roster.Server{
		ID: id, Born: 1, Service: service, Zone: "calicut", Slots: 8, State: roster.Ready, Role: role,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}}}, roster.Doubt{})
}

// tick is how often the lines are looked at.
const tick = 20 * time.Millisecond

// tick looks at the lines until ctx ends.
func (b *bed) tick(ctx context.Context) {
	for timer.Wait(ctx, tick) {
		b.Tick(time.Now())
	}
}

func (b *bed) leave(id string) { b.roster.Leave(id, 1, 0) }

// request makes a request that arrives now.
func request(path string) *Request {
	return &Request{ID: "r1", Host: "h", Method: "POST", Path: path, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second)}
}

// prompt is a request with a prompt.
func prompt(path string, tokens, output int) *Request {
	r := request(path)
	r.Prompt, r.Output = tokens, output
	r.Parts = []Part{{"shared", tokens / 2}, {"own", tokens - tokens/2}}
	return r
}

func (b *bed) serve(ctx context.Context, r *Request) *caller {
	c := &caller{}
	b.Broker.Serve(ctx, r, c)
	return c
}
