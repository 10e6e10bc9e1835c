package feed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	storeDelay   = 4 * time.Millisecond
	storeTimeout = time.Second
	relayDelay   = 2 * time.Millisecond
	// liveFor is how long a process that has ended still counts as live.
	liveFor = 800 * time.Millisecond
)

var kinds = []Kind{{Name: "config", Strict: true}, {Name: "servers", Strict: true}, {Name: "members", First: true}, {Name: "quarantine"}, {Name: "origins"}}

// event is a change of the fake store.
type event struct {
	revision uint64
	object   store.Object
}

// fakeStore is a store with long polls. A removal has the version of the last value.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]store.Object
	events   []event
	// forgotten is the revision up to which changes are not kept.
	forgotten uint64
	changed   chan struct{}
	down      bool
	calls     int
}

func newStore() *fakeStore {
	return &fakeStore{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := store.Object{Key: key, Value: []byte(value), Version: store.Version(s.era, s.revision)}
	if value == "" {
		o = s.objects[key]
		o.Removed = true
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.events = append(s.events, event{s.revision, o})
	s.wake()
}

func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore brings the store back from the copy.
func (s *fakeStore) restore(copied map[string]store.Object, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.objects, s.events, s.revision, s.forgotten = map[string]store.Object{}, nil, revision, revision
	for key, o := range copied {
		o.Version = store.Version(s.era, store.Revision(o.Version))
		s.objects[key] = o
	}
	s.wake()
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func isKind(key, kind string) bool { return strings.HasPrefix(key, kind+"/") }

func (s *fakeStore) List(_ context.Context, kind, _ string) (store.Page, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return store.Page{}, store.ErrRefused
	}
	page := store.Page{Revision: store.Version(s.era, s.revision)}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if isKind(key, kind) {
			page.Objects = append(page.Objects, s.objects[key])
		}
	}
	return page, nil
}

func (s *fakeStore) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		page, err := s.since(kind, after)
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(page.Objects) > 0 || !time.Now().Before(end) {
			return page, err
		}
		if err := waitFor(ctx, changed, time.Until(end)); err != nil {
			return store.Page{}, err
		}
	}
}

func (s *fakeStore) since(kind string, after uint64) (store.Page, error) {
	switch {
	case s.down:
		return store.Page{}, store.ErrRefused
	case store.Era(after) != s.era || store.Revision(after) < s.forgotten:
		return store.Page{}, store.ErrForgotten
	}
	page := store.Page{Revision: store.Version(s.era, s.revision)}
	for _, e := range s.events {
		if isKind(e.object.Key, kind) && e.revision > store.Revision(after) {
			page.Objects = append(page.Objects, e.object)
		}
	}
	return page, nil
}

// linkTo is a process's way to the store. While it is cut, calls have no response, nor do
// those that were begun before. While it is frozen, responses come late.
type linkTo struct {
	*fakeStore
	mu     sync.Mutex
	cut    bool
	frozen time.Time
}

func (l *linkTo) set(cut bool, frozen time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.frozen = cut, frozen
}

// call makes a call that is bounded by its timeout.
func (l *linkTo) call(ctx context.Context, wait time.Duration, do func(context.Context) (store.Page, error)) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	page, err := do(ctx)
	l.mu.Lock()
	cut, frozen := l.cut, l.frozen
	l.mu.Unlock()
	if pause := time.Until(frozen); pause > 0 {
		time.Sleep(pause)
		return page, err
	}
	if cut {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	return page, err
}

func (l *linkTo) List(ctx context.Context, kind, after string) (store.Page, error) {
	return l.call(ctx, 0, func(ctx context.Context) (store.Page, error) { return l.fakeStore.List(ctx, kind, after) })
}

func (l *linkTo) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	return l.call(ctx, wait, func(ctx context.Context) (store.Page, error) { return l.fakeStore.Changes(ctx, kind, after, wait) })
}

// objectsView records the objects of a kind as a follower has them.
type objectsView struct {
	mu      sync.Mutex
	objects map[string]string
	// revision is the highest that was seen, back counts the times that one was lower.
	revision uint64
	back     int
	listed   time.Time
	// outages counts lists after an outage.
	outages int
	// at is when the value of a key was last seen to change.
	at map[string]time.Time
}

