package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// hopServers are the backend servers of a process that serves for peers. It implements
// broker.Servers.
type hopServers struct {
	mu      sync.Mutex
	calls   []broker.Call
	respond func(ctx context.Context, c broker.Call) (*broker.Response, error)
	// connect is the error of Connect.
	connect error
}

func (s *hopServers) Send(ctx context.Context, _ roster.Server, c broker.Call) (*broker.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	return s.respond(ctx, c)
}

func (*hopServers) Prefill(context.Context, roster.Server, broker.Call) (broker.KVSource, *broker.Response, error) {
	return broker.KVSource{}, nil, errors.ErrUnsupported
}
func (*hopServers) Release(context.Context, broker.KVSource) error      { return nil }
func (s *hopServers) Connect(context.Context, roster.Server, int) error { return s.connect }

// count returns the number of calls so far.
func (s *hopServers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

const hopConfig = `{"Version":3,"Routes":[
 {"Name":"w","Host":"h","Prefix":"/w/","Kind":"AtMostOnce","TimeoutMs":5000,"AimMs":3000,"Service":"s","Attempts":2},
 {"Name":"t","Host":"h","Prefix":"/t/","Kind":"Stream","TimeoutMs":5000,"AimMs":3000,"Service":"s","Attempts":2,"Resumable":true}],
 "Services":[{"Name":"s","MaxConnections":96}]}`

// newHop returns a process a that knows the process b, which serves its peers with the
// servers, and the address of b.
func newHop(t *testing.T, servers *hopServers) (a, b *Node, address netip.AddrPort) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address = netip.MustParseAddrPort(listener.Addr().String())
	a, b = newNode(t), newNode(t)
	b.Name, b.peers.Self = "b", "b"
	b.Servers, b.Broker.Servers = servers, servers
	for _, n := range []*Node{a, b} {
		(&tableView{n}).Replace(page(store.Object{Key: "config/main", Value: []byte(hopConfig)}), false)
		(&serversView{n}).Replace(page(serverEntry("i-1", "")), false)
		quarantineView{n.quarantine}.Replace(page(), false)
		n.origins.defaults.Replace(page(), false)
		n.streamsListed.Store(true)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = link.ServeEntry(ctx, listener, b, &meter.Set{}) }()
	client := &link.Client{Meters: &meter.Set{}}
	a.Hops = client
	t.Cleanup(func() { client.Close(); cancel(); <-served })
	a.peers.Set(peers.Member{Name: "b", Address: address, AvailabilityZone: "z"})
	return a, b, address
}

// hopRelay collects a response. It implements broker.Relay.
type hopRelay struct {
	reply    broker.Reply
	status   int
	events   strings.Builder
	ended    bool
	software string
	attempts int
	// refuse is the error of Event.
	refuse error
}

func (r *hopRelay) Respond(reply broker.Reply) error { r.reply = reply; return nil }
func (r *hopRelay) Begin(status int, _ []call.Field) error {
	r.status = status
	return nil
}

func (r *hopRelay) Event(text []byte) error {
	r.events.Write(text)
	return r.refuse
}
func (r *hopRelay) End() error { r.ended = true; return nil }
func (r *hopRelay) Bind(software string, attempts int) {
	r.software, r.attempts = software, attempts
}
func (*hopRelay) Reserve(int) error { return nil }

// carriedRequest returns a request to the path that is to be carried.
func carriedRequest(path string, body []byte) broker.Carried {
	return broker.Carried{Service: "s", TableVersion: 3, Request: &broker.Request{
		ID: "r1", Host: "h", Method: "POST", Path: path, Body: body, Fields: []call.Field{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}},
		Parts: []broker.Part{{ID: "p", Tokens: 7}}, PromptTokens: 9, MaxOutputTokens: 5, Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second),
	}}
}

func whole(status int, body string) *broker.Response {
	return &broker.Response{Status: status, Verified: true, Fields: []call.Field{{Name: "S", Value: "x"}}, Body: io.NopCloser(strings.NewReader(body))}
}

