package broker

import (
	"maps"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/pace"
)

const (
	// minAffinityTokens is the length of a shared prefix from which streams with a token
	// gap target prefer the engines that keep it. Shorter ones take less time to prefill
	// than the gaps of engines differ by.
	minAffinityTokens = 512
	// maxReaderPause is the longest time for which a stream is not read after an event. The
	// next event may have waited meanwhile, so that its gap would be this process's.
	maxReaderPause = 5 * time.Millisecond
	// minReaderWait is the time from which on the reader has waited for an event that was not
	// there yet.
	minReaderWait = time.Millisecond
)

// gaps has the estimated gaps between the events of long streams, by service. Only services
// with a token gap target have an entry. It has a lock of its own, as each event is recorded.
type gaps struct {
	mu       sync.Mutex
	services map[string]*pace.Table
	swept    time.Time
}

// table returns the estimates of a service, which it creates if there are none. g.mu must be
// held.
func (g *gaps) table(service string) *pace.Table {
	t, ok := g.services[service]
	if !ok {
		if g.services == nil {
			g.services = map[string]*pace.Table{}
		}
		t = &pace.Table{}
		g.services[service] = t
	}
	return t
}

// gapSampler measures the gaps between the events of one stream from one engine. It does
// nothing if broker is nil.
type gapSampler struct {
	broker  *Broker
	service string
	engine  uint64
	// last is when the last event was read, readyAt when the next one was waited for.
	last, readyAt time.Time
	// behind is set after a pause of the reader, until an event for which it had to wait: those
	// that came meanwhile are read one right after the other.
	behind bool
}

// newGapSampler returns the sampler for the stream of the job from an engine. It measures
// nothing unless the job is long work on a route with a token gap target.
func (j *job) newGapSampler(server roster.Server) gapSampler {
	if j.route.TokenGapTarget <= 0 || j.service.Engine == nil || j.broker.workKind(j.route.Name, j.request.MaxOutputTokens) != usage.Long {
		return gapSampler{}
	}
	return gapSampler{broker: j.broker, service: j.service.Name, engine: server.Key()}
}

// ready is called before each event is read.
func (s *gapSampler) ready() {
	if s.broker != nil {
		s.readyAt = time.Now()
	}
}

// event is called with the time of each event.
func (s *gapSampler) event(now time.Time) {
	if s.broker == nil {
		return
	}
	paused := !s.last.IsZero() && s.readyAt.Sub(s.last) > maxReaderPause
	waited := now.Sub(s.readyAt) > minReaderWait
	if !s.last.IsZero() && !paused && !s.behind {
		s.broker.RecordGap(now, s.service, s.engine, now.Sub(s.last))
	}
	s.last, s.behind = now, paused || s.behind && !waited
}

// RecordGap records a gap between two events of a long stream on a route with a token gap
// target.
func (b *Broker) RecordGap(now time.Time, service string, engine uint64, gap time.Duration) {
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	b.gaps.table(service).Record(now, engine, gap)
}

// predictGaps fills in the predicted gaps of the candidates if the request is long work with a
// token gap target. It returns false, and changes nothing, if it is not, or if there are no
// estimates yet.
func (b *Broker) predictGaps(now time.Time, n need, candidates []assign.Candidate, options []roster.Server, r *assign.Request) bool {
	if n.gapTarget <= 0 {
		return false
	}
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	prediction, known := b.gaps.services[n.key.service].Predict(now)
	if !known {
		return false
	}
	for i := range candidates {
		candidates[i].Gap = prediction.Gap(options[i].Key())
	}
	r.GapTarget = n.gapTarget
	if n.prompt.Shared < minAffinityTokens {
		r.PrefixHash = 0
	}
	return true
}

// countPaced counts a stream that is sent to an engine because of its predicted gap.
func (b *Broker) countPaced(now time.Time, p *permit) {
	b.Meters.Add("PacedStreams", 1)
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	b.gaps.table(p.need.key.service).Sent(now, p.server.Key())
}

// spareLongWork makes a short request prefer, at equal cost, the engines without long work, while
// the service has long work on a route with a token gap target.
func (b *Broker) spareLongWork(now time.Time, n need, candidates []assign.Candidate, options []roster.Server, r *assign.Request) {
	if n.key.work != usage.Short || n.key.role != roster.Decode || b.gapTarget(n.key.service) <= 0 {
		return
	}
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	t := b.gaps.services[n.key.service]
	if !t.Active(now) {
		return
	}
	r.SpareLongWork = true
	for i := range candidates {
		candidates[i].LongWork = candidates[i].LongWork || t.Busy(now, options[i].Key())
	}
}

// markLongWork adds to the engines with long work those that had some a moment ago. It returns
// false, and changes nothing, unless prefills avoid them: the service has long work on a route
// with a token gap target.
func (b *Broker) markLongWork(now time.Time, service string, states []*engineState) bool {
	if b.gapTarget(service) <= 0 {
		return false
	}
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	t := b.gaps.services[service]
	if !t.Active(now) {
		return false
	}
	for _, s := range states {
		s.engine.LongWork = s.engine.LongWork || t.Busy(now, s.engine.Key)
	}
	return true
}

// GapsMeasured returns what this process has measured and its peers have not been told, for at
// most so many engines.
func (b *Broker) GapsMeasured(most int) []pace.Report {
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	var list []pace.Report
	for _, t := range b.gaps.services {
		list = append(list, t.Take(most-len(list))...)
	}
	return list
}

// HearGaps handles the gaps that a peer has measured. Those at engines that the roster does not
// have, or of services without a token gap target, are ignored.
func (b *Broker) HearGaps(now time.Time, reports []pace.Report) {
	t := b.Table()
	if t == nil || len(reports) == 0 {
		return
	}
	byEngine := make(map[uint64]pace.Report, len(reports))
	for _, r := range reports {
		byEngine[r.Engine] = r
	}
	for name, service := range t.Services {
		if service.TokenGapTarget <= 0 || service.Engine == nil {
			continue
		}
		known := b.knownEngines(name, byEngine)
		if len(known) == 0 {
			continue
		}
		b.gaps.mu.Lock()
		b.gaps.table(name).Hear(now, known)
		b.gaps.mu.Unlock()
	}
}

// knownEngines returns the reports of the service's engines. byEngine has the reports by the key
// of the engine.
func (b *Broker) knownEngines(service string, byEngine map[uint64]pace.Report) []pace.Report {
	var known []pace.Report
	for _, s := range b.Roster.Service(service) {
		if r, ok := byEngine[s.Key()]; ok {
			known = append(known, r)
		}
	}
	return known
}

// sweepGaps forgets engines without streams, and services that have no token gap target any
// more.
func (b *Broker) sweepGaps(now time.Time) {
	t := b.Table()
	b.gaps.mu.Lock()
	defer b.gaps.mu.Unlock()
	if t == nil || len(b.gaps.services) == 0 || now.Sub(b.gaps.swept) < keptSweepInterval {
		return
	}
	b.gaps.swept = now
	maps.DeleteFunc(b.gaps.services, func(name string, estimates *pace.Table) bool {
		estimates.Sweep(now)
		return t.Services[name].TokenGapTarget <= 0
	})
}
