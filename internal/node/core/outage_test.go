package core

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// outageMode is what the store does during an outage.
type outageMode string

// The modes.
const (
	// silent leaves calls without a response, also those that are open as it begins.
	silent outageMode = "silent"
	// busy refuses calls, open watches go on; refusing cuts these off.
	busy     outageMode = "busy"
	refusing outageMode = "refusing"
	// stalled leaves calls open, and answers those that are open at the end: the store has no
	// processor.
	stalled outageMode = "stalled"
	// forgetting is no outage: the store answers, but has discarded the changes that a watch
	// asks for.
	forgetting outageMode = "forgetting"
	// partial is none either: calls of one kind fail, all others are answered.
	partial outageMode = "partial"
	// conflicting is none either: reads are answered, and each write with a conflict.
	conflicting outageMode = "conflicting"
)

// troubledStore is a store with outages. It bounds calls as platform.Store does.
type troubledStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]store.Object
	history  []store.Object
	mode     outageMode
	// broken counts the outages that open calls don't survive, cut those in which they end
	// with an error at once.
	broken, cut int
	changed     chan struct{}
}

const (
	// callTimeout bounds a call to the store, callTime is how long one takes.
	callTimeout = time.Second
	callTime    = 4 * time.Millisecond
)

var errReset = errors.New("connection reset")

func newTroubledStore() *troubledStore {
	return &troubledStore{revision: 100, objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// wake wakes the watches. s.mu must be held.
func (s *troubledStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin begins an outage, end ends it.
func (s *troubledStore) begin(mode outageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	switch mode {
	case silent:
		s.broken++
	case refusing:
		s.cut++
	}
	s.wake()
}

func (s *troubledStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = ""
	s.wake()
}

// write writes an object, also during an outage, or removes it if it has no value.
func (s *troubledStore) write(o store.Object) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Version, o.Removed = s.revision, len(o.Value) == 0
	if s.objects[o.Key] = o; o.Removed {
		delete(s.objects, o.Key)
	}
	s.history = append(s.history, o)
	s.wake()
	return o
}

// partlyFailing is the kind whose calls fail while the mode is partial.
const partlyFailing = "quarantine"

// enter begins a call for objects of a kind.
func (s *troubledStore) enter(ctx context.Context, kind string) error {
	time.Sleep(callTime)
	s.mu.Lock()
	for s.mode == stalled {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
	}
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case busy, refusing:
		return store.ErrRefused
	case partial:
		if kind == partlyFailing {
			return store.ErrRefused
		}
	}
	return nil
}

func (s *troubledStore) List(ctx context.Context, kind, _ string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, kind); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (s *troubledStore) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := s.enter(ctx, kind); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == forgetting {
		return store.Page{}, store.ErrForgotten
	}
	broken, cut, end := s.broken, s.cut, time.NewTimer(wait)
	defer end.Stop()
	for ended := false; ; {
		p := store.Page{Revision: s.revision}
		for _, o := range s.history {
			if strings.HasPrefix(o.Key, kind+"/") && o.Version > after {
				p.Objects = append(p.Objects, o)
			}
		}
		// During an outage nobody gets a response.
		if (s.mode == "" || s.mode == partial || s.mode == conflicting) && (ended || len(p.Objects) > 0) {
			return p, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			ended = true
			end.Reset(callTimeout)
		case <-ctx.Done():
		}
		s.mu.Lock()
		switch {
		case ctx.Err() != nil:
			return store.Page{}, ctx.Err()
		case s.cut != cut:
			return store.Page{}, errReset
		case s.broken != broken:
			s.mu.Unlock()
			<-ctx.Done()
			s.mu.Lock()
			return store.Page{}, ctx.Err()
		}
	}
}

func (s *troubledStore) Get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, ""); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrAbsent
	}
	return o, nil
}

func (s *troubledStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, ""); err != nil {
		return 0, err
	}
	s.mu.Lock()
	conflict := s.mode == conflicting
	s.mu.Unlock()
	if conflict {
		return 0, store.ErrConflict
	}
	return s.write(o).Version, nil
}

// laggingStore is a store whose answers take a time to arrive.
type laggingStore struct {
	*troubledStore
	answering time.Duration
}

func (s laggingStore) List(ctx context.Context, kind, after string) (store.Page, error) {
	p, err := s.troubledStore.List(ctx, kind, after)
	time.Sleep(s.answering)
	return p, err
}

