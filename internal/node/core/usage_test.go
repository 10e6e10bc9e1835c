package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// reports is a fake of the platform that takes usage reports. Each call fails by the share
// failing, half of these after it had its effect.
type reports struct {
	mu       sync.Mutex
	bodies   map[int64]string
	times    map[int64]time.Time
	holders  []string
	fence    uint64
	faults   []string
	failing  float64
	random   *rand.Rand
	attempts int
}

var errLost = errors.New("lost")

// from returns the UsageReporter of a process.
func (r *reports) from(name string) UsageReporter { return reporter{r, name} }

type reporter struct {
	*reports
	name string
}

func (r reporter) ReportUsage(_ context.Context, grant lease.Grant, report report.Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	fails := r.random.Float64() < r.failing
	if fails && r.random.IntN(2) == 0 {
		return errLost
	}
	if !time.Now().Before(grant.Until) || grant.Fence < r.fence {
		r.faults = append(r.faults, fmt.Sprintf("token %d after %d, until %s", grant.Fence, r.fence, time.Until(grant.Until)))
	}
	r.fence = grant.Fence
	if len(r.holders) == 0 || r.holders[len(r.holders)-1] != r.name {
		r.holders = append(r.holders, r.name)
	}
	if body, sent := r.bodies[report.Window]; sent && body != report.Body {
		r.faults = append(r.faults, fmt.Sprintf("window %d: %s and %s", report.Window, body, report.Body))
	} else if !sent {
		r.bodies[report.Window], r.times[report.Window] = report.Body, time.Now()
	}
	if fails {
		return errLost
	}
	return nil
}

// fail sets the share of calls that fail.
func (r *reports) fail(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = share
}

// holder returns the process that reported last.
func (r *reports) holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holders[len(r.holders)-1]
}

// sent returns the number of windows reported.
func (r *reports) sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bodies)
}

// total returns the requests of an account in all reports.
func (r *reports) total(t *testing.T, account string) (sum int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for window, body := range r.bodies {
		var got struct {
			Window int64
			Counts map[string]int
		}
		require.NoError(t, json.Unmarshal([]byte(body), &got))
		assert.Equal(t, window, got.Window)
		assert.NotContains(t, got.Counts, "", "only requests with an account count")
		sum += got.Counts[account]
	}
	return sum
}

// usageFleet is processes with usage reports, with one store and platform.
type usageFleet struct {
	t        *testing.T
	store    *memoryStore
	platform *reports

	mu       sync.Mutex
	nodes    map[string]*Node
	stops    map[string]context.CancelFunc
	starts   uint64
	counting map[string]int
	// cut has the processes that reach only each other.
	cut map[string]bool
	// wall is the error of each process's wall clock as its peers see it.
	wall map[string]time.Duration
}

func newUsageFleet(t *testing.T, size int) *usageFleet {
	o := &usageFleet{
		t: t, store: &memoryStore{}, nodes: map[string]*Node{}, stops: map[string]context.CancelFunc{}, counting: map[string]int{}, wall: map[string]time.Duration{},
		platform: &reports{bodies: map[int64]string{}, times: map[int64]time.Time{}, random: rand.New(rand.NewPCG(7, 7))},
	}
	for i := range size {
		o.start(fmt.Sprint("p", i))
	}
	return o
}

// start starts a process, also one that was killed before.
func (o *usageFleet) start(name string) {
	n := newNode(o.t)
	o.starts++
	n.Name, n.Store = name, &reached{Writer: o.store}
	n.Duties = Duties{
		Address: netip.MustParseAddrPort("10.0.0.9:80"), Reports: o.platform.from(name), Era: o.store.eraNow,
		Lease: 3 * time.Second, Window: 5 * time.Second, ReportWithin: 10 * time.Second,
	}
	n.Prepare()
	n.incarnation += o.starts
	n.accounting.node = n
	var members []peers.Member
	for i := range 9 {
		members = append(members, peers.Member{Name: fmt.Sprint("p", i), Address: netip.MustParseAddrPort("10.0.0.1:1"), Cores: 1})
	}
	n.peers.Replace(members)
	ctx, cancel := context.WithCancel(o.t.Context())
	o.mu.Lock()
	o.nodes[name], o.stops[name] = n, cancel
	o.mu.Unlock()
	for _, task := range n.dutyTasks() {
		go func() { _ = task.Do(ctx) }()
	}
	go o.exchange(ctx, n)
	go o.deliver(ctx, n)
}

