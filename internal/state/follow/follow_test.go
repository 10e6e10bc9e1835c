package follow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// feed is a store with scripted responses, one step for each call: an error, a
// revision without objects, or a page. After the last step, calls block until
// their context ends.
type feed struct {
	steps []any
	calls []string
}

func (f *feed) next(ctx context.Context, call string) (store.Page, error) {
	f.calls = append(f.calls, call)
	if len(f.steps) == 0 {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	step := f.steps[0]
	f.steps = f.steps[1:]
	switch s := step.(type) {
	case error:
		return store.Page{}, s
	case uint64:
		return store.Page{Revision: s}, nil
	case store.Page:
		return s, nil
	}
	panic("unknown step")
}

func (f *feed) List(ctx context.Context, _, after string) (store.Page, error) {
	return f.next(ctx, strings.TrimSpace("list "+after))
}

func (f *feed) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) (store.Page, error) {
	return f.next(ctx, fmt.Sprintf("after %d", after))
}

func second() time.Duration { return time.Second }

// view is a View that records its calls.
type view struct{ updates []string }

func (v *view) Replace(p store.Page, outage bool) {
	update := fmt.Sprintf("all at %d outage %v", p.Revision, outage)
	for _, o := range p.Objects {
		update += " " + o.Key
	}
	v.updates = append(v.updates, update)
}

func (v *view) Change(p store.Page) {
	v.updates = append(v.updates, fmt.Sprintf("changes to %d", p.Revision))
}

// part is a page of one object.
func part(revision uint64, next, key string) store.Page {
	return store.Page{Revision: revision, Next: next, Objects: []store.Object{{Key: key}}}
}

// TestFollower checks for scripted responses of the store which calls a Follower
// makes and what it passes to its view.
func TestFollower(t *testing.T) {
	down := errors.New("down")
	for _, c := range []struct {
		name    string
		steps   []any
		calls   []string
		updates []string
	}{
		{
			"no failures",
			[]any{uint64(5), uint64(7), uint64(7)},
			[]string{"list", "after 5", "after 7", "after 7"},
			[]string{"all at 5 outage false", "changes to 7", "changes to 7"},
		},
		{
			"history lost",
			[]any{uint64(5), store.ErrForgotten, uint64(9), uint64(10)},
			[]string{"list", "after 5", "list", "after 9", "after 10"},
			[]string{"all at 5 outage false", "all at 9 outage false", "changes to 10"},
		},
		{
			"back from an older copy",
			[]any{store.Version(1, 5), store.ErrForgotten, store.Version(2, 3), store.Version(2, 4)},
			[]string{"list", fmt.Sprint("after ", store.Version(1, 5)), "list", fmt.Sprint("after ", store.Version(2, 3)), fmt.Sprint("after ", store.Version(2, 4))},
			[]string{
				fmt.Sprintf("all at %d outage false", store.Version(1, 5)), fmt.Sprintf("all at %d outage true", store.Version(2, 3)),
				fmt.Sprintf("changes to %d", store.Version(2, 4)),
			},
		},
		{
			"down at first",
			[]any{down, down, down, down, down, down, uint64(5)},
			[]string{"list", "list", "list", "list", "list", "list", "list", "after 5"},
			[]string{"all at 5 outage true"},
		},
		{
			"down for a while",
			[]any{uint64(5), down, down, down, down, down, down, uint64(6), uint64(8)},
			[]string{"list", "after 5", "list", "list", "list", "list", "list", "list", "after 6", "after 8"},
			[]string{"all at 5 outage false", "all at 6 outage true", "changes to 8"},
		},
		{
			"watch interrupted",
			[]any{uint64(5), down, uint64(6), uint64(8)},
			[]string{"list", "after 5", "list", "after 6", "after 8"},
			[]string{"all at 5 outage false", "all at 6 outage false", "changes to 8"},
		},
		{
			"watch without a response",
			[]any{uint64(5), fmt.Errorf("call: %w", context.DeadlineExceeded), uint64(6), uint64(8)},
			[]string{"list", "after 5", "list", "after 6", "after 8"},
			[]string{"all at 5 outage false", "all at 6 outage true", "changes to 8"},
		},
		{
			"history lost, then down for a moment",
			[]any{uint64(5), store.ErrForgotten, down, uint64(6)},
			[]string{"list", "after 5", "list", "list", "after 6"},
			[]string{"all at 5 outage false", "all at 6 outage false"},
		},
		{
			"in pages",
			[]any{part(5, "a", "a"), part(6, "b", "b"), part(7, "", "c"), uint64(8)},
			[]string{"list", "list a", "list b", "after 5", "after 8"},
			[]string{"all at 5 outage false a b c", "changes to 8"},
		},
		{
			"failed pages are retried",
			[]any{part(5, "a", "a"), down, store.ErrRefused, part(6, "b", "b"), down, part(7, "", "c")},
			[]string{"list", "list a", "list a", "list a", "list b", "list b", "after 5"},
			[]string{"all at 5 outage false a b c"},
		},
		{
			"a lower revision is ignored",
			[]any{uint64(5), uint64(7), uint64(3)},
			[]string{"list", "after 5", "after 7", "after 7"},
			[]string{"all at 5 outage false", "changes to 7", "changes to 3"},
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			feed, view := &feed{steps: c.steps}, &view{}
			f := Follower{Kind: "k", Feed: feed, View: view, PollTimeout: second, Log: zap.NewNop()}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
			assert.Equal(t, c.calls, feed.calls, c.name)
			assert.Equal(t, c.updates, view.updates, c.name)
		})
	}
}

