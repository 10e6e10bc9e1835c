package core

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/peer/mesh"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// departure is a report to the peers that a backend server is leaving or has left.
type departure struct {
	id   string
	born int64
	// removedRevision is the store revision at which the backend server's entry
	// was found removed; 0 if the backend server itself announced that it leaves.
	removedRevision uint64
	// sequence is that of its last entry.
	sequence uint64
	expires  time.Time
}

// departureTTL is how long a departure is sent to the peers. It is longer than a
// process can be without the store and still be expected to have a current list of
// backend servers.
const departureTTL = 10 * time.Second

// recordDeparture updates the departures that are sent to the peers: it adds the
// changed backend server if it leaves, and removes it otherwise. Departures that
// have expired are removed too.
func (n *Node) recordDeparture(c roster.Change) {
	leaving := c.Kind == roster.Left || c.Kind == roster.Gone || c.Server.State == roster.Leaving
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	kept := n.departures[:0]
	for _, d := range n.departures {
		if now.Before(d.expires) && (d.id != c.Server.ID || d.born != c.Server.Born) {
			kept = append(kept, d)
		}
	}
	n.departures = kept
	if leaving {
		n.departures = append(kept, departure{c.Server.ID, c.Server.Born, c.Removed, c.Server.Sequence, now.Add(departureTTL)})
	}
}

// markLeaving applies a departure that a peer reports. What a backend server reports
// itself, with no revision of a removal, holds for the whole incarnation.
func (n *Node) markLeaving(now time.Time, d *wire.Departure) []roster.Change {
	if d.Removed == 0 {
		return n.roster.Announce(now, d.Server, d.Born)
	}
	return n.roster.MarkLeaving(d.Server, d.Born, d.Removed, d.Sequence)
}

// mesh returns the datagram transport for messages to and from the peers.
func (n *Node) mesh() *mesh.Mesh {
	return &mesh.Mesh{Conn: n.StatusConn, Peers: n.peers.Peers, Compose: n.composeStatus, Handle: n.handleStatus, Meters: n.Meters, Log: n.Log}
}

// composeStatus returns the next status message to the peers and whether its
// content differs from that of the last one. A status message has this process's
// requests in progress at the busiest backend servers, its queues, and some of the
// departures.
func (n *Node) composeStatus() (*wire.News, bool) {
	message := &wire.News{From: n.Name, Incarnation: n.incarnation, TableVersion: n.Version(), Stopping: n.stopping.Load()}
	n.usage.Each(func(id string, born int64, snapshot usage.Snapshot) {
		message.Loads = append(message.Loads, &wire.ServerLoad{
			Server: roster.Key(id, born), Running: uint32(snapshot.Running), Long: uint32(snapshot.Long), Reading: uint32(snapshot.Prefills),
			Tokens: uint32(snapshot.PrefillTokens),
		})
	})
	message.TakesEnded = n.accounting != nil
	n.addPrompts(message)
	message.Loads = busiest(message.Loads)
	for _, l := range message.Loads {
		held := n.Broker.GrantsHeld(l.Server)
		l.Granted, l.GrantedReading, l.GrantedTokens = uint32(held.Requests), uint32(held.Prefills), uint32(held.Tokens)
	}
	n.Broker.Queues(func(hash uint64, load peers.Load) {
		message.Lines = append(message.Lines, &wire.LineLoad{
			Line: hash, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Granted: uint32(load.Granted),
		})
	})
	message.Limits = n.limitsTold(time.Now())
	message.Lost = n.lostTold()
	n.mu.Lock()
	defer n.mu.Unlock()
	message.Departures = n.departureBatch(time.Now(), message.TellsPrompts)
	digest := digest(message)
	changed := digest != n.lastDigest
	n.lastDigest = digest
	n.sequence++
	message.Sequence = n.sequence
	message.WallMs = n.wallClock()
	message.ConfirmedMs = n.confirmationAge(time.Now())
	if n.addGaps(time.Now(), message, changed) {
		changed = true
	}
	return message, changed
}

const (
	// maxLoads bounds the backend servers in a status message to those with the
	// most requests. It and maxDepartures keep the message within one packet,
	// which is lost less often than a fragmented datagram.
	maxLoads = 28
	// maxDepartures bounds the departures in a status message. Half of them are
	// the newest, the other half cycles through the older ones, so that each is
	// sent a few times before it expires.
	maxDepartures = 16
	// departuresBesidePrompts is maxDepartures in a message with prompts, which take up to
	// 8 bytes of each load.
	departuresBesidePrompts = 12
	// maxLimits bounds the rate limits in a status message. If there are more, some
	// are sent at random.
	maxLimits = 8
)

// maxLost bounds the lost services in a status message. If there are more, all count as
// lost.
const maxLost = 8

// lostTold returns the hashes of the services of which this process reaches no backend
// server.
func (n *Node) lostTold() []uint64 {
	names := n.Broker.Lost()
	if len(names) > maxLost {
		return []uint64{peers.LostAll}
	}
	var keys []uint64
	for _, name := range names {
		keys = append(keys, xxhash.Sum64String(name))
	}
	return keys
}

// limitEnded is the PerSecond of a limit that has ended.
const limitEnded = -1

// limitsTold returns the rate limits, and the ends of limits, of which the peers are told.
func (n *Node) limitsTold(now time.Time) []*wire.ServerLimit {
	var list []*wire.ServerLimit
	for _, l := range n.usage.LimitsTold(now) {
		if len(list) == maxLimits {
			break
		}
		perSecond := l.PerSecond
		if l.Ended {
			perSecond = limitEnded
		}
		list = append(list, &wire.ServerLimit{Server: l.ID, Born: l.Born, PerSecond: perSecond})
	}
	return list
}

