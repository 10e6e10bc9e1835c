package broker

import (
	"math"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// links compares the KV transfer times of prefill engines. Behind a slow link,
// a fast prefill does not help: its KV cache is transferred only after those of
// earlier prefills.
type links struct {
	now time.Time
	// fastest is the shortest average transfer time of the engines with a
	// recent transfer, total that plus the prefill time, both in seconds; 0 if
	// unknown.
	fastest, total float64
}

const (
	// transferSlack is by how many seconds a transfer may be slower than the
	// fastest without counting as slow, since decode engines are not equally
	// busy.
	transferSlack = 0.02
	// transferHalfLife is the time in which the excess of a slow transfer
	// halves, so that an engine that is not used because of it is used again.
	transferHalfLife = time.Second
)

// links compares the prefill engines among servers. For other roles, no engine
// is slow. b.mu must be held.
func (b *Broker) links(now time.Time, key queueKey, servers []roster.Server) links {
	l := links{now: now}
	if key.role != roster.Prefill {
		return l
	}
	for _, s := range servers {
		if s.Role != roster.Prefill {
			continue
		}
		snapshot := b.Usage.Get(now, s)
		if h := snapshot.TransferSeconds; h > 0 && now.Sub(snapshot.TransferAt) < transferHalfLife && (l.fastest == 0 || h < l.fastest) {
			l.fastest = h
		}
	}
	l.total = l.fastest + b.queue(key).holdTime
	return l
}

// excess returns by how many seconds an engine's transfers are slower than the
// fastest plus the slack. It decays since the engine's last transfer.
func (l links) excess(snapshot usage.Snapshot) float64 {
	excess := snapshot.TransferSeconds - l.fastest - transferSlack
	if l.fastest == 0 || excess <= 0 {
		return 0
	}
	return excess * math.Exp2(-l.now.Sub(snapshot.TransferAt).Seconds()/transferHalfLife.Seconds())
}

// speed returns the throughput of an engine with the excess, as a share of that
// of the fastest one.
func (l links) speed(excess float64) float64 {
	if excess == 0 {
		return 1
	}
	return l.total / (l.total + excess)
}
