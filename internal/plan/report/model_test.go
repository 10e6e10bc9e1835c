package report

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	window       = 5 * time.Second
	reportWithin = 10 * time.Second
)

// modelTiming is the timing of the lease in the model.
var modelTiming = lease.Timing{Duration: 4 * time.Second, RenewInterval: 1250 * time.Millisecond, SendDelay: 800 * time.Millisecond}

// process is a process of the model.
type process struct {
	name      string
	era       uint64
	lease     lease.Lease
	machine   Machine
	collector Collector
	fence     uint64
	starts    int
	started   time.Time
	// saved has the counts of y that the store had when the process became the holder.
	saved map[int64]uint32
	// forwarder is that of the process. messages counts what it has sent.
	forwarder Forwarder
	messages  int
}

// world is the model: a store with conditional writes that can be restored from an older
// copy, the platform, and two processes.
type world struct {
	now       time.Time
	era       uint64
	revision  uint64
	objects   map[string]store.Object
	copies    []map[string]store.Object
	inFlight  []store.Object
	processes [2]*process
	holder    int
	counted   uint32
	// bodies is what the platform has been sent for each window, owners the process and
	// start that has used each token, lastFence the highest token so far.
	bodies    map[int64]string
	owners    map[uint64]string
	lastFence uint64
	failure   string
	// u is a process that counts one request in an account of its own after each start.
	// early has its starts after which it sent early counts.
	u     restarts
	early []restarts
	// ended are the processes that counted one request in an account of their own, reached both
	// processes with it, and stopped as planned.
	ended []endedProcess
	// between, if set, happens once between the renewal of the lease and the next action.
	between func()
}

// endedProcess has the window of its request and the starts of the processes that have its counts.
type endedProcess struct {
	window int64
	starts [2]int
}

// end lets a process count and stop.
func (w *world) end() {
	number := WindowAt(w.now, window)
	e := endedProcess{window: number}
	name := fmt.Sprint("v", len(w.ended))
	for i, p := range w.processes {
		p.collector.Add(w.now, name, 1, Part{Window: number, Final: true, Parts: 1, Counts: []Count{{name, 1}}})
		e.starts[i] = p.starts
	}
	w.ended = append(w.ended, e)
}

// forward lets the processes forward counts to each other. Each third message is lost, and others
// come twice and in another order.
func (w *world) forward() {
	for i, p := range w.processes {
		other := w.processes[1-i]
		p.collector.Observe(w.now, true, []Process{{other.name, uint64(other.starts)}})
		live := func(q Process) bool { return q.Name == "x" || q == Process{"u", w.u.incarnation} }
		list := p.forwarder.Due(w.now, &p.collector, []Process{{other.name, uint64(other.starts)}}, p.machine.Reported(), live)
		slices.Reverse(list)
		for _, m := range append(list, list...) {
			if p.messages++; p.messages%3 != 0 {
				other.collector.AddForwarded(w.now, p.name, m.Forwarded)
			}
		}
	}
}

// restarts is a process that starts again and again. It learns true time settle after a start,
// which is longer than a window.
type restarts struct {
	incarnation uint64
	started     time.Time
	// starts are those of the two processes as it started.
	starts [2]int
}

const settle = 7 * time.Second

// account returns the account of an incarnation.
func (r restarts) account() string { return fmt.Sprint("u", r.incarnation) }

// restart ends u and starts it again. Each third incarnation sends early counts and is killed,
// those of the others are lost, and they stop as planned.
func (w *world) restart() {
	before := w.u
	w.u = restarts{before.incarnation + 1, w.now, [2]int{w.processes[0].starts, w.processes[1].starts}}
	planned, early := before.incarnation%3 != 0, w.u.incarnation%3 == 0
	for _, p := range w.processes {
		if planned {
			w.sendFinal(&p.collector, before, WindowAt(w.now, window))
		}
		if early {
			p.collector.AddEarly(w.now, w.now, "u", w.u.incarnation, []EarlyCount{{Account: w.u.account(), Requests: 1}})
		}
	}
	if early {
		w.early = append(w.early, w.u)
	}
}

