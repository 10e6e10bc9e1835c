package orders

import (
	"errors"

	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/duty"
)

// outcomeOf returns the outcome of an order whose sending ended with the error.
func outcomeOf(err error) scale.Outcome {
	switch {
	case err == nil:
		return scale.Done
	case errors.Is(err, duty.ErrNoneLeft):
		return scale.NoneLeft
	case errors.Is(err, duty.ErrRateLimited):
		return scale.RateLimited
	case errors.Is(err, duty.ErrRefused):
		return scale.Refused
	}
	return scale.Unknown
}
