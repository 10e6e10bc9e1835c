package duty

import "golang.org/x/time/rate"

const (
	// limitShare is the share of the platform's rate limit that is used: its clock may run
	// slower, and calls of the last holder may still count.
	limitShare = 0.8
	// burstDivisor divides the rate limit into the calls that may follow each other at once.
	burstDivisor = 4
)

// Limit returns the limiter of the calls of one process, if the platform accepts perSecond
// from all; 0 means no limit. Only one process makes calls, so that it may use all of them.
func Limit(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	limit := perSecond * limitShare
	return rate.NewLimiter(rate.Limit(limit), max(int(limit/burstDivisor), 1))
}
