package follow

import (
	"context"
	"time"
)

// listTimeout is how long a list may take. What changes meanwhile comes with the
// changes after its first page, which the store knows for longer.
const listTimeout = 8 * time.Second

// list reads all objects and returns the revision to watch from. A page that
// fails is asked for again: where many processes list at once, none of them
// would come to an end if each began anew.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	began, pause := time.Now(), backoff{}
	whole, err := f.Feed.List(ctx, f.Kind, "")
	if err != nil {
		return 0, err
	}
	for whole.Next != "" {
		page, err := f.Feed.List(ctx, f.Kind, whole.Next)
		if err != nil {
			if ctx.Err() != nil || time.Since(began) > listTimeout {
				return 0, err
			}
			f.recordFailure(err)
			pause.wait(ctx)
			continue
		}
		pause = backoff{}
		whole.Objects, whole.Next = append(whole.Objects, page.Objects...), page.Next
	}
	f.View.Replace(whole, f.outage())
	f.recordSuccess(whole)
	return whole.Revision, nil
}
