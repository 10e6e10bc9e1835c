// Package stats keeps a process's estimates of the backend servers: their load,
// cached prefixes and speed, and the requests that this process has in flight
// there.
//
// Load reports are polled or received from peers by gossip, so they lag. Each
// request that this process sends is tracked by a Ticket: it counts towards the
// engine's load at once, and its token times update the engine's estimated
// rates.
//
// # Usage
//
//	e := &stats.Estimates{Zone: zone}
//	e.Configure(deployment)
//	e.ApplyReport(now, report)
//
//	e.Candidates(now, query, buffer)
//	decision := place.Choose(request, buffer.Engines)
//	ticket := e.Start(now, buffer.Servers[decision.Decode].Name, work)
//	defer ticket.End()
//	ticket.FirstToken(now)
//
// Estimates is safe for concurrent use.
package stats

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// Load is an engine's load report as the processes exchange it. Incarnation and
// Sequence order the reports of one engine.
type Load struct {
	Engine      string
	Incarnation uint64
	Sequence    uint64
	Role        spec.Role
	// Models are the tags of the loaded models; see Tag.
	Models []string
	// Running counts the running and the queued requests.
	Running int
	// QueuedTokens counts the prompt tokens that wait for prefill.
	QueuedTokens int
	// Changing is set while the engine is out of service for an order.
	Changing bool
	// OrderID is unused.
	OrderID uint64
	// At is when the engine was polled, by this process's clock.
	At time.Time
}

// Tag identifies a loaded model by name, version and adapters, in the form
// "name@version+adapter+adapter".
func Tag(m engine.Loaded) string {
	tag := m.Model + "@" + strconv.FormatInt(m.Version, 10)
	for _, adapter := range m.Adapters {
		tag += "+" + adapter
	}
	return tag
}

// newer reports whether l is a later report of the same engine than old.
func (l Load) newer(old Load) bool {
	if l.Incarnation != old.Incarnation {
		return l.Incarnation > old.Incarnation
	}
	return l.Sequence > old.Sequence
}

// Estimates is the table of all backend servers: engines and plain servers, which
// are those of a service rather than of a model. The zero value is empty;
// Configure fills it.
type Estimates struct {
	// Zone is the availability zone of this process.
	Zone string

	mu      sync.Mutex
	entries map[string]*entry
	// models lists the engines by model: as last reported, or as declared until
	// the first report.
	models map[string][]*entry
	// services lists the plain servers by service.
	services map[string][]*entry
	leaving  drain.Set
	// pendingLoads has the names of the engines whose load is still to be
	// gossiped.
	pendingLoads map[string]bool
	// meanOutput is an EWMA of the output limits of requests, in tokens.
	meanOutput float64
	// pendingLeaves counts how many more times to gossip an entry.
	pendingLeaves map[drain.Entry]int
}

// leaveRepeats is how many times a changed leave entry is gossiped.
const leaveRepeats = 12

// entry is the state of one backend server.
type entry struct {
	server   spec.BackendServer
	load     Load
	prefixes prefix.Index
	// reported is set once a load was applied.
	reported bool
	// tickets are this process's requests in flight. inFlight counts them, and
	// inFlightWaiting is the sum of the uncached prompt tokens of those without
	// a first token. unreported and unreportedWaiting are the same for the
	// requests that started at or after load.At.
	tickets                            map[*Ticket]struct{}
	inFlight, unreported               int
	inFlightWaiting, unreportedWaiting float64
	// firstToken fits the time to first token in seconds over the prompt tokens
	// to prefill, tokenGap the token gap in seconds over the running streams.
	firstToken linearFit
	tokenGap   linearFit
	// minGap is the recent minimum of the token gap, in seconds; 0 if there is no
	// sample.
	minGap float64
	// failures counts consecutive failed attempts. The server is ejected, that
	// is gets no new requests, until avoidUntil.
	failures   int
	avoidUntil time.Time
}

// Bounds of the exponential backoff of a failing server.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Uncertainty of a prediction that is based on a load report.
const (
	// uncertaintyPerSecond is the increase for each second of the report's age.
	uncertaintyPerSecond = 20 * time.Millisecond
	minUncertainty       = 4 * time.Millisecond
	maxUncertainty       = 300 * time.Millisecond
)

// kvTransferRate is the assumed rate of KV transfers between two engines, in bytes
// per second, as within a zone.
const kvTransferRate = 25e9

// Configure applies a deployment. Servers that it still declares keep their
// load, cached prefixes, estimates and tickets.
func (b *Estimates) Configure(d *spec.Deployment) {
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
	b.indexModels()
}

// newEntry returns the entry of a server without a report. Its estimates start
// with the declared rates, 10 ms to the first token of an empty prompt and a
// token gap of 5 ms without streams.
func newEntry(server spec.BackendServer) *entry {
	e := &entry{server: server, tickets: map[*Ticket]struct{}{}}
	e.firstToken.reset(0.01, 1/server.PrefillRate)
	e.tokenGap.reset(0.005, 1/server.DecodeRate)
	e.load.Role, e.load.Models = server.Role, server.Models
	return e
}

// indexModels rebuilds models, each list in order of the engines' names. The
// caller must hold mu.
func (b *Estimates) indexModels() {
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

// ApplyReport applies a report that this process polled from an engine.
// Reports of unknown engines are ignored.
func (b *Estimates) ApplyReport(now time.Time, r engine.Report) {
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
		e.prefixes.Reset()
	}
	e.prefixes.Apply(r.CacheEvents)
	b.applyLoad(e, l)
	if b.leaving.LeavingBy(r.Engine, drain.Server) != r.Leaving {
		b.mergeLeave(drain.Entry{Name: r.Engine, Source: drain.Server, Sequence: r.Incarnation<<32 | r.Sequence, Leaving: r.Leaving})
	}
}

