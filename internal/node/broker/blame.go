package broker

import "time"

const (
	// blameRetention is how long a request that got an error status is not held against
	// a backend server again, maxBlamed of how many that is remembered.
	blameRetention = time.Minute
	maxBlamed      = 4096
)

// blamed has the contents of the requests that got an error status, and when that was
// first held against a backend server. The zero value is empty.
type blamed map[uint64]time.Time

// first reports whether the request is the first with its content that gets an error
// status. Sent again and again it fails wherever it goes, which says nothing about the
// backend servers.
func (b *blamed) first(now time.Time, content uint64) bool {
	if at, known := (*b)[content]; known && now.Sub(at) < blameRetention {
		return false
	}
	if *b == nil {
		*b = blamed{}
	}
	if len(*b) >= maxBlamed {
		b.trim(now)
	}
	(*b)[content] = now
	return true
}

// trim removes old entries, and all if that frees less than a quarter of the space.
func (b *blamed) trim(now time.Time) {
	for content, at := range *b {
		if now.Sub(at) >= blameRetention {
			delete(*b, content)
		}
	}
	if len(*b) > maxBlamed*3/4 {
		clear(*b)
	}
}

// blames reports whether an error status is held against the backend server.
func (j *job) blames() bool {
	j.broker.mu.Lock()
	defer j.broker.mu.Unlock()
	return j.broker.blamed.first(time.Now(), j.request.content)
}
