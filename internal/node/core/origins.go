package core

import (
	"context"
	"math"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// origins keeps the origins of streams, in all processes together. It implements
// broker.Origins and is safe for concurrent use.
//
// A process tells a few others where a stream began before its client gets the first
// event, so that the client can resume it elsewhere also if the process is gone. A process
// that does not know a stream asks those that come first in the same order now.
//
// All of them may be gone. What outlives them is in the store: where the streams of a
// route begin by default, and a record of each stream that begins elsewhere, written
// before its client gets the first event. Thus a stream that nobody remembers and that is
// not recorded has begun at the default, also if that is suspended by now, unless records
// may have been lost.
type origins struct {
	node     *Node
	table    origin.Table
	recorder *recorder
	recall   *recall
	defaults *defaults

	// mu guards queries, by stream.
	mu      sync.Mutex
	queries map[uint64]*query
}

// query waits for the origin of a stream.
type query struct {
	// missing are the peers that have not responded.
	missing map[string]bool
	// waiting counts the requests that wait.
	waiting int
	// done is closed once the origin is known, or no peer that was asked knows it.
	done chan struct{}
}

const (
	// originHolders is how many peers are told where a stream began, originAsked how
	// many are asked: some may have joined since.
	originHolders = 3
	originAsked   = 6
	// originResend is the pause after which peers are asked again, as datagrams may be
	// lost, originTimeout the longest wait.
	originResend  = 40 * time.Millisecond
	originTimeout = 150 * time.Millisecond
)

func newOrigins(n *Node) *origins {
	return &origins{node: n, recorder: newRecorder(n), recall: newRecall(n), defaults: &defaults{node: n}, queries: map[uint64]*query{}}
}

// Restrict implements broker.Origins.
func (s *origins) Restrict(host, path string) (origin.Origin, bool) {
	now := time.Now()
	if s.recorder.works(now) {
		return origin.Origin{}, false
	}
	return s.defaults.find(now, host, path)
}

// Place implements broker.Origins.
func (s *origins) Place(request, host, path string, o origin.Origin, attempt int) <-chan struct{} {
	now := time.Now()
	if byDefault, known := s.defaults.begin(now, host, path); known && byDefault == o && attempt == 0 {
		return nil
	}
	record := origin.Record{Stream: origin.Key(request), Origin: o, Attempt: uint8(min(attempt, resumedAttempt-1))}
	return s.recorder.record(now, record)
}

// Begin implements broker.Origins.
func (s *origins) Begin(request string, o origin.Origin) {
	key := origin.Key(request)
	s.table.Record(time.Now(), key, o)
	message := &wire.News{Streams: []*wire.StreamOrigin{{Stream: key, Service: o.Service, Version: o.Version}}}
	for _, name := range s.node.peers.Nearest(key, originHolders) {
		s.node.coordination.push(name, message)
	}
}

// Await implements broker.Origins.
func (s *origins) Await(ctx context.Context, recorded <-chan struct{}) bool {
	if recorded == nil {
		return true
	}
	wait := recordTimeout
	if s.recorder.fails(time.Now()) {
		wait = 0
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-recorded:
		return true
	case <-ctx.Done():
	case <-timeout.C:
		s.node.Meters.Add("StreamsBegunUnrecorded", 1)
	}
	return false
}

// resumedAttempt is the attempt of a stream that has begun, which no failed one follows.
const resumedAttempt = math.MaxUint8

// Find implements broker.Origins.
func (s *origins) Find(ctx context.Context, request, host, path string) (origin.Origin, origin.Source) {
	if request == "" {
		return s.findUnnamed(ctx, host, path)
	}
	key := origin.Key(request)
	o, source := s.findNamed(ctx, key, host, path)
	_, inForce := s.defaults.begin(time.Now(), host, path)
	if source != origin.Unknown && (source != origin.ByDefault || !inForce) {
		// Its client may resume it again, for as long after as if it began now.
		s.recorder.record(time.Now(), origin.Record{Stream: key, Origin: o, Attempt: resumedAttempt})
	}
	return o, source
}

// findNamed returns the origin of the stream with the key.
func (s *origins) findNamed(ctx context.Context, key uint64, host, path string) (origin.Origin, origin.Source) {
	if o, known := s.table.Find(time.Now(), key); known {
		return o, origin.Remembered
	}
	asked := s.askPeers(ctx, key)
	if o, known := s.table.Find(time.Now(), key); known {
		return o, origin.Remembered
	}
	if err := s.recall.await(ctx, asked); err != nil {
		return origin.Origin{}, origin.Unknown
	}
	if o, known := s.table.Find(time.Now(), key); known {
		return o, origin.Remembered
	}
	if o, known := s.recall.find(key); known {
		return o, origin.Recorded
	}
	return s.byDefault(host, path)
}

// findUnnamed returns the default of the route if no stream has begun elsewhere: the client
// does not say which one it resumes.
func (s *origins) findUnnamed(ctx context.Context, host, path string) (origin.Origin, origin.Source) {
	if err := s.recall.await(ctx, false); err != nil {
		return origin.Origin{}, origin.Unknown
	}
	o, source := s.byDefault(host, path)
	if source == origin.ByDefault && (!s.table.Only(time.Now(), o) || !s.recall.only(o)) {
		return origin.Origin{}, origin.Unknown
	}
	return o, source
}

// byDefault returns where the streams of a route begin without a record.
func (s *origins) byDefault(host, path string) (origin.Origin, origin.Source) {
	o, known := s.defaults.find(time.Now(), host, path)
	if !known {
		return origin.Origin{}, origin.Unknown
	}
	return o, origin.ByDefault
}

// askPeers asks those peers that may know the stream. It reports whether enough have
// responded: a process that is cut off from the others learns nothing from their silence.
func (s *origins) askPeers(ctx context.Context, key uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	asked := s.node.peers.Nearest(key, originAsked)
	return len(asked) > 0 && s.ask(ctx, key, asked) && len(asked) > originHolders
}

// ask asks peers until the origin of a stream is known, all have responded or ctx ends, and
// reports whether it was not ctx.
func (s *origins) ask(ctx context.Context, key uint64, asked []string) bool {
	q := s.join(key, asked)
	defer s.leave(key, q)
	resend := time.NewTicker(originResend)
	defer resend.Stop()
	for {
		for _, name := range s.silent(q) {
			s.node.coordination.push(name, &wire.News{StreamsAsked: []uint64{key}})
		}
		select {
		case <-q.done:
			return true
		case <-ctx.Done():
			return false
		case <-resend.C:
		}
	}
}

// join returns the query about a stream, which it begins if there is none.
func (s *origins) join(key uint64, asked []string) *query {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, known := s.queries[key]
	if !known {
		q = &query{missing: map[string]bool{}, done: make(chan struct{})}
		for _, name := range asked {
			q.missing[name] = true
		}
		s.queries[key] = q
	}
	q.waiting++
	return q
}

// leave ends a query once nobody waits for it.
func (s *origins) leave(key uint64, q *query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.waiting--; q.waiting == 0 && s.queries[key] == q {
		delete(s.queries, key)
	}
}

// silent returns the peers that have not responded to a query.
func (s *origins) silent(q *query) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(q.missing))
	for name := range q.missing {
		names = append(names, name)
	}
	return names
}

// handle handles what a peer says or asks of streams.
func (s *origins) handle(now time.Time, message *wire.News) {
	for _, m := range message.Streams {
		if !m.Unknown {
			s.table.Record(now, m.Stream, origin.Origin{Service: m.Service, Version: m.Version})
		}
		s.responded(m, message.From)
	}
	s.recorder.handle(now, message)
	if len(message.StreamsAsked) == 0 {
		return
	}
	response := &wire.News{}
	for _, key := range message.StreamsAsked {
		o, known := s.table.Find(now, key)
		response.Streams = append(response.Streams, &wire.StreamOrigin{Stream: key, Service: o.Service, Version: o.Version, Unknown: !known})
	}
	s.node.coordination.push(message.From, response)
}

// responded ends the query about a stream if it is known now, or if the peer was the last
// one that was asked.
func (s *origins) responded(m *wire.StreamOrigin, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, known := s.queries[m.Stream]
	if !known {
		return
	}
	delete(q.missing, from)
	if !m.Unknown || len(q.missing) == 0 {
		delete(s.queries, m.Stream)
		close(q.done)
	}
}