func (s laggingStore) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	p, err := s.troubledStore.Changes(ctx, kind, after, wait)
	time.Sleep(s.answering)
	return p, err
}

// fleet is a system of processes with a store, which exchange status messages.
type fleet struct {
	store *troubledStore
	nodes []*Node
	tasks sync.WaitGroup
	end   context.CancelFunc
	// bound is the promise on leaving servers.
	bound time.Duration
	// offset returns when the nth task of a process begins.
	offset func(n int) time.Duration
}

// settled is how long after an outage the promises hold again.
const settled = 3 * time.Second

// startFleet starts so many processes, with an entry of each of so many backend servers.
func startFleet(t *testing.T, processes, servers int) *fleet {
	return startSlowFleet(t, processes, servers, 0)
}

// startSlowFleet is startFleet with a store whose answers take a time to arrive.
func startSlowFleet(t *testing.T, processes, servers int, answering time.Duration) *fleet {
	f := &fleet{store: newTroubledStore(), bound: 2 * time.Second, offset: func(int) time.Duration { return rand.N(time.Second) }}
	f.start(t, processes, servers, answering)
	return f
}

// start starts the processes.
func (f *fleet) start(t *testing.T, processes, servers int, answering time.Duration) {
	f.store.write(configObject(3))
	for i := range servers {
		f.store.write(entryOf(i, 1))
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.end = cancel
	for i := range processes {
		n := newNode(t)
		n.Name = fmt.Sprint("p", i)
		n.peers.Self = n.Name
		n.Feed, n.Store, n.WatchFor, n.LeaveWithin = laggingStore{f.store, answering}, f.store, 2*time.Second, f.bound
		n.observeStore()
		n.tableFollower.Feed, n.serversFollower.Feed = n.Feed, n.Feed
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			n.peers.Set(peers.Member{Name: other.Name, Address: n.Address})
		}
		f.run(ctx, n)
	}
}

// run runs the tasks of a process that keep its view of the store.
func (f *fleet) run(ctx context.Context, n *Node) {
	for i, do := range []func(context.Context) error{
		n.tableFollower.Run,
		n.serversFollower.Run,
		n.follower(n.Keys.QuarantineKind, quarantineView{n.quarantine}, n.membersPollTimeout, nil).Run,
		n.follower(n.Keys.OriginsKind, n.origins.defaults, n.membersPollTimeout, nil).Run,
		n.announce,
	} {
		f.tasks.Go(func() {
			time.Sleep(f.offset(i))
			_ = do(ctx)
		})
	}
	f.tasks.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(tickInterval)
			n.expireServers(time.Now())
			if i%10 != 0 {
				continue
			}
			for _, other := range f.nodes {
				if other != n {
					message, _ := n.composeStatus()
					other.handleStatus(message)
				}
			}
		}
	})
}

// close ends the tasks.
func (f *fleet) close() {
	f.end()
	f.tasks.Wait()
}

// uses returns the processes that use a backend server.
func (f *fleet) uses(server string) []string {
	var names []string
	for _, n := range f.nodes {
		for _, s := range n.roster.Service("s") {
			if s.ID == server {
				names = append(names, n.Name)
			}
		}
	}
	return names
}

// entryOf returns the entry of a backend server as it writes it for the nth time.
func entryOf(server, sequence int) store.Object {
	o := serverEntry(fmt.Sprint("i-", server), fmt.Sprintf(`,"Sequence":%d`, sequence))
	o.Value = []byte(strings.Replace(string(o.Value), "10.0.0.1", fmt.Sprint("10.0.1.", server), 1))
	return o
}

// expiry is the time without a heartbeat after which an entry expires: in no shorter outage
// do any.
const expiry = 3600 * time.Millisecond

// outages are their lengths, in the mode, and the pause between two.
type outages struct {
	mode    outageMode
	lengths []time.Duration
	pause   time.Duration
}

// play plays the outages and returns the end of the last one. In the first that is long
// enough it has entries expire.
func (o outages) play(f *fleet, expire func()) time.Time {
	expired := false
	for i, length := range o.lengths {
		if i > 0 {
			time.Sleep(o.pause)
		}
		f.store.begin(o.mode)
		began := time.Now()
		if length >= expiry && !expired {
			time.Sleep(length/2 + rand.N(length/2))
			expire()
			expired = true
		}
		time.Sleep(time.Until(began.Add(length)))
		f.store.end()
	}
	return time.Now()
}

