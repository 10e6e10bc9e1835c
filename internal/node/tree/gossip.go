package tree

import (
	"context"
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Bounds of a message, in entries.
const (
	maxNews   = 8
	maxLeaves = 8
	maxLoads  = 12
)

// Timing of exchanges.
const (
	exchangeTimeout = 500 * time.Millisecond
	probeTimeout    = time.Second
	helpers         = 2
)

// gossip exchanges with one process in each period.
func (n *Node) gossip(ctx context.Context) error {
	n.greetSeeds(ctx)
	// The processes of a zone do not all speak at the same moment.
	pause(ctx, time.Duration(n.draw()%uint64(member.Period)))
	for ctx.Err() == nil {
		began := time.Now()
		n.exchangeNext(ctx)
		pause(ctx, member.Period-time.Since(began))
	}
	return ctx.Err()
}

func (n *Node) greetSeeds(ctx context.Context) {
	for _, seed := range n.Seeds {
		if seed != n.Self.Address {
			n.exchange(ctx, seed, true)
		}
	}
}

// exchangeNext probes the process whose turn it is.
func (n *Node) exchangeNext(ctx context.Context) {
	random := n.draw()
	n.mu.Lock()
	n.note(n.table.Expire(time.Now()))
	target, ok := n.table.Next(n.period, random)
	n.period++
	n.mu.Unlock()
	if !ok {
		return
	}
	if n.exchange(ctx, target.Address, target.State == member.Gone) {
		return
	}
	if target.State != member.Live || n.reachedThrough(ctx, target, random) || ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.note(n.table.Missed(time.Now(), target.Name))
}

// reachedThrough asks others to probe a process that did not answer.
func (n *Node) reachedThrough(ctx context.Context, target member.Member, random uint64) bool {
	n.mu.Lock()
	list := n.table.Helpers(target.Name, helpers, random)
	n.mu.Unlock()
	for _, m := range list {
		try, cancel := context.WithTimeout(ctx, probeTimeout)
		answer, err := n.Peers.Probe(try, m.Address, &wire.ProbeQuery{Address: target.Address.String()})
		cancel()
		if err == nil && answer.Reached {
			return true
		}
	}
	return false
}

// exchange swaps news with a process and reports whether it answered.
func (n *Node) exchange(ctx context.Context, address netip.AddrPort, full bool) bool {
	try, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := n.message(full)
	answer, err := n.Peers.Exchange(try, address, message)
	if err != nil {
		n.Meters.Add("ExchangesFailed", 1)
		return false
	}
	n.Meters.Add("Exchanges", 1)
	n.receive(answer)
	if !full && !answer.Full && answer.Digest != n.digest() && answer.From.GetAvailabilityZone() == n.Self.AvailabilityZone {
		n.differ(ctx, address)
	}
	return true
}

// differ counts exchanges after which two tables of a zone still differ. If it
// lasts, whole tables are swapped.
func (n *Node) differ(ctx context.Context, address netip.AddrPort) {
	n.Meters.Add("DigestsDiffered", 1)
	if n.draw()%fullOneIn != 0 {
		return
	}
	n.Meters.Add("FullExchanges", 1)
	n.exchange(ctx, address, true)
}

// fullOneIn is how many exchanges with a different digest lead to one of whole
// tables, as the difference mostly is news on its way.
const fullOneIn = 4

func (n *Node) digest() uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Digest()
}

// message makes a message with the news that is to be passed on.
func (n *Node) message(full bool) *wire.Gossip {
	g := &wire.Gossip{Clock: n.Trace.Clock(), Deployment: n.Deployment, ConfigVersion: n.Config.Version(), Full: full}
	n.mu.Lock()
	g.From = toMember(n.table.Self)
	g.Digest = n.table.Digest()
	news := n.table.News(maxNews)
	if full {
		news = n.table.All()[1:]
	}
	n.mu.Unlock()
	for _, m := range news {
		g.News = append(g.News, toMember(m))
	}
	leaves := n.Board.LeaveNews(maxLeaves)
	if full {
		leaves = n.Board.Leaves()
	}
	for _, e := range leaves {
		g.Leaves = append(g.Leaves, toLeave(e))
	}
	loads := n.Board.News(maxLoads)
	if full {
		loads = n.Board.Loads()
	}
	now := time.Now()
	for _, l := range loads {
		if l.Sequence > 0 {
			g.Loads = append(g.Loads, n.toLoad(l, now))
		}
	}
	return g
}

