package core

import (
	"context"
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/ring"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// coordination sends permit requests, grants and releases to peers. It
// implements broker.Coordination and is safe for concurrent use.
type coordination struct {
	node   *Node
	outbox *ring.Ring[envelope]
}

// envelope is a message to the peer with the name to.
type envelope struct {
	to      string
	message *wire.News
}

// outboxSize bounds the envelopes that wait to be sent. Further ones are dropped
// and counted; like lost datagrams, they are not sent again.
const outboxSize = 1024

func newCoordination(n *Node) *coordination {
	return &coordination{n, ring.New[envelope]("Coordinate", outboxSize)}
}

// push queues a message without blocking. It counts a message that is dropped.
func (c *coordination) push(to string, message *wire.News) {
	message.From = c.node.Name
	if !c.outbox.Push(envelope{to, message}) {
		c.node.Meters.Add("CoordinationNotSent", 1)
	}
}

// Request implements broker.Coordination.
func (c *coordination) Request(to string, r broker.PermitRequest) {
	prefixes, tokens := make([]uint64, len(r.Chain)), make([]uint32, len(r.Chain))
	for i, p := range r.Chain {
		prefixes[i], tokens[i] = p.Hash, uint32(p.Tokens)
	}
	c.push(to, &wire.News{PlaceRequests: []*wire.PlaceRequest{{
		Number: r.Number, Request: r.Request, Service: r.Service, Share: r.PrefixHash, Rank: int32(r.Priority),
		AimMicroseconds: r.StartWithin.Microseconds(), PatienceMicroseconds: r.MaxWait.Microseconds(),
		LimitMicroseconds: r.TimeLeft.Microseconds(), Excluded: r.Excluded,
		OwnTokens: uint32(r.OwnTokens), SharedTokens: uint32(r.SharedTokens), TargetMicroseconds: r.Target.Microseconds(),
		Prefixes: prefixes, PrefixTokens: tokens,
	}}})
}

// Grant implements broker.Coordination.
func (c *coordination) Grant(to string, g broker.PermitGrant) {
	fetch := ""
	if g.Fetch.IsValid() {
		fetch = g.Fetch.String()
	}
	c.push(to, &wire.News{PlaceGrants: []*wire.PlaceGrant{{
		Number: g.Number, Answer: uint32(g.Status), Server: g.ID, Born: g.Born, Reading: g.LocalPrefill, Fetch: fetch,
		BaseMicroseconds: g.Times.PrefillBase.Microseconds(), TokensPerSecond: g.Times.PrefillRate, Tokens: uint32(g.Tokens),
	}}})
}

// Release implements broker.Coordination.
func (c *coordination) Release(to string, r broker.PermitRelease) {
	c.push(to, &wire.News{PlaceReleases: []*wire.PlaceRelease{{
		Number: r.Number, Verdict: uint32(r.Verdict), Prefilled: r.Prefilled, Kept: r.Kept,
	}}})
}

// Send sends queued envelopes until ctx ends. Envelopes to peers without an entry
// in the store are dropped.
func (c *coordination) Send(ctx context.Context) error {
	mesh := c.node.mesh()
	for {
		next, err := c.outbox.Pop(ctx)
		if err != nil {
			return err
		}
		if m, ok := c.node.peers.Member(next.to); ok {
			mesh.SendTo(next.message, m)
		}
	}
}

// handleCoordination passes a peer's permit requests, grants and releases to the
// broker.
func (n *Node) handleCoordination(message *wire.News) {
	for _, q := range message.PlaceRequests {
		n.Broker.HandleRequest(message.From, broker.PermitRequest{
			Number: q.Number, Request: q.Request, Service: q.Service, PrefixHash: q.Share, Priority: int(q.Rank),
			StartWithin: microseconds(q.AimMicroseconds), MaxWait: microseconds(q.PatienceMicroseconds),
			TimeLeft: microseconds(q.LimitMicroseconds), Excluded: q.Excluded,
			OwnTokens: int(q.OwnTokens), SharedTokens: int(q.SharedTokens), Target: microseconds(q.TargetMicroseconds),
			Chain: chainOf(q),
		})
	}
	for _, g := range message.PlaceGrants {
		// An address that is missing or cannot be parsed is invalid, so that
		// nothing is fetched.
		fetch, _ := netip.ParseAddrPort(g.Fetch)
		n.Broker.HandleGrant(message.From, broker.PermitGrant{
			Number: g.Number, Status: broker.Decision(g.Answer), ID: g.Server, Born: g.Born, LocalPrefill: g.Reading, Fetch: fetch,
			Times: usage.Times{PrefillBase: microseconds(g.BaseMicroseconds), PrefillRate: g.TokensPerSecond}, Tokens: int(g.Tokens),
		})
	}
	for _, r := range message.PlaceReleases {
		n.Broker.HandleRelease(message.From, broker.PermitRelease{
			Number: r.Number, Verdict: usage.Verdict(r.Verdict), Prefilled: r.Prefilled, Kept: r.Kept,
		})
	}
}

// chainOf returns the prefixes of a permit request.
func chainOf(q *wire.PlaceRequest) []kept.Part {
	chain := make([]kept.Part, min(len(q.Prefixes), len(q.PrefixTokens)))
	for i := range chain {
		chain[i] = kept.Part{Hash: q.Prefixes[i], Tokens: int(q.PrefixTokens[i])}
	}
	return chain
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