// outageCases returns outages of many lengths, alone and in twos.
func outageCases() []outages {
	var list []outages
	for _, mode := range []outageMode{silent, busy, refusing} {
		for _, length := range []time.Duration{0, 50, 300, 700, 1000, 1500, 2100, 2900, 3300, 4600, 4900, 8000, 15000} {
			list = append(list, outages{mode, []time.Duration{length * time.Millisecond}, 0})
		}
		list = append(list, outages{mode, []time.Duration{4600 * time.Millisecond, 3 * time.Second}, 700 * time.Millisecond},
			outages{mode, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}, 300 * time.Millisecond},
			outages{mode, []time.Duration{3 * time.Second, 4600 * time.Millisecond}, 2500 * time.Millisecond},
			outages{mode, []time.Duration{4600 * time.Millisecond, 8 * time.Second}, time.Second})
	}
	return list
}

// rounds is how often the tests play each case, with other moments.
var rounds = flag.Int("outage-rounds", 1, "how often each outage is played")

// walkStride is how many orders of TestServerThatLeftIsDroppedInAnyOrder are passed over; 1
// plays all.
var walkStride = flag.Int("walk-stride", 5, "which orders of calls, outages and removals are played: each nth")

// order is the order of the events around one or two outages: when the first begins after a
// poll for changes of the servers, how long they and the pause between them are, when the
// server leaves after the end of the last, and how long responses take to arrive.
type order struct {
	phase, length, pause, second, after, answering time.Duration
}

// allOrders returns all combinations.
func allOrders() []order {
	const ms = time.Millisecond
	var list []order
	for _, phase := range []time.Duration{0, 300 * ms, 900 * ms, 1500 * ms, 1950 * ms} {
		for _, length := range []time.Duration{20 * ms, 400 * ms, 1000 * ms, 1700 * ms, 2600 * ms, 3400 * ms, 4600 * ms} {
			for _, two := range [][2]time.Duration{{0, 0}, {100 * ms, 300 * ms}, {100 * ms, 1200 * ms}, {800 * ms, 300 * ms}, {800 * ms, 1200 * ms}, {800 * ms, 3200 * ms}, {2000 * ms, 300 * ms}, {2000 * ms, 1200 * ms}} {
				for _, after := range []time.Duration{0, 50 * ms, 500 * ms, 1000 * ms, 1800 * ms} {
					for _, answering := range []time.Duration{0, 200 * ms, 600 * ms} {
						list = append(list, order{phase, length, two[0], two[1], settled + after, answering})
					}
				}
			}
		}
	}
	return list
}

// TestServerThatLeftIsDroppedInAnyOrder guards against an order of polls, outages and the removal
// in which a server is used for too long, or another one is not. The bound counts from the store's
// own time of the removal.
func TestServerThatLeftIsDroppedInAnyOrder(t *testing.T) {
	var late []string
	list := allOrders()
	for i := rand.N(*walkStride); i < len(list); i += *walkStride {
		o := list[i]
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: newTroubledStore(), bound: 2 * time.Second, offset: func(n int) time.Duration { return time.Duration(n) * 170 * time.Millisecond }}
			f.start(t, 1, 3, o.answering)
			defer f.close()
			// The poll for changes of the servers begins anew with this one, after a pause.
			time.Sleep(5 * time.Second)
			f.store.write(entryOf(3, 1))
			time.Sleep(o.phase + o.answering + 300*time.Millisecond)
			lengths := []time.Duration{o.length}
			if o.second > 0 {
				lengths = append(lengths, o.second)
			}
			ended := outages{silent, lengths, o.pause}.play(f, func() {})
			time.Sleep(time.Until(ended.Add(o.after)))
			f.store.write(store.Object{Key: "servers/i-0"})
			time.Sleep(f.bound)
			if len(f.uses("i-0")) > 0 || len(f.uses("i-1")) == 0 {
				late = append(late, fmt.Sprintf("%+v", o))
			}
		})
	}
	assert.Empty(t, late)
}

// eachOutage plays all outages with so many processes, beside others in bubbles of their own.
func eachOutage(t *testing.T, sizes []int, servers int, do func(f *fleet, o outages, round int)) {
	round := 0
	for range *rounds {
		for _, processes := range sizes {
			for _, o := range outageCases() {
				if processes > smallSystem && o.mode != silent {
					// Larger systems differ in how long a poll may get no response.
					continue
				}
				round++
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, processes, servers)
					defer f.close()
					time.Sleep(5*time.Second + rand.N(3*time.Second))
					do(f, o, round)
				})
			}
		}
	}
}

