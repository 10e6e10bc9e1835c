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
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Timing of reads from the platform.
const (
	// watchRetry is the delay before the next watch call after one that failed or
	// whose changes could not be applied. After a failed call, a random delay of up
	// to the same length is added, so that the processes do not call all at once.
	watchRetry = time.Second
	// ownerTimeout is how long a process waits until a configuration can be
	// fetched from its owner, before it reads the files from the platform itself.
	// It calls the owner every ownerPollInterval.
	ownerTimeout      = time.Second
	ownerPollInterval = 150 * time.Millisecond
)

// drainPrefix precedes the name of a VM or backend server in the key of its drain
// object, after the watch prefix of the deployment.
const drainPrefix = "drain/"

// drainRecord is the JSON value of a drain object, by which an operator marks a VM or a
// backend server as leaving or clears that mark.
type drainRecord struct {
	Name     string
	Sequence uint64
	Leaving  bool
}

// watchObjects is the task that watches the deployment's objects in the platform,
// which are the manifest of the configuration and the drains, and applies changes.
func (n *Node) watchObjects(ctx context.Context) error {
	prefix := apply.WatchPrefix(n.Deployment)
	var after uint64
	for ctx.Err() == nil {
		page, err := n.Platform.Watch(ctx, prefix, after, n.WatchFor)
		n.setPlatformReachable(ctx, err)
		if err != nil {
			timer.Wait(ctx, watchRetry+time.Duration(n.randomUint64()%uint64(watchRetry)))
			continue
		}
		done := true
		for _, object := range page.Objects {
			done = n.applyObject(ctx, prefix, object) && done
		}
		if !done {
			// Some changes could not be applied. Since after is not advanced, the
			// next call returns all of them again.
			timer.Wait(ctx, watchRetry)
			continue
		}
		for _, object := range page.Objects {
			after = max(after, object.Version)
		}
	}
	return ctx.Err()
}

// setPlatformReachable records whether a call to the platform succeeded. A change is
// added to the timeline, and the beginning of an outage is logged.
func (n *Node) setPlatformReachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if before := n.platformReachable.Swap(err == nil); before == (err == nil) {
		return
	}
	if err == nil {
		n.Trace.Add(trace.Event{Kind: trace.PlatformBack})
		return
	}
	n.Trace.Add(trace.Event{Kind: trace.PlatformLost, Detail: err.Error()})
	n.Log.Warn("the platform does not respond", zap.Error(err))
}

// applyObject applies a watched object. Invalid objects are logged and skipped, and
// objects with an unknown key are ignored. It returns false if the object has to be
// applied again later.
func (n *Node) applyObject(ctx context.Context, prefix string, object store.Object) bool {
	name := strings.TrimPrefix(object.Key, prefix)
	if strings.HasPrefix(name, drainPrefix) {
		var d drainRecord
		if err := json.Unmarshal(object.Value, &d); err != nil {
			n.Log.Error("drain object cannot be decoded", zap.String("Key", object.Key), zap.Error(err))
			return true
		}
		n.mergeLeave(drain.Entry{Name: d.Name, Source: drain.Operator, Sequence: d.Sequence, Leaving: d.Leaving})
		return true
	}
	if name != "manifest" {
		return true
	}
	manifest, err := apply.Decode(object.Value)
	if err != nil {
		n.Log.Error("manifest of the configuration cannot be decoded", zap.Error(err))
		return true
	}
	return n.loadConfig(ctx, manifest)
}

// loadConfig gets the files of a manifest, from the owner or else from the platform,
// and activates the configuration if it is newer than the active one. It returns
// false if a file could not be read from the platform.
func (n *Node) loadConfig(ctx context.Context, manifest apply.Manifest) bool {
	if manifest.Version <= n.Config.Version() {
		return true
	}
	files := n.activeFiles()
	n.fetchFromOwner(ctx, manifest, files)
	if manifest.Version <= n.Config.Version() {
		return true
	}
	for _, p := range manifest.Missing(files) {
		object, err := n.Platform.Get(ctx, apply.PieceKey(n.Deployment, p.Hash))
		if err != nil {
			n.Log.Warn("cannot get a configuration file from the platform", zap.String("Piece", p.Name), zap.Error(err))
			return false
		}
		files[p.Hash] = object.Value
	}
	n.activate(manifest, files)
	return true
}