// TestListEnds checks that a list is started over if a page fails for longer
// than listTimeout.
func TestListEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, view := &feed{steps: []any{part(5, "a", "a")}}, &view{}
		for range 100 {
			feed.steps = append(feed.steps, errors.New("down"))
		}
		f := Follower{Kind: "k", Feed: feed, View: view, PollTimeout: second, Log: zap.NewNop()}
		ctx, cancel := context.WithTimeout(t.Context(), 2*listTimeout)
		defer cancel()
		assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		restart := slices.Index(feed.calls[1:], "list")
		assert.Greater(t, restart, int(listTimeout/(2*maxBackoff)))
		assert.Less(t, restart, 60)
		assert.NotContains(t, feed.calls[1+restart:], "list a")
		assert.Empty(t, view.updates)
	})
}

// TestFollowerBacksOff checks that a store that is down gets a few calls a
// second, not a busy loop.
func TestFollowerBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &feed{}
		for range 1000 {
			feed.steps = append(feed.steps, errors.New("down"))
		}
		f := Follower{Kind: "k", Feed: feed, View: &view{}, PollTimeout: second, Log: zap.NewNop()}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		assert.Less(t, len(feed.calls), 60)
		assert.Greater(t, len(feed.calls), 15)
	})
}

// watchless is a Feed whose lists succeed and whose watches all fail.
type watchless struct {
	err   error
	calls int
}

func (w *watchless) List(ctx context.Context, _, _ string) (store.Page, error) {
	time.Sleep(time.Millisecond)
	w.calls++
	return store.Page{Revision: 5}, ctx.Err()
}

func (w *watchless) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Page, error) {
	time.Sleep(time.Millisecond)
	w.calls++
	return store.Page{}, cmp.Or(ctx.Err(), w.err)
}

// TestWatchesThatFailAreNoBusyLoop checks that watches that fail each time although lists
// succeed, as with events that can't be read or with a history that is always gone, cost a
// few calls a second.
func TestWatchesThatFailAreNoBusyLoop(t *testing.T) {
	for _, err := range []error{store.ErrForgotten, errors.New("unreadable")} {
		synctest.Test(t, func(t *testing.T) {
			feed, view := &watchless{err: err}, &view{}
			f := Follower{Kind: "k", Feed: feed, View: view, PollTimeout: second, Health: &Health{}, Log: zap.NewNop()}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
			_, outage := f.Health.Last(time.Now())
			assert.Equal(t, !errors.Is(err, store.ErrForgotten), outage, "a store that answers has no outage")
			assert.Less(t, feed.calls, 4*60, "at most 60 rounds of two lists and two watches: %v", err)
			assert.Greater(t, len(view.updates), 15, "%v", err)
		})
	}
}

// TestRelist checks that Relist interrupts a wait for changes and lists again,
// and that it has no effect before Run.
func TestRelist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, view := &feed{steps: []any{uint64(5)}}, &view{}
		f := Follower{Kind: "k", Feed: feed, View: view, PollTimeout: second, Log: zap.NewNop()}
		f.Relist()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		feed.steps = []any{uint64(8)}
		f.Relist()
		synctest.Wait()
		assert.Equal(t, []string{"list", "after 5", "list", "after 8"}, feed.calls)
		assert.Equal(t, []string{"all at 5 outage false", "all at 8 outage false"}, view.updates)
	})
}

// TestDebounce checks that changes in quick succession are read in few calls.
func TestDebounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &feed{steps: []any{uint64(5)}}
		for i := range 1000 {
			feed.steps = append(feed.steps, uint64(6+i))
		}
		f := Follower{Kind: "k", Feed: busy{feed}, View: &view{}, PollTimeout: second, Debounce: second, Log: zap.NewNop()}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		assert.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		assert.LessOrEqual(t, len(feed.calls), 12)
	})
}

// busy is a feed that always has a change.
type busy struct{ *feed }

func (b busy) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	page, err := b.feed.Changes(ctx, kind, after, wait)
	page.Objects = []store.Object{{Key: "k/x"}}
	return page, err
}
