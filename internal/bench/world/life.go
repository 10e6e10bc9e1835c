package world

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/node/tree"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

var (
	errDead = errors.New("the process is dead")
	errCut  = errors.New("the connection is cut")
)

// life is one process from its start to its end.
type life struct {
	host   *Host
	world  *World
	node   *tree.Node
	ctx    context.Context
	cancel context.CancelFunc

	// dead is closed at the end. resumed is not nil while the process stands
	// still, and is closed when it goes on. Both are guarded by the host's
	// lock.
	dead    chan struct{}
	resumed chan struct{}
	once    sync.Once
	// inside counts the callers' requests that the process holds.
	inside int
}

func (l *life) end() {
	l.once.Do(func() {
		close(l.dead)
		l.cancel()
	})
}

func (l *life) pause() {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	if l.resumed == nil {
		l.resumed = make(chan struct{})
	}
}

func (l *life) resume() {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
	}
}

// pass is where a process touches the outside: it stands still there while it
// is paused, and never comes through once it is dead.
func (l *life) pass() error {
	for {
		l.host.mu.Lock()
		resumed := l.resumed
		l.host.mu.Unlock()
		select {
		case <-l.dead:
			return errDead
		default:
		}
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-l.dead:
			return errDead
		}
	}
}

// isCut reports whether something cannot be reached from here.
func (l *life) isCut(name string, peer bool) bool {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	return l.host.cut[name] || peer && l.host.cut["*"]
}

// hang waits until the caller gives up.
func (l *life) hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Join(errCut, ctx.Err())
	case <-l.dead:
		return errDead
	}
}

// around makes a call: strikes before and after it, standing still, and the
// time on the way.
func around[T any](ctx context.Context, l *life, operation string, do func() (T, error)) (T, error) {
	var none T
	lose := l.world.strike(l, operation, false)
	if err := l.pass(); err != nil {
		return none, err
	}
	timer.Wait(ctx, latency)
	value, err := do()
	lose = l.world.strike(l, operation, true) || lose
	if passed := l.pass(); passed != nil {
		return none, passed
	}
	if lose {
		_ = l.hang(ctx)
		return none, &call.Error{Stage: call.StageReading, Err: errCut}
	}
	return value, err
}

// platform is the platform as the process sees it.
type platform struct{ *life }

// platformTimeout bounds a call like the network client does.
var platformTimeout = setup.Default().Platform.Timeout

func toPlatform[T any](ctx context.Context, p platform, operation string, wait time.Duration, do func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout+wait)
	defer cancel()
	return around(ctx, p.life, operation, func() (T, error) {
		if p.isCut("platform", false) {
			var none T
			return none, p.hang(ctx)
		}
		return do(ctx)
	})
}

func (p platform) Get(ctx context.Context, key string) (store.Object, error) {
	return toPlatform(ctx, p, "Get "+key, 0, func(ctx context.Context) (store.Object, error) { return p.world.Scene.Platform.Get(ctx, key) })
}

func (p platform) Put(ctx context.Context, object store.Object) (uint64, error) {
	return toPlatform(ctx, p, "Put "+object.Key, 0, func(ctx context.Context) (uint64, error) {
		if p.world.Variant == NoVersionCheck {
			current, _ := p.world.Scene.Platform.Peek(object.Key)
			object.Version = current.Version
		}
		return p.world.Scene.Platform.Put(ctx, object)
	})
}

func (p platform) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Page, error) {
	page, err := toPlatform(ctx, p, "Watch", wait, func(ctx context.Context) (store.Page, error) {
		return p.world.Scene.Platform.Watch(ctx, prefix, after, wait)
	})
	switch {
	case p.world.Variant == DrainIgnored:
		page.Objects = without(page.Objects, "/drain/")
	case p.world.Variant == ConfigDeaf && after > 0:
		page.Objects = without(page.Objects, "/manifest")
	}
	return page, err
}

func without(objects []store.Object, part string) []store.Object {
	var kept []store.Object
	for _, o := range objects {
		if !strings.Contains(o.Key, part) {
			kept = append(kept, o)
		}
	}
	return kept
}

