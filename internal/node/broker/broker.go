// Package broker serves a client's request with the backend servers. It
// guarantees that the client gets either the complete response to its own
// request or an error that states correctly whether the request has run.
//
// # Usage
//
//	b := &broker.Broker{Zone: "calicut", Table: config.Current, Roster: roster, Servers: client, ...}
//	go b.Reconnect(ctx)
//	b.Serve(ctx, &request, output)
//
// Serve matches the route, finds the client account of the request's key, waits in a
// queue for a permit, sends the request to the backend server of the permit, and relays
// the response or handles the failure. A permit admits one request to one backend server
// of the route's service. Queues depend on Tick, which the process calls every 20 ms.
//
// Explain returns where a request would be sent now and why, without sending it. It calls
// the same decisions as Serve and changes nothing.
//
// Each failure has a retry.Outcome. A request is retried only if it has not run
// or may run more than once, within the route's attempts and the retry quota that
// all processes share.
//
// A stream's events are read on while its client does not read: package spool bounds what
// waits for slow clients. Package hold bounds the prompts at each engine.
//
// Prompts are served disaggregated where the fleet has engines for both stages:
// a prefill engine computes the prompt's KV cache, and a decode engine fetches
// it and generates the events. Short prompts, and prompts for which no prefill
// engine is free, are prefilled on the decode engine (local prefill).
package broker

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/node/spool"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/limit"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// KVSource locates the KV cache of a prompt that a prefill engine has computed.
type KVSource struct {
	Address netip.AddrPort
	Handle  string
}

// Call is one attempt to have a request served by a backend server.
type Call struct {
	Request *Request
	// Deadline is when the backend server must stop working on the request.
	Deadline time.Time
	// After, if set, is the ID of the event after which the stream resumes.
	After string
	// Accounts is set if client accounts are configured: the fields in which a client names
	// a key or an account are not forwarded then. Account is the name of the client
	// account, empty if there is none.
	Accounts bool
	Account  string
	// Source is set if a prefill engine has computed the prompt's KV cache.
	Source KVSource
	// Fetch, if valid, is another engine that may hold a longer part of the
	// prompt's prefix in its KV cache.
	Fetch netip.AddrPort
	// NewConnection requires a new connection instead of a pooled one.
	NewConnection bool
	// Wanted reports whether the backend server may still get the request. Servers asks
	// once there is a connection, right before the request is sent.
	Wanted func() bool
	// MaxConnections limits this process's connections to the backend server; 0
	// means no limit.
	MaxConnections int
}

// Response is the response of a backend server. The receiver reads the body and
// must close it.
type Response struct {
	Status int
	Fields []call.Field
	// NotRun is set if the backend server confirms that it did not run the
	// request, Replaced if another backend server now has the address.
	NotRun, Replaced bool
	// Verified is set if the response provably comes from the backend server and
	// belongs to the request.
	Verified bool
	// UntilClose is set if the end of the body is that of the connection. If the
	// backend server ends, the body looks complete.
	UntilClose bool
	Body       interface {
		Read(p []byte) (int, error)
		Close() error
	}
}

// Notice is what a backend server says of itself beside a response.
type Notice struct {
	// Leaving is set if it is about to stop.
	Leaving bool
	// Pause is for how long it wants no request from this process.
	Pause time.Duration
	// Limit is how many requests per second it takes from all processes together; it
	// is valid if Limited is set.
	Limited bool
	Limit   float64
	// SentAt is when the request was sent to which the response belongs. It is zero if
	// the response says nothing about a limit, such as one to an earlier request.
	SentAt time.Time
}

// Servers sends calls to backend servers. Errors carry a call.Stage. It must be
// safe for concurrent use.
type Servers interface {
	// Send sends the request and returns the response once its header has
	// arrived.
	Send(ctx context.Context, server roster.Server, c Call) (*Response, error)
	// Prefill computes the prompt's KV cache on an engine. The Response is nil
	// on success, and the engine's error response otherwise.
	Prefill(ctx context.Context, server roster.Server, c Call) (KVSource, *Response, error)
	// Release frees a KV cache that Prefill has computed and no decode engine
	// will fetch.
	Release(ctx context.Context, source KVSource) error
	// Connect opens a connection and leaves it in the pool for a later request.
	// maxConnections has the meaning of Call.MaxConnections.
	Connect(ctx context.Context, server roster.Server, maxConnections int) error
}

