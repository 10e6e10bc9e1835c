package broker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// lineKey names the line of those who wait for one kind of backend server with
// one kind of work. What places of one kind of work take says nothing of
// another's.
type lineKey struct {
	service string
	role    roster.Role
	work    usage.Work
}

// hash is the line's name among processes.
func (k lineKey) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprint(k.service, "/", k.role, "/", int(k.work)))
}

// line is where requests wait for a place.
type line struct {
	waiting []*waiter
	// places are those that this process has taken.
	places map[*place]bool
	// hold is the usual time that a place is taken, in seconds; age is how long
	// those that are taken now have been taken, if that is longer.
	hold, age float64
	// load is how many of its requests a backend server usually has, those that
	// wait included.
	load float64
	// granted counts the places that others have of this process, remote those
	// that this one has of a coordinator.
	granted, remote int
}

// waiter is a request that waits for a place.
type waiter struct {
	want want
	// other is a line whose places would do, too; nil if there is none.
	other *want
	since time.Time
	// deliver takes the place, or why there is none. It is called once at most,
	// with the broker locked.
	deliver func(*place, error)
	// requester is the process that asks; it has no name if this one does.
	requester requester
}

// want is what a request asks of a line.
type want struct {
	key lineKey
	// share is a hash of what the request shares with others, or 0; pull is
	// how much it matters.
	share uint64
	pull  float64
	// rank goes before time: 0 is first.
	rank int
	// aim is until when the request should have its place.
	aim time.Time
	// patience is the longest wait that is worth it.
	patience time.Duration
	excluded map[string]bool
	// load is how many requests a slot may hold in all processes.
	load float64
}

// Errors of a line.
var (
	errNoServer   = errors.New("no backend server takes such requests")
	errOverloaded = errors.New("the wait would be too long")
)

const (
	// waitSlack is by how much a wait may turn out longer than what was worth
	// it when it began.
	waitSlack  = 30 * time.Millisecond
	holdLearnt = 0.05
	// firstHold is the time that a place is taken before any was given back.
	firstHold = 0.02
)

// enter waits for a place at a backend server, or at one of the other line if
// that is not nil. The place has to be left.
func (b *Broker) enter(ctx context.Context, w want, other *want) (*place, error) {
	type outcome struct {
		place *place
		err   error
	}
	got := make(chan outcome, 1)
	me := &waiter{want: w, other: other, since: time.Now(), deliver: func(p *place, err error) { got <- outcome{p, err} }}
	b.mu.Lock()
	b.admit(me)
	b.mu.Unlock()
	select {
	case o := <-got:
		return o.place, o.err
	case <-ctx.Done():
	}
	b.withdraw(me)
	select {
	case o := <-got:
		if o.place != nil {
			o.place.leave(usage.Result{})
		}
	default:
	}
	return nil, context.Cause(ctx)
}

// admit gives the request a place, refuses it, or lets it wait.
func (b *Broker) admit(me *waiter) {
	l := b.line(me.want.key)
	v := b.choose(me.since, me.want)
	if v.usable == 0 {
		me.deliver(nil, errNoServer)
		return
	}
	if !l.behind(me.want) {
		if p := b.acquire(me.since, me); p != nil {
			me.deliver(p, nil)
			return
		}
	}
	if b.expected(me.since, me, v, l.ahead(me.want)) > me.want.patience {
		me.deliver(nil, errOverloaded)
		return
	}
	l.waiting = append(l.waiting, me)
}

// withdraw takes a request that does not wait any longer out of its line.
func (b *Broker) withdraw(me *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(me)
}

