package follow

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// listTimeout bounds the time in which failed pages of a list are retried. The
// store keeps the history of changes for longer, so that the changes since the
// first page can still be read after the last one.
const listTimeout = 8 * time.Second

// list replaces the view's objects by all that the store has and returns the
// revision of the first page, to watch from. A failed page is retried: if many
// processes that list at once each started over, none would finish.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	began, pause := time.Now(), backoff{}
	f.called = began
	all, err := f.Feed.List(ctx, f.Kind, "")
	if err != nil {
		return 0, err
	}
	for all.Next != "" {
		f.called = time.Now()
		page, err := f.Feed.List(ctx, f.Kind, all.Next)
		if err != nil {
			if ctx.Err() != nil || time.Since(began) > listTimeout {
				return 0, err
			}
			f.recordFailure(err)
			pause.wait(ctx)
			continue
		}
		pause = backoff{}
		all.Objects, all.Next = append(all.Objects, page.Objects...), page.Next
		all.Nameless += page.Nameless
	}
	if all.Nameless > 0 {
		f.Log.Warn("objects of the store are left out, their names cannot be read", zap.String("Kind", f.Kind), zap.Int("Objects", all.Nameless))
	}
	f.recordOutage(all)
	f.View.Replace(all, f.outage(all.Revision))
	f.recordSuccess(all)
	return all.Revision, nil
}