// Peers reports the state of the other processes (peers). It must be safe for
// concurrent use.
type Peers interface {
	// Members returns how many processes may be running, this one included.
	Members() int
	// Live returns how many processes have sent a status message recently,
	// this one included.
	Live() int
	// Silent returns how many peers that stopped sending status messages may
	// still use backend servers of the availability zone. own is the zone of
	// this process.
	Silent(zone, own string) int
	// Server returns the peers' load at a backend server.
	Server(key uint64) peers.Load
	// Queue returns the peers' load in the queue with the hash.
	Queue(key uint64) peers.Load
	// Rank returns the position of this process, from 0, in an order of all processes
	// that depends on the key, and their number.
	Rank(key uint64) (rank, processes int)
	// Coordinator returns the name of the process that grants permits for the
	// service with the hash key. If stopping is set, this process is not
	// eligible.
	Coordinator(key uint64, stopping bool) string
}

// Quarantine knows the requests, and the parts of prompts, that crash backend servers. It
// must be safe for concurrent use, and its methods must neither block nor call the
// Broker, which may hold its lock.
type Quarantine interface {
	// Until returns until when requests with the content, or with a prompt with one of
	// the parts, must not be sent; false if they may be.
	Until(now time.Time, content uint64, parts []string) (time.Time, bool)
	// Crashed is called with the content of a request that was in progress at a backend
	// server when that ended, the time at which it broke off, and the shared parts of its
	// prompt.
	Crashed(at time.Time, server roster.Server, content uint64, parts []string)
	// Succeeded is called with the content of a request that was served completely, and
	// the shared parts of its prompt.
	Succeeded(content uint64, parts []string)
}

// Trials decides which requests with a part in quarantine are sent as trials, to find out
// whether the part still crashes backend servers. It must be safe for concurrent use, and Try
// must neither block nor call the Broker.
type Trials interface {
	// Try begins a trial with a request that Quarantine rejects; false if it must not be
	// sent.
	Try(now time.Time, content uint64, parts []string) (Trial, bool)
}

// Trial is a request that may be sent once though Quarantine rejects it.
type Trial interface {
	// Agree waits for a moment until the peers know of the trial. It returns false if the
	// request must not be sent.
	Agree(ctx context.Context) bool
	// Send is called right before the request is sent to a backend server. It returns false
	// if it must not be.
	Send() bool
	// End is called once. reached is set if a backend server may have got the request, served
	// if it was served completely.
	End(reached, served bool)
}

// Origins knows where streams began. It must be safe for concurrent use. host is that of the
// stream's route, path that of the request.
type Origins interface {
	// Restrict returns where new streams should begin, if they can; false if they may begin
	// anywhere. It does not block.
	Restrict(host, path string) (origin.Origin, bool)
	// Place is called before a request that begins a stream is sent to a backend server.
	// attempt counts the backend servers to which it was sent before. The result is nil if
	// nothing has to be recorded, else it is closed once that is done. It does not block.
	Place(request, host, path string, o origin.Origin, attempt int) <-chan struct{}
	// Await waits for a moment for the result of Place, and reports whether the origin will
	// be known also after all processes have ended.
	Await(ctx context.Context, recorded <-chan struct{}) bool
	// Begin is called before the first event of the stream is sent to the client. It does
	// not block.
	Begin(request string, o origin.Origin)
	// Find returns the origin of the stream that the request with the ID began. The ID is
	// empty if the client does not name the request. The source is origin.Unknown if the
	// origin can't be found in a moment.
	Find(ctx context.Context, request, host, path string) (origin.Origin, origin.Source)
}

