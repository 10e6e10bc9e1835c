package broker

import (
	"context"
	"errors"
	"fmt"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/event"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// failure is an attempt without a response that can be relayed.
type failure struct {
	outcome retry.Outcome
	reason  Reason
	err     error
	// reply is the backend server's error response, if there is one.
	reply *Reply
	// retryCharged is set if the next attempt was already counted against the
	// retry quota.
	retryCharged bool
	// dialFailed is set if no byte of the request left this process.
	dialFailed bool
}

// unreachable reports whether the backend server did not accept a connection, other than
// because this process has as many there as it may, or has not sent the request.
func (f *failure) unreachable() bool {
	return f.dialFailed && !errors.Is(f.err, call.ErrBusy) && !errors.Is(f.err, call.ErrUnwanted)
}

// errStalled is the cancellation cause of an attempt whose backend server has
// stalled.
var errStalled = errors.New("the backend server is stalled")

// sendFailure returns the failure of an attempt without a response.
func (j *job) sendFailure(ctx context.Context, err error) *failure {
	f := &failure{outcome: retry.Unknown, reason: serverLost, err: err, retryCharged: errors.Is(context.Cause(ctx), errStalled)}
	if call.StageOf(err) == call.StageDialing {
		f.outcome, f.dialFailed = retry.NotRun, true
	}
	return f
}

// checkBroken records the failure of an attempt at a backend server if the server broke
// it off.
func (j *job) checkBroken(ctx context.Context, server roster.Server, err error) {
	if ctx.Err() == nil && (call.BrokenOff(err) || errors.Is(err, event.ErrTruncated)) {
		j.broker.recordBroken(server, j.request)
	}
}

// rejection returns a failure if the response confirms that the request did not
// run or is not verified, otherwise nil.
func rejection(response *Response) *failure {
	if response.Replaced || response.NotRun {
		return &failure{outcome: retry.NotRun, reason: serverRefused, err: newStatusError(response)}
	}
	if !response.Verified {
		return &failure{outcome: retry.Unknown, reason: serverLost, err: errUnverified}
	}
	return nil
}

// errUnverified means that a response may not come from the backend server.
var errUnverified = errors.New("response without the seal of the backend server")

// statusError is an error status of a backend server.
type statusError struct {
	status   int
	replaced bool
}

func newStatusError(response *Response) error {
	return &statusError{response.Status, response.Replaced}
}

// Error returns the status as text.
func (e *statusError) Error() string {
	return fmt.Sprintf("backend server responded with status %d", e.status)
}

// verdict classifies a failure for the state of the backend server.
func (j *job) verdict(f *failure) usage.Verdict {
	var status *statusError
	switch {
	case j.ctx.Err() != nil && errors.Is(context.Cause(j.ctx), errTimeout):
		return usage.Failed
	case j.ctx.Err() != nil:
		return usage.Neutral
	case errors.Is(f.err, call.ErrUnwanted):
		return usage.Neutral
	case errors.Is(f.err, call.ErrBusy):
		return usage.Full
	case errors.As(f.err, &status) && status.replaced:
		return usage.Replaced
	case f.reason == serverRefused:
		return usage.Full
	case f.reason == serverFailed && !j.blames():
		return usage.Neutral
	case f.reason == serverLost && f.outcome == retry.NotRun:
		return usage.Unreachable
	}
	return usage.Failed
}

// recordFailure updates the state of the request after a failure. The outcome
// stays NotRun only if no attempt has run or may have run.
func (j *job) recordFailure(f *failure) {
	j.recordOutcome(f.outcome)
	if f.dialFailed {
		j.attempts--
		j.dialFailures++
	}
	if f.reply != nil {
		j.failedReply = f.reply
	}
}

// recordOutcome adds the outcome of a failed attempt to that of the earlier ones.
func (j *job) recordOutcome(outcome retry.Outcome) {
	if outcome != retry.NotRun || !j.attempted {
		j.outcome = outcome
	}
	j.attempted = true
}

// fail ends the request after its last failure. An error response of a backend
// server is relayed.
func (j *job) fail(f *failure) {
	switch {
	case f.unreachable() && j.mayMove() && j.carry():
	case j.failedReply != nil:
		j.end(*j.failedReply, serverFailed, f.err)
	case j.outcome == retry.NotRun:
		j.reject(f.reason)
	default:
		j.endUnanswered(Reply{Status: 502}, f.reason, f.err)
	}
}