// activeFiles returns the files of the active configuration by hash, in a map that
// the caller may change.
func (n *Node) activeFiles() map[string][]byte {
	files := map[string][]byte{}
	if config := n.Config.Current(); config != nil {
		for hash, data := range config.Pieces {
			files[hash] = data
		}
	}
	return files
}

// fetchFromOwner fetches a configuration from its owner, to save reads from the
// platform: in each zone only one process, selected by rendezvous hashing as the
// version's owner, reads the files from the platform, and the others fetch them from
// it. It returns once the version is active, or after ownerTimeout. It returns at
// once if this process is the owner or has all files already.
func (n *Node) fetchFromOwner(ctx context.Context, manifest apply.Manifest, files map[string][]byte) {
	key := fmt.Sprintf("config/%s/%d", n.Deployment, manifest.Version)
	zone := n.liveInZone()
	owner := member.Owner(key, zone)
	if owner == n.Self.Name || len(manifest.Missing(files)) == 0 {
		return
	}
	deadline := time.Now().Add(ownerTimeout)
	for time.Now().Before(deadline) && timer.Wait(ctx, ownerPollInterval) {
		for _, m := range zone {
			if m.Name == owner && n.fetchConfig(ctx, m.Address) >= manifest.Version {
				return
			}
		}
	}
}

// activate makes a configuration the active one if it is newer. A configuration with
// a missing or invalid file is logged and rejected.
func (n *Node) activate(manifest apply.Manifest, files map[string][]byte) {
	config, err := apply.Assemble(manifest, files)
	if err != nil {
		n.Trace.Add(trace.Event{Kind: trace.ConfigRefused, Detail: err.Error()})
		n.Log.Error("a configuration is refused", zap.Uint64("Version", manifest.Version), zap.Error(err))
		return
	}
	if !n.Config.Advance(config) {
		return
	}
	n.Estimates.Configure(n.Config.Current().Deployment)
	took := time.Since(manifest.At)
	n.Meters.Add("ConfigChanges", 1)
	n.Meters.Add("ConfigInForceMs", took.Milliseconds())
	n.Trace.Add(trace.Event{Kind: trace.ConfigInForce, Detail: fmt.Sprintf("version %d, %v after it was accepted", manifest.Version, took.Round(time.Millisecond))})
	n.pushToZone()
}

// pushFanout is the number of processes of the zone to which changes are pushed.
const pushFanout = 3

// pushToZone queues immediate exchanges with some processes of the zone, so that an
// important change does not wait for the next period. Each process that learns of
// the change from them does the same.
func (n *Node) pushToZone() {
	random := n.randomUint64()
	n.mu.Lock()
	targets := n.table.IndirectProbers("", pushFanout, random)
	n.mu.Unlock()
	for _, m := range targets {
		n.exchangeQueue.Push(m.Address)
	}
}

// pushToAllZones queues immediate exchanges with some processes of the zone and with
// one process of each other zone. Only the process where a change originates calls
// it.
func (n *Node) pushToAllZones() {
	n.pushToZone()
	random := n.randomUint64()
	n.mu.Lock()
	targets := n.table.ZoneContacts(random)
	n.mu.Unlock()
	for _, m := range targets {
		n.exchangeQueue.Push(m.Address)
	}
}

// fetchConfigs is the task that fetches configurations from the queued peers, which
// had newer ones.
func (n *Node) fetchConfigs(ctx context.Context) error {
	for {
		address, err := n.fetchQueue.Pop(ctx)
		if err != nil {
			return err
		}
		n.fetchConfig(ctx, address)
	}
}

// fetchConfig fetches a peer's configuration and activates it if it is newer. It
// returns the version that is active then, whether or not that succeeded.
func (n *Node) fetchConfig(ctx context.Context, address netip.AddrPort) uint64 {
	files := n.activeFiles()
	query := &wire.PieceQuery{Deployment: n.Deployment}
	for hash := range files {
		query.Have = append(query.Have, hash)
	}
	response, err := n.Peers.Pieces(ctx, address, query)
	if err != nil || len(response.Manifest) == 0 {
		return n.Config.Version()
	}
	manifest, err := apply.Decode(response.Manifest)
	if err != nil || manifest.Deployment != n.Deployment || manifest.Version <= n.Config.Version() {
		return n.Config.Version()
	}
	for _, p := range response.Pieces {
		files[p.Hash] = p.Data
	}
	n.activate(manifest, files)
	return n.Config.Version()
}

