package duty_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const span = 3 * time.Second

// timing is that of the duties.
var timing = lease.Timing{Duration: 4 * time.Second, RenewInterval: 1250 * time.Millisecond, SendDelay: 800 * time.Millisecond}

// system runs holders and records which of them may act.
type system struct {
	store store.Writer

	mu     sync.Mutex
	chosen string
	starts int
	// lastActed is when each holder last had a grant, actor who last had one.
	holders   map[string]*duty.Holder
	lastActed map[string]time.Time
	actor     string
	fence     uint64
	owner     map[uint64]string
}

func newSystem(w store.Writer) *system {
	return &system{store: w, holders: map[string]*duty.Holder{}, lastActed: map[string]time.Time{}, owner: map[uint64]string{}}
}

// start starts a holder and returns a function that kills it without a release.
func (s *system) start(ctx context.Context, name string) (kill func()) {
	w := &killable{Writer: s.store}
	era := func() uint64 { return 0 }
	if e, ok := s.store.(interface{ Era() uint64 }); ok {
		era = e.Era
	}
	s.starts++
	keeper := &lease.Keeper{Name: "duties", Holder: fmt.Sprint(name, "/", s.starts), Store: w, Timing: timing, Era: era}
	h := &duty.Holder{Keeper: keeper, Span: span, Log: zap.NewNop(), Eligible: func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.chosen == name || s.chosen == "all"
	}}
	s.holders[name] = h
	ctx, cancel := context.WithCancel(ctx)
	go func() { _ = h.Run(ctx) }()
	return func() {
		w.kill()
		delete(s.holders, name)
		cancel()
	}
}

func (s *system) choose(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chosen = name
}

// run lets time pass and checks that at most one holder has a grant, that tokens only
// increase and belong to one holder each, and that no two act in the order A, B, A.
func (s *system) run(t *testing.T, d time.Duration) {
	t.Helper()
	const step = 20 * time.Millisecond
	for range int(d / step) {
		time.Sleep(step)
		granted := ""
		for name, h := range s.holders {
			grant, ok := h.Grant()
			if !ok {
				continue
			}
			require.Empty(t, granted, "two holders at the same time: %s", name)
			granted = name
			require.GreaterOrEqual(t, grant.Fence, s.fence, name)
			if owner, used := s.owner[grant.Fence]; used {
				require.Equal(t, owner, name, "token %d", grant.Fence)
			}
			if last, acted := s.lastActed[name]; acted && s.actor != name {
				require.GreaterOrEqual(t, time.Since(last), span, "%s acts again after %s", name, s.actor)
			}
			s.owner[grant.Fence], s.fence, s.actor, s.lastActed[name] = name, grant.Fence, name, time.Now()
		}
	}
}

// killable is a store that a killed process no longer reaches.
type killable struct {
	store.Writer
	mu     sync.Mutex
	killed bool
}

func (k *killable) kill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.killed = true
}

func (k *killable) dead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.killed
}

func (k *killable) Get(ctx context.Context, key string) (store.Object, error) {
	if k.dead() {
		return store.Object{}, store.ErrRefused
	}
	return k.Writer.Get(ctx, key)
}

func (k *killable) Put(ctx context.Context, o store.Object) (uint64, error) {
	if k.dead() {
		return 0, store.ErrRefused
	}
	return k.Writer.Put(ctx, o)
}

// TestCallsToTheStore checks the cost: only the eligible process calls the store, about
// once per renewal interval.
func TestCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platf.Platform{}
		s := newSystem(p)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 20 {
			s.start(ctx, fmt.Sprint("p", i))
		}
		s.run(t, 10*time.Second)
		assert.Zero(t, p.Calls(), "nobody is eligible")
		s.choose("p7")
		s.run(t, 50*time.Second)
		assert.Equal(t, "p7", s.actor)
		assert.EqualValues(t, 1, p.Calls().Reads)
		assert.InDelta(t, 50/1.25, p.Calls().Writes, 2)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestFirstHolder guards against a first holder that waits for Span and only then begins to