// outcomeOf returns the outcome of a CarryError, and its reason.
func outcomeOf(t *testing.T, err error) (retry.Outcome, broker.Reason) {
	t.Helper()
	var f *broker.CarryError
	require.ErrorAs(t, err, &f)
	return f.Outcome, f.Reason
}

// TestHopCarriesWholeRequestsAndResponses checks that long bodies, fields and prompts arrive
// as they are, and that connections are reused.
func TestHopCarriesWholeRequestsAndResponses(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 3*pieceBytes/16) + "end"
	servers := &hopServers{respond: func(_ context.Context, c broker.Call) (*broker.Response, error) {
		return whole(201, string(c.Request.Body)), nil
	}}
	a, b, _ := newHop(t, servers)
	for range 5 {
		relay := &hopRelay{}
		request := carriedRequest("/w/x?q", []byte(body))
		require.NoError(t, a.carrier.Carry(t.Context(), "b", request, relay))
		assert.Equal(t, broker.Reply{Status: 201, Fields: []call.Field{{Name: "S", Value: "x"}}, Body: []byte(body)}, relay.reply)
		got := servers.calls[0].Request
		assert.Equal(t, []any{request.Request.ID, request.Request.Host, request.Request.Path, request.Request.Fields, request.Request.Parts, 9, 5},
			[]any{got.ID, got.Host, got.Path, got.Fields, got.Parts, got.PromptTokens, got.MaxOutputTokens})
		assert.WithinDuration(t, request.Request.Deadline, servers.calls[len(servers.calls)-1].Deadline, 100*time.Millisecond)
		assert.Equal(t, 1, relay.attempts)
	}
	assert.Zero(t, b.carrier.serving.Load())
	assert.Zero(t, b.carrier.servingBytes.Load())
	assert.Empty(t, a.carrier.hops)
}

// TestHopStreamsEventsAsTheyArrive checks that an event is relayed before the next one is
// made, and that the run ends when the client has gone.
func TestHopStreamsEventsAsTheyArrive(t *testing.T) {
	reader, writer := io.Pipe()
	ended := make(chan struct{})
	servers := &hopServers{respond: func(ctx context.Context, _ broker.Call) (*broker.Response, error) {
		context.AfterFunc(ctx, func() { writer.CloseWithError(ctx.Err()); close(ended) })
		r := whole(200, "")
		r.Body = reader
		return r, nil
	}}
	a, _, _ := newHop(t, servers)
	ctx, cancel := context.WithCancel(t.Context())
	relay := &lockedRelay{}
	result := make(chan error, 1)
	go func() { result <- a.carrier.Carry(ctx, "b", carriedRequest("/t/x", nil), relay) }()
	for i := 1; i <= 3; i++ {
		_, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", i)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return relay.count() == i }, time.Second, time.Millisecond)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the run goes on though the client has gone")
	}
	outcome, _ := outcomeOf(t, <-result)
	assert.Equal(t, retry.Unknown, outcome)
}

// lockedRelay counts events.
type lockedRelay struct {
	hopRelay
	mu     sync.Mutex
	number int
}

func (r *lockedRelay) Event([]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	return nil
}

func (r *lockedRelay) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.number
}

// TestHopThatIsNotAcceptedHasNotRun checks peers that refuse, do not listen, or accept
// nothing in time.
func TestHopThatIsNotAcceptedHasNotRun(t *testing.T) {
	servers := &hopServers{respond: func(context.Context, broker.Call) (*broker.Response, error) { return whole(200, ""), nil }}
	a, b, _ := newHop(t, servers)
	check := func(peer string, want broker.Reason, c broker.Carried) {
		t.Helper()
		began := time.Now()
		outcome, reason := outcomeOf(t, a.carrier.Carry(t.Context(), peer, c, &hopRelay{}))
		assert.Equal(t, retry.NotRun, outcome)
		if len(c.Request.Body) < pieceBytes {
			// A peer that refuses does not read the body, so that its reason may be lost.
			assert.Equal(t, want, reason)
		}
		assert.Less(t, time.Since(began), 2*handoverTimeout+200*time.Millisecond)
		assert.Zero(t, servers.count())
	}
	check("unknown", "", carriedRequest("/w/x", nil))
	b.carrier.serving.Store(maxServing)
	check("b", broker.PeerFull, carriedRequest("/w/x", nil))
	b.carrier.serving.Store(0)
	check("b", broker.PeerFull, carriedRequest("/w/x", make([]byte, b.Limits().BodyBytes+1)))
	b.stopping.Store(true)
	check("b", broker.PeerFull, carriedRequest("/w/x", nil))

	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	a.peers.Set(peers.Member{Name: "silent", Address: netip.MustParseAddrPort(silent.Addr().String())})
	check("silent", "", carriedRequest("/w/x", make([]byte, 1<<20)))
	silent.Close()
	check("silent", "", carriedRequest("/w/x", nil))
}

