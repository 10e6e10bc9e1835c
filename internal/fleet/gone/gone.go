// Package gone decides when the store entry of a process that has ended for good is
// removed.
//
// A process that is silent may be cut off, frozen or only unreachable from here, and then
// still uses backend servers. Its entry is removed in two steps by conditional writes. It
// is first marked as doubted: a process that runs and reaches the store writes it again
// without the mark. An entry that stays doubted, in one version, is removed later. Time is
// measured by the monotonic clock of the process that observes; whatever it has not seen
// all the while starts the time again.
//
// A process that runs but did not reach the store in all that time knows it: it last saw
// its entry without the mark before that was written, and therefore more than RemoveAfter
// ago when the entry is removed. From ConfirmedFor on, which is shorter by far more than
// clocks differ in their rates, it must not rely on being counted by others.
//
// # Usage
//
//	var w gone.Watch
//	switch w.See(now, gone.Sight{Name: name, Version: object.Version, Heard: heard, Doubted: m.Doubted}) {
//	case gone.Doubt:
//		m.Doubted = true
//		write(object.Version, m)
//	case gone.Remove:
//		remove(object.Version)
//	}
package gone

import (
	"maps"
	"time"
)

const (
	// Interval is the time between two looks at the entries of silent processes.
	Interval = time.Minute
	// DoubtAfter is how long a process must have been silent with an unchanged entry until
	// that is marked, RemoveAfter how long the marked entry must stay unchanged until it is
	// removed.
	DoubtAfter  = 5 * time.Minute
	RemoveAfter = 10 * time.Minute
	// ConfirmedFor is how long after it last saw its own entry in the store, without a
	// mark, a process may rely on being counted.
	ConfirmedFor = 5 * time.Minute
	// maxPause is the longest time between two looks that counts as observed. A process
	// that was frozen itself, or did not reach the store, has seen nothing meanwhile.
	maxPause = 5 * Interval / 2
)

// Step is what to do with an entry.
type Step int

const (
	// Wait means nothing yet.
	Wait Step = iota
	// Doubt means that the entry is to be marked, Remove that it is to be removed, each if
	// it still has the version that was seen.
	Doubt
	Remove
)

// Sight is what is seen of a silent process at one moment.
type Sight struct {
	Name string
	// Version is that of the entry in the store, Doubted is set if it has the mark.
	Version uint64
	Doubted bool
	// Heard is when the last status message came, zero if none has.
	Heard time.Time
}

// Watch has the silent processes that are observed. The zero value has none. It is not
// safe for concurrent use.
type Watch struct{ observed map[string]observation }

// observation is a time without a change in a process's entry and without a status message.
type observation struct {
	version     uint64
	first, last time.Time
}

// See records what is seen at now, after the entry was read, and returns what to do.
func (w *Watch) See(now time.Time, s Sight) Step {
	o, known := w.observed[s.Name]
	if !known || o.version != s.Version || s.Heard.After(o.first) || now.Sub(o.last) > maxPause {
		o = observation{version: s.Version, first: now}
	}
	o.last = now
	if w.observed == nil {
		w.observed = map[string]observation{}
	}
	w.observed[s.Name] = o
	return stepAfter(now.Sub(o.first), s.Doubted)
}

// stepAfter returns the step for an entry that was unchanged for a time.
func stepAfter(unchanged time.Duration, doubted bool) Step {
	switch {
	case doubted && unchanged >= RemoveAfter:
		return Remove
	case !doubted && unchanged >= DoubtAfter:
		return Doubt
	}
	return Wait
}

// Keep forgets the processes that are not among the silent ones, by name.
func (w *Watch) Keep(silent map[string]time.Time) {
	maps.DeleteFunc(w.observed, func(name string, _ observation) bool {
		_, ok := silent[name]
		return !ok
	})
}

// Reset forgets all: this process does not reach the store, or observes no more.
func (w *Watch) Reset() { clear(w.observed) }
