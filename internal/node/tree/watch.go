package tree

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Timing of the platform's duties.
const (
	watchRetry = time.Second
	// ownersWait is how long a process waits for a peer to bring pieces before
	// it reads them from the platform itself.
	ownersWait = time.Second
	ownersPoll = 150 * time.Millisecond
)

// drainPrefix comes before the name in the key of a drain.
const drainPrefix = "drain/"

// drain is the value of a drain's object.
type drain struct {
	Name     string
	Sequence uint64
	Leaving  bool
}

// watch follows the objects of the deployment.
func (n *Node) watch(ctx context.Context) error {
	prefix := apply.WatchPrefix(n.Deployment)
	var after uint64
	for ctx.Err() == nil {
		page, err := n.Platform.Watch(ctx, prefix, after, n.WatchFor)
		n.reach(ctx, err)
		if err != nil {
			timer.Wait(ctx, watchRetry+time.Duration(n.draw()%uint64(watchRetry)))
			continue
		}
		done := true
		for _, object := range page.Objects {
			done = n.take(ctx, prefix, object) && done
		}
		if !done {
			// A part of what changed could not be read: ask again.
			timer.Wait(ctx, watchRetry)
			continue
		}
		for _, object := range page.Objects {
			after = max(after, object.Version)
		}
	}
	return ctx.Err()
}

// reach notes whether the platform answers.
func (n *Node) reach(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if was := n.reached.Swap(err == nil); was == (err == nil) {
		return
	}
	if err == nil {
		n.Trace.Add(trace.Event{Kind: trace.PlatformBack})
		return
	}
	n.Trace.Add(trace.Event{Kind: trace.PlatformLost, Detail: err.Error()})
	n.Log.Warn("the platform does not answer", zap.Error(err))
}

// take takes in an object and reports whether it is dealt with.
func (n *Node) take(ctx context.Context, prefix string, object store.Object) bool {
	name := strings.TrimPrefix(object.Key, prefix)
	if strings.HasPrefix(name, drainPrefix) {
		var d drain
		if err := json.Unmarshal(object.Value, &d); err != nil {
			n.Log.Error("a drain cannot be read", zap.String("Key", object.Key), zap.Error(err))
			return true
		}
		n.leaving(leave.Entry{Name: d.Name, Source: leave.Operator, Sequence: d.Sequence, Leaving: d.Leaving})
		return true
	}
	if name != "manifest" {
		return true
	}
	manifest, err := apply.Decode(object.Value)
	if err != nil {
		n.Log.Error("the manifest cannot be read", zap.Error(err))
		return true
	}
	return n.advance(ctx, manifest)
}

// advance gets the pieces of a manifest and puts it in force. It returns false
// if pieces are still missing.
func (n *Node) advance(ctx context.Context, manifest apply.Manifest) bool {
	if manifest.Version <= n.Config.Version() {
		return true
	}
	pieces := n.held()
	n.piecesFromOwner(ctx, manifest, pieces)
	if manifest.Version <= n.Config.Version() {
		return true
	}
	for _, p := range manifest.Missing(pieces) {
		object, err := n.Platform.Get(ctx, apply.PieceKey(n.Deployment, p.Hash))
		if err != nil {
			n.Log.Warn("a piece of the configuration cannot be read", zap.String("Piece", p.Name), zap.Error(err))
			return false
		}
		pieces[p.Hash] = object.Value
	}
	n.inForce(manifest, pieces)
	return true
}

// held returns the pieces of the configuration in force.
func (n *Node) held() map[string][]byte {
	pieces := map[string][]byte{}
	if config := n.Config.Current(); config != nil {
		for hash, data := range config.Pieces {
			pieces[hash] = data
		}
	}
	return pieces
}

// piecesFromOwner spares the platform: of the processes of a zone one reads the
// pieces of a version from the platform and the others from it.
func (n *Node) piecesFromOwner(ctx context.Context, manifest apply.Manifest, pieces map[string][]byte) {
	chore := fmt.Sprintf("config/%s/%d", n.Deployment, manifest.Version)
	zone := n.zone()
	owner := member.Owner(chore, zone)
	if owner == n.Self.Name || len(manifest.Missing(pieces)) == 0 {
		return
	}
	end := time.Now().Add(ownersWait)
	for time.Now().Before(end) && timer.Wait(ctx, ownersPoll) {
		for _, m := range zone {
			if m.Name == owner && n.piecesFrom(ctx, m.Address) >= manifest.Version {
				return
			}
		}
	}
}

// inForce puts a configuration in force if it is whole and newer.
func (n *Node) inForce(manifest apply.Manifest, pieces map[string][]byte) {
	config, err := apply.Assemble(manifest, pieces)
	if err != nil {
		n.Trace.Add(trace.Event{Kind: trace.ConfigRefused, Detail: err.Error()})
		n.Log.Error("a configuration is refused", zap.Uint64("Version", manifest.Version), zap.Error(err))
		return
	}
	if !n.Config.Advance(config) {
		return
	}
	n.Board.Configure(n.Config.Current().Deployment)
	took := time.Since(manifest.At)
	n.Meters.Add("ConfigChanges", 1)
	n.Meters.Add("ConfigInForceMs", took.Milliseconds())
	n.Trace.Add(trace.Event{Kind: trace.ConfigInForce, Detail: fmt.Sprintf("version %d, %v after it was accepted", manifest.Version, took.Round(time.Millisecond))})
	n.tellSome()
}

// eager is how many peers of the zone are told at once of news.
const eager = 3

