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

// Limits of a gossip message that is not full, in entries.
const (
	maxMembers = 8
	maxLeaves  = 8
	maxLoads   = 8
	maxClaims  = 16
)

// Probing of other processes.
const (
	// exchangeTimeout bounds an exchange, and probeTimeout an indirect probe,
	// which includes an exchange between the prober and the target.
	exchangeTimeout = 500 * time.Millisecond
	probeTimeout    = time.Second
	// indirectProbers is how many processes are requested to probe a target.
	indirectProbers = 2
)

// gossip is the task that exchanges state with one process per member.Period,
// after one exchange with each seed.
func (n *Node) gossip(ctx context.Context) error {
	n.exchangeWithSeeds(ctx)
	// A random delay spreads the exchanges of a zone's processes over the period.
	timer.Wait(ctx, time.Duration(n.randomUint64()%uint64(member.Period)))
	for ctx.Err() == nil {
		began := time.Now()
		n.exchangeNext(ctx)
		timer.Wait(ctx, member.Period-time.Since(began))
	}
	return ctx.Err()
}

// exchangeWithSeeds makes a full exchange with each seed.
func (n *Node) exchangeWithSeeds(ctx context.Context) {
	for _, seed := range n.Seeds {
		if seed != n.Self.Address {
			n.exchange(ctx, seed, true)
		}
	}
}

// exchangeNext exchanges state with the next process in the order of the member
// table, which also probes it as in SWIM: a live process that responds neither
// directly nor to indirect probes becomes a suspect. Suspects that did not refute
// that in time become gone.
func (n *Node) exchangeNext(ctx context.Context) {
	random := n.randomUint64()
	n.mu.Lock()
	expired := n.recordChanges(n.table.Expire(time.Now()))
	target, ok := n.table.Next(n.period, random)
	n.period++
	n.mu.Unlock()
	if expired {
		n.pushToZone()
	}
	if !ok {
		return
	}
	if n.exchange(ctx, target.Address, target.State == member.Gone) {
		return
	}
	if target.State != member.Live || n.probeIndirectly(ctx, target, random) || ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	suspected := n.recordChanges(n.table.MarkSuspect(time.Now(), target.Name))
	n.mu.Unlock()
	if suspected {
		n.pushToZone()
	}
}

// probeIndirectly has a process that did not respond probed by other processes of
// the zone, one after the other, and reports whether one of them reached it.
func (n *Node) probeIndirectly(ctx context.Context, target member.Member, random uint64) bool {
	n.mu.Lock()
	probers := n.table.IndirectProbers(target.Name, indirectProbers, random)
	n.mu.Unlock()
	for _, m := range probers {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		response, err := n.Peers.Probe(probeCtx, m.Address, &wire.ProbeQuery{Address: target.Address.String()})
		cancel()
		if err == nil && response.Reached {
			return true
		}
	}
	return false
}

// exchange sends a gossip message to a process, applies the one in its response,
// and reports whether it responded. In a full exchange both send their whole state;
// otherwise they send pending updates, and a full exchange may follow if the process
// is of the same zone and its member table still differs.
func (n *Node) exchange(ctx context.Context, address netip.AddrPort, full bool) bool {
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := n.compose(full)
	response, err := n.Peers.Exchange(exchangeCtx, address, message)
	if err != nil {
		n.Meters.Add("ExchangesFailed", 1)
		return false
	}
	n.Meters.Add("Exchanges", 1)
	n.receive(response)
	if !full && !response.Full && response.Digest != n.digest() && response.From.GetAvailabilityZone() == n.Self.AvailabilityZone {
		n.handleDigestMismatch(ctx, address)
	}
	return true
}

// handleDigestMismatch counts an exchange after which the member tables of two
// processes of the zone differ, and makes a full exchange after one in
// fullExchangeOneIn of them, at random.
func (n *Node) handleDigestMismatch(ctx context.Context, address netip.AddrPort) {
	n.Meters.Add("DigestsDiffered", 1)
	if n.randomUint64()%fullExchangeOneIn != 0 {
		return
	}
	n.Meters.Add("FullExchanges", 1)
	n.exchange(ctx, address, true)
}

