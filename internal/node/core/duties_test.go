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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
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

// office is processes with usage reports, with one store and platform.
type office struct {
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

func newOffice(t *testing.T, size int) *office {
	o := &office{
		t: t, store: &memoryStore{}, nodes: map[string]*Node{}, stops: map[string]context.CancelFunc{}, counting: map[string]int{}, wall: map[string]time.Duration{},
		platform: &reports{bodies: map[int64]string{}, times: map[int64]time.Time{}, random: rand.New(rand.NewPCG(7, 7))},
	}
	for i := range size {
		o.start(fmt.Sprint("p", i))
	}
	return o
}

// start starts a process, also one that was killed before.
func (o *office) start(name string) {
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
func (o *office) kill(name string) {
	o.mu.Lock()
	n := o.nodes[name]
	delete(o.nodes, name)
	o.mu.Unlock()
	n.Store.(*reached).lost.Store(true)
	o.stops[name]()
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
func (o *office) live() map[string]*Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.nodes)
}

// exchange sends status messages and lets silent peers expire.
func (o *office) exchange(ctx context.Context, n *Node) {
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

func (o *office) deliver(ctx context.Context, n *Node) {
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
func (o *office) partition(names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut = map[string]bool{}
	for _, name := range names {
		o.cut[name] = true
	}
}

// linked reports whether messages of one process reach another.
func (o *office) linked(a, b string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cut[a] == o.cut[b]
}

// setWall sets the error of a process's wall clock.
func (o *office) setWall(name string, by time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wall[name] = by
}

// run lets time pass, in which each process begins 100 requests a second.
func (o *office) run(d time.Duration) {
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
func (o *office) began() (sum int) {
	for _, n := range o.counting {
		sum += n
	}
	return sum
}

// rest lets time pass without requests, until all windows are reported, and ends the processes.
func (o *office) rest() {
	time.Sleep(20 * time.Second)
	for _, stop := range o.stops {
		stop()
	}
	time.Sleep(5 * time.Second)
}

// check checks the reports of a number of processes: no faults, none missing or late, the
// windows without requests reported, and the counts within a tolerance.
func (o *office) check(late, skipped int, tolerance float64) {
	o.t.Helper()
	assert.Empty(o.t, o.platform.faults)
	assert.InEpsilon(o.t, o.began(), o.platform.total(o.t, "x"), tolerance)
	windows := slices.Sorted(maps.Keys(o.platform.bodies))
	require.NotEmpty(o.t, windows)
	first, last := windows[0], windows[len(windows)-1]
	assert.Equal(o.t, int(last-first)+1-len(windows), skipped, "windows without a report")
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

// TestUsageReports checks the reports where nothing fails but the clock of one VM, which is
// wrong by 7 s and jumps, and the cost of the store.
func TestUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t, 5)
		o.setWall("p2", 7*time.Second)
		o.run(20 * time.Second)
		o.setWall("p2", -time.Hour)
		writes := o.store.count()
		o.run(25 * time.Second)
		assert.InDelta(t, 25/1.25+25/5, o.store.count()-writes, 2, "renewals and one write for each window")
		o.rest()
		o.check(0, 0, 1e-9)
		assert.Len(t, o.platform.holders, 1)
		assert.Equal(t, len(o.platform.bodies), o.platform.attempts, "each is sent once")
	})
}

// TestUsageReportsSurviveHolders checks that no window is lost or reported twice while holders
// are killed, stop as planned and start again, and responses of the platform are lost.
func TestUsageReportsSurviveHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t, 5)
		o.platform.fail(0.3)
		o.run(12 * time.Second)
		for range 3 {
			holder := o.platform.holder()
			o.kill(holder)
			o.run(11 * time.Second)
			o.start(holder)
			o.run(7300 * time.Millisecond)
			// A planned stop: the process sends its counts at once and gives up the lease.
			stopped := o.platform.holder()
			n := o.live()[stopped]
			n.stopping.Store(true)
			n.accounting.sendDue(time.Now())
			time.Sleep(1200 * time.Millisecond)
			o.kill(stopped)
			o.run(9 * time.Second)
			o.start(stopped)
			o.run(4 * time.Second)
		}
		o.platform.fail(0)
		o.rest()
		// Each kill loses the counts of up to a second.
		o.check(0, 0, 0.01)
		assert.GreaterOrEqual(t, len(o.platform.holders), 6)
	})
}