// tellSome exchanges at once with some peers of the zone, so that news that
// matters need not wait for the period. Each that learns of it does the same.
func (n *Node) tellSome() {
	random := n.draw()
	n.mu.Lock()
	told := n.table.IndirectProbers("", eager, random)
	n.mu.Unlock()
	for _, m := range told {
		n.prompt.Push(m.Address)
	}
}

// tellZones tells a process of each other zone, besides some of the own. It is
// for the process where the news arose.
func (n *Node) tellZones() {
	n.tellSome()
	random := n.draw()
	n.mu.Lock()
	told := n.table.ZoneContacts(random)
	n.mu.Unlock()
	for _, m := range told {
		n.prompt.Push(m.Address)
	}
}

// fetcher gets configurations from peers that have newer ones.
func (n *Node) fetcher(ctx context.Context) error {
	for {
		address, err := n.fetch.Pop(ctx)
		if err != nil {
			return err
		}
		n.piecesFrom(ctx, address)
	}
}

// piecesFrom asks a peer for its configuration and puts it in force if it is
// newer. It returns the version in force.
func (n *Node) piecesFrom(ctx context.Context, address netip.AddrPort) uint64 {
	pieces := n.held()
	query := &wire.PieceQuery{Deployment: n.Deployment}
	for hash := range pieces {
		query.Have = append(query.Have, hash)
	}
	answer, err := n.Peers.Pieces(ctx, address, query)
	if err != nil || len(answer.Manifest) == 0 {
		return n.Config.Version()
	}
	manifest, err := apply.Decode(answer.Manifest)
	if err != nil || manifest.Deployment != n.Deployment || manifest.Version <= n.Config.Version() {
		return n.Config.Version()
	}
	for _, p := range answer.Pieces {
		pieces[p.Hash] = p.Data
	}
	n.inForce(manifest, pieces)
	return n.Config.Version()
}

// Reading of the list of VMs.
const (
	// listReaders is how many processes of a zone follow the list; the others
	// hear from them who is leaving.
	listReaders = 2
	// listSeldom is how many times rarer the others read it, in case the
	// readers cannot.
	listSeldom = 12
)

// list follows the list of VMs.
func (n *Node) list(ctx context.Context) error {
	var after uint64
	for turn := 0; ctx.Err() == nil; turn++ {
		if after == 0 || turn%listSeldom == 0 || n.readsList() {
			list, err := n.Platform.VMs(ctx, after)
			if err == nil && list.Revision > after {
				after = list.Revision
				n.takeList(list)
			}
		}
		timer.Wait(ctx, n.ListEvery)
	}
	return ctx.Err()
}

// readsList reports whether this process is one of the zone's readers of the
// list.
func (n *Node) readsList() bool {
	zone := n.zone()
	for i := range listReaders {
		if member.Owner(fmt.Sprintf("list/%d", i), zone) == n.Self.Name {
			return true
		}
	}
	return false
}

// contacts is how many processes of each other zone a process knows.
const contacts = 2

// takeList takes in the list of VMs: who is leaving, and which processes there
// may be.
func (n *Node) takeList(list store.List) {
	others := map[string][]member.Member{}
	listed := map[string]bool{}
	now := time.Now()
	alone, news := len(list.VMs) > 0, false
	for _, vm := range list.VMs {
		news = n.leaving(leave.Entry{Name: vm.Name, Source: leave.VMList, Sequence: list.Revision, Leaving: vm.Leaving}) || news
		listed[vm.Name] = true
		if !vm.Entry {
			continue
		}
		alone = alone && (vm.Name == n.Self.Name || vm.AvailabilityZone != n.Self.AvailabilityZone)
		m := member.Member{Name: vm.Name, AvailabilityZone: vm.AvailabilityZone, Address: netip.AddrPortFrom(vm.Address, n.Self.Address.Port())}
		if vm.AvailabilityZone != n.Self.AvailabilityZone {
			others[vm.AvailabilityZone] = append(others[vm.AvailabilityZone], m)
			continue
		}
		n.mu.Lock()
		n.table.Add(now, m)
		n.mu.Unlock()
	}
	for _, members := range others {
		n.addContacts(now, members)
	}
	n.mu.Lock()
	n.table.Forget(listed)
	n.mu.Unlock()
	if alone {
		n.greeted.Store(true)
	}
	if news {
		n.tellSome()
	}
}

// addContacts makes some processes of another zone known, different ones for
// each process of this zone.
func (n *Node) addContacts(now time.Time, members []member.Member) {
	for i := 0; i < contacts && len(members) > 0; i++ {
		name := member.Owner(fmt.Sprintf("contact/%s/%d", n.Self.Name, i), members)
		for k, m := range members {
			if m.Name != name {
				continue
			}
			n.mu.Lock()
			n.table.Add(now, m)
			n.mu.Unlock()
			members = append(members[:k:k], members[k+1:]...)
			break
		}
	}
}

// Timing of the work on claims.
const (
	finishTry   = 5 * time.Second
	finishPause = time.Second
)

// finisher repeats work on claims until the platform answers.
func (n *Node) finisher(ctx context.Context) error {
	for {
		work, err := n.finish.Pop(ctx)
		if err != nil {
			return err
		}
		for ctx.Err() == nil {
			try, cancel := context.WithTimeout(ctx, finishTry)
			err := work(try)
			cancel()
			if err == nil || store.Certain(err) && !isRefused(err) {
				break
			}
			timer.Wait(ctx, finishPause)
		}
	}
}
