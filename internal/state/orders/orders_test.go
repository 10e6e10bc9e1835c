package orders

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// platform is the store, the authority and the taker of orders of a test.
type platform struct {
	mu     sync.Mutex
	fence  uint64
	object store.Object
	puts   int
	gets   int
	// idle is set if no service may be scaled.
	idle   bool
	putErr error
	orders []scale.Order
	fences []uint64
	// stored is what the store had when the first order came.
	stored scale.Saved
	err    error
	took   time.Duration
	// underWay is the number of orders without a response.
	underWay int
}

func (p *platform) Grant() (lease.Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Grant{Fence: p.fence, Until: time.Now().Add(3 * time.Second)}, p.fence > 0
}

func (p *platform) Get(context.Context, string) (store.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gets++
	if p.object.Version == 0 {
		return store.Object{}, store.ErrAbsent
	}
	return p.object, nil
}

func (p *platform) Put(_ context.Context, o store.Object) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.putErr != nil {
		return 0, p.putErr
	}
	if o.Version != p.object.Version {
		return 0, store.ErrConflict
	}
	p.puts++
	o.Version++
	p.object = o
	return o.Version, nil
}

func (p *platform) Order(ctx context.Context, g lease.Grant, o scale.Order) error {
	p.mu.Lock()
	if len(p.orders) == 0 {
		_ = json.Unmarshal(p.object.Value, &p.stored)
	}
	p.orders, p.fences = append(p.orders, o), append(p.fences, g.Fence)
	p.underWay++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.underWay--
	}()
	if !sleep(ctx, p.took) {
		return ctx.Err()
	}
	return p.err
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// observe is a service of two servers in each of two zones, with load for six.
func (p *platform) observe(time.Time) ([]scale.Observation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle {
		return nil, true
	}
	prices := map[string]float64{"a": 1, "b": 2}
	zones := map[string]scale.Zone{}
	for zone := range prices {
		zones[zone] = scale.Zone{OnDemand: scale.Counts{"": 2}}
	}
	return []scale.Observation{{
		Service: "s", Scaling: table.Scaling{Min: 1, Max: 9, BootTime: 4 * time.Second, SpotPrice: 0.15, ZonePrices: prices},
		Zones: zones, Load: scale.Load{"": 3},
	}}, true
}

// sent returns the orders so far.
func (p *platform) sent() []scale.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

// after lets a time of the bubble pass, and the task come to rest.
func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// run runs a task with the platform for a time of the bubble.
func run(t *testing.T, p *platform, during func(task *Task)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		task := &Task{Authority: p, Orderer: p, Store: p, Observe: p.observe, Meters: &meter.Set{}, Log: zap.NewNop()}
		done := make(chan struct{})
		go func() { defer close(done); _ = task.Run(ctx) }()
		during(task)
		cancel()
		<-done
	})
}

// TestOrdersAreRecordedFirst guards against an order that the next holder does not know of.
func TestOrdersAreRecordedFirst(t *testing.T) {
	p := &platform{fence: 7}
	run(t, p, func(task *Task) {
		after(2 * time.Second)
		assert.Empty(t, p.sent(), "a new holder learns")
		after(2 * time.Second)
		require.NotEmpty(t, p.sent())
		for i, o := range p.sent() {
			assert.Contains(t, p.stored.Entries, scale.SavedEntry{Subject: o.Subject, Desired: o.Desired})
			assert.Equal(t, uint64(7), p.fences[i])
		}
		assert.Equal(t, 1, p.puts, "one write for all orders of a decision")
		assert.Equal(t, int64(len(p.sent())), task.Meters.Value("ScaleOrders"))
		assert.Equal(t, int64(4), task.Meters.Value("ScaleReady.s"))
		assert.Greater(t, task.Meters.Value("ScaleDesired.s"), int64(4))
	})
}

