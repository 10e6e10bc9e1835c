// Package board keeps what a process believes of the engines: their load, what
// they have cached, how fast they are, and what this process sent them.
//
// Load reports lag and come from elsewhere. A process knows best what it did
// itself: each request that it sends is a Ticket, which corrects the last
// report at once and teaches the engine's rates when the first token and the
// following ones come.
//
// # Usage
//
//	engines, names := board.Candidates(now, query, buffer)
//	decision := place.Choose(request, engines)
//	ticket := board.Start(now, names[decision.Decode], prompt, cached)
//	ticket.First(now)
//	ticket.End(now, tokens)
//
// A Board is safe for concurrent use.
package board

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// Load is an engine's load as it is passed between processes.
type Load struct {
	Engine      string
	Incarnation uint64
	Sequence    uint64
	Role        spec.Role
	// Models are the tags of the models that are loaded.
	Models       []string
	Running      int
	QueuedTokens int
	Changing     bool
	OrderID      uint64
	// At is when the engine was read, by this process's clock.
	At time.Time
}

// Tag names a model as it is loaded: its name, version and adapters.
func Tag(m engine.Loaded) string {
	tag := m.Model + "@" + strconv.FormatInt(m.Version, 10)
	for _, adapter := range m.Adapters {
		tag += "+" + adapter
	}
	return tag
}

// newer reports whether l is later than old.
func (l Load) newer(old Load) bool {
	if l.Incarnation != old.Incarnation {
		return l.Incarnation > old.Incarnation
	}
	return l.Sequence > old.Sequence
}

// Board is the table of all engines and plain servers. The zero value is
// empty; Configure fills it.
type Board struct {
	// Zone is the availability zone of this process.
	Zone string

	mu      sync.Mutex
	entries map[string]*entry
	// models lists the engines that are declared for a model or report it.
	models   map[string][]*entry
	services map[string][]*entry
	leaving  leave.Set
	// outbox has the names whose load is news to others.
	outbox map[string]bool
	// output is the mean of the tokens that requests may have, of late.
	output float64
	// leaveNews counts how often an entry is still to be passed on.
	leaveNews map[leave.Entry]int
}

// leaveRepeats is how often an entry of who is leaving is passed on.
const leaveRepeats = 12

// entry is one backend server.
type entry struct {
	server spec.BackendServer
	load   Load
	known  prefix.Known
	// heard is set once a load was taken in.
	heard bool
	// tickets are this process's requests. own counts them, and ownWaiting is
	// the prompt tokens of those without a first token; newer and newerWaiting
	// are the same for those that started since the load was read.
	tickets                  map[*Ticket]struct{}
	own, newer               int
	ownWaiting, newerWaiting float64
	first                    line
	gap                      line
	// floor is the least token gap seen lately, in seconds.
	floor float64
	// failures counts tries that failed in a row; avoid is until when the
	// server gets no work for it.
	failures int
	avoid    time.Time
}

// Bounds of how long a server that fails is avoided.
const (
	avoidFirst = 200 * time.Millisecond
	avoidMost  = 5 * time.Second
)

// Uncertainty of a load report.
const (
	// doubtPerSecond is how much a prediction's uncertainty grows with the age
	// of the report it rests on.
	doubtPerSecond = 20 * time.Millisecond
	doubtLeast     = 4 * time.Millisecond
	doubtMost      = 300 * time.Millisecond
)

// moveRate is how many bytes of KV cache pass between two engines of a zone in
// a second.
const moveRate = 25e9

// Configure takes in a deployment. What is known of backend servers that stay
// is kept.
func (b *Board) Configure(d *spec.Deployment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.entries
	b.entries = make(map[string]*entry, len(d.Servers))
	b.services = map[string][]*entry{}
	for _, server := range d.Servers {
		e := old[server.Name]
		if e == nil {
			e = newEntry(server)
		}
		e.server = server
		b.entries[server.Name] = e
		if !server.Engine() {
			b.services[server.Service] = append(b.services[server.Service], e)
		}
	}
	b.index()
}

func newEntry(server spec.BackendServer) *entry {
	e := &entry{server: server, tickets: map[*Ticket]struct{}{}}
	e.first.start(0.01, 1/server.PrefillRate)
	e.gap.start(0.005, 1/server.DecodeRate)
	e.load.Role, e.load.Models = server.Role, server.Models
	return e
}

// index lists the engines by model.
func (b *Board) index() {
	b.models = map[string][]*entry{}
	names := make([]string, 0, len(b.entries))
	for name := range b.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		e := b.entries[name]
		for _, tag := range e.load.Models {
			model, _, _ := strings.Cut(tag, "@")
			b.models[model] = append(b.models[model], e)
		}
	}
}