// addPrompts adds the prompts that the backend servers hold for this process, if its configuration
// has them counted. Those that only keep a KV cache have no load before.
func (n *Node) addPrompts(message *wire.News) {
	if !n.Broker.CountsPrompts() {
		return
	}
	message.TellsPrompts = true
	n.Broker.Prompts(func(server uint64, tokens, granted int) {
		i := slices.IndexFunc(message.Loads, func(l *wire.ServerLoad) bool { return l.Server == server })
		if i < 0 {
			i = len(message.Loads)
			message.Loads = append(message.Loads, &wire.ServerLoad{Server: server})
		}
		message.Loads[i].PromptTokens, message.Loads[i].GrantedPromptTokens = uint32(tokens), uint32(granted)
	})
}

// busiest returns the maxLoads loads with the most running requests, and among equals
// with the most prompt tokens. It reorders loads if there are more.
func busiest(loads []*wire.ServerLoad) []*wire.ServerLoad {
	if len(loads) <= maxLoads {
		return loads
	}
	slices.SortFunc(loads, func(a, b *wire.ServerLoad) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.PromptTokens, a.PromptTokens))
	})
	return loads[:maxLoads]
}

// departureBatch returns the departures for one status message, at most
// maxDepartures, or fewer beside prompts. The caller must hold mu.
func (n *Node) departureBatch(now time.Time, prompts bool) []*wire.Departure {
	most := maxDepartures
	if prompts {
		most = departuresBesidePrompts
	}
	var list []*wire.Departure
	for _, d := range n.departures {
		if now.Before(d.expires) {
			list = append(list, &wire.Departure{Server: d.id, Born: d.born, Removed: d.removedRevision, Sequence: d.sequence})
		}
	}
	if len(list) <= most {
		return list
	}
	older := list[:len(list)-most/2]
	batch := list[len(older):]
	for range most / 2 {
		n.lastOlder = (n.lastOlder + 1) % len(older)
		batch = append(batch, older[n.lastOlder])
	}
	return batch
}

// digest returns a hash of the message. The loads have no fixed order, so two
// messages with the same content may have different digests; the only effect is
// that the second one is sent although nothing has changed.
func digest(message *wire.News) uint64 {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// handleStatus handles a message from a peer. A message without a sequence number
// has only permit requests, grants and releases. Stale status messages are ignored.
func (n *Node) handleStatus(message *wire.News) {
	now := time.Now()
	n.handleCoordination(message)
	n.quarantine.handle(now, message)
	n.origins.handle(now, message)
	if n.accounting != nil {
		n.accounting.handle(now, message)
	}
	if message.Sequence == 0 {
		return
	}
	live := n.peers.Live()
	if !n.peers.Apply(now, message) {
		return
	}
	n.confirmByPeer(now, message)
	n.hearGaps(now, message.Gaps)
	if n.peers.Live() > live {
		n.Log.Info("process is live", zap.String("Peer", message.From), zap.Uint64("Incarnation", message.Incarnation), zap.Uint64("Version", message.TableVersion))
		n.quarantine.tellAllWithdrawnTo(now, message.From)
	}
	for _, l := range message.Limits {
		if l.PerSecond < 0 {
			n.Broker.HearLimitEnd(l.Server, l.Born)
			continue
		}
		n.Broker.HearLimit(l.Server, l.Born, l.PerSecond)
	}
	for _, d := range message.Departures {
		for _, c := range n.markLeaving(now, d) {
			n.Log.Info("backend server is leaving, reported by another process", zap.String("Server", d.Server), zap.Int64("Born", d.Born),
				zap.Uint64("Removed", store.Revision(d.Removed)), zap.String("Peer", message.From))
			n.handleChanges([]roster.Change{c})
		}
	}
}

const (
	// fetchInterval is the period at which the peers' configuration versions are
	// checked. A newer one is normally about to arrive from the store as well. If
	// relistAfter checks in a row find one, the configuration is listed from the
	// store again; after fetchAfter checks in a row it is fetched from a peer.
	// fetchTimeout bounds each call to the peer.
	fetchInterval = 100 * time.Millisecond
	relistAfter   = 2
	fetchAfter    = 5
	fetchTimeout  = 700 * time.Millisecond
)

// fetch is the task that fetches a newer configuration from a peer when the store
// does not deliver it in time.
func (n *Node) fetch(ctx context.Context) error {
	behind := 0
	for timer.Wait(ctx, fetchInterval) {
		peer, found := n.peers.NewerConfig(n.Version())
		if !found {
			behind = 0
			continue
		}
		if behind++; behind == relistAfter {
			n.tableFollower.Relist()
		}
		if behind < fetchAfter {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		response, err := n.Peers.Table(fetchCtx, peer.Address, &wire.TableQuery{Newer: n.Version()})
		cancel()
		if err != nil {
			n.Log.Info("configuration could not be fetched", zap.String("Peer", peer.Name), zap.Error(err))
			continue
		}
		if response.Version > n.Version() {
			// With StrictRevoke the next status message of a peer confirms it.
			n.activate(response.Data, peer.Name)
		}
	}
	return ctx.Err()
}

// Table implements wire.DRPCEntryServer. It returns the active configuration if it
// is newer than q.Newer, else a response with Version 0. It never fails.
func (n *Node) Table(_ context.Context, q *wire.TableQuery) (*wire.TableAnswer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Version() <= q.Newer || n.document == nil {
		return &wire.TableAnswer{}, nil
	}
	return &wire.TableAnswer{Version: n.Version(), Data: n.document}, nil
}
