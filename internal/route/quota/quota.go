// Package quota limits the retries of a service over a sliding window, for all
// processes together and without communication between them.
//
// Within a window, all processes together may retry Ratio of the requests, and
// Slack more. Each process may use its part of that limit: half of Ratio of its own
// requests, because the requests that allow a retry may lie in the previous window,
// and Slack divided by the number of processes that may be alive, which are the known
// ones and two more. The sum over all processes is then within the limit as long as
// at most two others are unknown to any process.
//
// # Usage
//
//	q := quota.Quota{Limit: quota.Limit{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}}
//	q.Request(now)
//	if q.TryRetry(now, processes) {
//		retry()
//	}
//
// The zero value allows no retries. A Quota is not safe for concurrent use.
package quota

import "time"

// Limit is the retry limit of a service for all processes together.
type Limit struct {
	Window time.Duration
	// Ratio is the fraction of the requests in a window that may be retried.
	Ratio float64
	// Slack is how many retries in a window are allowed in addition.
	Slack float64
}

// buckets is the number of counting intervals in a window.
const buckets = 50

// unknownProcesses is how many processes may be alive beside the known ones, as they
// have just started.
const unknownProcesses = 2

// Quota counts the requests and retries of one service in one process.
type Quota struct {
	Limit Limit

	requests, retries counter
}

// counter counts events over a sliding window. It has one bucket more than the
// window, since the start of the window falls within the oldest bucket.
type counter struct {
	counts [buckets + 1]int
	newest int64
	total  int
}

// advance moves the window to now and clears the buckets that it has left.
func (c *counter) advance(now time.Time, window time.Duration) {
	interval := max(int64(window)/buckets, 1)
	current := now.UnixNano() / interval
	if current <= c.newest {
		return
	}
	for steps := min(current-c.newest, buckets+1); steps > 0; steps-- {
		i := (current - steps + 1) % (buckets + 1)
		c.total -= c.counts[i]
		c.counts[i] = 0
	}
	c.newest = current
}

func (c *counter) add() {
	c.counts[c.newest%(buckets+1)]++
	c.total++
}

// Request counts a request. Call it once for each request, not for its retries.
func (q *Quota) Request(now time.Time) {
	q.requests.advance(now, q.Limit.Window)
	q.requests.add()
}

// TryRetry counts a retry, or returns false if none is allowed now. processes is the
// number of processes known to be alive, this one included.
func (q *Quota) TryRetry(now time.Time, processes int) bool {
	q.requests.advance(now, q.Limit.Window)
	q.retries.advance(now, q.Limit.Window)
	if float64(q.retries.total+1) > q.allowed(processes) {
		return false
	}
	q.retries.add()
	return true
}

// allowed returns how many retries this process may make within a window.
func (q *Quota) allowed(processes int) float64 {
	slack := q.Limit.Slack / float64(max(processes, 1)+unknownProcesses)
	return q.Limit.Ratio/2*float64(q.requests.total) + slack
}

// Remaining returns how many more retries are allowed now. It is negative if the
// limit has fallen below the number of retries in the window.
func (q *Quota) Remaining(now time.Time, processes int) int {
	q.requests.advance(now, q.Limit.Window)
	q.retries.advance(now, q.Limit.Window)
	return int(q.allowed(processes)) - q.retries.total
}