// Report takes in a report that this process read itself.
func (b *Board) Report(now time.Time, r engine.Report) {
	l := Load{
		Engine: r.Engine, Incarnation: r.Incarnation, Sequence: r.Sequence, Role: r.Role,
		Running: r.Running + r.Queued, QueuedTokens: r.QueuedTokens, Changing: r.Changing, At: now,
	}
	for _, m := range r.Models {
		l.Models = append(l.Models, Tag(m))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[r.Engine]
	if e == nil {
		return
	}
	if r.Incarnation != e.load.Incarnation {
		e.known.Reset()
	}
	e.known.Apply(r.CacheEvents)
	b.take(e, l)
	if b.leaving.By(r.Engine, leave.Server) != r.Leaving {
		b.leave(leave.Entry{Name: r.Engine, Source: leave.Server, Sequence: r.Incarnation<<32 | r.Sequence, Leaving: r.Leaving})
	}
}

// CacheSequence returns the number of the last cache event that is known of the
// named engine.
func (b *Board) CacheSequence(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[name]; e != nil {
		return e.known.Last()
	}
	return 0
}

// Hear takes in a load from another process and reports whether it was news.
func (b *Board) Hear(l Load) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[l.Engine]
	if e == nil {
		return false
	}
	return b.take(e, l)
}

func (b *Board) take(e *entry, l Load) bool {
	if e.heard && !l.newer(e.load) {
		return false
	}
	changed := len(l.Models) != len(e.load.Models)
	for i := 0; !changed && i < len(l.Models); i++ {
		changed = l.Models[i] != e.load.Models[i]
	}
	e.load, e.heard = l, true
	e.recount()
	if changed {
		b.index()
	}
	if b.outbox == nil {
		b.outbox = map[string]bool{}
	}
	b.outbox[l.Engine] = true
	return true
}

// News returns up to limit loads that were not passed on yet, oldest first.
func (b *Board) News(limit int) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Load
	for name := range b.outbox {
		if e := b.entries[name]; e != nil {
			list = append(list, e.load)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].At.Equal(list[j].At) {
			return list[i].At.After(list[j].At)
		}
		return list[i].Engine < list[j].Engine
	})
	list = list[:min(limit, len(list))]
	for _, l := range list {
		delete(b.outbox, l.Engine)
	}
	return list
}

// Loads returns what is known of every engine, by name.
func (b *Board) Loads() []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Load
	for name, e := range b.entries {
		if e.server.Engine() {
			l := e.load
			l.Engine = name
			list = append(list, l)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Engine < list[j].Engine })
	return list
}

// Rate is what an engine can do, as learned from answers or as declared.
type Rate struct {
	// Prefill and Decode are in tokens per second, each if the engine does
	// nothing else.
	Prefill, Decode float64
	// Gap is the token gap with full slots and no prefill.
	Gap     time.Duration
	Running int
	Leaving bool
}

// Rate returns what the named engine can do.
func (b *Board) Rate(name string) (Rate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	if e == nil {
		return Rate{}, false
	}
	r := Rate{Running: e.load.Running, Prefill: e.server.PrefillRate, Decode: e.server.DecodeRate}
	r.Leaving = !b.usable(time.Now(), e)
	if e.first.slope > 0 {
		r.Prefill = 1 / e.first.slope
	}
	gap := float64(e.server.Slots) / e.server.DecodeRate
	if e.floor > 0 {
		gap = e.floor
		r.Decode = float64(e.server.Slots) / gap
	}
	r.Gap = time.Duration(gap * float64(time.Second))
	return r, true
}

// Leave takes in an entry of who is leaving and reports whether it was news.
func (b *Board) Leave(e leave.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leave(e)
}

func (b *Board) leave(e leave.Entry) bool {
	news := b.leaving.Merge(e)
	if news {
		if b.leaveNews == nil {
			b.leaveNews = map[leave.Entry]int{}
		}
		b.leaveNews[e] = leaveRepeats
	}
	return news
}

// LeaveNews returns up to limit entries to pass on, and counts them as passed
// on.
func (b *Board) LeaveNews(limit int) []leave.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []leave.Entry
	for e, left := range b.leaveNews {
		if len(list) == limit {
			break
		}
		list = append(list, e)
		b.leaveNews[e] = left - 1
		if left <= 1 {
			delete(b.leaveNews, e)
		}
	}
	return list
}

// Leaves returns every entry of who is leaving.
func (b *Board) Leaves() []leave.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Entries()
}

// LeaveSequence returns the sequence of what a source says of a name.
func (b *Board) LeaveSequence(name string, source leave.Source) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Sequence(name, source)
}

// Leaving reports whether a backend server or its VM is leaving.
func (b *Board) Leaving(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	return b.leaving.Leaving(name) || e != nil && b.leaving.Leaving(e.server.VM)
}

// usable reports whether a backend server gets new work.
func (b *Board) usable(now time.Time, e *entry) bool {
	if e.load.Changing || now.Before(e.avoid) {
		return false
	}
	return b.leaving.Empty() || !b.leaving.Leaving(e.server.Name) && (e.server.VM == e.server.Name || !b.leaving.Leaving(e.server.VM))
}

// Failed notes that a try failed. The server is avoided, the longer the more
// tries fail in a row.
func (b *Board) Failed(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	if e == nil {
		return
	}
	e.failures++
	e.avoid = now.Add(min(avoidFirst<<min(e.failures-1, 10), avoidMost))
}

// Worked notes that a try brought an answer.
func (b *Board) Worked(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[name]; e != nil {
		e.failures = 0
	}
}
