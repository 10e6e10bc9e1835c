// Package stats keeps a process's estimates of the backend servers: their load,
// cached prefixes and speed, the requests that this process has in flight there,
// and whether they may get new requests.
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

	"ebonyscale.example/ebonyscale/internal/base/linfit"
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

// Estimates holds the estimates of all backend servers: engines, which serve
// models, and plain servers, which serve services. The zero value has no servers;
// Configure adds them.
type Estimates struct {
	// Zone is the availability zone of this process.
	Zone string

	mu sync.Mutex
	// entries has the servers by name.
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
	// pendingLeaves counts how many more times to gossip a leave entry.
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
	firstToken linfit.Line
	tokenGap   linfit.Line
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
func (e *Estimates) Configure(d *spec.Deployment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.entries
	e.entries = make(map[string]*entry, len(d.Servers))
	e.services = map[string][]*entry{}
	for _, server := range d.Servers {
		en := old[server.Name]
		if en == nil {
			en = newEntry(server)
		}
		en.server = server
		e.entries[server.Name] = en
		if !server.Engine() {
			e.services[server.Service] = append(e.services[server.Service], en)
		}
	}
	e.indexModels()
}

// newEntry returns the entry of a server without a report. Its estimates start
// with the declared rates, 10 ms to the first token of an empty prompt and a
// token gap of 5 ms without streams.
func newEntry(server spec.BackendServer) *entry {
	en := &entry{server: server, tickets: map[*Ticket]struct{}{}}
	en.firstToken.Reset(0.01, 1/server.PrefillRate)
	en.tokenGap.Reset(0.005, 1/server.DecodeRate)
	en.load.Role, en.load.Models = server.Role, server.Models
	return en
}

// indexModels rebuilds models, each list in order of the engines' names. The
// caller must hold mu.
func (e *Estimates) indexModels() {
	e.models = map[string][]*entry{}
	names := make([]string, 0, len(e.entries))
	for name := range e.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		en := e.entries[name]
		for _, tag := range en.load.Models {
			model, _, _ := strings.Cut(tag, "@")
			e.models[model] = append(e.models[model], en)
		}
	}
}

// ApplyReport applies a report that this process polled from an engine.
// Reports of unknown engines are ignored.
func (e *Estimates) ApplyReport(now time.Time, r engine.Report) {
	l := Load{
		Engine: r.Engine, Incarnation: r.Incarnation, Sequence: r.Sequence, Role: r.Role,
		Running: r.Running + r.Queued, QueuedTokens: r.QueuedTokens, Changing: r.Changing, At: now,
	}
	for _, m := range r.Models {
		l.Models = append(l.Models, Tag(m))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	en := e.entries[r.Engine]
	if en == nil {
		return
	}
	if r.Incarnation != en.load.Incarnation {
		en.prefixes.Reset()
	}
	en.prefixes.Apply(r.CacheEvents)
	e.applyLoad(en, l)
	if e.leaving.LeavingBy(r.Engine, drain.Server) != r.Leaving {
		e.mergeLeave(drain.Entry{Name: r.Engine, Source: drain.Server, Sequence: r.Incarnation<<32 | r.Sequence, Leaving: r.Leaving})
	}
}

// CacheSequence returns the sequence number of the last cache event that was
// applied for the named engine, 0 if there is none.
func (e *Estimates) CacheSequence(name string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.entries[name]; en != nil {
		return en.prefixes.LastSequence()
	}
	return 0
}

// MergeLoad merges a load received from a peer and reports whether it was newer
// than the stored one. Loads of unknown engines are ignored.
func (e *Estimates) MergeLoad(l Load) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	en := e.entries[l.Engine]
	if en == nil {
		return false
	}
	return e.applyLoad(en, l)
}

// applyLoad stores a load that is newer than the stored one and marks it to be
// gossiped. It reports whether the load was newer. The caller must hold mu.
func (e *Estimates) applyLoad(en *entry, l Load) bool {
	if en.reported && !l.newer(en.load) {
		return false
	}
	changed := len(l.Models) != len(en.load.Models)
	for i := 0; !changed && i < len(l.Models); i++ {
		changed = l.Models[i] != en.load.Models[i]
	}
	en.load, en.reported = l, true
	en.recount()
	if changed {
		e.indexModels()
	}
	if e.pendingLoads == nil {
		e.pendingLoads = map[string]bool{}
	}
	e.pendingLoads[l.Engine] = true
	return true
}

