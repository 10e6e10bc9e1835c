package shed

import "time"

// Room is the capacity that requests wait for.
type Room struct {
	// Rate is how many units per second are completed.
	Rate float64
	// Ahead are the units that are served before all requests that wait here.
	Ahead float64
	// Arriving has the units per second that arrive with each priority or a more
	// urgent one.
	Arriving [levels]float64
}

const (
	// levels is the number of priorities whose arrivals are distinguished.
	levels = 8
	// minRateShare is the share of the rate that is assumed to be left to a request
	// when all of it is taken by arrivals that precede it. The arrivals of a moment
	// can be more than those of the next.
	minRateShare = 0.1
)

// left returns the rate that is left to a request, apart from the requests that will
// arrive later and precede it: those of a higher priority, and for a late request those
// of its own.
func (r *Room) left(w *Work, late bool) float64 {
	if w.Floor == AboveAll {
		return r.Rate
	}
	level := min(max(w.Priority, 0), levels-1)
	if !late {
		level--
	}
	if level < 0 {
		return r.Rate
	}
	return max(r.Rate-r.Arriving[level], minRateShare*r.Rate)
}

// startsAfter returns how long it takes to complete so many units at a rate.
func startsAfter(units, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return time.Duration(min(units/rate, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds predicted waits. It is longer than any timeout.
const maxWait = time.Hour

// Choose appends to refuse the indices of the requests that are predicted to start too
// late, and sets Late of the others. waiting is in order of rank, highest first. A
// request that is rejected takes nothing from those behind it. Nothing is chosen that
// would start in time, so that nothing is rejected while there is capacity for it.
func Choose(now time.Time, waiting []*Work, room Room, refuse []int) []int {
	ahead := room.Ahead
	for i, w := range waiting {
		if now.After(w.Latest) {
			refuse = append(refuse, i)
			continue
		}
		needed := ahead + w.Units
		late := w.Returning || now.Add(startsAfter(needed, room.left(w, false))).After(w.StartBy)
		if late && !w.Begun && now.Add(startsAfter(needed, room.left(w, true))).After(w.Latest) {
			refuse = append(refuse, i)
			continue
		}
		w.Late = late
		ahead = needed
	}
	return refuse
}
