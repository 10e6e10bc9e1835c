package tree

import (
	"context"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
)

// stewardTick is the time between two looks at what is due.
const stewardTick = 200 * time.Millisecond

// Pace of reading engines.
const (
	// readEvery is the time between two reads of an engine.
	readEvery = time.Second
	// readBytes bounds what reading engines may take, in bytes per second. The
	// reads become rarer if a process has many engines to read.
	readBytes = 500
	// readSize is what one read takes, in bytes.
	readSize = 230
	// readsAtOnce is how many reads are under way at most.
	readsAtOnce = 8
)

// chores are the engines that this process reads.
type chores struct {
	engines []spec.BackendServer
	// digest and version are those of the members and the configuration that
	// the engines follow from.
	digest  uint32
	version uint64
	// read is when each engine was read last.
	read map[string]time.Time
}

// refresh finds out anew which engines are this process's, if the members of
// the zone or the configuration have changed.
func (c *chores) refresh(n *Node) {
	config := n.Config.Current()
	digest := n.digest()
	if config == nil || c.read != nil && c.digest == digest && c.version == config.Manifest.Version {
		return
	}
	c.digest, c.version, c.engines = digest, config.Manifest.Version, nil
	zone := n.zone()
	read := map[string]time.Time{}
	for _, server := range config.Deployment.Servers {
		if server.Engine() && server.AvailabilityZone == n.Self.AvailabilityZone && member.Owner(server.Name, zone) == n.Self.Name {
			c.engines = append(c.engines, server)
			read[server.Name] = c.read[server.Name]
		}
	}
	c.read = read
	owned := int64(len(c.engines))
	n.Meters.Gauge("EnginesOwned", func() int64 { return owned })
}

// interval spaces the reads so that they stay within readBytes.
func (c *chores) interval() time.Duration {
	paced := time.Duration(len(c.engines)) * readSize * time.Second / readBytes
	return max(paced, readEvery)
}

// steward reads the engines that are this process's to read.
func (n *Node) steward(ctx context.Context) error {
	var c chores
	slots := make(chan struct{}, readsAtOnce)
	for timer.Wait(ctx, stewardTick) {
		c.refresh(n)
		now := time.Now()
		for _, server := range c.engines {
			if now.Sub(c.read[server.Name]) < c.interval() {
				continue
			}
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			c.read[server.Name] = now
			go func() {
				defer func() { <-slots }()
				n.readEngine(ctx, server)
			}()
		}
	}
	return ctx.Err()
}

// readEngine reads one engine and takes its report in.
func (n *Node) readEngine(ctx context.Context, server spec.BackendServer) {
	report, err := n.Servers.Report(ctx, server, n.Board.CacheSequence(server.Name))
	if err != nil {
		n.Meters.Add("ReportsFailed", 1)
		return
	}
	n.Meters.Add("Reports", 1)
	n.Board.ApplyReport(time.Now(), report)
}