// sendFinal sends the final counts of u of the windows since its start.
func (w *world) sendFinal(c *Collector, u restarts, last int64) {
	first := WindowAt(u.started, window)
	for number := first; number <= last; number++ {
		p := Part{Window: number, Final: true, Parts: 1, Replaces: true}
		if number == first {
			p.Counts = []Count{{u.account(), 1}}
		}
		c.Add(w.now, "u", u.incarnation, p)
	}
}

// expected returns the processes whose counts a report waits for.
func (w *world) expected() []Process {
	list := expect("x")
	if w.u.incarnation > 0 {
		list = append(list, Process{"u", w.u.incarnation})
	}
	return list
}

func newWorld() *world {
	w := &world{now: time.Unix(5000, 0), objects: map[string]store.Object{}, bodies: map[int64]string{}, owners: map[uint64]string{}}
	w.copies = []map[string]store.Object{{}}
	for i := range w.processes {
		w.processes[i] = &process{name: fmt.Sprint("p", i)}
		w.start(i)
	}
	return w
}

// start starts a process anew.
func (w *world) start(i int) {
	p := w.processes[i]
	p.starts++
	p.era, p.fence, p.started = 0, 0, w.now
	p.lease = lease.Lease{Holder: fmt.Sprint(p.name, "/", p.starts), Timing: modelTiming}
	p.machine = Machine{Window: window, ReportWithin: reportWithin, First: WindowAt(w.now, window)}
	p.collector, p.forwarder, p.messages = Collector{Window: window}, Forwarder{}, p.starts
}

func (w *world) get(p *process, key string) store.Object {
	p.era = w.era
	o := w.objects[key]
	o.Key, o.Version = key, store.Version(w.era, o.Version)
	return o
}

// apply writes an object at the store, which knows revisions only.
func (w *world) apply(o store.Object) bool {
	if w.objects[o.Key].Version != store.Revision(o.Version) {
		return false
	}
	w.revision++
	o.Version = w.revision
	next := map[string]store.Object{}
	for key, object := range w.objects {
		next[key] = object
	}
	next[o.Key] = o
	if len(o.Value) == 0 {
		delete(next, o.Key)
	}
	w.objects = next
	w.copies = append(w.copies, next)
	return true
}

// put writes an object. delayed leaves it in flight, which has an unknown outcome.
func (w *world) put(p *process, o store.Object, delayed bool) (uint64, bool) {
	if store.Revision(o.Version) != 0 && store.Era(o.Version) != p.era {
		return 0, false
	}
	if delayed {
		w.inFlight = append(w.inFlight, o)
		return 0, false
	}
	written := w.apply(o)
	p.era = w.era
	return store.Version(w.era, w.revision), written
}

// land applies the writes in flight.
func (w *world) land() {
	for _, o := range w.inFlight {
		w.apply(o)
	}
	w.inFlight = nil
}

// restore restores the store from the copy before the last writes.
func (w *world) restore(writes int) {
	w.era++
	w.objects = w.copies[max(len(w.copies)-1-writes, 0)]
	w.copies = append(w.copies, w.objects)
	w.revision = 0
	for _, o := range w.objects {
		w.revision = max(w.revision, o.Version)
	}
}

const leaseKey, usageKey, savedKey = "lease/duties", "duties/usage", "duties/counts"

// renew renews or acquires the lease for the process, as lease.Keeper does.
func (w *world) renew(p *process, delayed bool) {
	if !p.lease.Held() {
		p.lease.Observe(w.now, w.get(p, leaseKey))
		if !p.lease.Own() && !p.lease.Free(w.now) {
			w.pass(4100 * time.Millisecond)
			p.lease.Observe(w.now, w.get(p, leaseKey))
		}
		if !p.lease.Own() && !p.lease.Free(w.now) {
			return
		}
	}
	o, record := p.lease.AcquireWrite(leaseKey, "")
	version, ok := w.put(p, o, delayed)
	if !ok {
		p.lease.MarkLost()
		return
	}
	p.lease.RecordWrite(w.now, w.now, record, version)
}

// pass lets time pass, in which both collectors get further counts, not always the same.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(min(end.Sub(w.now), forwardDelays[1])) {
		w.forward()
	}
	w.forward()
	w.counted++
	for i, p := range w.processes {
		if w.u.incarnation > 0 && w.now.Sub(w.u.started) >= settle {
			w.sendFinal(&p.collector, w.u, WindowAt(w.now.Add(-finalDelay), window)-1)
		}
		for number := WindowAt(w.now, window) - 2; number <= WindowAt(w.now, window); number++ {
			p.collector.Add(w.now, "x", 1, Part{Window: number, Final: true, Parts: 1, Counts: []Count{{"a", w.counted + uint32(i)}}})
		}
	}
}

