package scale

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// sample is the average load over a span of averageOver, or of the part of it so far.
type sample struct {
	start time.Time
	sum   Load
	count float64
}

// average returns the mean of a role's load in the span.
func (s sample) average(role roster.Role) float64 { return s.sum[role] / s.count }

// history has the loads of a service within the horizon.
type history struct {
	samples []sample
	// mean is the load averaged since since, at most over meanWindow.
	mean        Load
	since, last time.Time
}

// observe adds a load.
func (h *history) observe(now time.Time, load Load) {
	if h.mean == nil {
		h.mean, h.since, h.last = Load{}, now, now
	}
	// The weight makes this the plain average of the first meanWindow, and exponential
	// after it.
	weight := 1.0
	if known := min(now.Sub(h.since), meanWindow); known > 0 {
		weight = min(now.Sub(h.last).Seconds()/known.Seconds(), 1)
	}
	for role := range load {
		h.mean[role] += 0
	}
	for role, mean := range h.mean {
		h.mean[role] = mean + weight*(load[role]-mean)
	}
	h.last = now
	h.add(now, load)
	for len(h.samples) > 1 && now.Sub(h.samples[0].start) > horizon {
		h.samples = h.samples[1:]
	}
}

// add adds the load to the present span, or begins a new one.
func (h *history) add(now time.Time, load Load) {
	n := len(h.samples)
	if n == 0 || now.Sub(h.samples[n-1].start) >= averageOver {
		h.samples = append(h.samples, sample{start: now, sum: Load{}})
		n++
	}
	s := &h.samples[n-1]
	for role, value := range load {
		s.sum[role] += value
	}
	s.count++
}

// complete returns the spans that are over; the present one if there is no other.
func (h *history) complete() []sample {
	if len(h.samples) < 2 {
		return h.samples
	}
	return h.samples[:len(h.samples)-1]
}

// now returns a role's load in the last complete span.
func (h *history) now(role roster.Role) float64 {
	s := h.complete()
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].average(role)
}

// peak returns the highest load of a role within the horizon.
func (h *history) peak(role roster.Role) float64 {
	peak := 0.0
	for _, s := range h.complete() {
		peak = max(peak, s.average(role))
	}
	return peak
}