// Broker serves requests. The exported fields are set before the first call of a
// method and not changed after. All methods are safe for concurrent use.
type Broker struct {
	// Zone is the availability zone of this process.
	Zone string
	// Table returns the active configuration, or nil if there is none yet.
	Table func() *table.Table
	// Roster lists the backend servers, Usage has this process's requests and
	// the health of each.
	Roster  *roster.Roster
	Usage   *usage.Table
	Servers Servers
	Peers   Peers
	// Announce, if set, is called with a backend server that has said that it
	// leaves.
	Announce func(server roster.Server)
	// Quarantine, if set, has what crashes backend servers.
	Quarantine Quarantine
	// Trials, if set, decides which requests are trials of parts in quarantine.
	Trials Trials
	// Origins, if set, has the origins of the streams of all processes.
	Origins Origins
	// Name is the name of this process. Coordination sends messages to peers;
	// if it is nil, this process uses no coordinator.
	Name         string
	Coordination Coordination
	// Carrier, if set, has requests served by peers when this process reaches no backend
	// server of their service.
	Carrier Carrier
	// Counter, if set, counts the requests that begin to run, by client account.
	Counter Counter
	// MaxBuffered bounds the bytes of the responses of backend servers that are kept in
	// memory, of all requests together; 0 means no bound. The events that wait for slow
	// clients are among them: where the bound is reached, the stream of the client that is
	// furthest behind is aborted.
	MaxBuffered int64
	// RetryLimit limits the retries of each service, for all processes
	// together.
	RetryLimit quota.Limit
	// Admission selects what is delayed and rejected if there is too little capacity.
	Admission shed.Policy
	Meters    *meter.Set
	Log       *zap.Logger
	// Unconfirmed, if set, reports whether the accounts of the active configuration may be
	// outdated, so that no key must be accepted. It does not block.
	Unconfirmed func(now time.Time) bool
	// Seed seeds the random choices, so that they can be reproduced.
	Seed uint64

	shutdown atomic.Pointer[shutdown]
	buffered spool.Pool
	// undialable is how many backend servers could not be connected to at the last check, or
	// 1 if none was and one has failed since.
	undialable atomic.Int64
	gaps       gaps

	// mu guards the fields below.
	mu            sync.Mutex
	quotas        map[string]*quota.Quota
	queues        map[queueKey]*queue
	responseTimes map[queueKey]float64
	routeHolds    map[string]routeHold
	randomState   uint64
	// kept predicts the KV caches of the engines. keptSwept is when those of
	// engines that have left were last forgotten.
	kept      kept.Map
	keptSwept time.Time
	// progress is when each engine last completed a prefill or began the first
	// one, by engine key.
	progress map[uint64]time.Time
	// engineSets has the evaluated engines by service. The buffers are reused.
	engineSets      map[string]*engineSet
	engineBuffer    []assign.Engine
	candidateBuffer []assign.Candidate
	optionBuffer    []roster.Server
	// returns has the requests that were rejected, with Admission CostToCallers.
	returns shed.Returns
	endings crash.Endings[usage.Incarnation, roster.Server]
	blamed  blamed
	promptState
	coordinatorState
	requesterState
}

// shutdown is a planned stop. From rejectFrom on, requests whose deadline is
// after end are rejected.
type shutdown struct{ rejectFrom, end time.Time }

// Notice handles what a backend server says of itself. The server must be the one that
// has sent the response.
func (b *Broker) Notice(server roster.Server, n Notice) {
	if n.Pause > 0 {
		b.Log.Info("backend server asks for a pause", zap.String("Server", server.ID), zap.Int64("Born", server.Born), zap.Duration("Pause", n.Pause))
		b.Meters.Add("PausesAsked", 1)
		b.Usage.Pause(time.Now(), server, n.Pause)
		b.mu.Lock()
		b.forgetEngines()
		b.mu.Unlock()
	}
	b.noticeLimit(server, n)
	if n.Leaving && b.Announce != nil {
		b.Announce(server)
	}
}

// noticeLimit records the limit that a backend server names, or that it names none any
// more.
func (b *Broker) noticeLimit(server roster.Server, n Notice) {
	switch {
	case n.Limited:
		if b.Usage.SetLimit(time.Now(), server, n.Limit, b.limitShare(server, n.Limit)) {
			b.Meters.Add("LimitsNamed", 1)
			b.Log.Info("backend server names a limit", zap.String("Server", server.ID), zap.Int64("Born", server.Born), zap.Float64("PerSecond", n.Limit))
		}
	case !n.SentAt.IsZero():
		if b.Usage.EndLimit(time.Now(), server, n.SentAt) {
			b.Log.Info("backend server's limit has ended", zap.String("Server", server.ID), zap.Int64("Born", server.Born))
		}
	}
}

