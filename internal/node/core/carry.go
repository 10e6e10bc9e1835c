package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/field"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// carrier hands requests to peers. It implements broker.Carrier and is safe for concurrent
// use.
type carrier struct {
	node *Node
	// serving counts the requests that this process serves for peers, servingBytes the
	// bytes of their bodies.
	serving, servingBytes atomic.Int64

	// mu guards hops, which has the requests in progress at each peer.
	mu   sync.Mutex
	hops map[string]map[*hop]bool
}

// hop is a request that a peer serves.
type hop struct{ cancel context.CancelCauseFunc }

const (
	// maxServing is how many requests a process serves for its peers at a time.
	maxServing = 128
	// handoverTimeout is the time within which a peer has to take the next part of a request
	// that is handed to it, and to accept the request after the last part. The first part
	// includes the connection. Until the peer has accepted the request, it has not run.
	handoverTimeout = 250 * time.Millisecond
	// lastHandoverShare is the share of the time left that the last peer gets instead, if
	// that is longer: there is no other to go on at, and a peer may pause for longer than
	// handoverTimeout. The rest is left for the client to try elsewhere.
	lastHandoverShare = 0.5
	// pieceBytes is the size of the parts in which bodies are sent.
	pieceBytes = 32 << 10
	// farCost is by how many requests in progress a peer of another availability zone has
	// to be less busy.
	farCost = 4
	// servingShare is the share of the memory for responses that the bodies of requests of
	// peers may use.
	servingShare = 0.5
)

var (
	errHandover   = errors.New("the peer has not accepted the request in time")
	errPeerSilent = errors.New("the peer is silent")
	errTooMany    = errors.New("too many requests are at the peer")
	errProtocol   = errors.New("unexpected message")
)

func newCarrier(n *Node) *carrier {
	return &carrier{node: n, hops: map[string]map[*hop]bool{}}
}

// Choose implements broker.Carrier.
func (c *carrier) Choose(service string, excluded map[string]bool) string {
	list := c.node.peers.Reachers(xxhash.Sum64String(service))
	c.mu.Lock()
	defer c.mu.Unlock()
	return chooseReacher(list, c.node.Zone, excluded, func(name string) int { return len(c.hops[name]) }, rand.Uint64())
}

// chooseReacher returns the least busy of the peers, of those that are equal one by random;
// empty if all are excluded or serve as many for this process as they may. hops is how many requests a peer has from this process.
func chooseReacher(list []peers.Reacher, zone string, excluded map[string]bool, hops func(name string) int, random uint64) string {
	best, lowest, equal := "", 0, uint64(0)
	for _, p := range list {
		own := hops(p.Name)
		if excluded[p.Name] || own >= maxServing {
			continue
		}
		cost := p.Running + own
		if p.AvailabilityZone != zone {
			cost += farCost
		}
		switch {
		case best == "" || cost < lowest:
			best, lowest, equal = p.Name, cost, 1
		case cost == lowest:
			equal++
			if random%equal == 0 {
				best = p.Name
			}
		}
	}
	return best
}

// drop aborts the requests at a peer that has become silent.
func (c *carrier) drop(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.hops[peer] {
		h.cancel(errPeerSilent)
	}
}

// begin registers a request at a peer, and returns false if that has as many as it serves.
func (c *carrier) begin(peer string, h *hop) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hops[peer]) >= maxServing {
		return false
	}
	if c.hops[peer] == nil {
		c.hops[peer] = map[*hop]bool{}
	}
	c.hops[peer][h] = true
	return true
}

// end removes a request at a peer.
func (c *carrier) end(peer string, h *hop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delete(c.hops[peer], h); len(c.hops[peer]) == 0 {
		delete(c.hops, peer)
	}
}

// Carry implements broker.Carrier.
func (c *carrier) Carry(ctx context.Context, peer string, request broker.Carried, out broker.Relay) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &hop{cancel}
	if !c.begin(peer, h) {
		return &broker.CarryError{Outcome: retry.NotRun, Err: errTooMany}
	}
	defer c.end(peer, h)
	member, ok := c.node.peers.Member(peer)
	if !ok {
		return &broker.CarryError{Outcome: retry.NotRun, Err: errPeerSilent}
	}
	progress := newHandover(request, func() { cancel(errHandover) })
	defer progress.stop()
	stream, done, err := c.node.Hops.Carry(ctx, member.Address)
	if err != nil {
		return &broker.CarryError{Outcome: retry.NotRun, Err: withCause(ctx, err)}
	}
	clean := false
	defer func() { done(clean) }()
	if err := c.handOver(stream, request, progress); err != nil {
		// What the peer has not read of a body would hold up the next request.
		clean = len(request.Request.Body) == 0 && finish(stream, err)
		return carryError(ctx, retry.NotRun, err)
	}
	if !progress.stop() {
		return &broker.CarryError{Outcome: retry.NotRun, Err: errHandover}
	}
	// From here on the peer may have the order to run it.
	if err := stream.Send(&wire.CarryPart{Go: true}); err != nil {
		return carryError(ctx, retry.Unknown, fmt.Errorf("start: %w", err))
	}
	err = relay(stream, out)
	clean = finish(stream, err)
	if err != nil {
		return carryError(ctx, retry.Unknown, err)
	}
	return nil
}

// handover bounds the time in which a peer takes each part of a request and accepts it.
type handover struct {
	timer *time.Timer
	limit time.Duration
	// end is the end of the whole handover, zero if only each step is bounded.
	end time.Time
}

