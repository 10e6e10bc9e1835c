package crash

import (
	"slices"
	"time"
)

const (
	// EndedRetention is how long after its end was found out further requests that a
	// backend server broke off are attributed to it.
	EndedRetention = 2 * time.Second
	// SupersededWithin is how long after it broke off a request a successor shows that a
	// backend server has ended then.
	SupersededWithin = 3 * time.Second
	// maxBroken bounds the requests of a backend server whose end is not found out yet.
	maxBroken = 1024
)

// Endings has the backend servers that broke off requests, and finds out which of them
// have ended: a refused connection proves that no process listens there any more, which a
// broken one doesn't. A server that is back already is found out by its successor. K
// identifies the start of a server, S is the server. The zero value has none. It is not
// safe for concurrent use.
type Endings[K comparable, S any] struct {
	servers map[K]*ending[S]
}

// Broken is a request that a backend server broke off.
type Broken struct {
	At time.Time
	// ID is that of the request, Content identifies its content.
	ID      string
	Content uint64
	// Parts are the shared parts of its prompt, in order.
	Parts []string
}

// ending is a backend server that has broken off requests.
type ending[S any] struct {
	server S
	// requests are those that it broke off before its end was found out. After the
	// first survived of them something accepted connections at its address.
	requests []Broken
	survived int
	// ended is set once it is known that the backend server has ended, checking while
	// that is checked by connecting to it.
	ended, checking bool
	// expires is when the end of the backend server, or of the wait for a successor, is
	// forgotten.
	expires time.Time
}

// Break records that a server broke off a request. It returns whether the server is known
// to have ended, so that the request is charged with that, and whether the caller is to
// connect to the server and call Checked.
func (e *Endings[K, S]) Break(key K, server S, r Broken) (ended, check bool) {
	s, known := e.servers[key]
	if !known {
		if e.servers == nil {
			e.servers = map[K]*ending[S]{}
		}
		s = &ending[S]{server: server}
		e.servers[key] = s
	}
	if s.ended {
		return true, false
	}
	if len(s.requests) < maxBroken {
		s.requests = append(s.requests, r)
	}
	check = !s.checking
	s.checking = true
	return false, check
}

// Checked records the result of a connection to a server: whether it was refused. It
// returns the requests that were in progress if the server has ended.
func (e *Endings[K, S]) Checked(now time.Time, key K, refused bool) []Broken {
	s, known := e.servers[key]
	if !known || s.ended {
		return nil
	}
	s.checking, s.expires = false, now.Add(SupersededWithin)
	if refused {
		return s.end(now, s.requests[s.survived:])
	}
	s.survived = len(s.requests)
	return nil
}

// end records that a server has ended, and returns the requests in progress.
func (s *ending[S]) end(now time.Time, requests []Broken) []Broken {
	s.ended, s.expires, s.requests = true, now.Add(EndedRetention), nil
	return requests
}

// Sweep forgets what is too old. It calls ended for each server that has ended as it is
// superseded, with the requests that were in progress.
func (e *Endings[K, S]) Sweep(now time.Time, superseded func(S) bool, ended func(S, []Broken)) {
	for key, s := range e.servers {
		switch {
		case s.checking:
		case !now.Before(s.expires):
			delete(e.servers, key)
		case !s.ended && superseded(s.server):
			recent := slices.DeleteFunc(s.requests, func(r Broken) bool { return now.Sub(r.At) > SupersededWithin })
			ended(s.server, s.end(now, recent))
		}
	}
}

// Len returns the number of servers.
func (e *Endings[K, S]) Len() int { return len(e.servers) }
