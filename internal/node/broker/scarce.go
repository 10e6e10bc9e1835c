package broker

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// A plain service is scarce if it has fewer permits than there are processes. No share of
// them is a whole permit then: processes that share them by the reported loads of their
// peers leave servers idle and reject requests in the same moment. While such a service is
// busy its coordinator grants the permits to all, as for prefills, if requests are ordered
// by their cost to callers.

const (
	// plainPerSlot is the number of permits per slot of a plain service, including
	// those for requests that wait at the backend server.
	plainPerSlot = 1.5
	// busyShare is the share of the slots in use from which on the coordinator is asked.
	// Below it a permit is free nearly always, and its message would only take time.
	busyShare = 0.5
	// scarceMargin is how many permits for each process end the coordination of a service, so
	// that it does not change with each process or server.
	scarceMargin = 1.25
	// releaseRepeat is when the release of a permit of a plain service is sent once more. A
	// permit whose release is lost is in use until the deadline of its request, which is many
	// times as long as the request, and a scarce service has few.
	releaseRepeat = 10 * time.Millisecond
)

// plainNeed returns the need for a server of a plain service.
func plainNeed(service string) need {
	return need{key: queueKey{service, "", usage.Short}, perSlot: plainPerSlot}
}

// acquirePlain waits for a permit at a server without engines. Coordinators know nothing of
// requests that can be served by some servers only.
func (j *job) acquirePlain() (*permit, error) {
	b, n := j.broker, j.withTiming(plainNeed(j.service.Name))
	if coordinator := b.plainCoordinator(n); coordinator != "" {
		p, err := b.requestPermit(j.ctx, coordinator, j, n, nil)
		if !errors.Is(err, errNoDecision) {
			return p, err
		}
	}
	return b.acquire(j.ctx, n, nil)
}

// plainCoordinator returns the process that is asked for the permit, "" if this process
// issues it by itself.
func (b *Broker) plainCoordinator(n need) string {
	if !b.byCost() || n.software.limited() {
		return ""
	}
	coordinator := b.coordinatorOf(n.key.service)
	if coordinator == "" {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isBusy(n.key) {
		return ""
	}
	return coordinator
}

// isPlain reports whether a service of the configuration has no engines.
func (b *Broker) isPlain(service string) bool {
	t := b.Table()
	if t == nil {
		return false
	}
	s, known := t.Services[service]
	return known && s.Engine == nil
}

// isScarce reports whether a plain service has fewer permits than there are processes. One that
// has a coordinator counts as scarce until it has some more, and while this process has granted
// permits, whose requests would count twice otherwise. b.mu must be held.
func (b *Broker) isScarce(service string) bool {
	permits := 0
	for _, s := range b.Roster.Service(service) {
		permits += scaled(plainPerSlot*float64(s.Slots), 1)
	}
	most := float64(b.Peers.Live())
	if _, coordinated := b.elected[service]; coordinated {
		if q, ok := b.queues[plainNeed(service).key]; ok && q.granted > 0 {
			return true
		}
		most *= scarceMargin
	}
	return b.byCost() && permits > 0 && float64(permits) < most
}

// endCoordination forgets the coordinator of a plain service that is not scarce any more, if it
// has one. b.mu must be held.
func (b *Broker) endCoordination(service string) {
	if _, coordinated := b.elected[service]; coordinated {
		b.Log.Info("service has no coordinator any more", zap.String("Service", service))
		delete(b.elected, service)
	}
}

// isBusy reports whether the requests of all processes fill busyShare of the slots of a
// scarce service. b.mu must be held.
func (b *Broker) isBusy(key queueKey) bool {
	if _, elected := b.elected[key.service]; !elected || key.role != "" || !b.isPlain(key.service) {
		return false
	}
	slots := 0
	for _, s := range b.Roster.Service(key.service) {
		slots += s.Slots
	}
	q, others := b.queue(key), b.Peers.Queue(key.hash())
	return float64(q.held-q.granted+q.waitingUnits()+others.Running+others.Waiting) >= busyShare*float64(slots)
}

// sendRelease sends the release of a permit of a queue, or the cancellation of a permit request,
// to the coordinator. Further ones have no effect.
func (b *Broker) sendRelease(coordinator string, key queueKey, r PermitRelease) {
	b.Coordination.Release(coordinator, r)
	if !key.prefills() {
		time.AfterFunc(releaseRepeat, func() { b.Coordination.Release(coordinator, r) })
	}
}