// receive takes in a message.
func (n *Node) receive(g *wire.Gossip) {
	n.Trace.Observe(g.Clock)
	from, ok := fromMember(g.From)
	if !ok || g.Deployment != n.Deployment {
		return
	}
	now := time.Now()
	n.mu.Lock()
	changes := n.table.Reached(now, from)
	for _, m := range g.News {
		if known, ok := fromMember(m); ok && n.wanted(known) {
			changes = append(changes, n.table.Merge(now, []member.Member{known})...)
		}
	}
	n.note(changes)
	n.mu.Unlock()
	learned := false
	for _, e := range g.Leaves {
		learned = n.leaving(fromLeave(e)) || learned
	}
	if learned {
		n.tellSome()
	}
	for _, l := range g.Loads {
		n.Board.Hear(n.fromLoad(l, now))
	}
	switch {
	case g.ConfigVersion > n.Config.Version():
		n.fetch.Push(from.Address)
	case from.AvailabilityZone == n.Self.AvailabilityZone:
		n.greeted.Store(true)
	}
}

// wanted reports whether a process should be in the table: all of the own zone,
// and of others those that are contacts already.
func (n *Node) wanted(m member.Member) bool {
	if m.AvailabilityZone == n.Self.AvailabilityZone {
		return true
	}
	for _, known := range n.table.All() {
		if known.Name == m.Name {
			return true
		}
	}
	return false
}

// note tells the time line of changes. It is called with the lock held.
func (n *Node) note(changes []member.Change) {
	for _, c := range changes {
		kind := trace.MemberJoined
		switch {
		case c.Member.State == member.Suspect:
			kind = trace.MemberSuspected
		case c.Member.State == member.Gone:
			kind = trace.MemberGone
		case c.From == member.Live && !c.New:
			continue
		}
		n.Trace.Add(trace.Event{Kind: kind, Detail: c.Member.Name})
	}
}

// prompter exchanges at once with the peers that it is handed.
func (n *Node) prompter(ctx context.Context) error {
	for {
		address, err := n.prompt.Pop(ctx)
		if err != nil {
			return err
		}
		n.exchange(ctx, address, false)
	}
}

// stewardTick is the time between two looks at what is due.
const stewardTick = 200 * time.Millisecond

// Pace of reading engines.
const (
	// readEvery is the time between two reads of an engine.
	readEvery = time.Second
	// readBytes bounds what reading engines may take, in bytes per second. The
	// reads become rarer if an owner has many engines.
	readBytes = 900
	// readSize is what one read takes, in bytes.
	readSize = 520
	// readsAtOnce is how many reads are under way at most.
	readsAtOnce = 8
)

// steward reads the engines that are this process's to read.
func (n *Node) steward(ctx context.Context) error {
	due := map[string]time.Time{}
	slots := make(chan struct{}, readsAtOnce)
	for pause(ctx, stewardTick) {
		config := n.Config.Current()
		if config == nil {
			continue
		}
		zone := n.zone()
		now := time.Now()
		owned := 0
		for _, server := range config.Deployment.Servers {
			if !server.Engine() || server.AvailabilityZone != n.Self.AvailabilityZone || member.Owner(server.Name, zone) != n.Self.Name {
				continue
			}
			owned++
			if now.Before(due[server.Name]) {
				continue
			}
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			due[server.Name] = now.Add(n.readInterval(owned))
			go func() {
				defer func() { <-slots }()
				report, err := n.Servers.Report(ctx, server, n.Board.CacheSequence(server.Name))
				if err != nil {
					n.Meters.Add("ReportsFailed", 1)
					return
				}
				n.Meters.Add("Reports", 1)
				n.Board.Report(time.Now(), report)
			}()
		}
		n.Meters.Gauge("EnginesOwned", func() int64 { return int64(owned) })
	}
	return ctx.Err()
}

// readInterval spaces the reads so that they stay within readBytes.
func (n *Node) readInterval(owned int) time.Duration {
	paced := time.Duration(owned) * readSize * time.Second / readBytes
	return max(paced, readEvery)
}