func (v *objectsView) see(page store.Page) {
	if page.Revision < v.revision {
		v.back++
	}
	v.revision = page.Revision
	for _, o := range page.Objects {
		value := string(o.Value)
		if o.Removed {
			value = ""
		}
		v.set(o.Key, value)
	}
}

func (v *objectsView) set(key, value string) {
	if v.objects[key] == value {
		return
	}
	v.at[key] = time.Now()
	v.objects[key] = value
}

func (v *objectsView) Replace(page store.Page, outage bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed.IsZero() {
		v.listed = time.Now()
	}
	if outage {
		v.outages++
	}
	for key := range v.objects {
		if !slices.ContainsFunc(page.Objects, func(o store.Object) bool { return o.Key == key }) {
			v.set(key, "")
		}
	}
	v.see(page)
}

func (v *objectsView) Change(page store.Page) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.see(page)
}

func (v *objectsView) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.objects[key]
}

// process is a process of the world.
type process struct {
	Process
	feed   *Feed
	link   *linkTo
	health follow.Health
	meters *meter.Set
	views  map[string]*objectsView
	cancel context.CancelFunc
	// killed is when it ended, frozen until when it does not respond.
	killed, frozen time.Time
}

// world has processes that follow one store.
type world struct {
	t      *testing.T
	store  *fakeStore
	relays int
	mu     sync.Mutex
	list   []*process
	// answer, if set, changes what a relay answers.
	answer func(relay string, a *wire.FeedAnswer)
	// none is set if there are no relays although they are configured.
	none bool
	// fresh is set if the processes have no entries before they start.
	fresh bool
	// bytes counts those of the messages between processes.
	bytes int
}

func newWorld(t *testing.T, processes, zones, relays int) *world {
	w := &world{t: t, store: newStore(), relays: relays}
	for i := range processes {
		p := &process{link: &linkTo{fakeStore: w.store}, meters: &meter.Set{}, views: map[string]*objectsView{}}
		p.Process = Process{
			Name: fmt.Sprintf("p%03d", i), AvailabilityZone: fmt.Sprint("z", i%zones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i % 256)}), 7000), Cores: float64(1+i/zones%3) / 4,
		}
		w.list = append(w.list, p)
	}
	for i := range 50 {
		w.store.put(fmt.Sprintf("servers/s%02d", i), strings.Repeat("x", 220))
	}
	w.store.put("config/main", "0")
	return w
}

var errGone = errors.New("connection refused")

// Changes implements Caller.
func (w *world) Changes(ctx context.Context, address netip.AddrPort, q *wire.FeedQuery) (*wire.FeedAnswer, error) {
	time.Sleep(relayDelay)
	index := slices.IndexFunc(w.list, func(p *process) bool { return p.Address == address })
	p := w.list[index]
	w.mu.Lock()
	killed, frozen, change := !p.killed.IsZero() || p.feed == nil, p.frozen, w.answer
	w.mu.Unlock()
	if killed {
		return nil, errGone
	}
	if !w.thaw(ctx, frozen) {
		return nil, ctx.Err()
	}
	answer := p.feed.Answer(ctx, q)
	w.mu.Lock()
	killed, frozen = !p.killed.IsZero(), p.frozen
	w.bytes += proto.Size(q) + proto.Size(answer)
	w.mu.Unlock()
	if killed {
		return nil, errGone
	}
	if !w.thaw(ctx, frozen) {
		return nil, ctx.Err()
	}
	if change != nil {
		change(p.Name, answer)
	}
	return answer, ctx.Err()
}

// thaw waits until a frozen process goes on.
func (w *world) thaw(ctx context.Context, frozen time.Time) bool {
	pause := time.Until(frozen)
	return pause <= 0 || waitFor(ctx, nil, pause) == nil
}

