package tree

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

var _ wire.DRPCPeerServer = (*Node)(nil)

// Exchange implements wire.DRPCPeerServer. It applies a peer's gossip message and
// returns one of this process, a full one if the peer's is full.
func (n *Node) Exchange(_ context.Context, g *wire.Gossip) (*wire.Gossip, error) {
	n.receive(g)
	return n.compose(g.Full), nil
}

// Probe implements wire.DRPCPeerServer. It exchanges gossip with the process at the
// given address and returns whether that process responded.
func (n *Node) Probe(ctx context.Context, q *wire.ProbeQuery) (*wire.ProbeAnswer, error) {
	address, err := netip.ParseAddrPort(q.Address)
	if err != nil {
		return &wire.ProbeAnswer{}, nil
	}
	return &wire.ProbeAnswer{Reached: n.exchange(ctx, address, false)}, nil
}

// Demand implements wire.DRPCPeerServer. It returns the demand that this process
// has counted since its start.
func (n *Node) Demand(context.Context, *wire.DemandQuery) (*wire.DemandAnswer, error) {
	d := n.Tally.Total()
	return &wire.DemandAnswer{Incarnation: n.Self.Incarnation, Prompt: d.Prompt, Output: d.Output, Requests: d.Requests}, nil
}

// Pieces implements wire.DRPCPeerServer. It returns the manifest of the active
// configuration and those of its files whose hashes the peer does not list. The
// response is empty if there is no configuration or the peer is of another
// deployment.
func (n *Node) Pieces(_ context.Context, q *wire.PieceQuery) (*wire.PieceAnswer, error) {
	response := &wire.PieceAnswer{}
	config := n.Config.Current()
	if config == nil || q.Deployment != n.Deployment {
		return response, nil
	}
	manifest, err := json.Marshal(config.Manifest)
	if err != nil {
		return response, nil
	}
	response.Manifest = manifest
	have := map[string]bool{}
	for _, hash := range q.Have {
		have[hash] = true
	}
	for _, p := range config.Manifest.Pieces {
		if !have[p.Hash] {
			response.Pieces = append(response.Pieces, &wire.Piece{Name: p.Name, Hash: p.Hash, Data: config.Pieces[p.Hash]})
		}
	}
	return response, nil
}

// Status implements wire.DRPCPeerServer. It returns the state of this process for
// operators, with all known members and engines, the leave entries and the metrics.
func (n *Node) Status(context.Context, *wire.StatusQuery) (*wire.StatusAnswer, error) {
	response := &wire.StatusAnswer{
		Self: toMember(n.Self), Deployment: n.Deployment, ConfigVersion: n.Config.Version(),
		Ready: n.Ready(), PlatformReached: n.platformReachable.Load(),
	}
	for _, m := range n.Members() {
		response.Members = append(response.Members, toMember(m))
	}
	now := time.Now()
	for _, l := range n.Estimates.Loads() {
		load := n.toLoad(l, now)
		load.Models = l.Models
		response.Engines = append(response.Engines, load)
	}
	for _, e := range n.Estimates.LeaveEntries() {
		response.Leaves = append(response.Leaves, toLeave(e))
	}
	record := n.Keeper.Record()
	leaseStatus := &wire.Lease{Name: n.Keeper.Name, Holder: record.Holder, Fence: record.Fence}
	if grant, ok := n.Keeper.Grant(); ok {
		leaseStatus.LeftMs = time.Until(grant.Until).Milliseconds()
	}
	response.Leases = append(response.Leases, leaseStatus)
	n.Meters.Each(func(name string, value int64) {
		response.Meters = append(response.Meters, &wire.Meter{Name: name, Value: float64(value)})
	})
	return response, nil
}

// Events implements wire.DRPCPeerServer. It returns the events of this process's
// timeline that match the query.
func (n *Node) Events(_ context.Context, q *wire.EventQuery) (*wire.EventAnswer, error) {
	response := &wire.EventAnswer{Dropped: n.Trace.Dropped()}
	filter := trace.Filter{Request: q.Request, Engine: q.Engine, Kind: trace.Kind(q.Kind), Limit: int(q.Limit)}
	for _, e := range n.Trace.Events(filter) {
		response.Events = append(response.Events, &wire.Event{
			Clock: e.Clock, AtNs: e.At.UnixNano(), Process: e.Process, Sequence: e.Sequence,
			Kind: string(e.Kind), Request: e.Request, Engine: e.Engine, Detail: e.Detail,
		})
	}
	return response, nil
}

// Drain implements wire.DRPCPeerServer. It marks a VM or a backend server as leaving
// on behalf of an operator, or clears the mark. The change takes effect in this
// process at once and is pushed to peers. If it cannot be recorded in the platform
// now, Recorded is false in the response and the write is retried until the platform
// responds.
func (n *Node) Drain(ctx context.Context, q *wire.DrainQuery) (*wire.DrainAnswer, error) {
	e := drain.Entry{Name: q.Name, Source: drain.Operator, Leaving: q.Leaving}
	e.Sequence = n.Estimates.LeaveSequence(q.Name, drain.Operator) + 1
	n.mergeLeave(e)
	n.pushToAllZones()
	err := n.recordDrain(ctx, e)
	if err != nil {
		n.deferredQueue.Push(func(ctx context.Context) error { return n.recordDrain(ctx, e) })
	}
	return &wire.DrainAnswer{Sequence: e.Sequence, Recorded: err == nil}, nil
}

