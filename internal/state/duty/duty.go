// Package duty lets one process at a time make the calls to the platform that all
// processes together need once.
//
// A Holder acquires and renews a lease while its process is the eligible one, the
// process that all processes with the same live peers choose. Other processes do not
// call the store. Two processes that have different live peers may both be eligible;
// the lease decides then.
//
// The platform does not check the fencing token of a call, so two further rules apply.
// A Holder that releases the lease stops granting SendDelay earlier, so that no call of
// it is still on its way when the next process acquires the lease. And a process that
// has held the lease does not acquire it again within Span, so that two processes never
// act in the order A, B, A within that time. As it may have held the lease before a
// restart, the same holds after its start. It reads the lease from its start on, so that
// the time for which it must have seen the lease unchanged counts from then too.
//
// # Usage
//
//	holder := &duty.Holder{Keeper: keeper, Eligible: isChosen, Span: 3 * time.Second, Log: log}
//	go holder.Run(ctx)
//	go duty.While(ctx, holder, func(ctx context.Context, fence uint64) error { return work(ctx) })
//	if grant, ok := holder.Grant(); ok {
//		send(call, grant)
//	}
package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/state/lease"
)

// Errors of calls to the platform. Each says that the call had no effect. After any other
// error it may or may not have taken effect.
var (
	// ErrNoneLeft means that what was ordered is not available now.
	ErrNoneLeft = errors.New("no capacity is left")
	// ErrRateLimited means that too many calls were made.
	ErrRateLimited = errors.New("too many calls")
	// ErrRefused means that the platform does not accept the call.
	ErrRefused = errors.New("call was refused")
)

// Eligible reports whether this process is the one to hold the lease.
type Eligible func() bool

// Authority gives the permission to make a call.
type Authority interface {
	// Grant returns the fencing token of the next call and the time by which it must
	// have ended, or false if this process may not make a call.
	Grant() (lease.Grant, bool)
}

// Holder holds a lease while its process is eligible. It implements Authority. The
// exported fields are set before Run; Keeper.Run must not be called. A Holder is safe
// for concurrent use.
type Holder struct {
	Keeper   *lease.Keeper
	Eligible Eligible
	// Span is the time within which no other process may act between two acquisitions
	// by this one.
	Span time.Duration
	Log  *zap.Logger

	mu sync.Mutex
	// withdrawn is set while the lease is to be released. Nothing is granted then.
	withdrawn bool
	// fence is the token of the grant that was logged last, 0 if that has ended.
	fence uint64
}

// checkInterval is the period at which the eligibility and the grant are checked. It
// adds to the time until the next process takes over.
const checkInterval = 50 * time.Millisecond

// Grant implements Authority.
func (h *Holder) Grant() (lease.Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.withdrawn {
		return lease.Grant{}, false
	}
	return h.Keeper.Grant()
}

// Run holds the lease while the process is eligible, until ctx ends, and returns the
// error of ctx. It releases the lease then.
func (h *Holder) Run(ctx context.Context) error {
	defer h.release()
	h.Keeper.Defer(time.Now().Add(h.Span))
	var nextStep time.Time
	for timer.Wait(ctx, checkInterval) {
		held := h.Keeper.Held()
		switch now := time.Now(); {
		case !h.Eligible():
			h.release()
			nextStep = time.Time{}
		case !now.Before(nextStep):
			// A lease that could not be released is still held.
			h.withdraw(false)
			h.Keeper.Step(ctx)
			nextStep = now.Add(h.Keeper.Interval())
		}
		if held && !h.Keeper.Held() {
			h.Keeper.Defer(time.Now().Add(h.Span + h.Keeper.Delay()))
		}
		h.log()
	}
	return ctx.Err()
}

// release stops granting, waits until the calls that were granted have arrived or are
// aborted, and releases the lease. If the store refuses the release, the lease is held on,
// without a grant, and released at the next check.
func (h *Holder) release() {
	if !h.Keeper.Held() {
		return
	}
	h.withdraw(true)
	h.log()
	time.Sleep(h.Keeper.Delay())
	h.Keeper.Release()
	h.withdraw(h.Keeper.Held())
}

// withdraw sets whether the grant is withheld.
func (h *Holder) withdraw(withdrawn bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawn = withdrawn
}

// log logs that the grant has begun or ended.
func (h *Holder) log() {
	grant, _ := h.Grant()
	h.mu.Lock()
	before := h.fence
	h.fence = grant.Fence
	h.mu.Unlock()
	if before == grant.Fence {
		return
	}
	if before != 0 {
		h.Log.Info("duty released", zap.String("Duty", h.Keeper.Name), zap.Uint64("Fence", before))
	}
	if grant.Fence != 0 {
		h.Log.Info("duty acquired", zap.String("Duty", h.Keeper.Name), zap.Uint64("Fence", grant.Fence))
	}
}

// While calls do whenever the authority has a grant, with the fencing token and a context
// that ends with the grants of that token. If do returns earlier, it is called again after
// retryInterval. While returns the error of ctx.
func While(ctx context.Context, a Authority, do func(ctx context.Context, fence uint64) error) error {
	for timer.Wait(ctx, checkInterval) {
		grant, ok := a.Grant()
		if !ok {
			continue
		}
		held, release := Bind(ctx, a, grant.Fence)
		err := do(held, grant.Fence)
		release()
		if err != nil && !timer.Wait(ctx, retryInterval) {
			break
		}
	}
	return ctx.Err()
}

// retryInterval is the pause after a failed call of what While runs.
const retryInterval = 200 * time.Millisecond

// Bind returns a context that ends within checkInterval once the authority no longer grants
// the token, so that calls under it end before the next holder's begin. release must be
// called when the context is no longer used.
func Bind(ctx context.Context, a Authority, fence uint64) (held context.Context, release func()) {
	held, cancel := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		defer cancel()
		for timer.Wait(held, checkInterval) {
			if g, ok := a.Grant(); !ok || g.Fence != fence {
				return
			}
		}
	}()
	return held, func() {
		cancel()
		<-watched
	}
}
