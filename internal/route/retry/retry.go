// Package retry decides whether a call that failed is sent again, and says
// what may be claimed of it if not.
//
// What is known of a call is an Outcome. Only what is provable is NotRun: the
// call never left the process, or the backend server refused it definitely. A
// call that may have been read and must not run twice is never sent again, and
// its outcome is Unknown until an answer says otherwise.
//
// # Usage
//
//	decision := retry.Decide(retry.Failure{Stage: call.StageOf(err), Repeatable: true, Tries: 1}, &budget, random)
//	if decision.Again {
//		wait(decision.Delay)
//	}
//
// Budget bounds the retries of a process to a share of its first tries, so
// that a slow fleet is not pushed over by them.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Outcome is what is known of a call.
type Outcome int

// The outcomes.
const (
	// Unknown means that the call may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the call has certainly not run and never will.
	NotRun
	// Run means that the call has run.
	Run
)

// String returns the name of the outcome as callers see it.
func (o Outcome) String() string { return [...]string{"Unknown", "NotRun", "Run"}[o] }

// MaxAttempts is how often a call is sent at most.
const MaxAttempts = 4

// Bounds of the delay between two tries.
const (
	firstDelay = 5 * time.Millisecond
	maxDelay   = 500 * time.Millisecond
)

// Failure is a try that did not bring a whole answer.
type Failure struct {
	// Refused is set if the backend server refused the call definitely.
	Refused bool
	// Stage is how far the call got if it was not refused.
	Stage call.Stage
	// Repeatable is set for calls that may run more than once.
	Repeatable bool
	// Tries is how often the call has been sent, this time included.
	Tries int
	// Left is the time to the call's deadline.
	Left time.Duration
}

// Outcome returns what is known after the failure.
func (f Failure) Outcome() Outcome {
	if f.Refused || f.Stage == call.StageDialing {
		return NotRun
	}
	return Unknown
}

// Decision is what to do after a failure.
type Decision struct {
	Again bool
	Delay time.Duration
	// Outcome is final if Again is false.
	Outcome Outcome
	// Reason says why the call is not sent again.
	Reason Reason
}

// Reason is why a call is not sent again.
type Reason int

// The reasons.
const (
	NoReason Reason = iota
	MayHaveRun
	TriesUsedUp
	BudgetUsedUp
	DeadlineNear
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"NoReason", "MayHaveRun", "TriesUsedUp", "BudgetUsedUp", "DeadlineNear"}[r]
}

// Decide applies the rules in order. It takes from the budget if the decision
// is to send again. random is any number, from which the jitter is taken.
func Decide(f Failure, budget *Budget, random uint64) Decision {
	decision := Decision{Outcome: f.Outcome()}
	if decision.Outcome == Unknown && !f.Repeatable {
		decision.Reason = MayHaveRun
		return decision
	}
	if f.Tries >= MaxAttempts {
		decision.Reason = TriesUsedUp
		return decision
	}
	delay := Delay(f.Tries, random)
	if f.Left <= delay {
		decision.Reason = DeadlineNear
		return decision
	}
	if !budget.Take() {
		decision.Reason = BudgetUsedUp
		return decision
	}
	return Decision{Again: true, Delay: delay, Outcome: decision.Outcome}
}

// Delay returns the wait after so many tries, between a half and the whole of
// an exponential backoff.
func Delay(tries int, random uint64) time.Duration {
	schedule := backoff.ExponentialBackOff{InitialInterval: firstDelay, Multiplier: 3, MaxInterval: maxDelay}
	schedule.Reset()
	var whole time.Duration
	for range max(tries, 1) {
		whole = schedule.NextBackOff()
	}
	half := whole / 2
	return half + time.Duration(random%uint64(half+1))
}

// Budget is a bucket that first tries fill and retries empty. The zero value
// lets a small burst of retries through.
type Budget struct {
	// Share is how many retries a first try pays for.
	Share float64

	// debt is what retries have taken and first tries have not yet paid. It
	// never exceeds burst.
	debt float64
}

// burst is how many retries may go ahead of the first tries that pay for them.
const burst = 10

// Earn counts a first try.
func (b *Budget) Earn() { b.debt = max(b.debt-b.Share, 0) }

// Take counts a retry, or returns false if the budget is used up.
func (b *Budget) Take() bool {
	if b.debt+1 > burst {
		return false
	}
	b.debt++
	return true
}
