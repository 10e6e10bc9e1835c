package stats

import "time"

// Ticket tracks one request of this process at a backend server. A Ticket is
// safe for concurrent use.
type Ticket struct {
	estimates  *Estimates
	entry      *entry
	started    time.Time
	firstToken time.Time
	// uncached counts the prompt tokens to prefill, ahead those of other
	// requests that waited for prefill at the start.
	uncached, ahead float64
	// streams counts the engine's streams at the start.
	streams int
	// lastSample is when the token gap was last sampled, at first the time of
	// the first token.
	lastSample time.Time
	blocks     []uint64
}

// Work is the work of a request at a server, and the state of the server that
// was estimated when it was chosen.
type Work struct {
	// Prompt counts the prompt tokens; Output is the limit of output tokens, or
	// 0 if the server doesn't decode.
	Prompt, Output int
	// Cached counts the prompt tokens that the server has cached, Ahead those of
	// other requests that wait for prefill there, and Streams its streams.
	Cached, Ahead float64
	Streams       int
	// Blocks are the prompt's block hashes if the server prefills the prompt.
	Blocks []uint64
}

// outputWeight is the weight of the old value in the EWMA meanOutput.
const outputWeight = 0.98

// Start records that a request is sent to the named server. The caller must
// call End. A Ticket for an unknown server does nothing.
func (e *Estimates) Start(now time.Time, name string, w Work) *Ticket {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &Ticket{estimates: e, started: now, uncached: max(float64(w.Prompt)-w.Cached, 1), ahead: w.Ahead, streams: w.Streams, blocks: w.Blocks}
	if w.Output > 0 {
		e.meanOutput = outputWeight*e.meanOutput + (1-outputWeight)*float64(w.Output)
	}
	if en := e.entries[name]; en != nil {
		t.entry = en
		en.tickets[t] = struct{}{}
		en.count(t, 1)
	}
	return t
}

// FirstToken records the first token. Later calls, and calls after End, do nothing.
//
// The prompt's blocks are assumed to be cached from now on. The time since Start
// updates the engine's prefill rate if the engine had fewer streams than slots at
// the start; otherwise that time would include the wait for a slot.
func (t *Ticket) FirstToken(now time.Time) {
	t.estimates.mu.Lock()
	defer t.estimates.mu.Unlock()
	if !t.firstToken.IsZero() || t.entry == nil {
		return
	}
	if _, open := t.entry.tickets[t]; !open {
		return
	}
	t.entry.count(t, -1)
	t.firstToken, t.lastSample = now, now
	t.entry.count(t, 1)
	t.entry.prefixes.Assume(t.blocks)
	if t.streams < int(t.entry.server.Slots) {
		t.entry.firstToken.Observe(t.ahead+t.uncached, now.Sub(t.started).Seconds())
	}
}

// gapSampleTokens is the number of tokens between two samples of the token gap.
const gapSampleTokens = 16

// SampleDue reports whether Tokens is to be called after the count-th token.
func SampleDue(count int) bool { return count%gapSampleTokens == 0 }

// Tokens samples the token gap after the count-th token, which must be one for
// which SampleDue returns true. It does nothing before the first token.
//
// A sample is the time since the last one divided by 16, the number of gaps in
// it. The first one spans only 15 gaps, or fewer if the response is resumed. The
// sample at count 16 is therefore left out of the fit of gap over streams; the
// minimum uses all samples.
func (t *Ticket) Tokens(now time.Time, count int) {
	t.estimates.mu.Lock()
	defer t.estimates.mu.Unlock()
	if t.entry == nil || t.firstToken.IsZero() {
		return
	}
	gap := now.Sub(t.lastSample).Seconds() / gapSampleTokens
	t.lastSample = now
	t.entry.updateMinGap(gap)
	if count > gapSampleTokens {
		streams := max(t.entry.load.Running, len(t.entry.tickets))
		t.entry.tokenGap.Observe(float64(streams), gap)
	}
}

// minGapRise is the weight with which a sample above the minimum raises it.
const minGapRise = 0.01

// updateMinGap updates the recent minimum of the token gap, an estimate of the
// gap of decode steps without prefill. A lower sample replaces it, a higher one
// raises it slowly.
func (en *entry) updateMinGap(gap float64) {
	if en.minGap == 0 || gap < en.minGap {
		en.minGap = gap
		return
	}
	en.minGap += minGapRise * (gap - en.minGap)
}

// End records that the request has ended, whatever its outcome. It may be called
// more than once.
func (t *Ticket) End() {
	t.estimates.mu.Lock()
	defer t.estimates.mu.Unlock()
	if t.entry == nil {
		return
	}
	if _, open := t.entry.tickets[t]; open {
		delete(t.entry.tickets, t)
		t.entry.count(t, -1)
	}
}