// TestNothingWithoutGrant guards against calls by a process that does not hold the duty, and
// against orders under a grant that has ended.
func TestNothingWithoutGrant(t *testing.T) {
	p := &platform{}
	run(t, p, func(*Task) { after(10 * time.Second) })
	assert.Empty(t, p.sent())
	assert.Zero(t, p.gets)
	p = &platform{fence: 1, idle: true}
	run(t, p, func(*Task) { after(10 * time.Second) })
	assert.Zero(t, p.gets, "no service may be scaled")
	p = &platform{fence: 1}
	run(t, p, func(task *Task) {
		after(2 * time.Second)
		p.mu.Lock()
		p.fence = 0
		p.mu.Unlock()
		after(10 * time.Second)
		assert.Zero(t, task.Meters.Value("ScaleReady.s"))
	})
	assert.Empty(t, p.sent())
}

// TestOrdersEndWithTheGrant guards against an order that arrives after the next holder has
// acquired the lease: that is released 0.8 s after its grant was withdrawn.
func TestOrdersEndWithTheGrant(t *testing.T) {
	p := &platform{fence: 1, took: time.Hour}
	underWay := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.underWay
	}
	run(t, p, func(*Task) {
		after(3500 * time.Millisecond)
		assert.NotZero(t, underWay())
		p.mu.Lock()
		p.fence = 0
		p.mu.Unlock()
		after(100 * time.Millisecond)
		assert.Zero(t, underWay())
	})
}

// TestGaugesOfFormerService guards against metrics that show the servers of a service that is
// scaled no more.
func TestGaugesOfFormerService(t *testing.T) {
	p := &platform{fence: 1}
	run(t, p, func(task *Task) {
		after(4 * time.Second)
		assert.Equal(t, int64(4), task.Meters.Value("ScaleReady.s"))
		p.mu.Lock()
		p.idle = true
		p.mu.Unlock()
		after(time.Second)
		assert.Zero(t, task.Meters.Value("ScaleReady.s"))
		assert.Zero(t, task.Meters.Value("ScaleDesired.s"))
	})
}

// TestNoOrderIfItCannotBeRecorded guards against orders beside another holder, and while
// the store is away.
func TestNoOrderIfItCannotBeRecorded(t *testing.T) {
	for _, err := range []error{store.ErrConflict, store.ErrRefused, errors.New("response lost")} {
		p := &platform{fence: 1, putErr: err}
		run(t, p, func(*Task) { after(20 * time.Second) })
		assert.Empty(t, p.sent(), "%v", err)
	}
}

// TestUnknownOutcome guards against another order, another write, or a blocked task, when
// the platform does not respond.
func TestUnknownOutcome(t *testing.T) {
	p := &platform{fence: 1, took: time.Hour}
	run(t, p, func(*Task) { after(15 * time.Second) })
	first := map[scale.Subject]scale.Order{}
	for _, o := range p.sent() {
		if before, ok := first[o.Subject]; ok {
			assert.Equal(t, before, o)
		}
		first[o.Subject] = o
	}
	assert.Greater(t, len(p.sent()), len(first), "repeated")
	assert.Equal(t, 1, p.puts)
}

// TestNextHolderKnowsWhatBoots guards against a new holder that orders fewer servers than
// the last one, as those that boot are not ready.
func TestNextHolderKnowsWhatBoots(t *testing.T) {
	p := &platform{fence: 1}
	run(t, p, func(*Task) {
		after(3500 * time.Millisecond)
		p.mu.Lock()
		n := len(p.orders)
		p.fence = 2
		p.mu.Unlock()
		after(4 * time.Second)
		assert.NotZero(t, n)
		assert.Len(t, p.sent(), n, "all that is needed was ordered")
	})
}

// TestInvalidRecord guards against a holder that never orders as the object is not valid.
func TestInvalidRecord(t *testing.T) {
	p := &platform{fence: 1, object: store.Object{Key: Key, Value: []byte(`{"Entries":7}`), Version: 3}}
	run(t, p, func(*Task) { after(4 * time.Second) })
	assert.NotEmpty(t, p.sent())
}
