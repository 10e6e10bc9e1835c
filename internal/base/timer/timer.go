// Package timer waits without outliving what it waits for.
//
// # Usage
//
//	for timer.Wait(ctx, time.Second) {
//		look()
//	}
package timer

import (
	"context"
	"time"
)

// Wait waits for d or until ctx ends, and reports whether ctx is still alive.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
