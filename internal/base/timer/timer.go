// Package timer waits for a duration or the end of a context.
//
// # Usage
//
//	for timer.Wait(ctx, time.Second) {
//		poll()
//	}
package timer

import (
	"context"
	"time"
)

// Wait waits for d or until ctx ends, whichever is first, and reports whether ctx
// has not ended.
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
