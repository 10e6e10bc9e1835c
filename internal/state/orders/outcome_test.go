package orders

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/duty"
)

// An order whose response was lost must not count as one without effect, or it would not be
// repeated.
func TestOutcomeOfLostResponseIsUnknown(t *testing.T) {
	for err, want := range map[error]scale.Outcome{
		nil: scale.Done, duty.ErrNoneLeft: scale.NoneLeft, duty.ErrRateLimited: scale.RateLimited, duty.ErrRefused: scale.Refused,
		errors.New("connection reset"): scale.Unknown,
	} {
		if err != nil {
			err = fmt.Errorf("order servers: %w", err)
		}
		assert.Equal(t, want, outcomeOf(err))
	}
}
