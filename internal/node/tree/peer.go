package tree

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

var _ wire.DRPCPeerServer = (*Node)(nil)

// Exchange implements the peer service.
func (n *Node) Exchange(_ context.Context, g *wire.Gossip) (*wire.Gossip, error) {
	n.receive(g)
	return n.message(g.Full), nil
}

// Probe implements the peer service.
func (n *Node) Probe(ctx context.Context, q *wire.ProbeQuery) (*wire.ProbeAnswer, error) {
	address, err := netip.ParseAddrPort(q.Address)
	if err != nil {
		return &wire.ProbeAnswer{}, nil
	}
	return &wire.ProbeAnswer{Reached: n.exchange(ctx, address, false)}, nil
}

// Demand implements the peer service.
func (n *Node) Demand(context.Context, *wire.DemandQuery) (*wire.DemandAnswer, error) {
	d := n.Tally.Total()
	return &wire.DemandAnswer{Incarnation: n.Self.Incarnation, Prompt: d.Prompt, Output: d.Output, Requests: d.Requests}, nil
}

// Pieces implements the peer service.
func (n *Node) Pieces(_ context.Context, q *wire.PieceQuery) (*wire.PieceAnswer, error) {
	answer := &wire.PieceAnswer{}
	config := n.Config.Current()
	if config == nil || q.Deployment != n.Deployment {
		return answer, nil
	}
	manifest, err := json.Marshal(config.Manifest)
	if err != nil {
		return answer, nil
	}
	answer.Manifest = manifest
	have := map[string]bool{}
	for _, hash := range q.Have {
		have[hash] = true
	}
	for _, p := range config.Manifest.Pieces {
		if !have[p.Hash] {
			answer.Pieces = append(answer.Pieces, &wire.Piece{Name: p.Name, Hash: p.Hash, Data: config.Pieces[p.Hash]})
		}
	}
	return answer, nil
}

// Status implements the peer service.
func (n *Node) Status(context.Context, *wire.StatusQuery) (*wire.StatusAnswer, error) {
	answer := &wire.StatusAnswer{
		Self: toMember(n.Self), Deployment: n.Deployment, ConfigVersion: n.Config.Version(),
		Ready: n.Ready(), PlatformReached: n.reached.Load(),
	}
	for _, m := range n.Members() {
		answer.Members = append(answer.Members, toMember(m))
	}
	now := time.Now()
	for _, l := range n.Board.Loads() {
		load := n.toLoad(l, now)
		load.Models = l.Models
		answer.Engines = append(answer.Engines, load)
	}
	for _, e := range n.Board.LeaveEntries() {
		answer.Leaves = append(answer.Leaves, toLeave(e))
	}
	record := n.Keeper.Record()
	held := &wire.Lease{Name: n.Keeper.Name, Holder: record.Holder, Fence: record.Fence}
	if grant, ok := n.Keeper.Grant(); ok {
		held.LeftMs = time.Until(grant.Until).Milliseconds()
	}
	answer.Leases = append(answer.Leases, held)
	n.Meters.Each(func(name string, value int64) {
		answer.Meters = append(answer.Meters, &wire.Meter{Name: name, Value: float64(value)})
	})
	return answer, nil
}

// Events implements the peer service.
func (n *Node) Events(_ context.Context, q *wire.EventQuery) (*wire.EventAnswer, error) {
	answer := &wire.EventAnswer{Dropped: n.Trace.Dropped()}
	filter := trace.Filter{Request: q.Request, Engine: q.Engine, Kind: trace.Kind(q.Kind), Limit: int(q.Limit)}
	for _, e := range n.Trace.Events(filter) {
		answer.Events = append(answer.Events, &wire.Event{
			Clock: e.Clock, AtNs: e.At.UnixNano(), Process: e.Process, Sequence: e.Sequence,
			Kind: string(e.Kind), Request: e.Request, Engine: e.Engine, Detail: e.Detail,
		})
	}
	return answer, nil
}

// Drain implements the peer service. The change holds at once and spreads among
// peers; it is recorded in the platform as soon as that answers.
func (n *Node) Drain(ctx context.Context, q *wire.DrainQuery) (*wire.DrainAnswer, error) {
	e := leave.Entry{Name: q.Name, Source: leave.Operator, Leaving: q.Leaving}
	e.Sequence = n.Board.LeaveSequence(q.Name, leave.Operator) + 1
	n.leaving(e)
	n.tellZones()
	err := n.recordDrain(ctx, e)
	if err != nil {
		n.finish.Push(func(ctx context.Context) error { return n.recordDrain(ctx, e) })
	}
	return &wire.DrainAnswer{Sequence: e.Sequence, Recorded: err == nil}, nil
}