func (p platform) VMs(ctx context.Context, after uint64) (store.List, error) {
	list, err := toPlatform(ctx, p, "VMs", 0, func(ctx context.Context) (store.List, error) { return p.world.Scene.Platform.VMs(ctx, after) })
	if p.world.Variant == DrainIgnored {
		list.VMs = append([]store.VM(nil), list.VMs...)
		for i := range list.VMs {
			list.VMs[i].Leaving = false
		}
	}
	return list, err
}

// servers are the backend servers as the process sees them.
type servers struct{ *life }

// dialTimeout bounds connecting like the network client does.
const dialTimeout = time.Second

func (s servers) Send(ctx context.Context, b spec.BackendServer, sent engine.Call) (*engine.Response, error) {
	if sent.Offset > 0 && s.world.Variant == NotEmptied {
		return nil, &call.Error{Stage: call.StageReading, Err: errCut}
	}
	if s.world.Variant == ResumeFromStart {
		sent.Offset = 0
	}
	answer, err := s.send(ctx, b, sent)
	switch {
	case err != nil && s.world.Variant == RetryAfterSend && sent.AtMostOnce && call.StageOf(err) != call.StageDialing:
		return s.send(ctx, b, sent)
	case err != nil && s.world.Variant == StageMisjudged && sent.AtMostOnce:
		return nil, &call.Error{Stage: call.StageDialing, Err: err}
	}
	return answer, err
}

func (s servers) send(ctx context.Context, b spec.BackendServer, sent engine.Call) (*engine.Response, error) {
	answer, err := around(ctx, s.life, "Send "+b.Name, func() (*engine.Response, error) {
		if s.isCut(b.Name, false) {
			timer.Wait(ctx, dialTimeout)
			return nil, &call.Error{Stage: call.StageDialing, Err: errCut}
		}
		return s.world.Scene.Send(ctx, b, sent)
	})
	if err != nil {
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, life: s.life, server: b.Name, stall: sent.ReadTimeout}
	if s.world.Variant == IdentityUnchecked {
		answer.Body = &relabelled{ReadCloser: answer.Body, id: sent.ID}
	}
	return answer, nil
}

func (s servers) Report(ctx context.Context, b spec.BackendServer, since uint64) (engine.Report, error) {
	return around(ctx, s.life, "Report "+b.Name, func() (engine.Report, error) {
		if s.isCut(b.Name, false) {
			timer.Wait(ctx, dialTimeout)
			return engine.Report{}, errCut
		}
		report, err := s.world.Scene.Report(ctx, b, since)
		switch s.world.Variant {
		case NotEmptied:
			report.Running, report.Queued = 0, 0
		case OrderForgotten:
			report.Changing = false
			report.Role = s.world.lastRole(b.Name, report.Role)
		}
		return report, err
	})
}

func (s servers) Order(ctx context.Context, b spec.BackendServer, order engine.Order) error {
	_, err := around(ctx, s.life, "Order "+b.Name, func() (struct{}, error) {
		if s.isCut(b.Name, false) {
			timer.Wait(ctx, dialTimeout)
			return struct{}{}, errCut
		}
		if s.world.Variant == FenceNotSent {
			order.Fence = 0
			order.SendBefore = time.Time{}
		}
		err := s.world.Scene.Order(ctx, b, order)
		if holder := s.world.holder(b.AvailabilityZone); err == nil && !strings.HasPrefix(holder, s.host.name+"/") {
			s.world.violate(judge.NoEffectWithoutAuthority, "%s took order %s of %s while %s held the lease", b.Name, order.ID, s.host.name, holder)
		}
		return struct{}{}, err
	})
	return err
}

// body is the body of an answer on its way through the process.
type body struct {
	io.ReadCloser
	life   *life
	server string
	stall  time.Duration
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.life.isCut(b.server, false) {
		timer.Wait(b.life.ctx, b.stall)
		return 0, &call.Error{Stage: call.StageReading, Err: errCut}
	}
	n, err := b.ReadCloser.Read(p)
	if passed := b.life.pass(); passed != nil {
		return 0, passed
	}
	return n, err
}

// relabelled gives every event the identity of the request, as if identities
// were not checked.
type relabelled struct {
	io.ReadCloser
	id string
}

// Read implements io.Reader. Events are shorter than what is read at once.
func (r *relabelled) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p[:min(len(p), 512)])
	text := strings.ReplaceAll(string(p[:n]), "another-request", r.id)
	return copy(p, text), err
}

