package broker

import (
	"math"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// links compares how fast what prefill engines have read is taken over from
// them: behind a slow link, reading fast is of no use, and what is read there
// waits for what was read before.
type links struct {
	now time.Time
	// least is the shortest usual handover, whole that and the reading, both in
	// seconds; 0 if they are not known.
	least, whole float64
}

const (
	// handoverSlack is by how much a handover, in seconds, may be slower than
	// the fastest without being the link's fault: engines that take over are
	// more or less busy.
	handoverSlack = 0.02
	// handoverLife is in what time half of a slow handover is forgotten, so that
	// an engine that is not used for it is tried again.
	handoverLife = time.Second
)

// links looks at the prefill engines; for other roles there is nothing to
// compare.
func (b *Broker) links(now time.Time, key lineKey, servers []roster.Server) links {
	l := links{now: now}
	if key.role != roster.Prefill {
		return l
	}
	for _, s := range servers {
		if s.Role != roster.Prefill {
			continue
		}
		seen := b.Usage.Look(now, s)
		if h := seen.Handover; h > 0 && now.Sub(seen.Handed) < handoverLife && (l.least == 0 || h < l.least) {
			l.least = h
		}
	}
	l.whole = l.least + b.line(key).hold
	return l
}

// excess is by how long, in seconds, a handover takes longer than it should.
func (l links) excess(seen usage.Seen) float64 {
	excess := seen.Handover - l.least - handoverSlack
	if l.least == 0 || excess <= 0 {
		return 0
	}
	return excess * math.Exp2(-l.now.Sub(seen.Handed).Seconds()/handoverLife.Seconds())
}

// speed is the share of the usual that an engine with the excess gets done.
func (l links) speed(excess float64) float64 {
	if excess == 0 {
		return 1
	}
	return l.whole / (l.whole + excess)
}
