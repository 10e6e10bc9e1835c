package feed

import (
	"context"
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// maxHold is the longest wait of a poll for changes. A follower asks with it. The worst case
// of a change is a relay that is paused just before it would have read it: watchPause,
// pollPause, maxHold, pollSlack, tryTimeout and a call to the store, 2.6 s, within 3 s.
const maxHold = 1200 * time.Millisecond

// Answer answers the query of another process. A process that is no relay refuses.
func (f *Feed) Answer(ctx context.Context, q *wire.FeedQuery) *wire.FeedAnswer {
	if len(q.Positions) == 0 {
		return f.answerOnce(ctx, q)
	}
	deadline := time.Now().Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxHold))
	first, _, _, _ := f.collect(q.Positions, time.Now())
	refused := refusals(first)
	for {
		now := time.Now()
		answer, busy, news, until := f.collect(q.Positions, now)
		if answer.Refused || busy || refusals(answer) != refused || !now.Before(deadline) {
			if !answer.Refused {
				f.Meters.Add(Served, 1)
			}
			return answer
		}
		if waitFor(ctx, news, earlier(until, deadline).Sub(now)) != nil {
			return &wire.FeedAnswer{Refused: true}
		}
	}
}

// answerOnce lists a kind that nobody watches.
func (f *Feed) answerOnce(ctx context.Context, q *wire.FeedQuery) *wire.FeedAnswer {
	f.mu.Lock()
	refuses := !f.relaying || !q.List || f.view(q.Kind) != nil
	f.mu.Unlock()
	if refuses {
		return &wire.FeedAnswer{Refused: true}
	}
	page, err := f.listShared(ctx, q.Kind)
	if err != nil {
		return &wire.FeedAnswer{Refused: true}
	}
	f.Meters.Add(Served, 1)
	return &wire.FeedAnswer{Revision: page.Revision, Objects: encodeObjects(page.Objects)}
}

// refusals returns the number of kinds that are refused.
func refusals(a *wire.FeedAnswer) int {
	count := 0
	for _, p := range a.Parts {
		if p.Refused {
			count++
		}
	}
	return count
}

// collect returns the answer to a query as of now, whether there is anything new in it, and
// when to look again.
func (f *Feed) collect(positions []*wire.FeedPosition, now time.Time) (answer *wire.FeedAnswer, busy bool, news <-chan struct{}, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view("")
	failing := f.failingFor(now).Milliseconds()
	answer, news, until = &wire.FeedAnswer{FailingMs: failing}, f.news, now.Add(maxHold)
	if !f.relaying {
		return &wire.FeedAnswer{Refused: true}, false, news, until
	}
	for _, p := range positions {
		part := f.part(p, now)
		busy = busy || part.Listed || len(part.Objects) > 0
		if !part.Refused {
			until = earlier(until, f.views[p.Kind].servedUntil)
		}
		answer.Parts = append(answer.Parts, part)
	}
	if refusals(answer) == len(positions) {
		return &wire.FeedAnswer{Refused: true, FailingMs: failing}, false, news, until
	}
	return answer, busy, news, until
}

// failingFor returns for how long this process's own watches have failed. The caller must
// hold mu.
func (f *Feed) failingFor(now time.Time) time.Duration {
	var longest time.Duration
	for _, v := range f.views {
		if !v.failingSince.IsZero() {
			longest = max(longest, now.Sub(v.failingSince))
		}
	}
	return longest
}

// part answers the position of one kind. The caller must hold mu.
func (f *Feed) part(p *wire.FeedPosition, now time.Time) *wire.FeedPart {
	v := f.views[p.Kind]
	if v == nil || !v.serves(now) {
		return &wire.FeedPart{Kind: p.Kind, Refused: true}
	}
	page, err := v.since(p.After)
	listed := p.List || errors.Is(err, store.ErrForgotten)
	switch {
	case listed:
		page = v.list()
	case err != nil:
		return &wire.FeedPart{Kind: p.Kind, Refused: true}
	default:
		page.Revision = v.revision
	}
	a := &wire.FeedPart{Kind: p.Kind, Listed: listed, Revision: page.Revision, Objects: encodeObjects(page.Objects)}
	encodeOutage(a, v.outage, now)
	return a
}

// outageReportTime is for how long a relay reports an outage of the store after its end. It is
// longer than a follower needs to ask for what changed meanwhile.
const outageReportTime = 3 * time.Second