// Reads of the list of VMs.
const (
	// vmListReaders is how many processes of a zone read the list every ListEvery.
	// The other processes receive by gossip which VMs are leaving.
	vmListReaders = 2
	// backupReadEvery is the time between two reads by the other processes, in units
	// of ListEvery. They read the list in case the readers cannot.
	backupReadEvery = 12
)

// pollVMs is the task that reads the list of VMs and applies new revisions.
func (n *Node) pollVMs(ctx context.Context) error {
	var after uint64
	for turn := 0; ctx.Err() == nil; turn++ {
		if after == 0 || turn%backupReadEvery == 0 || n.readsVMList() {
			list, err := n.Platform.VMs(ctx, after)
			if err == nil && list.Revision > after {
				after = list.Revision
				n.applyVMList(list)
			}
		}
		timer.Wait(ctx, n.ListEvery)
	}
	return ctx.Err()
}

// readsVMList reports whether this process is one of the zone's vmListReaders, which
// are selected by rendezvous hashing.
func (n *Node) readsVMList() bool {
	zone := n.liveInZone()
	for i := range vmListReaders {
		if member.Owner(fmt.Sprintf("list/%d", i), zone) == n.Self.Name {
			return true
		}
	}
	return false
}

// contactsPerZone is how many processes of each other zone are added as contacts
// from a list of VMs.
const contactsPerZone = 2

// applyVMList applies a list of VMs. It merges which VMs are leaving, adds the entry
// VMs of the local zone and contacts in other zones to the members, and removes
// members that are gone and not listed any more.
func (n *Node) applyVMList(list store.List) {
	otherZones := map[string][]member.Member{}
	listed := map[string]bool{}
	now := time.Now()
	alone, changed := len(list.VMs) > 0, false
	for _, vm := range list.VMs {
		changed = n.mergeLeave(drain.Entry{Name: vm.Name, Source: drain.VMList, Sequence: list.Revision, Leaving: vm.Leaving}) || changed
		listed[vm.Name] = true
		if !vm.Entry {
			continue
		}
		alone = alone && (vm.Name == n.Self.Name || vm.AvailabilityZone != n.Self.AvailabilityZone)
		m := member.Member{Name: vm.Name, AvailabilityZone: vm.AvailabilityZone, Address: netip.AddrPortFrom(vm.Address, n.Self.Address.Port())}
		if vm.AvailabilityZone != n.Self.AvailabilityZone {
			otherZones[vm.AvailabilityZone] = append(otherZones[vm.AvailabilityZone], m)
			continue
		}
		n.mu.Lock()
		n.table.Add(now, m)
		n.mu.Unlock()
	}
	for _, members := range otherZones {
		n.addContacts(now, members)
	}
	n.mu.Lock()
	n.table.Forget(listed)
	n.mu.Unlock()
	if alone {
		n.synced.Store(true)
	}
	if changed {
		n.pushToZone()
	}
}

// addContacts adds contactsPerZone of another zone's processes to the members.
// Rendezvous hashing selects different ones for each process of the local zone.
func (n *Node) addContacts(now time.Time, members []member.Member) {
	for i := 0; i < contactsPerZone && len(members) > 0; i++ {
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

// Timing of deferred writes.
const (
	// deferredTimeout bounds one attempt.
	deferredTimeout = 5 * time.Second
	// deferredRetryDelay is the delay between two attempts.
	deferredRetryDelay = time.Second
)

// runDeferred is the task that makes deferred writes to the platform: updates of
// claims and records of drains. It retries a write that failed with store.ErrRefused
// or whose outcome is unknown, and begins the next one only after that.
func (n *Node) runDeferred(ctx context.Context) error {
	for {
		write, err := n.deferredQueue.Pop(ctx)
		if err != nil {
			return err
		}
		for ctx.Err() == nil {
			attemptCtx, cancel := context.WithTimeout(ctx, deferredTimeout)
			err := write(attemptCtx)
			cancel()
			if err == nil || store.NotWritten(err) && !isRefused(err) {
				break
			}
			timer.Wait(ctx, deferredRetryDelay)
		}
	}
}