// TestPeerThatFallsSilentEndsItsHops checks that requests at a peer that has become silent
// end before their deadline, as unknown.
func TestPeerThatFallsSilentEndsItsHops(t *testing.T) {
	started := make(chan struct{})
	servers := &hopServers{respond: func(ctx context.Context, _ broker.Call) (*broker.Response, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	a, _, _ := newHop(t, servers)
	result := make(chan error, 1)
	go func() { result <- a.carrier.Carry(t.Context(), "b", carriedRequest("/w/x", nil), &hopRelay{}) }()
	<-started
	a.carrier.drop("b")
	err := <-result
	outcome, _ := outcomeOf(t, err)
	assert.Equal(t, retry.Unknown, outcome)
	assert.ErrorIs(t, err, errPeerSilent)
}

// TestLostServicesAreTold checks that peers learn which services a process has lost, and do
// not choose it for them, nor one that stops.
func TestLostServicesAreTold(t *testing.T) {
	a, b, _ := newHop(t, &hopServers{})
	a.Name, a.peers.Self = "a", "a"
	require.NotEqual(t, "", b.Name)
	tell := func(change func(m *wire.News)) {
		message, _ := b.composeStatus()
		change(message)
		a.handleStatus(message)
	}
	tell(func(*wire.News) {})
	assert.Equal(t, "b", a.carrier.Choose("s", nil))
	assert.Empty(t, a.carrier.Choose("s", map[string]bool{"b": true}))
	server, _ := b.roster.Find("i-1", 1)
	b.usage.MarkUnreachable(time.Now(), server)
	b.Broker.Servers = &hopServers{connect: errors.ErrUnsupported}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = b.Broker.Reconnect(ctx) }()
	require.Eventually(t, func() bool { return len(b.Broker.Lost()) > 0 }, 10*time.Second, time.Millisecond)
	cancel()
	<-ended
	assert.Equal(t, []string{"s"}, b.Broker.Lost())
	tell(func(*wire.News) {})
	assert.Empty(t, a.carrier.Choose("s", nil))
	assert.Equal(t, "b", a.carrier.Choose("another", nil))
	tell(func(m *wire.News) { m.Lost = []uint64{peers.LostAll} })
	assert.Empty(t, a.carrier.Choose("another", nil))
	tell(func(m *wire.News) { m.Lost, m.Stopping = nil, true })
	assert.Empty(t, a.carrier.Choose("s", nil))
}

// TestPeerIsChosenByLoad checks the choice among peers.
func TestPeerIsChosenByLoad(t *testing.T) {
	reacher := func(name, zone string, running int) peers.Reacher {
		return peers.Reacher{Member: peers.Member{Name: name, AvailabilityZone: zone}, Running: running}
	}
	for _, c := range []struct {
		list []peers.Reacher
		hops map[string]int
		want string
	}{
		{nil, nil, ""},
		{[]peers.Reacher{reacher("x", "z", 0), reacher("far", "y", 0)}, nil, "far"},
		{[]peers.Reacher{reacher("far", "y", 0), reacher("near", "z", farCost-1)}, nil, "near"},
		{[]peers.Reacher{reacher("far", "y", 0), reacher("near", "z", farCost+1)}, nil, "far"},
		{[]peers.Reacher{reacher("busy", "z", 1), reacher("free", "z", 0)}, map[string]int{"free": 2}, "busy"},
	} {
		got := chooseReacher(c.list, "z", map[string]bool{"x": true}, func(name string) int { return c.hops[name] }, 1)
		assert.Equal(t, c.want, got)
	}
	full := map[string]int{"full": maxServing}
	got := chooseReacher([]peers.Reacher{reacher("full", "z", 0), reacher("other", "y", 4*maxServing)}, "z", nil, func(name string) int { return full[name] }, 1)
	assert.Equal(t, "other", got, "a peer takes no more than maxServing")
	chosen := map[string]int{}
	for i := range uint64(300) {
		chosen[chooseReacher([]peers.Reacher{reacher("a", "z", 0), reacher("b", "z", 0)}, "z", nil, func(string) int { return 0 }, i)]++
	}
	assert.Equal(t, map[string]int{"a": 150, "b": 150}, chosen)
}

// TestRequestsAtManyPeersAreNotLimitedTogether guards against a process without links to its
// backend servers that rejects requests although many peers could serve them.
func TestRequestsAtManyPeersAreNotLimitedTogether(t *testing.T) {
	c := newCarrier(nil)
	for i := range 10 * maxServing {
		assert.True(t, c.begin(fmt.Sprint("peer-", i%10), &hop{}), "request %d", i)
	}
	assert.False(t, c.begin("peer-1", &hop{}), "one peer serves maxServing")
}

// TestCutProcessStepsDown checks that a process that has lost the engines of a service leaves
// its coordination to a peer.
func TestCutProcessStepsDown(t *testing.T) {
	a, b, _ := newHop(t, &hopServers{})
	logged, logs := observer.New(zap.InfoLevel)
	a.Broker.Log = zap.New(logged)
	config := strings.Replace(hopConfig, `"MaxConnections":96`, `"MaxConnections":96,"Engine":{"Slots":8}`, 1)
	(&tableView{a}).Change(page(store.Object{Key: "config/main", Value: []byte(strings.Replace(config, `"Version":3`, `"Version":4`, 1))}))
	a.peers.Set(peers.Member{Name: "a", Cores: 2})
	message, _ := b.composeStatus()
	a.handleStatus(message)
	a.Broker.Tick(time.Now())
	assert.Zero(t, logs.FilterMessage("coordinator changed").FilterField(zap.String("Process", "b")).Len(), "it has more cores")
	server, _ := a.roster.Find("i-1", 1)
	a.usage.MarkUnreachable(time.Now(), server)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	a.Broker.Servers = &hopServers{connect: errors.ErrUnsupported}
	_ = a.Broker.Reconnect(ctx)
	a.Broker.Tick(time.Now())
	assert.Equal(t, 1, logs.FilterMessage("coordinator changed").FilterField(zap.String("Process", "b")).Len())
}

// TestRefusedRequestWithLongBodyLeavesNoCallBehind checks that a peer which refuses a request
// before its body can stop, and serves the next one.
func TestRefusedRequestWithLongBodyLeavesNoCallBehind(t *testing.T) {
	body := []byte(strings.Repeat("x", 8*pieceBytes))
	servers := &hopServers{respond: func(context.Context, broker.Call) (*broker.Response, error) { return whole(200, "ok"), nil }}
	a, b, _ := newHop(t, servers)
	// A busy machine must not end the handover, which gets half of the time left.
	request := carriedRequest("/w/x", body)
	request.LastPeer, request.Request.Deadline = true, time.Now().Add(time.Minute)
	for range 5 {
		b.stopping.Store(true)
		outcome, reason := outcomeOf(t, a.carrier.Carry(t.Context(), "b", request, &hopRelay{}))
		assert.Equal(t, retry.NotRun, outcome)
		assert.Equal(t, broker.PeerFull, reason)
		b.stopping.Store(false)
		assert.NoError(t, a.carrier.Carry(t.Context(), "b", request, &hopRelay{}))
	}
}
