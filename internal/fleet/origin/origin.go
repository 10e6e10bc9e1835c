// Package origin knows which service and software version began a stream. What two
// versions generate for one request does not fit together, so that a stream may go on
// only where that is known.
//
// A Table remembers streams in memory. Two entries of the store outlive it: the Defaults,
// where the streams of each route begin unless something else is recorded, and the records
// of the streams that began elsewhere. A Keeper decides how the defaults change.
//
// # Usage
//
//	var table origin.Table
//	table.Record(now, origin.Key(request), origin.Origin{Service: "chat", Version: "v1.2"})
//	o, known := table.Find(now, origin.Key(request))
//	if !known {
//		o, known = defaults.Find(era, host, path)
//	}
//
// The zero value of each type is empty and ready to use. A Table is safe for concurrent
// use. It forgets streams after Retention, and the oldest earlier if there are many.
package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began.
type Origin struct {
	// Service is the service of the backend server, Version that of its software.
	Service, Version string
}

// Source is how the origin of a stream was found. It is written to the log.
type Source string

// The sources of an origin.
const (
	Unknown    Source = "Unknown"
	Remembered Source = "Remembered" // in the memory of this process or a peer
	Recorded   Source = "Recorded"   // in the store
	ByDefault  Source = "Default"    // no stream of the route began elsewhere without a record
)

const (
	// Retention is how long an origin is remembered at least, unless there are more
	// than maxStreams.
	Retention = 5 * time.Minute
	// maxStreams bounds the origins that are remembered.
	maxStreams = 1 << 17
)

// Key returns the key of the stream that a request begins.
func Key(request string) uint64 { return xxhash.Sum64String(request) }

// Table has the origins of streams.
type Table struct {
	mu sync.Mutex
	// current has the streams since the time began, previous those before. Together
	// they cover Retention.
	current, previous generation
	began             time.Time
}

// generation has the streams of a span of time. Many streams share an origin.
type generation struct {
	streams map[uint64]*Origin
	origins map[Origin]*Origin
}

func newGeneration() generation {
	return generation{map[uint64]*Origin{}, map[Origin]*Origin{}}
}

func (g generation) add(key uint64, o Origin) {
	shared, known := g.origins[o]
	if !known {
		shared = &o
		g.origins[o] = shared
	}
	g.streams[key] = shared
}

// Record records the origin of a stream. The first one stays.
func (t *Table) Record(now time.Time, key uint64, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if _, known := t.find(key); known {
		return
	}
	if t.current.streams == nil || len(t.current.streams) >= maxStreams/2 {
		t.previous, t.current, t.began = t.current, newGeneration(), now
	}
	t.current.add(key, o)
}

// Find returns the origin of a stream, false if it is not known.
func (t *Table) Find(now time.Time, key uint64) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.find(key)
}

func (t *Table) find(key uint64) (Origin, bool) {
	for _, g := range []generation{t.current, t.previous} {
		if o, known := g.streams[key]; known {
			return *o, true
		}
	}
	return Origin{}, false
}

// Only reports whether all streams that are remembered of a service began at its version.
func (t *Table) Only(now time.Time, o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, g := range []generation{t.current, t.previous} {
		for other := range g.origins {
			if other.Service == o.Service && other != o {
				return false
			}
		}
	}
	return true
}

// expire forgets the streams that are too old. t.mu must be held.
func (t *Table) expire(now time.Time) {
	switch age := now.Sub(t.began); {
	case age >= 2*Retention:
		t.previous, t.current, t.began = generation{}, generation{}, now
	case age >= Retention:
		t.previous, t.current, t.began = t.current, generation{}, now
	}
}