// fullExchangeOneIn is how many exchanges with different digests lead to one full
// exchange on average. Most differences need none: they are updates that are still
// spreading.
const fullExchangeOneIn = 4

// digest returns the digest of the member table.
func (n *Node) digest() uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Digest()
}

// compose returns a gossip message with the pending updates of members, leave
// entries and loads, or with all members, leave entries and loads if full is set.
// Engines without any load report are left out.
func (n *Node) compose(full bool) *wire.Gossip {
	g := &wire.Gossip{Clock: n.Trace.Clock(), Deployment: n.Deployment, ConfigVersion: n.Config.Version(), Full: full}
	n.mu.Lock()
	g.From = toMember(n.table.Self)
	g.Digest = n.table.Digest()
	members := n.table.Updates(maxMembers)
	if full {
		members = n.table.All()[1:]
	}
	n.mu.Unlock()
	for _, m := range members {
		g.News = append(g.News, toMember(m))
	}
	leaves := n.Estimates.PendingLeaves(maxLeaves)
	if full {
		leaves = n.Estimates.LeaveEntries()
	}
	for _, e := range leaves {
		g.Leaves = append(g.Leaves, toLeave(e))
	}
	now := time.Now()
	addClaims(g, now, n.Core.Claims(maxClaims, full))
	loads := n.Estimates.PendingLoads(maxLoads)
	if full {
		loads = n.Estimates.Loads()
	}
	for _, l := range loads {
		if l.Sequence > 0 {
			g.Loads = append(g.Loads, n.nameToIndex(n.toLoad(l, now)))
		}
	}
	return g
}

// receive applies a gossip message. It ignores messages of other deployments. If
// the message changes a member of the local zone or a leave entry, this process
// pushes the change on at once. If the sender has a newer configuration, receive
// queues the sender to fetch it from.
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
		if update, ok := fromMember(m); ok && n.tracked(update) {
			changes = append(changes, n.table.Merge(now, []member.Member{update})...)
		}
	}
	changed := n.recordChanges(changes)
	if n.table.Self.Incarnation != before {
		// The message reported this process as suspect or gone. The higher
		// incarnation, which refutes that, has to be pushed as well.
		changed = true
	}
	n.mu.Unlock()
	for _, e := range g.Leaves {
		changed = n.mergeLeave(fromLeave(e)) || changed
	}
	if n.Core.Learn(claims(g, now)) || changed {
		n.pushToZone()
	}
	for _, l := range g.Loads {
		if n.indexToName(l, g.ConfigVersion) {
			n.Estimates.MergeLoad(n.fromLoad(l, now))
		}
	}
	switch {
	case g.ConfigVersion > n.Config.Version():
		n.fetchQueue.Push(from.Address)
	case from.AvailabilityZone == n.Self.AvailabilityZone:
		n.synced.Store(true)
	}
}

// tracked reports whether updates about a process are applied to the member table:
// those about processes of the local zone, and about processes of other zones that
// the table already has as contacts. The caller must hold mu.
func (n *Node) tracked(m member.Member) bool {
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

// recordChanges adds changes of members to the timeline and reports whether any of
// them concerns the local zone. The caller must hold mu.
func (n *Node) recordChanges(changes []member.Change) bool {
	local := false
	for _, c := range changes {
		local = local || c.Member.AvailabilityZone == n.Self.AvailabilityZone
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
	return local
}

// minExchangeSpacing is the minimum time between two immediate exchanges with the
// same peer.
const minExchangeSpacing = 100 * time.Millisecond

// exchangeQueued is the task that exchanges state with the queued peers without
// waiting for the next period. Since exchanges with a peer are spaced, updates in
// quick succession share an exchange.
func (n *Node) exchangeQueued(ctx context.Context) error {
	last := map[netip.AddrPort]time.Time{}
	for {
		address, err := n.exchangeQueue.Pop(ctx)
		if err != nil {
			return err
		}
		if wait := minExchangeSpacing - time.Since(last[address]); wait > 0 {
			timer.Wait(ctx, wait)
		}
		last[address] = time.Now()
		n.exchange(ctx, address, false)
	}
}
