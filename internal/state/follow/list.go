package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// listFor is how long a list may take. What changes meanwhile comes with the
// changes after its first page, which the store knows for longer.
const listFor = 8 * time.Second

// list reads all objects and returns the revision to watch from. A page that
// fails is asked for again: where many processes list at once, none of them
// would come to an end if each began anew.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	began, pause := time.Now(), firstPause
	whole, err := f.Feed.List(ctx, f.Kind, "")
	if err != nil {
		return 0, err
	}
	for whole.Next != "" {
		page, err := f.Feed.List(ctx, f.Kind, whole.Next)
		if err != nil {
			if ctx.Err() != nil || time.Since(began) > listFor {
				return 0, err
			}
			f.lost(err)
			timer.Wait(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
			continue
		}
		pause = firstPause
		whole = store.Page{Revision: whole.Revision, Objects: append(whole.Objects, page.Objects...), Next: page.Next}
	}
	f.View.Replace(whole, f.away())
	f.regained(whole)
	return whole.Revision, nil
}
