package tree

import (
	"context"
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Bounds of a message, in entries.
const (
	maxNews   = 8
	maxLeaves = 8
	maxLoads  = 8
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
	timer.Wait(ctx, time.Duration(n.draw()%uint64(member.Period)))
	for ctx.Err() == nil {
		began := time.Now()
		n.exchangeNext(ctx)
		timer.Wait(ctx, member.Period-time.Since(began))
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
	expired := n.note(n.table.Expire(time.Now()))
	target, ok := n.table.Next(n.period, random)
	n.period++
	n.mu.Unlock()
	if expired {
		n.tellSome()
	}
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
	missed := n.note(n.table.MarkSuspect(time.Now(), target.Name))
	n.mu.Unlock()
	if missed {
		n.tellSome()
	}
}

// reachedThrough asks others to probe a process that did not answer.
func (n *Node) reachedThrough(ctx context.Context, target member.Member, random uint64) bool {
	n.mu.Lock()
	list := n.table.IndirectProbers(target.Name, helpers, random)
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
	news := n.table.Updates(maxNews)
	if full {
		news = n.table.All()[1:]
	}
	n.mu.Unlock()
	for _, m := range news {
		g.News = append(g.News, toMember(m))
	}
	leaves := n.Board.PendingLeaves(maxLeaves)
	if full {
		leaves = n.Board.LeaveEntries()
	}
	for _, e := range leaves {
		g.Leaves = append(g.Leaves, toLeave(e))
	}
	loads := n.Board.PendingLoads(maxLoads)
	if full {
		loads = n.Board.Loads()
	}
	now := time.Now()
	for _, l := range loads {
		if l.Sequence > 0 {
			g.Loads = append(g.Loads, n.indexed(n.toLoad(l, now)))
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
	before := n.table.Self.Incarnation
	changes := n.table.MarkLive(now, from)
	for _, m := range g.News {
		if known, ok := fromMember(m); ok && n.wanted(known) {
			changes = append(changes, n.table.Merge(now, []member.Member{known})...)
		}
	}
	learned := n.note(changes)
	if n.table.Self.Incarnation != before {
		// This process was taken for lost; everyone is to know better.
		learned = true
	}
	n.mu.Unlock()
	for _, e := range g.Leaves {
		learned = n.leaving(fromLeave(e)) || learned
	}
	if learned {
		n.tellSome()
	}
	for _, l := range g.Loads {
		if n.named(l, g.ConfigVersion) {
			n.Board.MergeLoad(n.fromLoad(l, now))
		}
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

// note tells the time line of changes and reports whether there were any in the
// own zone. It is called with the lock held.
func (n *Node) note(changes []member.Change) bool {
	near := false
	for _, c := range changes {
		near = near || c.Member.AvailabilityZone == n.Self.AvailabilityZone
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
	return near
}

// promptSpacing is the least time between two prompt exchanges with a peer.
const promptSpacing = 100 * time.Millisecond

// prompter exchanges at once with the peers that it is handed. News that comes
// in quick succession goes along with what is on its way already.
func (n *Node) prompter(ctx context.Context) error {
	last := map[netip.AddrPort]time.Time{}
	for {
		address, err := n.prompt.Pop(ctx)
		if err != nil {
			return err
		}
		if wait := promptSpacing - time.Since(last[address]); wait > 0 {
			timer.Wait(ctx, wait)
		}
		last[address] = time.Now()
		n.exchange(ctx, address, false)
	}
}