// wait until the lease is free, and against one that acquires the lease before Span is over.
func TestFirstHolder(t *testing.T) {
	// before is the lease of an earlier holder in a store of era 1.
	before := func(released bool) *eras {
		value := fmt.Appendf(nil, `{"Holder":"b","Fence":%d,"Released":%v}`, uint64(1)<<32+1, released)
		return &eras{era: 1, revision: 1, objects: map[string]store.Object{"lease/duties": {Key: "lease/duties", Value: value, Version: 1}}}
	}
	for name, c := range map[string]struct {
		store store.Writer
		after time.Duration
	}{
		"a store without eras":                 {&platf.Platform{}, span},
		"a lease that the store may have lost": {&eras{era: 1, objects: map[string]store.Object{}}, timing.Duration},
		"a holder that was killed":             {before(false), timing.Duration},
		"a holder that released the lease":     {before(true), span},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(c.store)
				ctx, cancel := context.WithCancel(t.Context())
				s.choose("a")
				s.start(ctx, "a")
				s.run(t, c.after-40*time.Millisecond)
				assert.Empty(t, s.actor)
				s.run(t, 200*time.Millisecond)
				assert.Equal(t, "a", s.actor)
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestHandOver checks that a released lease is taken over quickly, one of a killed holder
// after its duration, and that a holder that is chosen again at once waits for Span.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(&platf.Platform{})
		ctx, cancel := context.WithCancel(t.Context())
		killA := s.start(ctx, "a")
		s.start(ctx, "b")
		s.choose("a")
		s.run(t, 4*time.Second)
		require.Equal(t, "a", s.actor)
		s.choose("b")
		s.run(t, 2500*time.Millisecond)
		require.Equal(t, "b", s.actor, "released")
		s.choose("a")
		s.run(t, 5*time.Second)
		require.Equal(t, "a", s.actor, "chosen again")
		killA()
		s.choose("b")
		s.run(t, 4500*time.Millisecond)
		require.Equal(t, "b", s.actor, "killed")
		// A new process with the old name.
		s.start(ctx, "a")
		s.choose("a")
		s.run(t, 6*time.Second)
		require.Equal(t, "a", s.actor)
		for i := range 40 {
			s.choose([]string{"b", "a", "all"}[i%3])
			s.run(t, time.Duration(100+i*130)*time.Millisecond)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// refusing is a store that refuses writes while it is set.
type refusing struct {
	store.Writer
	set atomic.Bool
}

func (r *refusing) Put(ctx context.Context, o store.Object) (uint64, error) {
	if r.set.Load() {
		return 0, store.ErrRefused
	}
	return r.Writer.Put(ctx, o)
}

// TestRefusedRelease guards against calls by a holder that is chosen no more and whose release
// the store refuses. If it is chosen again before the lease has expired, it goes on.
func TestRefusedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &refusing{Writer: &platf.Platform{}}
		s := newSystem(w)
		ctx, cancel := context.WithCancel(t.Context())
		s.start(ctx, "a")
		s.choose("a")
		s.run(t, 5*time.Second)
		before, ok := s.holders["a"].Grant()
		require.True(t, ok)
		w.set.Store(true)
		s.choose("")
		time.Sleep(100 * time.Millisecond)
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			_, ok := s.holders["a"].Grant()
			require.False(t, ok)
		}
		s.choose("a")
		s.run(t, time.Second)
		w.set.Store(false)
		s.run(t, 2*time.Second)
		after, ok := s.holders["a"].Grant()
		assert.True(t, ok)
		assert.Equal(t, before.Fence, after.Fence)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestLostResponses checks that a renewal of unknown outcome grants nothing until the
// outcome is known, and that the token is kept then.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platf.Platform{}
		s := newSystem(p)
		ctx, cancel := context.WithCancel(t.Context())
		s.start(ctx, "a")
		s.choose("a")
		s.run(t, 5*time.Second)
		require.EqualValues(t, 1, s.fence)
		p.SetFaults(platf.Faults{Silent: true})
		s.run(t, 2*time.Second)
		_, ok := s.holders["a"].Grant()
		assert.False(t, ok, "the outcome of the renewal is not known")
		p.SetFaults(platf.Faults{LoseAnswers: 3})
		s.run(t, 5*time.Second)
		_, ok = s.holders["a"].Grant()
		assert.True(t, ok)
		assert.EqualValues(t, 1, s.fence, "nobody else has acquired the lease")
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// eras is a store with eras that is restored from an older copy.
type eras struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]store.Object
}