// newHandover begins a handover. expired is called if the peer is too slow.
func newHandover(request broker.Carried, expired func()) handover {
	h := handover{limit: handoverTimeout}
	if request.LastPeer {
		h.limit = max(h.limit, time.Duration(lastHandoverShare*float64(time.Until(request.Request.Deadline))))
		h.end = time.Now().Add(h.limit)
	}
	h.timer = time.AfterFunc(h.limit, expired)
	return h
}

// advance records that the peer has taken a part. It returns false if that was too late.
func (h handover) advance() bool {
	if !h.timer.Stop() {
		return false
	}
	left := h.limit
	if !h.end.IsZero() {
		left = time.Until(h.end)
	}
	h.timer.Reset(left)
	return true
}

// stop ends the handover. It returns false if the peer was too slow.
func (h handover) stop() bool { return h.timer.Stop() }

// withCause adds the cause of the context's end to an error.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// carryError returns the peer's refusal if err is one, else an error with the outcome.
func carryError(ctx context.Context, outcome retry.Outcome, err error) error {
	var refused *broker.CarryError
	if errors.As(err, &refused) {
		return refused
	}
	return &broker.CarryError{Outcome: outcome, Err: withCause(ctx, err)}
}

// finish completes a call after the last message. It returns false if its connection can't
// be kept.
func finish(stream wire.DRPCEntry_CarryClient, err error) bool {
	var refused *broker.CarryError
	if err != nil && !errors.As(err, &refused) {
		return false
	}
	if stream.CloseSend() != nil {
		return false
	}
	_, err = stream.Recv()
	return errors.Is(err, io.EOF)
}

// handOver sends the request and waits until the peer has accepted it.
func (c *carrier) handOver(stream wire.DRPCEntry_CarryClient, request broker.Carried, progress handover) error {
	if err := stream.Send(&wire.CarryPart{Request: encodeCarried(c.node.Name, time.Now(), request)}); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	err := sendPieces(request.Request.Body, func(p []byte) error {
		if err := stream.Send(&wire.CarryPart{Body: p}); err != nil {
			return err
		}
		if !progress.advance() {
			return errHandover
		}
		return nil
	})
	if err != nil {
		return err
	}
	reply, err := stream.Recv()
	switch {
	case err != nil:
		return fmt.Errorf("await acceptance: %w", err)
	case reply.Refused != nil:
		return decodeRefusal(reply.Refused)
	case !reply.Accepted:
		return errProtocol
	}
	return nil
}

// sendPieces sends a body in parts.
func sendPieces(body []byte, send func(part []byte) error) error {
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if err := send(body[:n]); err != nil {
			return fmt.Errorf("send body: %w", err)
		}
		body = body[n:]
	}
	return nil
}

// readPieces reads a body of so many bytes.
func readPieces(size uint64, next func() ([]byte, error)) ([]byte, error) {
	body := make([]byte, 0, size)
	for uint64(len(body)) < size {
		part, err := next()
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(part) == 0 || uint64(len(body)+len(part)) > size {
			return nil, errProtocol
		}
		body = append(body, part...)
	}
	return body, nil
}

// relay relays the response to out. What a peer hands back is checked as its backend server's
// response was, since the peer may be of another build.
func relay(stream wire.DRPCEntry_CarryClient, out broker.Relay) error {
	begun := false
	for {
		m, err := stream.Recv()
		switch {
		case err != nil:
			return fmt.Errorf("read response: %w", err)
		case m.Refused != nil:
			return decodeRefusal(m.Refused)
		case begun == (m.Header != nil) || m.Header != nil && !isHeader(m.Header):
			return errProtocol
		case m.Header != nil && !m.Header.Stream:
			return relayWhole(stream, m.Header, out)
		case m.Header != nil:
			begun = true
			out.Bind(m.Header.Software, int(m.Header.Attempts))
			if err := out.Begin(int(m.Header.Status), decodeFields(m.Header.Fields)); err != nil {
				return fmt.Errorf("begin: %w", err)
			}
		case m.End:
			return out.End()
		case len(m.Event) > 0:
			if err := out.Event(m.Event); err != nil {
				return fmt.Errorf("event: %w", err)
			}
		default:
			return errProtocol
		}
	}
}

// isHeader reports whether a header is that of a final response of HTTP.
func isHeader(h *wire.ReplyHeader) bool {
	for _, f := range h.Fields {
		if !field.IsToken(f.Name) || !field.IsText(f.Value) {
			return false
		}
	}
	return h.Status >= fasthttp.StatusOK && h.Status <= call.MaxStatus
}

// maxReplyBytes is the largest response that is not a stream.
const maxReplyBytes = 16 << 20

// relayWhole reads the body of a complete response and relays it.
func relayWhole(stream wire.DRPCEntry_CarryClient, h *wire.ReplyHeader, out broker.Relay) error {
	if h.BodyBytes > maxReplyBytes {
		return call.ErrTooLarge
	}
	if err := out.Reserve(int(h.BodyBytes)); err != nil {
		return fmt.Errorf("reserve: %w", err)
	}
	body, err := readPieces(h.BodyBytes, func() ([]byte, error) {
		m, err := stream.Recv()
		return m.GetBody(), err
	})
	if err != nil {
		return err
	}
	out.Bind(h.Software, int(h.Attempts))
	return out.Respond(broker.Reply{Status: int(h.Status), Fields: decodeFields(h.Fields), Body: body})
}
