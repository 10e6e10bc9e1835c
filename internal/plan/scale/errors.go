package scale

import "errors"

// Errors of an order that had no effect. After any other error it may have had one.
var (
	// ErrNoneLeft is returned if there is no capacity of the kind in the zone now.
	ErrNoneLeft = errors.New("no capacity of this kind is left in the availability zone")
	// ErrRateLimited is returned if there were too many calls.
	ErrRateLimited = errors.New("the platform takes no further call now")
	// ErrRefused is returned if the platform rejected the order for another reason.
	ErrRefused = errors.New("the platform refused the order")
)

// OutcomeOf returns the outcome of an order whose sending ended with the error.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, ErrNoneLeft):
		return NoneLeft
	case errors.Is(err, ErrRateLimited):
		return RateLimited
	case errors.Is(err, ErrRefused):
		return Refused
	}
	return Unknown
}
