package tree

import (
	"context"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
)

// pollTick is the interval at which pollEngines checks which engines are due.
const pollTick = 200 * time.Millisecond

// Rate of polling engines.
const (
	// minPollInterval is the minimum time between two polls of an engine.
	minPollInterval = time.Second
	// pollBytesPerSecond bounds the bytes that this process spends on polling. If
	// it has many engines, it polls each of them less often.
	pollBytesPerSecond = 500
	// pollBytes is the approximate size of one poll, in bytes.
	pollBytes = 230
	// maxConcurrentPolls bounds the polls at the same time.
	maxConcurrentPolls = 8
)

// pollSet is the set of engines that this process polls. Every engine of the zone is
// polled by one of the zone's processes, selected by rendezvous hashing.
type pollSet struct {
	engines []spec.BackendServer
	// digest and version identify the members and the configuration from which
	// engines was derived.
	digest  uint32
	version uint64
	// lastPoll has the time of the last poll of each engine by name.
	lastPoll map[string]time.Time
}

// refresh selects the engines anew if the members of the zone or the configuration
// have changed, and publishes their number as a metric.
func (s *pollSet) refresh(n *Node) {
	config := n.Config.Current()
	digest := n.digest()
	if config == nil || s.lastPoll != nil && s.digest == digest && s.version == config.Manifest.Version {
		return
	}
	s.digest, s.version, s.engines = digest, config.Manifest.Version, nil
	zone := n.liveInZone()
	lastPoll := map[string]time.Time{}
	for _, server := range config.Deployment.Servers {
		if server.Engine() && server.AvailabilityZone == n.Self.AvailabilityZone && member.Owner(server.Name, zone) == n.Self.Name {
			s.engines = append(s.engines, server)
			lastPoll[server.Name] = s.lastPoll[server.Name]
		}
	}
	s.lastPoll = lastPoll
	owned := int64(len(s.engines))
	n.Meters.Gauge("EnginesOwned", func() int64 { return owned })
}

// interval returns the time between two polls of an engine that keeps the set within
// pollBytesPerSecond.
func (s *pollSet) interval() time.Duration {
	spaced := time.Duration(len(s.engines)) * pollBytes * time.Second / pollBytesPerSecond
	return max(spaced, minPollInterval)
}

// pollEngines is the task that polls the engines assigned to this process.
func (n *Node) pollEngines(ctx context.Context) error {
	var set pollSet
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for timer.Wait(ctx, pollTick) {
		set.refresh(n)
		now := time.Now()
		for _, server := range set.engines {
			if now.Sub(set.lastPoll[server.Name]) < set.interval() {
				continue
			}
			select {
			case semaphore <- struct{}{}:
			default:
				continue
			}
			set.lastPoll[server.Name] = now
			go func() {
				defer func() { <-semaphore }()
				n.pollEngine(ctx, server)
			}()
		}
	}
	return ctx.Err()
}

// pollEngine gets the report of one engine and applies it to n.Estimates.
func (n *Node) pollEngine(ctx context.Context, server spec.BackendServer) {
	report, err := n.Servers.Report(ctx, server, n.Estimates.CacheSequence(server.Name))
	if err != nil {
		n.Meters.Add("ReportsFailed", 1)
		return
	}
	n.Meters.Add("Reports", 1)
	n.Estimates.ApplyReport(time.Now(), report)
}
