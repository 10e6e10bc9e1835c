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
	"ebonyscale.example/ebonyscale/internal/route/assign"
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

// push queues a message without blocking. It counts a message that is dropped. A message
// may be queued for several peers, and must not be changed after the first time.
func (c *coordination) push(to string, message *wire.News) {
	if message.From == "" {
		message.From = c.node.Name
	}
	if !c.outbox.Push(envelope{to, message}) {
		c.node.Meters.Add("CoordinationNotSent", 1)
	}
}

// Request implements broker.Coordination.
func (c *coordination) Request(to string, r broker.PermitRequest) {
	c.push(to, &wire.News{PlaceRequests: []*wire.PlaceRequest{encodeRequest(r)}})
}

// Grant implements broker.Coordination.
func (c *coordination) Grant(to string, g broker.PermitGrant) {
	c.push(to, &wire.News{PlaceGrants: []*wire.PlaceGrant{encodeGrant(g)}})
}

// Release implements broker.Coordination.
func (c *coordination) Release(to string, r broker.PermitRelease) {
	c.push(to, &wire.News{PlaceReleases: []*wire.PlaceRelease{encodeRelease(r)}})
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
	for _, r := range message.PlaceRequests {
		n.Broker.HandleRequest(message.From, decodeRequest(r))
	}
	for _, g := range message.PlaceGrants {
		n.Broker.HandleGrant(message.From, decodeGrant(g))
	}
	for _, r := range message.PlaceReleases {
		n.Broker.HandleRelease(message.From, decodeRelease(r))
	}
}

func encodeRequest(r broker.PermitRequest) *wire.PlaceRequest {
	m := &wire.PlaceRequest{
		Number: r.Number, Request: r.Request, Service: r.Service, Rank: int32(r.Priority),
		TargetMicroseconds: r.Target.Microseconds(), AimMicroseconds: r.StartWithin.Microseconds(),
		PatienceMicroseconds: r.MaxWait.Microseconds(), LimitMicroseconds: r.TimeLeft.Microseconds(), Excluded: r.Excluded,
		OwnTokens: uint32(r.OwnTokens), Account: r.Account, OutputTokens: uint32(max(r.OutputTokens, 0)), Returning: r.Returning,
	}
	for _, p := range r.Chain {
		m.Prefixes, m.PrefixTokens = append(m.Prefixes, p.Hash), append(m.PrefixTokens, uint32(p.Tokens))
	}
	return m
}

func decodeRequest(m *wire.PlaceRequest) broker.PermitRequest {
	r := broker.PermitRequest{
		Number: m.Number, Request: m.Request, Service: m.Service, Priority: int(m.Rank),
		Target: microseconds(m.TargetMicroseconds), StartWithin: microseconds(m.AimMicroseconds),
		MaxWait: microseconds(m.PatienceMicroseconds), TimeLeft: microseconds(m.LimitMicroseconds), Excluded: m.Excluded,
		OwnTokens: int(m.OwnTokens), Account: m.Account, OutputTokens: int(m.OutputTokens), Returning: m.Returning,
	}
	for i := range min(len(m.Prefixes), len(m.PrefixTokens)) {
		r.Chain = append(r.Chain, kept.Part{Hash: m.Prefixes[i], Tokens: int(m.PrefixTokens[i])})
	}
	return r
}

func encodeGrant(g broker.PermitGrant) *wire.PlaceGrant {
	m := &wire.PlaceGrant{
		Number: g.Number, Answer: uint32(g.Status), Server: g.ID, Born: g.Born, Reading: g.LocalPrefill,
		BaseMicroseconds: g.Times.Base.Microseconds(), TokensPerSecond: g.Times.Rate, Tokens: uint32(g.Tokens),
	}
	if g.Fetch.IsValid() {
		m.Fetch = g.Fetch.String()
	}
	return m
}

func decodeGrant(m *wire.PlaceGrant) broker.PermitGrant {
	// An address that is missing or cannot be parsed is invalid, so that nothing is
	// fetched.
	fetch, _ := netip.ParseAddrPort(m.Fetch)
	return broker.PermitGrant{
		Number: m.Number, Status: broker.Decision(m.Answer), ID: m.Server, Born: m.Born, LocalPrefill: m.Reading, Fetch: fetch,
		Times: assign.Times{Base: microseconds(m.BaseMicroseconds), Rate: m.TokensPerSecond}, Tokens: int(m.Tokens),
	}
}

func encodeRelease(r broker.PermitRelease) *wire.PlaceRelease {
	return &wire.PlaceRelease{Number: r.Number, Verdict: uint32(r.Verdict), Prefilled: r.Prefilled, Kept: r.Kept}
}

func decodeRelease(m *wire.PlaceRelease) broker.PermitRelease {
	return broker.PermitRelease{Number: m.Number, Verdict: usage.Verdict(m.Verdict), Prefilled: m.Prefilled, Kept: m.Kept}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