// peers are the other processes as the process sees them.
type peers struct{ *life }

// peerTimeout bounds a call like the network client does.
const peerTimeout = 2 * time.Second

func toPeer[T any](ctx context.Context, p peers, operation string, address netip.AddrPort, do func(ctx context.Context, n *tree.Node) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return around(ctx, p.life, operation, func() (T, error) {
		var none T
		target := p.world.at(address)
		if target == nil {
			return none, errDead
		}
		if p.isCut(target.name, true) {
			return none, p.hang(ctx)
		}
		l := target.current()
		if l == nil {
			return none, errDead
		}
		if target.live() == nil {
			return none, p.hang(ctx)
		}
		value, err := do(ctx, l.node)
		if l.isCut(p.host.name, true) {
			return none, p.hang(ctx)
		}
		return value, err
	})
}

func (w *World) at(address netip.AddrPort) *Host {
	for _, h := range w.Hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

func (p peers) Exchange(ctx context.Context, address netip.AddrPort, g *wire.Gossip) (*wire.Gossip, error) {
	switch p.world.Variant {
	case DrainIgnored, NotEmptied:
		g.Leaves = nil
	case ConfigDeaf:
		g.ConfigVersion = min(g.ConfigVersion, 1)
	}
	answer, err := toPeer(ctx, p, "Exchange", address, func(ctx context.Context, n *tree.Node) (*wire.Gossip, error) { return n.Exchange(ctx, g) })
	if err == nil && (p.world.Variant == DrainIgnored || p.world.Variant == NotEmptied) {
		answer.Leaves = nil
	}
	return answer, err
}

func (p peers) Probe(ctx context.Context, address netip.AddrPort, q *wire.ProbeQuery) (*wire.ProbeAnswer, error) {
	return toPeer(ctx, p, "Probe", address, func(ctx context.Context, n *tree.Node) (*wire.ProbeAnswer, error) { return n.Probe(ctx, q) })
}

func (p peers) Demand(ctx context.Context, address netip.AddrPort, q *wire.DemandQuery) (*wire.DemandAnswer, error) {
	return toPeer(ctx, p, "Demand", address, func(ctx context.Context, n *tree.Node) (*wire.DemandAnswer, error) { return n.Demand(ctx, q) })
}

func (p peers) Pieces(ctx context.Context, address netip.AddrPort, q *wire.PieceQuery) (*wire.PieceAnswer, error) {
	return toPeer(ctx, p, "Pieces", address, func(ctx context.Context, n *tree.Node) (*wire.PieceAnswer, error) { return n.Pieces(ctx, q) })
}

// Enter implements load.Door: a caller's request to a host.
func (w *World) Enter(ctx context.Context, target int, r entry.Request) (*entry.Reply, error) {
	l := w.Hosts[target].current()
	if l == nil {
		return nil, errDead
	}
	if err := l.pass(); err != nil {
		return nil, err
	}
	l.enter(1)
	replies := make(chan *entry.Reply, 1)
	go func() { replies <- l.node.Core.Serve(l.ctx, r) }()
	select {
	case reply := <-replies:
		reply.Body = &callers{ReadCloser: reply.Body, life: l}
		if w.Variant == UnknownAsNotRun && reply.Outcome == retry.Unknown {
			reply.Outcome = retry.NotRun
		}
		if err := l.pass(); err != nil {
			reply.Close()
			return nil, err
		}
		return reply, nil
	case <-l.dead:
		go func() { (<-replies).Close() }()
		l.enter(-1)
		return nil, errDead
	case <-ctx.Done():
		go func() { (<-replies).Close() }()
		l.enter(-1)
		return nil, ctx.Err()
	}
}

func (l *life) enter(n int) {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	l.inside += n
}

func (l *life) held() int {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	return l.inside
}

// callers is the body of a reply on its way to the caller.
type callers struct {
	io.ReadCloser
	life *life
	once sync.Once
}

// Read implements io.Reader.
func (c *callers) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if passed := c.life.pass(); passed != nil {
		return 0, passed
	}
	return n, err
}

// Close implements io.Closer.
func (c *callers) Close() error {
	c.once.Do(func() { c.life.enter(-1) })
	return c.ReadCloser.Close()
}
