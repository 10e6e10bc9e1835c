// Package quota bounds how often requests are sent again, over a sliding
// window and over all processes together, without asking any of them.
//
// All processes may repeat Ratio of the requests of a window, and Slack more.
// A process repeats at most its part of that: half of Ratio of its own
// requests, because requests that pay for a repeat may lie in the window
// before, and Slack divided by the processes that may be alive. The sum over
// the processes is then within the bound whatever they know of each other.
//
// # Usage
//
//	q := quota.Quota{Rule: quota.Rule{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}}
//	q.Request(now)
//	if q.Take(now, processes) { sendAgain() }
//
// The zero value allows no repeats. A Quota is not safe for concurrent use.
package quota

import "time"

// Rule is the bound for all processes together.
type Rule struct {
	Window time.Duration
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Slack is how many repeats are allowed besides.
	Slack float64
}

// buckets is how many parts a window is counted in.
const buckets = 50

// unknownProcesses counts processes that may have started and are not known yet.
const unknownProcesses = 2

// Quota counts one service's requests and repeats of one process.
type Quota struct {
	Rule Rule

	requests, retries counter
}

// counter counts over a sliding window. One part more than the window has is
// kept, since the oldest is cut somewhere.
type counter struct {
	counts [buckets + 1]int
	newest   int64
	total  int
}

// advance moves the window to now.
func (c *counter) advance(now time.Time, window time.Duration) {
	part := max(int64(window)/buckets, 1)
	current := now.UnixNano() / part
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

// Request counts a request, however often it is sent.
func (q *Quota) Request(now time.Time) {
	q.requests.advance(now, q.Rule.Window)
	q.requests.add()
}

// Take counts a repeat, or returns false if there may be none now. processes
// is how many processes may be alive, this one included.
func (q *Quota) Take(now time.Time, processes int) bool {
	q.requests.advance(now, q.Rule.Window)
	q.retries.advance(now, q.Rule.Window)
	if float64(q.retries.total+1) > q.allowed(processes) {
		return false
	}
	q.retries.add()
	return true
}

func (q *Quota) allowed(processes int) float64 {
	share := q.Rule.Slack / float64(max(processes, 1)+unknownProcesses)
	return q.Rule.Ratio/2*float64(q.requests.total) + share
}

// Remaining returns how many repeats are allowed now.
func (q *Quota) Remaining(now time.Time, processes int) int {
	q.requests.advance(now, q.Rule.Window)
	q.retries.advance(now, q.Rule.Window)
	return int(q.allowed(processes)) - q.retries.total
}
