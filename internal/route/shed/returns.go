package shed

import "time"

// Returns records the requests that were rejected, until their clients should have retried
// them. The zero value is ready to use. Returns is not safe for concurrent use.
type Returns struct {
	until map[uint64]time.Time
	// order has the keys in the order of their rejection, the oldest at next once it
	// is full.
	order []uint64
	next  int
}

const (
	// maxReturns bounds the rejections that are recorded, about 150 KB.
	maxReturns = 4096
	// returnGrace is how long after its Retry-After a retry may come.
	returnGrace = time.Second
)

// Rejected records the rejection of the request with the hash.
func (r *Returns) Rejected(now time.Time, request uint64, retryAfter time.Duration) {
	if r.until == nil {
		r.until = map[uint64]time.Time{}
	}
	_, known := r.until[request]
	r.until[request] = now.Add(retryAfter + returnGrace)
	switch {
	case known:
	case len(r.order) < maxReturns:
		r.order = append(r.order, request)
	default:
		delete(r.until, r.order[r.next])
		r.order[r.next] = request
		r.next = (r.next + 1) % maxReturns
	}
}

// Returned reports whether the request has been rejected and its retry is still due.
func (r *Returns) Returned(now time.Time, request uint64) bool {
	until, known := r.until[request]
	return known && !now.After(until)
}

const (
	// maxRetryShare is the largest Retry-After as a share of the time to the deadline.
	// Clients retry only within a third of the time that they have left, which is
	// shorter than the time seen here: the response takes a part of it.
	maxRetryShare = 0.32
	// minRetryAfter is the shortest Retry-After, unless maxRetryShare gives a shorter one.
	minRetryAfter = 100 * time.Millisecond
	// minRetrySpan is the least upper bound of Retry-After, unless maxRetryShare gives a
	// shorter one, so that retries are spread even if the predicted wait is short.
	minRetrySpan = 700 * time.Millisecond
)

// RetryAfter returns after which time a rejected client should retry: a time between the
// predicted wait for capacity and twice that, uniform if random is, so that clients that
// are rejected together don't return together. left is the time to the deadline.
func RetryAfter(wait, left time.Duration, random uint64) time.Duration {
	latest := min(time.Duration(maxRetryShare*float64(left)), max(2*wait, minRetrySpan))
	if latest <= 0 {
		return minRetryAfter
	}
	earliest := min(max(wait, minRetryAfter), latest/2)
	return earliest + time.Duration(float64(latest-earliest)*float64(random>>11)/(1<<53))
}