// PendingLoads returns up to limit loads that are still to be gossiped, newest
// first, and removes them from the pending ones.
func (e *Estimates) PendingLoads(limit int) []Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Load
	for name := range e.pendingLoads {
		if en := e.entries[name]; en != nil {
			list = append(list, en.load)
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
		delete(e.pendingLoads, l.Engine)
	}
	return list
}

// Loads returns the load of every engine in order of the names. An engine
// without a report has Sequence 0 and its declared role and models.
func (e *Estimates) Loads() []Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Load
	for name, en := range e.entries {
		if en.server.Engine() {
			l := en.load
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
func (e *Estimates) Rate(name string) (Rate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	en := e.entries[name]
	if en == nil {
		return Rate{}, false
	}
	r := Rate{Running: en.load.Running, Prefill: en.server.PrefillRate, Decode: en.server.DecodeRate}
	r.Leaving = !e.usable(time.Now(), en)
	if en.firstToken.Slope > 0 {
		r.Prefill = 1 / en.firstToken.Slope
	}
	gap := float64(en.server.Slots) / en.server.DecodeRate
	if en.minGap > 0 {
		gap = en.minGap
		r.Decode = float64(en.server.Slots) / gap
	}
	r.Gap = time.Duration(gap * float64(time.Second))
	return r, true
}

// MergeLeave merges a leave entry and reports whether it changed Leaving for its
// source and name. A change is marked to be gossiped.
func (e *Estimates) MergeLeave(leave drain.Entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mergeLeave(leave)
}

// mergeLeave is MergeLeave for callers that hold mu.
func (e *Estimates) mergeLeave(leave drain.Entry) bool {
	changed := e.leaving.Merge(leave)
	if changed {
		if e.pendingLeaves == nil {
			e.pendingLeaves = map[drain.Entry]int{}
		}
		e.pendingLeaves[leave] = leaveRepeats
	}
	return changed
}

// PendingLeaves returns up to limit leave entries that are still to be gossiped,
// in no particular order, and counts one more gossip of each.
func (e *Estimates) PendingLeaves(limit int) []drain.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []drain.Entry
	for leave, remaining := range e.pendingLeaves {
		if len(list) == limit {
			break
		}
		list = append(list, leave)
		e.pendingLeaves[leave] = remaining - 1
		if remaining <= 1 {
			delete(e.pendingLeaves, leave)
		}
	}
	return list
}

// LeaveEntries returns every leave entry in a fixed order.
func (e *Estimates) LeaveEntries() []drain.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving.Entries()
}

// LeaveSequence returns the sequence number of a source's entry for a name, 0
// if there is none.
func (e *Estimates) LeaveSequence(name string, source drain.Source) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving.Sequence(name, source)
}

// Leaving reports whether a backend server or its VM is leaving.
func (e *Estimates) Leaving(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	en := e.entries[name]
	return e.leaving.Leaving(name) || en != nil && e.leaving.Leaving(en.server.VM)
}

// usable reports whether a backend server may get new requests. The caller must
// hold mu.
func (e *Estimates) usable(now time.Time, en *entry) bool {
	return !now.Before(en.avoidUntil) && e.stays(en)
}

// stays reports whether a backend server neither carries out an order nor is leaving. The
// caller must hold mu.
func (e *Estimates) stays(en *entry) bool {
	if en.load.Changing {
		return false
	}
	return e.leaving.Empty() || !e.leaving.Leaving(en.server.Name) && (en.server.VM == en.server.Name || !e.leaving.Leaving(en.server.VM))
}

// RecordFailure records a failed attempt at a server and ejects the server: for
// 200 ms after the first failure, doubling with each consecutive one up to 5
// seconds.
func (e *Estimates) RecordFailure(now time.Time, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	en := e.entries[name]
	if en == nil {
		return
	}
	en.failures++
	en.avoidUntil = now.Add(min(minBackoff<<min(en.failures-1, 10), maxBackoff))
}

// RecordSuccess records a successful attempt, so that the next failure starts with
// the shortest backoff. It does not end a current ejection.
func (e *Estimates) RecordSuccess(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.entries[name]; en != nil {
		en.failures = 0
	}
}
