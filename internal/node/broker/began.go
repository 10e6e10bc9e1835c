package broker

import "time"

// Counter counts requests that begin to run at a backend server. It must be safe for
// concurrent use.
type Counter interface {
	// Began is called with the client account of a request, empty if it has none, when the
	// first event of a stream or the header of another response has arrived. Each attempt
	// that begins counts, whatever becomes of it.
	Began(account string, at time.Time)
}

// countBegan counts the request, which has begun to run.
func (j *job) countBegan() {
	if j.broker.Counter != nil {
		j.broker.Counter.Began(j.accountName(), time.Now())
	}
}
