package broker

import "time"

const (
	// retryAfterShare is the share of the time to the deadline after which a
	// rejected client should retry. With less, the retry falls into the same
	// burst; clients do not wait longer than a third of that time.
	retryAfterShare = 0.28
	// minRetryAfter and maxRetryAfter bound that time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 700 * time.Millisecond
)

// retryAfter returns how long a rejected client should wait before it retries.
// Jitter of a quarter in both directions spreads clients that are rejected
// together. A request in quarantine isn't served before the end of that.
func (j *job) retryAfter() time.Duration {
	if left := time.Until(j.quarantinedUntil); left > 0 {
		return left
	}
	if j.broker.byCost() {
		return j.shedRetryAfter()
	}
	earliest, latest := retryAfterRange(time.Until(j.deadline))
	return earliest + time.Duration(j.broker.random()%uint64(latest-earliest))
}

// retryAfterRange returns the range of retryAfter in the order of arrival, for the time left
// to the deadline.
func retryAfterRange(left time.Duration) (earliest, latest time.Duration) {
	wait := min(max(time.Duration(retryAfterShare*float64(left)), minRetryAfter), maxRetryAfter)
	return wait * 3 / 4, wait*3/4 + wait/2
}