// CacheSequence returns the sequence number of the last cache event that was
// applied for the named engine, 0 if there is none.
func (b *Estimates) CacheSequence(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[name]; e != nil {
		return e.prefixes.LastSequence()
	}
	return 0
}

// MergeLoad merges a load received from a peer and reports whether it was newer
// than the stored one. Loads of unknown engines are ignored.
func (b *Estimates) MergeLoad(l Load) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[l.Engine]
	if e == nil {
		return false
	}
	return b.applyLoad(e, l)
}

// applyLoad stores a load that is newer than the stored one and marks it to be
// gossiped. It reports whether the load was newer. The caller must hold mu.
func (b *Estimates) applyLoad(e *entry, l Load) bool {
	if e.reported && !l.newer(e.load) {
		return false
	}
	changed := len(l.Models) != len(e.load.Models)
	for i := 0; !changed && i < len(l.Models); i++ {
		changed = l.Models[i] != e.load.Models[i]
	}
	e.load, e.reported = l, true
	e.recount()
	if changed {
		b.indexModels()
	}
	if b.pendingLoads == nil {
		b.pendingLoads = map[string]bool{}
	}
	b.pendingLoads[l.Engine] = true
	return true
}

// PendingLoads returns up to limit loads that are still to be gossiped, newest
// first, and removes them from the pending ones.
func (b *Estimates) PendingLoads(limit int) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Load
	for name := range b.pendingLoads {
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
		delete(b.pendingLoads, l.Engine)
	}
	return list
}

// Loads returns the load of every engine in order of the names. An engine
// without a report has Sequence 0 and its declared role and models.
func (b *Estimates) Loads() []Load {
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

// Rate is the speed of an engine, estimated from responses or else as declared.
type Rate struct {
	// Prefill and Decode are in tokens per second, each for an engine that does
	// nothing else. Decode is the sum over all slots.
	Prefill, Decode float64
	// Gap is the token gap with all slots in use and no prefill.
	Gap time.Duration
	// Running is the number of requests as last reported.
	Running int
	// Leaving is set if the engine gets no new requests: it or its VM is
	// leaving, it carries out an order, or it is ejected after failures.
	Leaving bool
}

// Rate returns the speed of the named engine, and false if it is unknown.
func (b *Estimates) Rate(name string) (Rate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	if e == nil {
		return Rate{}, false
	}
	r := Rate{Running: e.load.Running, Prefill: e.server.PrefillRate, Decode: e.server.DecodeRate}
	r.Leaving = !b.usable(time.Now(), e)
	if e.firstToken.slope > 0 {
		r.Prefill = 1 / e.firstToken.slope
	}
	gap := float64(e.server.Slots) / e.server.DecodeRate
	if e.minGap > 0 {
		gap = e.minGap
		r.Decode = float64(e.server.Slots) / gap
	}
	r.Gap = time.Duration(gap * float64(time.Second))
	return r, true
}

// MergeLeave merges a leave entry and reports whether it changed Leaving for its
// source and name. A change is marked to be gossiped.
func (b *Estimates) MergeLeave(e drain.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mergeLeave(e)
}

// mergeLeave is MergeLeave for callers that hold mu.
func (b *Estimates) mergeLeave(e drain.Entry) bool {
	changed := b.leaving.Merge(e)
	if changed {
		if b.pendingLeaves == nil {
			b.pendingLeaves = map[drain.Entry]int{}
		}
		b.pendingLeaves[e] = leaveRepeats
	}
	return changed
}

// PendingLeaves returns up to limit leave entries that are still to be gossiped,
// in no particular order, and counts one more gossip of each.
func (b *Estimates) PendingLeaves(limit int) []drain.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []drain.Entry
	for e, remaining := range b.pendingLeaves {
		if len(list) == limit {
			break
		}
		list = append(list, e)
		b.pendingLeaves[e] = remaining - 1
		if remaining <= 1 {
			delete(b.pendingLeaves, e)
		}
	}
	return list
}

// LeaveEntries returns every leave entry in a fixed order.
func (b *Estimates) LeaveEntries() []drain.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Entries()
}

// LeaveSequence returns the sequence number of a source's entry for a name, 0
// if there is none.
func (b *Estimates) LeaveSequence(name string, source drain.Source) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Sequence(name, source)
}

// Leaving reports whether a backend server or its VM is leaving.
func (b *Estimates) Leaving(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	return b.leaving.Leaving(name) || e != nil && b.leaving.Leaving(e.server.VM)
}

// usable reports whether a backend server may get new requests. The caller must
// hold mu.
func (b *Estimates) usable(now time.Time, e *entry) bool {
	if e.load.Changing || now.Before(e.avoidUntil) {
		return false
	}
	return b.leaving.Empty() || !b.leaving.Leaving(e.server.Name) && (e.server.VM == e.server.Name || !b.leaving.Leaving(e.server.VM))
}

// RecordFailure records a failed attempt at a server and ejects the server: for
// 200 ms after the first failure, doubling with each consecutive one up to 5
// seconds.
func (b *Estimates) RecordFailure(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[name]
	if e == nil {
		return
	}
	e.failures++
	e.avoidUntil = now.Add(min(minBackoff<<min(e.failures-1, 10), maxBackoff))
}

// RecordSuccess records a successful attempt, so that the next failure starts with
// the shortest backoff. It does not end a current ejection.
func (b *Estimates) RecordSuccess(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[name]; e != nil {
		e.failures = 0
	}
}
