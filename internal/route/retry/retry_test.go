package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

func TestDecide(t *testing.T) {
	const left = time.Minute
	cases := []struct {
		name    string
		failure Failure
		retry   bool
		outcome Outcome
		reason  Reason
	}{
		{"not connected, not repeatable", Failure{Stage: call.StageDialing, Attempts: 1, Left: left}, true, NotRun, NoReason},
		{"refused, not repeatable", Failure{Rejected: true, Stage: call.StageReading, Attempts: 1, Left: left}, true, NotRun, NoReason},
		{"partly written, not repeatable", Failure{Stage: call.StageWriting, Attempts: 1, Left: left}, false, Unknown, MayHaveRun},
		{"no response, not repeatable", Failure{Stage: call.StageReading, Attempts: 1, Left: left}, false, Unknown, MayHaveRun},
		{"no response, repeatable", Failure{Stage: call.StageReading, Repeatable: true, Attempts: 1, Left: left}, true, Unknown, NoReason},
		{"attempts used up", Failure{Stage: call.StageDialing, Attempts: MaxAttempts, Left: left}, false, NotRun, TriesUsedUp},
		{"deadline near", Failure{Stage: call.StageDialing, Attempts: 1, Left: time.Millisecond}, false, NotRun, DeadlineNear},
		{"last attempt may have run", Failure{Stage: call.StageReading, Repeatable: true, Attempts: MaxAttempts, Left: left}, false, Unknown, TriesUsedUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.failure, &Budget{}, 7)
			assert.Equal(t, c.retry, d.Retry)
			assert.Equal(t, c.outcome, d.Outcome)
			assert.Equal(t, c.reason, d.Reason)
		})
	}
}

func TestBudgetBoundsRetriesToAShare(t *testing.T) {
	budget := Budget{Share: 0.1}
	retries := 0
	for range 10000 {
		budget.Deposit()
		if Decide(Failure{Attempts: 1, Left: time.Minute}, &budget, 0).Retry {
			retries++
		}
	}
	assert.LessOrEqual(t, retries, 10000/10+burst+1)
	assert.Greater(t, retries, 900)
}

func TestDelayGrowsAndStaysWithinItsBounds(t *testing.T) {
	for attempts := 1; attempts < 10; attempts++ {
		for _, random := range []uint64{0, 1, 1 << 40, 1<<64 - 1} {
			d := Delay(attempts, random)
			assert.GreaterOrEqual(t, d, firstDelay/2)
			assert.LessOrEqual(t, d, maxDelay)
		}
	}
	assert.Greater(t, Delay(3, 0), Delay(1, 0))
}