func (e *eras) Era() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

func (e *eras) Get(_ context.Context, key string) (store.Object, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.objects[key]
	if !ok {
		return o, store.ErrAbsent
	}
	o.Version = store.Version(e.era, o.Version)
	return o, nil
}

func (e *eras) Put(_ context.Context, o store.Object) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Version != 0 && store.Era(o.Version) != e.era || e.objects[o.Key].Version != store.Revision(o.Version) {
		return 0, store.ErrConflict
	}
	e.revision++
	o.Version = e.revision
	e.objects[o.Key] = o
	return store.Version(e.era, e.revision), nil
}

// restore goes back to a copy of the objects.
func (e *eras) restore(objects map[string]store.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.era++
	e.revision = 0
	e.objects = map[string]store.Object{}
	for key, o := range objects {
		e.objects[key] = o
		e.revision = max(e.revision, o.Version)
	}
}

// TestStoreRestored checks that a lease which the store has lost is not given out again
// while its holder may act, and that no token comes twice. The copy has no lease, one of
// the holder, or one that another process released.
func TestStoreRestored(t *testing.T) {
	value := func(released bool) []byte {
		return fmt.Appendf(nil, `{"Holder":"a","Fence":1,"Released":%v}`, released)
	}
	for name, copied := range map[string]map[string]store.Object{
		"absent":   {},
		"held":     {"lease/duties": {Key: "lease/duties", Value: value(false), Version: 1}},
		"released": {"lease/duties": {Key: "lease/duties", Value: value(true), Version: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &eras{objects: map[string]store.Object{}}
				s := newSystem(e)
				ctx, cancel := context.WithCancel(t.Context())
				s.start(ctx, "a")
				s.start(ctx, "b")
				for i := range 12 {
					s.choose([]string{"a", "b", "all"}[i%3])
					s.run(t, time.Duration(5000+i*190)*time.Millisecond)
					require.NotEmpty(t, s.actor)
					e.restore(copied)
					s.choose([]string{"b", "all", "a"}[i%3])
					s.run(t, 9*time.Second)
					require.Equal(t, e.Era(), s.fence>>32, "the token has the era")
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestWhile checks that what needs a grant runs only while there is one, with one token.
func TestWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a authority
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var runs []uint64
		running := false
		set := func(fence uint64, run bool) {
			mu.Lock()
			defer mu.Unlock()
			if running = run; run {
				runs = append(runs, fence)
			}
		}
		check := func(wantRuns []uint64, wantRunning bool) {
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, wantRuns, runs)
			assert.Equal(t, wantRunning, running)
		}
		go func() {
			_ = duty.While(ctx, &a, func(ctx context.Context, fence uint64) error {
				set(fence, true)
				<-ctx.Done()
				set(fence, false)
				return ctx.Err()
			})
		}()
		time.Sleep(time.Second)
		check(nil, false)
		a.fence.Store(3)
		time.Sleep(time.Second)
		check([]uint64{3}, true)
		a.fence.Store(4)
		time.Sleep(time.Second)
		check([]uint64{3, 4}, true)
		a.fence.Store(0)
		time.Sleep(time.Second)
		check([]uint64{3, 4}, false)
		cancel()
		synctest.Wait()
	})
}

// authority grants while its token is not 0.
type authority struct{ fence atomic.Uint64 }

func (a *authority) Grant() (lease.Grant, bool) {
	fence := a.fence.Load()
	return lease.Grant{Fence: fence, Until: time.Now().Add(time.Second)}, fence != 0
}