// act renews the lease of the holder and does its next action. It returns false if there is
// none.
func (w *world) act(lost, delayed bool) bool {
	p := w.processes[w.holder]
	w.renew(p, false)
	grant, ok := p.lease.Grant(w.now)
	if !ok {
		return false
	}
	if grant.Fence != p.fence {
		p.fence = grant.Fence
		p.machine.Begin(w.now)
		p.saved = w.saved()
	}
	if w.between != nil {
		w.between()
		w.between = nil
	}
	p.machine.RereadSaved(w.now, &p.collector, nil, map[string]uint64{"x": 1, "u": w.u.incarnation})
	a := p.machine.Decide(w.now, p.era, &p.collector, w.expected())
	switch a.Kind {
	case Read:
		o := w.get(p, usageKey)
		if lost {
			return true
		}
		_ = p.machine.Read(w.now, o.Version, o.Value, &p.collector)
	case ReadSaved:
		o := w.get(p, savedKey)
		if lost {
			return true
		}
		_ = p.machine.ReadSaved(w.now, o.Version, o.Value, &p.collector)
	case RemoveSaved:
		_, written := w.put(p, store.Object{Key: savedKey, Version: a.Version}, delayed)
		if lost || !written {
			p.machine.UnsettledSaved()
			return true
		}
		p.machine.RemovedSaved()
	case Fix:
		w.checkCounts(p, a.Record.Report)
		version, written := w.put(p, store.Object{Key: usageKey, Value: a.Record.Encode(), Version: a.Version}, delayed)
		if lost || !written {
			p.machine.Unsettled()
			return true
		}
		p.machine.Fixed(version, a)
	case Send:
		w.receive(p, grant, a.Report)
		if !lost && !delayed {
			p.machine.Delivered(a.Report)
		}
	default:
		return false
	}
	return true
}

// stop stops all processes as planned, one after the other, so that there is no collector left.
// They start again. Another process had stopped before, whose counts only the collectors have.
func (w *world) stop() {
	for i, p := range w.processes {
		number := WindowAt(w.now, window)
		p.collector.Add(w.now, "y", 1, Part{Window: number, Final: true, Parts: 1, Counts: []Count{{"b", w.counted + uint32(i) + 1}}})
	}
	for i, p := range w.processes {
		o := w.get(p, savedKey)
		if s, err := ParseSaved(o.Value); err == nil && s.Era == w.era {
			p.collector.Restore(w.now, s)
		}
		o.Version, o.Value = w.objects[savedKey].Version, encoded(p.collector.Save(w.era))
		w.apply(o)
		w.start(i)
	}
}

// saved returns the counts of y that the store has.
func (w *world) saved() map[int64]uint32 {
	counts := map[int64]uint32{}
	s, err := ParseSaved(w.objects[savedKey].Value)
	if err != nil || s.Era != w.era {
		return counts
	}
	for _, h := range s.Shares {
		if h.Process == "y" {
			counts[h.Window] = h.Counts[1]
		}
	}
	return counts
}

// checkCounts checks that a report that is fixed has the counts that the store had when its
// holder began, and those of the last start of u once, if it is not fixed at the latest time,
// early counts that reached the holder, and those of ended processes that one process has kept.
func (w *world) checkCounts(p *process, r Report) {
	var body struct{ Counts map[string]uint32 }
	if err := json.Unmarshal([]byte(r.Body), &body); err != nil || body.Counts["b"] < p.saved[r.Window] {
		w.failure = fmt.Sprintf("window %d lacks saved counts, %d: %s", r.Window, p.saved[r.Window], r.Body)
	}
	waited := w.now.Before(EndOf(r.Window, window).Add(reportWithin - latestFix))
	if waited && w.u.incarnation > 0 && r.Window == WindowAt(w.u.started, window) && body.Counts[w.u.account()] != 1 {
		w.failure = fmt.Sprintf("window %d lacks the last start: %s", r.Window, r.Body)
	}
	for i, e := range w.ended {
		held := w.processes[0].starts == e.starts[0] || w.processes[1].starts == e.starts[1]
		if r.Window == e.window && held && w.now.Sub(p.started) >= collectTime && body.Counts[fmt.Sprint("v", i)] != 1 {
			w.failure = fmt.Sprintf("window %d lacks counts of an ended process: %s", r.Window, r.Body)
		}
	}
	for _, u := range w.early {
		if r.Window == WindowAt(u.started, window) && p.starts == u.starts[w.holder] && body.Counts[u.account()] != 1 {
			w.failure = fmt.Sprintf("window %d has early counts not once: %s", r.Window, r.Body)
		}
	}
}