// recordDrain writes a drain to the platform unless a later one is there.
func (n *Node) recordDrain(ctx context.Context, e leave.Entry) error {
	key := apply.WatchPrefix(n.Deployment) + drainPrefix + e.Name
	value, err := json.Marshal(drain{Name: e.Name, Sequence: e.Sequence, Leaving: e.Leaving})
	if err != nil {
		return err
	}
	for {
		object, err := n.Platform.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrAbsent) {
			return err
		}
		var found drain
		if len(object.Value) > 0 && json.Unmarshal(object.Value, &found) == nil && found.Sequence >= e.Sequence {
			return nil
		}
		_, err = store.Settle(ctx, n.Platform, store.Object{Key: key, Value: value, Version: object.Version}, func(now []byte) bool { return string(now) == string(value) })
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

func isRefused(err error) bool { return errors.Is(err, store.ErrRefused) }

func toMember(m member.Member) *wire.Member {
	return &wire.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Address: m.Address.String(), Incarnation: m.Incarnation, State: uint32(m.State)}
}

func fromMember(m *wire.Member) (member.Member, bool) {
	if m == nil || m.Name == "" || m.State > uint32(member.Gone) {
		return member.Member{}, false
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return member.Member{}, false
	}
	return member.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Address: address, Incarnation: m.Incarnation, State: member.State(m.State)}, true
}

func toLeave(e leave.Entry) *wire.Leave {
	return &wire.Leave{Name: e.Name, Source: uint32(e.Source), Sequence: e.Sequence, Leaving: e.Leaving}
}

func fromLeave(e *wire.Leave) leave.Entry {
	return leave.Entry{Name: e.Name, Source: leave.Source(e.Source), Sequence: e.Sequence, Leaving: e.Leaving}
}

// Flags of a load.
const (
	flagChanging = 1 << iota
	// flagDeclared says that the engine has the models that are declared for
	// it, which are then left out.
	flagDeclared
)

func (n *Node) toLoad(l board.Load, now time.Time) *wire.Load {
	w := &wire.Load{
		Engine: l.Engine, Incarnation: uint32(l.Incarnation), Sequence: l.Sequence, Role: uint32(l.Role),
		Running: uint32(l.Running), QueuedTokens: quantise(l.QueuedTokens), AgeMs: uint32(now.Sub(l.At).Milliseconds()),
	}
	if l.Changing {
		w.Flags |= flagChanging
	}
	if equal(l.Models, n.declared(l.Engine)) {
		w.Flags |= flagDeclared
	} else {
		w.Models = l.Models
	}
	return w
}

func (n *Node) fromLoad(w *wire.Load, now time.Time) board.Load {
	l := board.Load{
		Engine: w.Engine, Incarnation: uint64(w.Incarnation), Sequence: w.Sequence, Role: spec.Role(min(w.Role, uint32(spec.Decode))),
		Running: int(w.Running), QueuedTokens: expand(w.QueuedTokens), Changing: w.Flags&flagChanging != 0,
		At: now.Add(-time.Duration(w.AgeMs) * time.Millisecond), Models: w.Models,
	}
	if w.Flags&flagDeclared != 0 {
		l.Models = n.declared(w.Engine)
	}
	return l
}

// indexed replaces an engine's name by its place in the configuration.
func (n *Node) indexed(w *wire.Load) *wire.Load {
	if config := n.Config.Current(); config != nil {
		if i, ok := config.Deployment.Index(w.Engine); ok {
			w.Engine, w.Index = "", uint32(i+1)
		}
	}
	return w
}

// named gives an engine back its name, if the configuration is the sender's.
func (n *Node) named(w *wire.Load, version uint64) bool {
	if w.Index == 0 {
		return true
	}
	config := n.Config.Current()
	if config == nil || config.Manifest.Version != version || int(w.Index) > len(config.Deployment.Servers) {
		return false
	}
	w.Engine = config.Deployment.Servers[w.Index-1].Name
	return true
}

// declared returns the tags of the models that an engine is declared to serve.
func (n *Node) declared(name string) []string {
	config := n.Config.Current()
	if config == nil {
		return nil
	}
	var tags []string
	for _, m := range wantedModels(config.Deployment, name) {
		tags = append(tags, board.Tag(m))
	}
	return tags
}

// wantedModels returns what an engine is declared to load.
func wantedModels(d *spec.Deployment, name string) []engine.Loaded {
	server, ok := d.Server(name)
	if !ok {
		return nil
	}
	var list []engine.Loaded
	for _, model := range server.Models {
		if m, ok := d.Model(model); ok {
			list = append(list, engine.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	return list
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// quantise packs a number into eight bits, of which the upper five are an
// exponent of two, with an error of less than one part in eight.
func quantise(n int) uint32 {
	exponent := uint32(0)
	for n >= 8 {
		n >>= 1
		exponent++
	}
	return exponent<<3 | uint32(max(n, 0))
}

func expand(q uint32) int {
	exponent, mantissa := q>>3, int(q&7)
	if exponent == 0 {
		return mantissa
	}
	return (2*mantissa + 1) << (min(exponent, 40) - 1)
}