// kill ends a process at once: nothing that it sends after that arrives.
func (o *usageFleet) kill(name string) {
	o.mu.Lock()
	n := o.nodes[name]
	delete(o.nodes, name)
	o.mu.Unlock()
	n.Store.(*reached).lost.Store(true)
	o.stops[name]()
}

// stop ends a process as planned, with its final counts sent.
func (o *usageFleet) stop(name string) {
	n := o.live()[name]
	n.stopping.Store(true)
	n.accounting.sendDue(time.Now())
	o.run(600 * time.Millisecond)
	a, now := n.accounting, n.accounting.clock.Time(time.Now())
	for _, m := range a.counter.Flush(now, a.collectors()) {
		a.send(now, m, n.coordination.push)
	}
	time.Sleep(50 * time.Millisecond)
	o.kill(name)
}

// reached is a store that a killed process no longer reaches.
type reached struct {
	store.Writer
	lost atomic.Bool
}

func (r *reached) Get(ctx context.Context, key string) (store.Object, error) {
	if r.lost.Load() {
		return store.Object{}, store.ErrRefused
	}
	return r.Writer.Get(ctx, key)
}

func (r *reached) Put(ctx context.Context, o store.Object) (uint64, error) {
	if r.lost.Load() {
		return 0, store.ErrRefused
	}
	return r.Writer.Put(ctx, o)
}

// live returns the processes that run.
func (o *usageFleet) live() map[string]*Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.nodes)
}

// exchange sends status messages and lets silent peers expire.
func (o *usageFleet) exchange(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		status, _ := n.composeStatus()
		live := o.live()
		if live[n.Name] != n {
			return
		}
		o.mu.Lock()
		status.WallMs += o.wall[n.Name].Milliseconds()
		o.mu.Unlock()
		for _, to := range live {
			if to != n && o.linked(n.Name, to.Name) {
				to.handleStatus(proto.Clone(status).(*wire.News))
			}
		}
		n.peers.Expire(time.Now())
	}
}

func (o *usageFleet) deliver(ctx context.Context, n *Node) {
	for {
		e, err := n.coordination.outbox.Pop(ctx)
		if err != nil {
			return
		}
		time.Sleep(time.Millisecond)
		if live := o.live(); live[n.Name] == n && live[e.to] != nil && o.linked(n.Name, e.to) {
			live[e.to].handleStatus(proto.Clone(e.message).(*wire.News))
		}
	}
}

// partition cuts processes off from the others.
func (o *usageFleet) partition(names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut = map[string]bool{}
	for _, name := range names {
		o.cut[name] = true
	}
}

// linked reports whether messages of one process reach another.
func (o *usageFleet) linked(a, b string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cut[a] == o.cut[b]
}

// setWall sets the error of a process's wall clock.
func (o *usageFleet) setWall(name string, by time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wall[name] = by
}

// run lets time pass, in which each process begins 100 requests a second.
func (o *usageFleet) run(d time.Duration) {
	for range int(d / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		for name, n := range o.live() {
			n.Broker.Counter.Began("x", time.Now())
			n.Broker.Counter.Began("", time.Now())
			o.counting[name]++
		}
	}
}

// began returns how many requests have begun.
func (o *usageFleet) began() (sum int) {
	for _, n := range o.counting {
		sum += n
	}
	return sum
}

// rest lets time pass without requests, until all windows are reported, and ends the processes.
func (o *usageFleet) rest() {
	time.Sleep(20 * time.Second)
	for _, stop := range o.stops {
		stop()
	}
	time.Sleep(5 * time.Second)
}

// check checks the reports: no faults, none missing and at most late ones late, the last
// windows, which have no requests, reported too, and the counts within a tolerance.
func (o *usageFleet) check(late int, tolerance float64) {
	o.t.Helper()
	assert.Empty(o.t, o.platform.faults)
	assert.InEpsilon(o.t, o.began(), o.platform.total(o.t, "x"), tolerance)
	windows := slices.Sorted(maps.Keys(o.platform.bodies))
	require.NotEmpty(o.t, windows)
	first, last := windows[0], windows[len(windows)-1]
	assert.Len(o.t, windows, int(last-first)+1, "windows without a report")
	assert.Equal(o.t, fmt.Sprintf(`{"Window":%d,"Counts":{}}`, last), o.platform.bodies[last])
	for _, w := range windows {
		if o.platform.times[w].After(report.EndOf(w, 5*time.Second).Add(10 * time.Second)) {
			late--
		}
	}
	assert.GreaterOrEqual(o.t, late, 0, "late reports")
}

// eraNow returns the era of the store.
func (m *memoryStore) eraNow() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