// TestServerThatLeftAfterAnOutageIsDroppedInTime guards against a backend server that left when
// the store was stable again, and that gets requests for longer than LeaveWithin, as its entry
// might have expired in the outage before.
func TestServerThatLeftAfterAnOutageIsDroppedInTime(t *testing.T) {
	afters := []time.Duration{0, 100 * time.Millisecond, time.Second, 0, 2500 * time.Millisecond}
	var late []string
	eachOutage(t, []int{1, 3, 6, 13, 23}, 4, func(f *fleet, o outages, round int) {
		after, leaving := settled+afters[round%len(afters)], 1+2*(round%2)
		ended := o.play(f, func() {})
		time.Sleep(time.Until(ended.Add(after)))
		for i := range leaving {
			f.store.write(store.Object{Key: fmt.Sprint("servers/i-", i)})
		}
		time.Sleep(f.bound)
		for i := range 4 {
			users := f.uses(fmt.Sprint("i-", i))
			if i < leaving && len(users) > 0 || i >= leaving && len(users) < len(f.nodes) {
				late = append(late, fmt.Sprintf("%v, %d processes, %d servers leave %v after it: i-%d is used by %v", o, len(f.nodes), leaving, after, i, users))
			}
		}
	})
	assert.Empty(t, late)
}

// TestServersWhoseEntriesExpiredInAnOutageAreUsed guards against backend servers that get no
// requests after an outage of the store in which their entries expired, though they have
// written them again within two seconds.
func TestServersWhoseEntriesExpiredInAnOutageAreUsed(t *testing.T) {
	const servers = 4
	var missing []string
	eachOutage(t, []int{1, 3, 6}, servers, func(f *fleet, o outages, round int) {
		expired := 1 + 3*(round%2)
		ended := o.play(f, func() {
			for i := range expired {
				f.store.write(store.Object{Key: fmt.Sprint("servers/i-", i)})
			}
		})
		unused := map[string]bool{}
		for d := time.Duration(0); d < 5*time.Second; d += 20 * time.Millisecond {
			time.Sleep(time.Until(ended.Add(d)))
			for i := range servers {
				if d == time.Duration(i+1)*500*time.Millisecond {
					f.store.write(entryOf(i, 9))
				}
				name := fmt.Sprint("i-", i)
				if users := f.uses(name); len(users) < len(f.nodes) && !unused[name] {
					unused[name] = true
					missing = append(missing, fmt.Sprintf("%v, %d processes, %d entries: %s is used by %v only %v after the end", o, len(f.nodes), expired, name, users, d))
				}
			}
		}
	})
	assert.Empty(t, missing)
}

// TestServerThatLeavesAsTheStoreIsBackIsDroppedInTime guards against a server that leaves in the
// moment in which a store without a processor goes on, and gets requests for longer than
// LeaveWithin, as its entry might have expired meanwhile.
func TestServerThatLeavesAsTheStoreIsBackIsDroppedInTime(t *testing.T) {
	var late []string
	for _, length := range []time.Duration{500, 1500, 3100, 4460, 9060} {
		for _, processes := range []int{1, 3, 6} {
			for after := time.Duration(0); after < 2400*time.Millisecond; after += 200 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, processes, 5)
					defer f.close()
					time.Sleep(5*time.Second + rand.N(3*time.Second))
					f.store.begin(stalled)
					time.Sleep(length * time.Millisecond)
					f.store.end()
					time.Sleep(after)
					f.store.write(store.Object{Key: "servers/i-0"})
					time.Sleep(f.bound)
					if users := f.uses("i-0"); len(users) > 0 || len(f.uses("i-1")) < processes {
						late = append(late, fmt.Sprintf("%v ms, left %v after it, %d processes: used by %v", int(length), after, processes, users))
					}
				})
			}
		}
	}
	assert.Empty(t, late)
}