// recordDrain writes a drain to the platform, unless the platform has the same or a
// later one already. After a conflict with another write it reads the object again.
func (n *Node) recordDrain(ctx context.Context, e drain.Entry) error {
	key := apply.WatchPrefix(n.Deployment) + drainPrefix + e.Name
	value, err := json.Marshal(drainRecord{Name: e.Name, Sequence: e.Sequence, Leaving: e.Leaving})
	if err != nil {
		return err
	}
	for {
		object, err := n.Platform.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrAbsent) {
			return err
		}
		var recorded drainRecord
		if len(object.Value) > 0 && json.Unmarshal(object.Value, &recorded) == nil && recorded.Sequence >= e.Sequence {
			return nil
		}
		_, err = store.Settle(ctx, n.Platform, store.Object{Key: key, Value: value, Version: object.Version}, func(current []byte) bool { return string(current) == string(value) })
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

// isRefused reports whether the platform did not execute a call, since it could not
// be reached, was out of service, or its rate limit was used up.
func isRefused(err error) bool { return errors.Is(err, store.ErrRefused) }

func toMember(m member.Member) *wire.Member {
	return &wire.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Address: m.Address.String(), Incarnation: m.Incarnation, State: uint32(m.State)}
}

// fromMember decodes a member. It returns false if a field is missing or invalid.
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

func toLeave(e drain.Entry) *wire.Leave {
	return &wire.Leave{Name: e.Name, Source: uint32(e.Source), Sequence: e.Sequence, Leaving: e.Leaving}
}

func fromLeave(e *wire.Leave) drain.Entry {
	return drain.Entry{Name: e.Name, Source: drain.Source(e.Source), Sequence: e.Sequence, Leaving: e.Leaving}
}

// Flags of a wire.Load.
const (
	// flagChanging is set while the engine carries out an order.
	flagChanging = 1 << iota
	// flagDeclared is set if the engine has loaded exactly the models that the
	// configuration declares for it. Models is then empty, to save bytes.
	flagDeclared
)

// toLoad encodes a load. Its age is sent instead of the time at which the engine was
// polled, since the clocks of VMs differ.
func (n *Node) toLoad(l stats.Load, now time.Time) *wire.Load {
	w := &wire.Load{
		Engine: l.Engine, Incarnation: uint32(l.Incarnation), Sequence: l.Sequence, Role: uint32(l.Role),
		Running: uint32(l.Running), QueuedTokens: quantise(l.QueuedTokens), AgeMs: uint32(now.Sub(l.At).Milliseconds()),
	}
	if l.Changing {
		w.Flags |= flagChanging
	}
	if equalTags(l.Models, n.declaredTags(l.Engine)) {
		w.Flags |= flagDeclared
	} else {
		w.Models = l.Models
	}
	return w
}

// fromLoad decodes a load that was received at now. An unknown role, as of a newer
// release, becomes spec.Decode.
func (n *Node) fromLoad(w *wire.Load, now time.Time) stats.Load {
	l := stats.Load{
		Engine: w.Engine, Incarnation: uint64(w.Incarnation), Sequence: w.Sequence, Role: spec.Role(min(w.Role, uint32(spec.Decode))),
		Running: int(w.Running), QueuedTokens: dequantise(w.QueuedTokens), Changing: w.Flags&flagChanging != 0,
		At: now.Add(-time.Duration(w.AgeMs) * time.Millisecond), Models: w.Models,
	}
	if w.Flags&flagDeclared != 0 {
		l.Models = n.declaredTags(w.Engine)
	}
	return l
}

// nameToIndex replaces an engine's name by one plus its index in the active
// configuration, to save bytes. It keeps the name if the configuration does not
// declare the engine.
func (n *Node) nameToIndex(w *wire.Load) *wire.Load {
	if config := n.Config.Current(); config != nil {
		if i, ok := config.Deployment.Index(w.Engine); ok {
			w.Engine, w.Index = "", uint32(i+1)
		}
	}
	return w
}

// indexToName reverses nameToIndex. It returns false if the index is out of range or
// the sender's configuration, given by its version, is not the active one here.
func (n *Node) indexToName(w *wire.Load, version uint64) bool {
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

// declaredTags returns the tags of the models that the active configuration declares
// for an engine.
func (n *Node) declaredTags(name string) []string {
	config := n.Config.Current()
	if config == nil {
		return nil
	}
	var tags []string
	for _, m := range declaredModels(config.Deployment, name) {
		tags = append(tags, stats.Tag(m))
	}
	return tags
}

// declaredModels returns the models that a deployment declares for an engine, with
// their versions and adapters.
func declaredModels(d *spec.Deployment, name string) []engine.Loaded {
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

func equalTags(a, b []string) bool {
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

// quantise packs a number into eight bits, an exponent of two in the upper five and
// a mantissa in the lower three. dequantise restores numbers below 8 exactly and
// larger ones with an error of at most one part in eight.
func quantise(n int) uint32 {
	exponent := uint32(0)
	for n >= 8 {
		n >>= 1
		exponent++
	}
	return exponent<<3 | uint32(max(n, 0))
}

// dequantise returns the middle of the interval that quantise maps to q. It limits
// the exponent, since q may come from a faulty peer.
func dequantise(q uint32) int {
	exponent, mantissa := q>>3, int(q&7)
	if exponent == 0 {
		return mantissa
	}
	return (2*mantissa + 1) << (min(exponent, 40) - 1)
}