// TestUsageReportsOverAPartition checks that the counts of processes that are cut off from the
// others for less than 8 s after the end of a window are in its report, whether the holder is
// among them or not, and that the two sides do not act at the same time.
func TestUsageReportsOverAPartition(t *testing.T) {
	for _, holderCut := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			o := newOffice(t, 5)
			o.run(13 * time.Second)
			holder := o.platform.holder()
			cut := slices.DeleteFunc([]string{"p0", "p1", "p2", "p3", "p4"}, func(name string) bool { return name == holder })[:2]
			if holderCut {
				cut[0] = holder
			}
			o.partition(cut...)
			o.run(7 * time.Second)
			o.partition()
			o.run(12 * time.Second)
			o.rest()
			o.check(0, 0, 1e-9)
		})
	}
}

// TestUsageReportsAfterRestore checks that no window is reported twice after the store has lost
// the latest reports, and that reports go on.
func TestUsageReportsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t, 4)
		o.run(23 * time.Second)
		before := o.platform.sent()
		o.store.goBack("duties")
		o.store.goBack("lease")
		o.run(30 * time.Second)
		o.rest()
		assert.Empty(t, o.platform.faults)
		assert.GreaterOrEqual(t, len(o.platform.bodies), before+5)
		assert.EqualValues(t, 2, o.platform.fence>>32)
	})
}

// TestUsageReportsAfterOutage checks that the windows of an outage of the store are reported
// when it is over.
func TestUsageReportsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t, 4)
		o.run(12 * time.Second)
		o.store.set(true)
		o.run(15 * time.Second)
		o.store.set(false)
		o.run(15 * time.Second)
		o.rest()
		o.check(1, 0, 1e-9)
	})
}

// TestFlushBeforeTheEnd checks that the last requests of a process that ends count: it sends
// the final counts of the window that is open.
func TestFlushBeforeTheEnd(t *testing.T) {
	n := newNode(t)
	n.Duties = Duties{Address: n.Address, Reports: (&reports{}).from("a"), Era: func() uint64 { return 0 }, Window: 5 * time.Second, ReportWithin: 10 * time.Second}
	n.Prepare()
	n.peers.Replace([]peers.Member{{Name: "a"}})
	n.accounting.Began("x", time.Now())
	n.accounting.Flush(time.Now())
	now := time.Now()
	window := report.WindowAt(now, 5*time.Second)
	assert.EqualValues(t, 1, n.accounting.collector.Totals(window)["x"]+n.accounting.collector.Totals(window - 1)["x"])
}

// TestNothingWithoutDuties checks that deployments without duties get no task, no object of
// the store and no byte more in messages.
func TestNothingWithoutDuties(t *testing.T) {
	n := newNode(t)
	n.Duties.Reports = (&reports{}).from("a")
	n.Prepare()
	assert.Empty(t, n.dutyTasks())
	assert.Nil(t, n.Broker.Counter)
	status, _ := n.composeStatus()
	assert.Zero(t, status.WallMs)
	assert.False(t, strings.Contains(n.Meters.JSON(), "DutyHolder"))
}

// FuzzUsage checks that usage messages of peers, whatever they have, neither panic nor take
// more memory than their bounds, and that the reports stay sound JSON.
func FuzzUsage(f *testing.F) {
	window := report.WindowAt(time.Now(), 5*time.Second)
	for _, m := range []*wire.News{
		{From: "b", Incarnation: 1, Usage: []*wire.WindowUsage{{Window: window, Final: true, Parts: 1, Accounts: []*wire.AccountUsage{{Account: "x", Requests: 3}}}}},
		{From: "b", WallMs: -1, Usage: []*wire.WindowUsage{{Window: -1 << 63, Final: true}, {Window: window + 1, Parts: 1 << 31, Final: true, Accounts: []*wire.AccountUsage{{}, {Requests: 1<<32 - 1}}}}},
		{From: "c", WallMs: 1<<63 - 1},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.News
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		n := &Node{Name: "a", Log: zap.NewNop(), Duties: Duties{Window: 5 * time.Second, ReportWithin: 10 * time.Second}}
		a := newAccounting(n)
		now := time.Now()
		a.handle(now, &m)
		a.Began("x", now)
		current := report.WindowAt(now, 5*time.Second)
		for w := current - 9; w <= current+9; w++ {
			a.collector.Complete(w, []string{"a", "b"})
			r := report.New(w, a.collector.Totals(w))
			if !json.Valid([]byte(r.Body)) || (w > current+2 || w < current-7) && len(a.collector.Totals(w)) > 0 {
				t.Fatal(r.Body)
			}
		}
	})
}