func (b *Broker) remove(me *waiter) {
	l := b.line(me.want.key)
	for i, w := range l.waiting {
		if w == me {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
}

// acquire takes a place for the request if there is one now, in the line that
// is predicted to serve it sooner. Backend servers that should be left alone are
// taken only where all of both lines are.
func (b *Broker) acquire(now time.Time, me *waiter) *place {
	v := b.choose(now, me.want)
	if me.other == nil {
		return b.acquireAt(now, me, me.want, v)
	}
	first := !v.closed && v.predicted <= b.line(me.other.key).usual()
	if first {
		if p := b.acquireAt(now, me, me.want, v); p != nil {
			return p
		}
	}
	o := b.choose(now, *me.other)
	if v.closed && o.closed {
		if p := b.acquireAt(now, me, me.want, v); p != nil {
			return p
		}
	}
	if !o.closed || v.closed {
		if p := b.acquireAt(now, me, *me.other, o); p != nil {
			return p
		}
	}
	if first || v.closed {
		return nil
	}
	return b.acquireAt(now, me, me.want, v)
}

// acquireAt takes a place at the backend server that was chosen.
func (b *Broker) acquireAt(now time.Time, me *waiter, w want, v view) *place {
	l := b.line(w.key)
	if v.server.ID == "" || !l.mayTake(now, v, b.Seed) {
		return nil
	}
	if me.requester.process != "" {
		return b.grant(now, l, v.server, w, me.requester)
	}
	p := b.start(now, l, v.server, w)
	p.waited = now.Sub(me.since)
	return p
}

// start takes a place.
func (b *Broker) start(now time.Time, l *line, server roster.Server, w want) *place {
	b.Usage.Start(now, server, w.key.work)
	p := &place{broker: b, want: w, server: server, since: now}
	if l.places == nil {
		l.places = map[*place]bool{}
	}
	l.places[p] = true
	return p
}

// usual is the time that a place is taken: what was learned, or longer if those
// that are taken now are taken for longer already.
func (l *line) usual() float64 { return max(l.hold, l.age) }

// look learns how long the places are taken that are taken now, and has those
// sendings ended that could go on elsewhere while their backend server is
// stalled.
func (b *Broker) look(now time.Time, l *line) {
	sum, count := 0.0, 0
	for p := range l.places {
		if !b.Usage.Look(now, p.server).Stalled {
			sum += now.Sub(p.since).Seconds()
			count++
			continue
		}
		if p.abandon != nil && b.elsewhere(now, p) && b.quota(p.want.key.service).Take(now, b.Others.Alive()) {
			p.abandon()
			p.abandon = nil
		}
	}
	l.age = 0
	if count > 0 {
		l.age = sum / float64(count)
	}
}

// elsewhere reports whether another backend server has a place for the request
// at p now.
func (b *Broker) elsewhere(now time.Time, p *place) bool {
	w := p.want
	w.excluded = maps.Clone(w.excluded)
	if w.excluded == nil {
		w.excluded = map[string]bool{}
	}
	w.excluded[p.server.ID] = true
	return b.choose(now, w).server.ID != ""
}

func (b *Broker) line(key lineKey) *line {
	l, ok := b.lines[key]
	if !ok {
		if b.lines == nil {
			b.lines = map[lineKey]*line{}
		}
		l = &line{hold: firstHold}
		b.lines[key] = l
	}
	return l
}

// behind reports whether somebody who goes first waits already.
func (l *line) behind(w want) bool { return l.ahead(w) > 0 }

// expected is how long a request that sees v of its line would wait behind
// ahead others.
func (b *Broker) expected(now time.Time, me *waiter, v view, ahead int) time.Duration {
	rate := float64(v.places) / b.line(me.want.key).usual()
	if me.other != nil {
		o := b.choose(now, *me.other)
		other := float64(o.places) / b.line(me.other.key).usual()
		switch {
		case v.closed && !o.closed:
			rate = other
		case v.closed == o.closed:
			rate += other
		}
	}
	if rate == 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(ahead+1+v.others.Waiting) / rate * float64(time.Second))
}

// ahead counts those who wait and go before the request.
func (l *line) ahead(w want) int {
	count := 0
	for _, other := range l.waiting {
		if other.want.rank <= w.rank {
			count++
		}
	}
	return count
}

// refuse gives up on those whose wait has turned out to be too long, so that
// they learn it now.
func (b *Broker) refuse(now time.Time, key lineKey) {
	l := b.line(key)
	kept := l.waiting[:0]
	for i, w := range l.waiting {
		waited := now.Sub(w.since)
		if waited+b.expected(now, w, b.choose(now, w.want), i) > w.want.patience+waitSlack {
			w.deliver(nil, errOverloaded)
			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

// serve gives free places to those who wait.
func (b *Broker) serve(now time.Time, key lineKey) {
	l := b.line(key)
	sort.SliceStable(l.waiting, func(i, k int) bool { return l.waiting[i].before(l.waiting[k], now) })
	kept := l.waiting[:0]
	for i, w := range l.waiting {
		p := b.acquire(now, w)
		if p == nil && len(w.want.excluded) > 0 {
			// Others may go where this one has failed.
			kept = append(kept, w)
			continue
		}
		if p == nil {
			kept = append(kept, l.waiting[i:]...)
			break
		}
		w.deliver(p, nil)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

// before reports whether w goes before o: those who can still meet their aim
// before those who cannot, then by rank and time.
func (w *waiter) before(o *waiter, now time.Time) bool {
	late, otherLate := now.After(w.want.aim), now.After(o.want.aim)
	if late != otherLate {
		return otherLate
	}
	if w.want.rank != o.want.rank {
		return w.want.rank < o.want.rank
	}
	return w.since.Before(o.since)
}

// Tick does what is due after some time: it finds out who coordinates, takes
// back grants that are over, and looks at all lines.
func (b *Broker) Tick(now time.Time) {
	b.mu.Lock()
	b.elect()
	b.expire(now)
	b.mu.Unlock()
	b.Kick(now)
}

// Kick looks again at all lines, as after a change of the backend servers or
// when pauses have ended.
func (b *Broker) Kick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, l := range b.lines {
		b.look(now, l)
		b.weigh(key, l)
		if len(l.waiting) > 0 {
			b.serve(now, key)
			b.refuse(now, key)
		}
	}
}

// place is a place at a backend server.
type place struct {
	broker *Broker
	want   want
	server roster.Server
	since  time.Time
	waited time.Duration
	left   bool
	// abandon ends the sending so that it can go on elsewhere; nil if it cannot.
	abandon func()
	// coordinator is the process that granted the place, number the request's;
	// it has no name if this one did.
	coordinator string
	number      uint64
	// requester is the process that has the place, if another has.
	requester requester
}

// leave gives the place back. Only the first call counts.
func (p *place) leave(result usage.Result) {
	if p.left {
		return
	}
	p.left = true
	now := time.Now()
	b := p.broker
	result.Work = p.want.key.work
	b.Usage.End(now, p.server, result)
	if p.coordinator != "" {
		b.giveBack(p, PlaceRelease{p.number, result.Verdict, result.Slowness})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(now, p, result)
}

// free takes a place out of its line and serves those who wait for one.
func (b *Broker) free(now time.Time, p *place, result usage.Result) {
	l := b.line(p.want.key)
	delete(l.places, p)
	p.abandon = nil
	if result.Verdict == usage.Fine {
		l.hold += holdLearnt * (now.Sub(p.since).Seconds() - l.hold)
	}
	// Short work goes first: its places are not kept for other work. Who waits
	// for a prefill engine may read at a decode engine, too.
	for work := usage.Short; work <= usage.Reading; work++ {
		b.serveAny(now, lineKey{p.want.key.service, p.want.key.role, work})
	}
	if p.want.key.role == roster.Decode {
		b.serveAny(now, lineKey{p.want.key.service, roster.Prefill, usage.Short})
	}
}

// serveAny serves a line if anybody waits in it.
func (b *Broker) serveAny(now time.Time, key lineKey) {
	if l, ok := b.lines[key]; ok && len(l.waiting) > 0 {
		b.serve(now, key)
	}
}

// Lines calls do for each line that requests wait in or have places of. Places
// that other processes hold of this one are theirs to tell.
func (b *Broker) Lines(do func(hash uint64, load peers.Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, l := range b.lines {
		load := peers.Load{Running: len(l.places) - l.granted, Waiting: len(l.waiting), Granted: l.remote}
		if load != (peers.Load{}) {
			do(key.hash(), load)
		}
	}
}

// abandonable lets the sending at the place be ended when its backend server
// stalls.
func (b *Broker) abandonable(p *place, abandon func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.abandon = abandon
}

// fixed keeps the sending at the place from being ended.
func (b *Broker) fixed(p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.abandon = nil
}
