package follow

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Health detects outages of the store from the calls of all its callers in a
// process. A caller that waits for changes may not notice an outage during which
// the calls of another one failed. Callers are distinguished by name; a Follower
// uses its Kind.
//
// The zero value is ready to use. A nil Health records nothing and reports no
// outage. All methods are safe for concurrent use.
type Health struct {
	// Log gets a line at the beginning and at the end of an outage; nil for none. It is set
	// before use.
	Log *zap.Logger

	mu sync.Mutex
	// failing has the last consecutive failures, by caller. Callers without
	// failures have no entry.
	failing map[string]failures
	// last is the end of the last outage.
	last Outage
}

// failures are the consecutive failures of a caller.
type failures struct {
	// since is when the first happened, called when the last failed call began, and ended
	// when one did so last.
	since, called, ended time.Time
	// answered is set once the store has answered a later call of another caller. What
	// fails since then is not the store.
	answered bool
	// logged is set once the beginning of the outage is in the log.
	logged bool
}

// Outage is what is known of the end of an outage of the store. A process may see
// the end late: a call that was open as the outage ended gets no response, and the
// next one follows after a pause.
type Outage struct {
	// NotBefore is when the outage had not ended yet: the last call that failed
	// began then, or the last one that succeeded before a store came back from a copy.
	NotBefore time.Time
	// Seen is when it had ended: a call succeeded. If Lasting is set, it had not.
	Seen    time.Time
	Lasting bool
	// LastFailed is when the last call that failed before Seen ended: until then the store
	// answered none. It is at most the longest pause between two calls before Seen, as a
	// process that didn't call knows nothing. Zero if it isn't known.
	LastFailed time.Time
	// Failed names the caller whose call set NotBefore, Answered that whose call set Seen.
	Failed, Answered string
}

// and returns the outage that is known once a caller has seen another one after it, or the
// same one later. It is the same one if the caller's last call that failed began before a
// call of another one succeeded.
func (o Outage) and(other Outage) Outage {
	notBefore, failed := o.NotBefore, o.Failed
	if other.NotBefore.After(notBefore) {
		notBefore, failed = other.NotBefore, other.Failed
	}
	if o.Lasting || notBefore.After(o.Seen) {
		o = other
	}
	o.NotBefore, o.Failed = notBefore, failed
	return o
}

// recentOutage is how long after its end an outage is still reported. By then,
// owners have written expired entries again.
const recentOutage = 2 * time.Second

// RecordFailure records that a call of the caller, which was made at called, failed
// at now.
func (h *Health) RecordFailure(called, now time.Time, caller string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing == nil {
		h.failing = map[string]failures{}
	}
	f, ok := h.failing[caller]
	if !ok {
		f.since = now
	}
	if called.After(f.called) {
		f.called = called
	}
	f.ended = now
	if !f.logged && !f.answered && now.Sub(f.since) > outageAfter {
		f.logged = true
		h.logBegin(now, caller, f)
	}
	h.failing[caller] = f
}

// logBegin logs that the calls of a caller have failed for long enough to be an outage.
func (h *Health) logBegin(now time.Time, caller string, f failures) {
	if h.Log != nil {
		h.Log.Warn("the store has an outage", zap.String("Failed", caller), zap.Duration("Failing", now.Sub(f.since)), zap.Time("NotBefore", f.called))
	}
}

// withLastFailed sets LastFailed by the failures that are known now, or as it was when the same
// outage ended.
func (h *Health) withLastFailed(o Outage) Outage {
	if o.Seen.Equal(h.last.Seen) {
		o.LastFailed = h.last.LastFailed
	} else {
		o.LastFailed = time.Time{}
		for _, f := range h.failing {
			if f.ended.After(o.LastFailed) && !f.ended.After(o.Seen) {
				o.LastFailed = f.ended
			}
		}
	}
	if o.LastFailed.IsZero() {
		return o
	}
	for _, earliest := range []time.Time{o.NotBefore, o.Seen.Add(-maxBackoff * 3 / 2)} {
		if earliest.After(o.LastFailed) {
			o.LastFailed = earliest
		}
	}
	return o
}

// end records what is known of the end of an outage, and logs it if that is news.
func (h *Health) end(o Outage) {
	before := h.last
	h.last = h.withLastFailed(before.and(o))
	if h.Log == nil || h.last == before || h.last.Lasting && before.Lasting {
		return
	}
	last := h.last
	h.Log.Info("the end of the store's outage", zap.Time("NotBefore", last.NotBefore), zap.String("Failed", last.Failed),
		zap.Time("Seen", last.Seen), zap.String("Answered", last.Answered), zap.Bool("Lasting", last.Lasting))
}

// RecordSuccess records that a call of the caller succeeded at now.
func (h *Health) RecordSuccess(now time.Time, caller string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if f, ok := h.failing[caller]; ok {
		if !f.answered && now.Sub(f.since) > outageAfter {
			h.end(Outage{NotBefore: f.called, Seen: now, Failed: caller, Answered: caller})
		}
		delete(h.failing, caller)
	}
}

// RecordAnswer records that the store has answered at now a call of the caller that was made at
// called, be it with an error of that call. That ends the outage of the callers whose failures had begun
// before: those of one kind of call can go on without end while all others succeed.
func (h *Health) RecordAnswer(called, now time.Time, answered string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for caller, f := range h.failing {
		if !f.answered && called.After(f.since) && now.Sub(f.since) > outageAfter {
			h.end(Outage{NotBefore: f.called, Seen: now, Failed: caller, Answered: answered})
			f.answered = true
			h.failing[caller] = f
		}
	}
}

// RecordOutage records the end of an outage that can't be seen from failures alone, or
// that another process has seen, from which this one reads the store's objects.
func (h *Health) RecordOutage(o Outage) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(o)
}

// Outage reports whether the store has an outage at now or had one until recently.
func (h *Health) Outage(now time.Time) bool {
	last, ok := h.Last(now)
	return ok && now.Sub(last.Seen) < recentOutage
}

// Last returns the end of the last outage, false if there was none. If it lasts, Seen is now.
func (h *Health) Last(now time.Time) (Outage, bool) {
	if h == nil {
		return Outage{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.last
	for caller, f := range h.failing {
		if !f.answered && now.Sub(f.since) > outageAfter {
			last = last.and(Outage{NotBefore: f.called, Seen: now, Lasting: true, Failed: caller})
		}
	}
	return h.withLastFailed(last), !last.Seen.IsZero()
}