// choose returns the choice of a process that has been running for a time.
func (w *world) choose(p *process, started time.Time) Choice {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.none {
		return Choice{Active: true}
	}
	now := time.Now()
	var processes []Process
	for _, other := range w.list {
		if w.fresh && other != p && p.views["members"].get("members/"+other.Name) == "" {
			continue
		}
		o := other.Process
		o.Heard = now.Sub(started) > 2*time.Second && other.feed != nil
		o.Live = o.Heard && (other.killed.IsZero() || now.Sub(other.killed) < liveFor)
		processes = append(processes, o)
	}
	if p.views["members"].listedAt().IsZero() {
		return Choice{}
	}
	return Choose(p.Name, processes, w.relays, now.Sub(started) < Young)
}

func (v *objectsView) listedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// start runs all processes until ctx ends, each with its followers.
func (w *world) start(ctx context.Context) {
	for _, p := range w.list {
		w.run(ctx, p)
	}
}

// run runs one process. Without relays its followers read from the store at the intervals of
// a node of the system's size.
func (w *world) run(ctx context.Context, p *process) {
	ctx, p.cancel = context.WithCancel(ctx)
	started := time.Now()
	var source follow.Feed = p.link
	w.mu.Lock()
	for _, k := range kinds {
		p.views[k.Name] = &objectsView{objects: map[string]string{}, at: map[string]time.Time{}}
	}
	if w.relays > 0 {
		p.feed = &Feed{
			Direct: p.link, Caller: w, Choose: func() Choice { return w.choose(p, started) }, Kinds: kinds,
			Health: &p.health, Meters: p.meters, Log: zap.NewNop(),
		}
		source = p.feed
	}
	w.mu.Unlock()
	for _, k := range kinds {
		poll, pause := nodeTimes(len(w.list), k.Name)
		f := &follow.Follower{
			Kind: k.Name, Feed: source, View: p.views[k.Name], Health: &p.health, Log: zap.NewNop(),
			PollTimeout: func() time.Duration { return poll },
			Debounce: func() time.Duration {
				switch {
				case p.feed != nil && p.feed.Relayed(k.Name):
					return 0
				case p.feed != nil && p.views["config"].listedAt().IsZero():
					return min(pause, 100*time.Millisecond)
				}
				return pause*3/4 + rand.N(pause/2+1)
			},
		}
		go func() { _ = f.Run(ctx) }()
	}
	if w.fresh {
		go func() {
			time.Sleep(rand.N(60 * time.Millisecond))
			w.store.put("members/"+p.Name, "entry")
		}()
	}
	if p.feed != nil {
		go func() { _ = p.feed.Run(ctx) }()
	}
}

// nodeTimes returns the poll timeout of package core, and its pause after changes, in a
// system with this many live processes.
func nodeTimes(processes int, kind string) (poll, pause time.Duration) {
	scaled := max(2*time.Second, 2*time.Second*time.Duration(processes)/6)
	poll = min(scaled, 10*time.Second)
	switch kind {
	case "config":
		return poll, poll / 12
	case "servers":
		return poll, min(scaled/12, 1500*time.Millisecond)
	case "members":
		return 20 * time.Second, max(20*time.Second, 2*scaled) / 12
	}
	return 20 * time.Second, 0
}

// relaysOf returns the relays of a zone as its processes choose them.
func (w *world) relaysOf(zone string) []*process {
	var relays []*process
	for _, p := range w.list {
		if p.AvailabilityZone == zone && w.choose(p, time.Time{}).Relay {
			relays = append(relays, p)
		}
	}
	return relays
}

// kill ends a process.
func (w *world) kill(p *process) {
	w.mu.Lock()
	p.killed = time.Now()
	w.mu.Unlock()
	p.cancel()
}

// freeze makes a process neither respond nor get responses for a time.
func (w *world) freeze(p *process, d time.Duration) {
	until := time.Now().Add(d)
	w.mu.Lock()
	p.frozen = until
	w.mu.Unlock()
	p.link.set(false, until)
}

// has returns when the process had the value of a key, false if it does not have it.
func (v *objectsView) has(key, value string) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at[key], v.objects[key] == value
}

// end waits until all calls have ended after the processes have.
func (w *world) end() { time.Sleep(time.Minute) }