// receive checks a report at the platform.
func (w *world) receive(p *process, grant lease.Grant, r Report) {
	owner := fmt.Sprint(p.name, "/", p.starts)
	if known, used := w.owners[grant.Fence]; used && known != owner {
		w.failure = fmt.Sprintf("token %d used by %s and %s", grant.Fence, known, owner)
	}
	if grant.Fence < w.lastFence {
		w.failure = fmt.Sprintf("token %d after %d", grant.Fence, w.lastFence)
	}
	w.owners[grant.Fence], w.lastFence = owner, grant.Fence
	if body, sent := w.bodies[r.Window]; sent && body != r.Body {
		w.failure = fmt.Sprintf("window %d: %s and %s", r.Window, body, r.Body)
	}
	w.bodies[r.Window] = r.Body
}

// run lets a window pass and does all actions.
func (w *world) run() {
	w.pass(window)
	for range 12 {
		if !w.act(false, false) {
			return
		}
	}
}

// events are what can happen, each with a letter for the sequence.
var events = []struct {
	letter byte
	do     func(w *world)
}{
	{'r', (*world).run},
	{'h', func(w *world) { w.holder = 1 - w.holder }},
	{'k', func(w *world) { w.start(w.holder); w.holder = 1 - w.holder }},
	{'s', func(w *world) { w.pass(time.Second); w.act(false, false) }},
	{'l', func(w *world) { w.pass(time.Second); w.act(true, false) }},
	{'d', func(w *world) { w.pass(time.Second); w.act(false, true) }},
	{'n', func(w *world) { w.renew(w.processes[w.holder], true) }},
	{'f', (*world).land},
	{'b', func(w *world) { w.restore(2) }},
	{'c', func(w *world) { w.restore(7) }},
	{'m', func(w *world) { w.between = func() { w.restore(1) } }},
	{'a', (*world).stop},
	{'u', (*world).restart},
	{'v', (*world).end},
}

// exhaustiveLength is the length up to which all sequences are walked, 38,416 of them. Length
// 5 takes minutes. longSequences longer ones of up to maxLength events are drawn.
const (
	exhaustiveLength = 4
	longSequences    = 4000
	maxLength        = 12
)

// TestNoWindowHasTwoContents walks all short sequences of holder changes, kills, actions,
// lost responses, writes in flight and restored stores, and some long ones. It checks that no
// window is sent with two contents, that no token is used by two processes and none after a
// higher one, and that reports go on after each sequence.
func TestNoWindowHasTwoContents(t *testing.T) {
	sequence := make([]int, exhaustiveLength)
	for next := true; next; {
		walk(t, sequence)
		next = false
		for i := range sequence {
			if sequence[i]++; sequence[i] < len(events) {
				next = true
				break
			}
			sequence[i] = 0
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range longSequences {
		long := make([]int, exhaustiveLength+1+random.IntN(maxLength-exhaustiveLength))
		for i := range long {
			long[i] = random.IntN(len(events))
		}
		walk(t, long)
	}
}

// walk plays a sequence of events.
func walk(t *testing.T, sequence []int) {
	t.Helper()
	w, letters := newWorld(), ""
	w.run()
	for _, e := range sequence {
		letters += string(events[e].letter)
		events[e].do(w)
	}
	w.between = nil
	w.land()
	for range 6 {
		w.run()
	}
	if n := WindowAt(w.now, window); w.failure == "" && w.bodies[n-1] == "" && w.bodies[n-2] == "" {
		w.failure = "no reports after the sequence"
	}
	require.Empty(t, w.failure, "after %s", letters)
}
