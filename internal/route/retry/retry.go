// Package retry decides whether a failed call is retried, and determines its outcome
// if not.
//
// An Outcome is NotRun only if that is certain: the call never left the process,
// or the backend server definitely rejected it. A call that a backend server may
// have read and that must not run twice is never retried, and its outcome is
// Unknown.
//
// # Usage
//
//	decision := retry.Decide(retry.Failure{Stage: call.StageOf(err), Repeatable: true, Attempts: 1, Left: left}, &budget, random)
//	if decision.Retry {
//		wait(decision.Delay)
//	}
//
// Budget limits the retries of a process to a share of its first attempts, so
// that retries don't overload a fleet that is already slow.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Outcome is whether a call has run, as far as that is known.
type Outcome int

// The outcomes.
const (
	// Unknown means that the call may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the call has certainly not run and will not.
	NotRun
	// Run means that the call has run.
	Run
)

// String returns the outcome's name as sent to clients.
func (o Outcome) String() string { return [...]string{"Unknown", "NotRun", "Run"}[o] }

// MaxAttempts is the largest number of attempts of a call, the first included.
const MaxAttempts = 4

// Bounds of the backoff between two attempts, before jitter.
const (
	firstDelay = 5 * time.Millisecond
	maxDelay   = 500 * time.Millisecond
)

// Failure describes an attempt that did not return a complete response.
type Failure struct {
	// Rejected is set if the backend server rejected the call and certainly didn't
	// run it.
	Rejected bool
	// Stage is the stage at which the call failed if it was not rejected.
	Stage call.Stage
	// MayHaveRun is set if an earlier attempt of the call may have run.
	MayHaveRun bool
	// Repeatable is set for calls that may safely run more than once.
	Repeatable bool
	// Attempts is the number of attempts so far, this one included.
	Attempts int
	// Left is the time left until the call's deadline.
	Left time.Duration
}

// Outcome returns NotRun if the failed attempt and those before it certainly didn't
// run, and Unknown otherwise.
func (f Failure) Outcome() Outcome {
	if !f.MayHaveRun && (f.Rejected || f.Stage == call.StageDialing) {
		return NotRun
	}
	return Unknown
}

// Decision is the result of Decide.
type Decision struct {
	// Retry is set if the call should be retried after Delay.
	Retry bool
	Delay time.Duration
	// Outcome is final if Retry is false.
	Outcome Outcome
	// Reason is why the call is not retried.
	Reason Reason
}

// Reason is why a call is not retried.
type Reason int

// The reasons.
const (
	// NoReason means that the call is retried.
	NoReason Reason = iota
	// MayHaveRun means that the call may have run and must not run twice.
	MayHaveRun
	// TriesUsedUp means that the call has been sent MaxAttempts times.
	TriesUsedUp
	// BudgetUsedUp means that the retry budget is empty.
	BudgetUsedUp
	// DeadlineNear means that the deadline would pass during the backoff.
	DeadlineNear
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"NoReason", "MayHaveRun", "TriesUsedUp", "BudgetUsedUp", "DeadlineNear"}[r]
}

// Decide returns whether to retry after a failure. It withdraws from the budget
// only if the call is retried. random is a random number for the jitter.
func Decide(f Failure, budget *Budget, random uint64) Decision {
	decision := Decision{Outcome: f.Outcome()}
	if decision.Outcome == Unknown && !f.Repeatable {
		decision.Reason = MayHaveRun
		return decision
	}
	if f.Attempts >= MaxAttempts {
		decision.Reason = TriesUsedUp
		return decision
	}
	delay := Delay(f.Attempts, random)
	if f.Left <= delay {
		decision.Reason = DeadlineNear
		return decision
	}
	if !budget.Withdraw() {
		decision.Reason = BudgetUsedUp
		return decision
	}
	return Decision{Retry: true, Delay: delay, Outcome: decision.Outcome}
}

// Delay returns the backoff after the given number of attempts: an exponential
// backoff with jitter, between half and all of its interval.
func Delay(attempts int, random uint64) time.Duration {
	schedule := backoff.ExponentialBackOff{InitialInterval: firstDelay, Multiplier: 3, MaxInterval: maxDelay}
	schedule.Reset()
	var interval time.Duration
	for range max(attempts, 1) {
		interval = schedule.NextBackOff()
	}
	half := interval / 2
	return half + time.Duration(random%uint64(half+1))
}

// Budget limits retries to a share of first attempts, which deposit what retries
// withdraw. The zero value allows a burst of 10 retries in all. A Budget is not safe
// for concurrent use.
type Budget struct {
	// Share is the fraction of a retry that each first attempt deposits.
	Share float64

	// debt is the retries withdrawn and not yet covered by deposits. It never
	// exceeds burst.
	debt float64
}

// burst is the largest number of retries not covered by deposits.
const burst = 10

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.debt = max(b.debt-b.Share, 0) }

// Withdraw counts a retry, or returns false if the budget is empty.
func (b *Budget) Withdraw() bool {
	if b.debt+1 > burst {
		return false
	}
	b.debt++
	return true
}