// TestServersThatLeaveTogetherAsTheStoreIsBackAreDropped guards against the same for three
// servers of five, whose entries are as many as expire in an outage.
func TestServersThatLeaveTogetherAsTheStoreIsBackAreDropped(t *testing.T) {
	for _, processes := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, processes, 5)
			defer f.close()
			time.Sleep(5 * time.Second)
			f.store.begin(stalled)
			time.Sleep(4460 * time.Millisecond)
			f.store.end()
			for i := range 3 {
				f.store.write(store.Object{Key: fmt.Sprint("servers/i-", i)})
			}
			time.Sleep(f.bound)
			for i := range 3 {
				assert.Empty(t, f.uses(fmt.Sprint("i-", i)), processes)
			}
		})
	}
}

// TestServerThatLeavesWhileTheStoreAnswersIsDroppedInTime guards against a backend server that
// gets requests for as long as some calls to the store fail though it answers the others, or
// as it answers watches with lost history, as if that were an outage in which the server's
// entry may have expired.
func TestServerThatLeavesWhileTheStoreAnswersIsDroppedInTime(t *testing.T) {
	for _, mode := range []outageMode{forgetting, partial} {
		for _, processes := range []int{1, 3} {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, processes, 2)
				defer f.close()
				time.Sleep(5 * time.Second)
				f.store.begin(mode)
				time.Sleep(time.Minute)
				f.store.write(store.Object{Key: "servers/i-0"})
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), mode)
				assert.Len(t, f.uses("i-1"), processes, mode)
			})
		}
	}
}

// TestServersThatLeaveTogetherAreDroppedInTime guards against servers that leave together, as
// which their entries might have expired, and are used for too long as the store's answers take
// a time to arrive: the promise counts from the removal and not from when a process finds it.
func TestServersThatLeaveTogetherAreDroppedInTime(t *testing.T) {
	for _, answering := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		for _, processes := range []int{1, 3, 6, 13, 23} {
			for after := range 8 {
				synctest.Test(t, func(t *testing.T) {
					f := startSlowFleet(t, processes, 4, answering)
					defer f.close()
					time.Sleep(20*time.Second + rand.N(3*time.Second))
					// The removals come after another change, in the pause that follows it.
					f.store.write(entryOf(4, 1))
					time.Sleep(time.Duration(after) * 150 * time.Millisecond)
					for i := range 3 {
						f.store.write(store.Object{Key: fmt.Sprint("servers/i-", i)})
					}
					time.Sleep(f.bound)
					for i := range 3 {
						assert.Empty(t, f.uses(fmt.Sprint("i-", i)), "%v, %d processes, %d", answering, processes, after)
					}
					assert.Len(t, f.uses("i-3"), processes)
				})
			}
		}
	}
}

// TestServerThatLeavesWhileAWriteConflictsIsDroppedInTime guards against answers of the store to
// a write that count as failures: a process that could not announce itself for half a second took
// that for an outage, and used servers whose entries were removed meanwhile.
func TestServerThatLeavesWhileAWriteConflictsIsDroppedInTime(t *testing.T) {
	for after := 200 * time.Millisecond; after < 5*time.Second; after += 300 * time.Millisecond {
		for _, processes := range []int{1, 3} {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, processes, 2)
				defer f.close()
				time.Sleep(5 * time.Second)
				f.store.begin(conflicting)
				for _, n := range f.nodes {
					f.store.write(store.Object{Key: n.memberKey(n.Name)})
					n.announceAgain()
				}
				time.Sleep(after)
				f.store.write(store.Object{Key: "servers/i-0"})
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), "%d processes, removed %v after the conflicts began", processes, after)
				assert.Len(t, f.uses("i-1"), processes)
			})
		}
	}
}

// TestServerThatLeavesAsCallsOfOneKindBeginToFailIsDropped guards against a server that gets
// requests for too long as calls of one kind of objects have begun to be refused a moment ago,
// which counts as an outage until a later call of another kind has been answered.
func TestServerThatLeavesAsCallsOfOneKindBeginToFailIsDropped(t *testing.T) {
	for _, processes := range []int{1, 3} {
		for after := 200 * time.Millisecond; after < 8*time.Second; after += 300 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, processes, 2)
				defer f.close()
				time.Sleep(5 * time.Second)
				f.store.begin(partial)
				// A change ends the open poll of that kind, so that the next one is refused.
				f.store.write(store.Object{Key: partlyFailing + "/q", Value: []byte("{}")})
				time.Sleep(after)
				f.store.write(store.Object{Key: "servers/i-0"})
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), "%d processes, removed %v after the first refusal", processes, after)
				assert.Len(t, f.uses("i-1"), processes)
			})
		}
	}
}
