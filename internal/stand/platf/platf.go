// Package platf is a stand-in for the platform: its object API, its list of
// VMs and its weight store.
//
// A Platform implements store.API for direct use in tests; Handler serves it
// over HTTP. SetFaults injects faults: an outage, slow responses, stale reads,
// and responses that are lost after a write took effect.
//
// # Usage
//
//	platform := &platf.Platform{Writes: 300, Reads: 2000}
//	platform.SetVM(store.VM{Name: "entry-1", AvailabilityZone: "calicut", Entry: true})
//	server := fasthttp.Server{Handler: platform.Handler}
package platf

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Faults are the injected faults of the platform.
type Faults struct {
	// Down rejects every call.
	Down bool
	// Silent accepts calls and sends no responses; writes take no effect.
	Silent bool
	// Delay is added before every call takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect but whose
	// responses are lost.
	LoseAnswers int
	// Stale is the number of next reads and watch polls that return objects as
	// they were before their last write.
	Stale int
}

// Calls counts accepted reads and writes, how often a watch was woken by a write,
// and rejected calls. Watches and reads of the list of VMs count as reads.
type Calls struct{ Reads, Writes, Waits, Refused int64 }

// ErrResponseLost is returned for a call whose response did not arrive. A write
// may have taken effect.
var ErrResponseLost = errors.New("response lost")

// Platform is a stand-in for the platform. The zero value is ready to use and has
// no rate limits. Its methods are safe for concurrent use.
type Platform struct {
	// Writes and Reads are the rate limits in calls per second; 0 means none.
	Writes, Reads float64
	// ListLag is the age of the list of VMs that VMs returns.
	ListLag time.Duration
	// WeightRate is the number of models that can be loaded from the weight store
	// per second, by all engines together; 0 means no limit.
	WeightRate float64

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	revision uint64
	objects  map[string]store.Object
	// previous has the objects before their last write, for stale reads.
	previous map[string]store.Object
	// changed is closed and replaced by each write.
	changed chan struct{}
	vms     map[string]store.VM
	// lists has the lists of VMs that VMs may still return, oldest first.
	lists   []timedList
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter
}

// timedList is a list of VMs and the time from which it was current.
type timedList struct {
	at   time.Time
	list store.List
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the numbers of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// admit counts a call and applies the rate limit and the faults that precede
// the call's effect. The call takes effect only if the error is nil.
func (p *Platform) admit(ctx context.Context, write bool) error {
	p.mu.Lock()
	p.lazyInit()
	f := p.faults
	limiter, counter := p.reads, &p.calls.Reads
	if write {
		limiter, counter = p.writes, &p.calls.Writes
	}
	if f.Down || limiter != nil && !limiter.Allow() {
		p.calls.Refused++
		p.mu.Unlock()
		return store.ErrRefused
	}
	*counter++
	p.mu.Unlock()
	if f.Silent {
		<-ctx.Done()
		return errors.Join(ErrResponseLost, ctx.Err())
	}
	return sleep(ctx, f.Delay)
}

// lazyInit initializes the zero value. The caller must hold mu.
func (p *Platform) lazyInit() {
	if p.objects != nil {
		return
	}
	p.objects = map[string]store.Object{}
	p.previous = map[string]store.Object{}
	p.vms = map[string]store.VM{}
	p.changed = make(chan struct{})
	if p.Writes > 0 {
		p.writes = rate.NewLimiter(rate.Limit(p.Writes), int(p.Writes)+1)
	}
	if p.WeightRate > 0 {
		p.weights = rate.NewLimiter(rate.Limit(p.WeightRate), 1)
	}
	if p.Reads > 0 {
		p.reads = rate.NewLimiter(rate.Limit(p.Reads), int(p.Reads)+1)
	}
}

// Get implements store.API.
func (p *Platform) Get(ctx context.Context, key string) (store.Object, error) {
	if err := p.admit(ctx, false); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	if p.faults.Stale > 0 {
		p.faults.Stale--
		object, ok = p.previous[key]
	}
	if !ok {
		return store.Object{}, store.ErrAbsent
	}
	return object, nil
}

// Put implements store.API.
func (p *Platform) Put(ctx context.Context, object store.Object) (uint64, error) {
	if len(object.Value) > store.MaxValue {
		return 0, store.ErrTooLarge
	}
	if err := p.admit(ctx, true); err != nil {
		return 0, err
	}
	p.mu.Lock()
	if p.objects[object.Key].Version != object.Version {
		p.mu.Unlock()
		return 0, store.ErrConflict
	}
	p.revision++
	if old, ok := p.objects[object.Key]; ok {
		p.previous[object.Key] = old
	}
	value := append([]byte(nil), object.Value...)
	p.objects[object.Key] = store.Object{Key: object.Key, Value: value, Version: p.revision}
	if len(value) == 0 {
		delete(p.objects, object.Key)
	}
	version := p.revision
	close(p.changed)
	p.changed = make(chan struct{})
	lost := p.faults.LoseAnswers > 0
	if lost {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lost {
		return 0, ErrResponseLost
	}
	return version, nil
}

// Watch implements store.API.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Page, error) {
	if err := p.admit(ctx, false); err != nil {
		return store.Page{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		page, changed := p.changesAfter(prefix, after)
		if len(page.Objects) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
		p.mu.Lock()
		p.calls.Waits++
		p.mu.Unlock()
	}
}

// changesAfter returns the objects under prefix with versions over after, by
// version, and a channel that is closed by the next write.
func (p *Platform) changesAfter(prefix string, after uint64) (store.Page, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := store.Page{Revision: p.revision}
	objects := p.objects
	if p.faults.Stale > 0 {
		p.faults.Stale--
		objects = p.previous
	}
	for key, object := range objects {
		if object.Version > after && strings.HasPrefix(key, prefix) {
			page.Objects = append(page.Objects, object)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Version < page.Objects[j].Version })
	return page, p.changed
}

// Fetch reserves a load of one model from the weight store and returns its
// delay.
func (p *Platform) Fetch() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	if p.weights == nil {
		return 0
	}
	return p.weights.Reserve().Delay()
}

// SetVM adds a VM to the list, or replaces the one with the same name.
func (p *Platform) SetVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	p.vms[vm.Name] = vm
	p.recordList()
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	delete(p.vms, name)
	p.recordList()
}

// recordList appends the current list of VMs to lists and removes lists that are
// no longer returned. The caller must hold mu.
func (p *Platform) recordList() {
	list := store.List{Revision: uint64(len(p.lists) + 1)}
	if n := len(p.lists); n > 0 {
		list.Revision = p.lists[n-1].list.Revision + 1
	}
	for _, vm := range p.vms {
		list.VMs = append(list.VMs, vm)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].Name < list.VMs[j].Name })
	p.lists = append(p.lists, timedList{time.Now(), list})
	for len(p.lists) > 2 && time.Since(p.lists[1].at) >= p.ListLag {
		p.lists = p.lists[1:]
	}
}

// VMs implements store.API.
func (p *Platform) VMs(ctx context.Context, after uint64) (store.List, error) {
	if err := p.admit(ctx, false); err != nil {
		return store.List{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list store.List
	for _, timed := range p.lists {
		if time.Since(timed.at) >= p.ListLag {
			list = timed.list
		}
	}
	if list.Revision <= after {
		list.VMs = nil
	}
	return list, nil
}

// sleep waits for d. It returns ErrResponseLost if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrResponseLost, ctx.Err())
	}
}

// Peek returns an object without counting a call or applying faults, for
// checkers.
func (p *Platform) Peek(key string) (store.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	return object, ok
}