// limitShare returns this process's share of a backend server's rate limit.
func (b *Broker) limitShare(server roster.Server, perSecond float64) float64 {
	rank, processes := b.Peers.Rank(server.Key())
	return limit.Share(perSecond, processes, rank)
}

// HearLimit handles a rate limit of which a peer has been told.
func (b *Broker) HearLimit(id string, born int64, perSecond float64) {
	if server, ok := b.Roster.Find(id, born); ok {
		b.Usage.HearLimit(time.Now(), server, perSecond, b.limitShare(server, perSecond))
	}
}

// HearLimitEnd handles the end of a rate limit, as a peer says.
func (b *Broker) HearLimitEnd(id string, born int64) {
	if server, ok := b.Roster.Find(id, born); ok {
		b.Usage.HearEnd(time.Now(), server)
	}
}

// Close announces a planned stop: the process aborts requests that are still in
// progress at end. From rejectFrom on, Serve rejects requests whose deadline is
// after end.
func (b *Broker) Close(rejectFrom, end time.Time) { b.shutdown.Store(&shutdown{rejectFrom, end}) }

// accepts reports whether a request with the deadline is accepted in view of a
// planned stop.
func (b *Broker) accepts(now, deadline time.Time) bool {
	s := b.shutdown.Load()
	return s == nil || now.Before(s.rejectFrom) || !deadline.After(s.end)
}

// Serve serves one request and returns once the response has ended. ctx is
// canceled when the client disconnects; the request is then aborted.
func (b *Broker) Serve(ctx context.Context, r *Request, out Output) {
	t := r.Table
	if t == nil {
		t = b.Table()
	}
	j := &job{broker: b, request: r, out: out, table: t}
	defer j.freeBuffers()
	if t == nil {
		j.reject(noConfiguration)
		return
	}
	route, found := t.Match(r.Host, r.pathOnly())
	if !found {
		j.endUnanswered(Reply{Status: 404}, noRoute, nil)
		return
	}
	j.route = route
	if !j.authenticate() {
		return
	}
	j.service = t.Services[route.PickService(b.random())]
	j.run(ctx)
}

// run serves the request once its route and service are known.
func (j *job) run(ctx context.Context) {
	b, r := j.broker, j.request
	r.content = r.contentHash(j.account.Name)
	r.sharedParts()
	j.deadline = r.Arrived.Add(j.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(j.deadline) {
		j.deadline = r.Deadline
	}
	if !b.accepts(time.Now(), j.deadline) {
		j.reject(stopping)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errTimeout)
	defer cancel()
	j.ctx, j.cancel = ctx, cancel
	defer j.finishSlow()
	if j.hop == nil {
		b.countRequest(j.service.Name)
		b.Meters.Add("Requests", 1)
	}
	defer j.endTrial(false)
	if j.quarantined() && !j.beginTrial() {
		j.giveUp(errQuarantined)
		return
	}
	if r.After != "" && j.route.Kind == table.Stream && !j.software.bound && !j.findOrigin() {
		j.reject(originUnknown)
		return
	}
	if j.cutOff() && !j.tryAgain() && j.carry() {
		return
	}
	j.restrict()
	if j.route.Kind == table.Stream && j.route.Prompted && j.service.Engine != nil {
		j.servePrompt()
		return
	}
	j.servePlain()
}

// quota returns the retry quota of a service. b.mu must be held.
func (b *Broker) quota(service string) *quota.Quota {
	q, ok := b.quotas[service]
	if !ok {
		if b.quotas == nil {
			b.quotas = map[string]*quota.Quota{}
		}
		q = &quota.Quota{Limit: b.RetryLimit}
		b.quotas[service] = q
	}
	return q
}

// countRequest counts a request, which raises the service's retry quota by a
// fraction of a retry.
func (b *Broker) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota(service).Request(time.Now())
}

// tryRetry counts a retry against the service's quota. It returns false if none
// is left.
func (b *Broker) tryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota(service).TryRetry(time.Now(), b.Peers.Members())
}

// random returns the next pseudorandom number.
func (b *Broker) random() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextRandom()
}

// nextRandom is random with b.mu held.
func (b *Broker) nextRandom() uint64 {
	b.randomState += 0x9e3779b97f4a7c15
	x := b.randomState ^ b.Seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
