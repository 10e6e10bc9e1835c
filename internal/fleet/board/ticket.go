package board

import "time"

// Ticket is one request of this process at a backend server.
type Ticket struct {
	board   *Board
	entry   *entry
	started time.Time
	first   time.Time
	// tokens is the prompt less what was cached; ahead is what waited before.
	tokens, ahead float64
	streams       int
	last          time.Time
	blocks        []uint64
}

// Work is what a request that is sent asks of a server, and how the server was
// believed to be.
type Work struct {
	Prompt, Output int
	// Cached and Ahead are the tokens of the prompt that are cached, and those
	// that wait before it; Streams counts the streams there.
	Cached, Ahead float64
	Streams       int
	// Blocks are the names of the prompt's blocks, if the server prefills it.
	Blocks []uint64
}

// outputKeep is the weight of the past in the mean of outputs.
const outputKeep = 0.98

// Start notes that a request was sent to the named server.
func (b *Board) Start(now time.Time, name string, w Work) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Ticket{board: b, started: now, tokens: max(float64(w.Prompt)-w.Cached, 1), ahead: w.Ahead, streams: w.Streams, blocks: w.Blocks}
	if w.Output > 0 {
		b.output = outputKeep*b.output + (1-outputKeep)*float64(w.Output)
	}
	if e := b.entries[name]; e != nil {
		t.entry = e
		e.tickets[t] = struct{}{}
		e.count(t, 1)
	}
	return t
}

// First notes the first token and learns the engine's prefill rate from it.
func (t *Ticket) First(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if !t.first.IsZero() || t.entry == nil {
		return
	}
	if _, open := t.entry.tickets[t]; !open {
		return
	}
	t.entry.count(t, -1)
	t.first, t.last = now, now
	t.entry.count(t, 1)
	t.entry.known.Assume(t.blocks)
	if t.streams < int(t.entry.server.Slots) {
		t.entry.first.learn(t.ahead+t.tokens, now.Sub(t.started).Seconds())
	}
}

// gapTokens is how many tokens one observation of the gap spans.
const gapTokens = 16

// Counts reports whether Tokens should be called at so many tokens.
func Counts(count int) bool { return count%gapTokens == 0 }

// Tokens notes that so many tokens have come, for the gap between them.
func (t *Ticket) Tokens(now time.Time, count int) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.entry == nil || t.first.IsZero() {
		return
	}
	gap := now.Sub(t.last).Seconds() / gapTokens
	t.last = now
	t.entry.lowerFloor(gap)
	if count > gapTokens {
		streams := max(t.entry.load.Running, len(t.entry.tickets))
		t.entry.gap.learn(float64(streams), gap)
	}
}

// floorRise is how fast the least gap is forgotten.
const floorRise = 0.01

// lowerFloor follows the least gap seen lately: that of steps without prefill.
func (e *entry) lowerFloor(gap float64) {
	if e.floor == 0 || gap < e.floor {
		e.floor = gap
		return
	}
	e.floor += floorRise * (gap - e.floor)
}

// End notes that the request has ended, in whatever way.
func (t *Ticket) End() {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.entry == nil {
		return
	}
	if _, open := t.entry.tickets[t]; open {
		delete(t.entry.tickets, t)
		t.entry.count(t, -1)
	}
}

// line is a straight line through observations, which forgets old ones. Both
// its numbers are at least zero.
type line struct {
	// The sums are over the weighted observations.
	weight, x, y, xx, xy float64
	// at and slope hold until there are enough observations.
	at, slope float64
}

const (
	// keep is the weight of the past against a new observation.
	keep = 0.98
	// priorWeight is how many observations the first guess is worth.
	priorWeight = 4
)

// start sets the first guess, in seconds.
func (l *line) start(at, slope float64) {
	l.at, l.slope = at, slope
	for _, x := range []float64{0, 2 / max(slope, 1e-9) * 0.1} {
		l.add(x, at+slope*x, priorWeight/2)
	}
}

func (l *line) add(x, y, weight float64) {
	l.weight += weight
	l.x += weight * x
	l.y += weight * y
	l.xx += weight * x * x
	l.xy += weight * x * y
}

// learn takes in an observation and fits the line anew.
func (l *line) learn(x, y float64) {
	l.weight, l.x, l.y, l.xx, l.xy = l.weight*keep, l.x*keep, l.y*keep, l.xx*keep, l.xy*keep
	l.add(x, y, 1)
	spread := l.weight*l.xx - l.x*l.x
	if spread > 1e-9*l.weight*l.xx {
		l.slope = max((l.weight*l.xy-l.x*l.y)/spread, 0)
	}
	l.at = max((l.y-l.slope*l.x)/l.weight, 0)
	if l.at == 0 && l.x > 0 {
		l.slope = l.y / l.x
	}
}

// durations returns the line's value at zero and its slope.
func (l *line) durations() (time.Duration, time.Duration) {
	return time.Duration(l.at * float64(time.Second)), time.Duration(l.slope * float64(time.Second))
}
