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
)

// departure is a backend server that was seen to leave.
type departure struct {
	id      string
	born    int64
	removed uint64
	until   time.Time
}

// departureLife is how long the others are told of a backend server that
// leaves: longer than a process may be without the store and still be trusted
// to know who is there.
const departureLife = 10 * time.Second

// depart notes a backend server that leaves, to tell the others, or that it is
// there after all.
func (n *Node) depart(c roster.Change) {
	left := c.What == roster.Left || c.What == roster.Gone || c.Server.State == roster.Leaving
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	kept := n.departures[:0]
	for _, d := range n.departures {
		if now.Before(d.until) && (d.id != c.Server.ID || d.born != c.Server.Born) {
			kept = append(kept, d)
		}
	}
	n.departures = kept
	if left {
		n.departures = append(kept, departure{c.Server.ID, c.Server.Born, c.Removed, now.Add(departureLife)})
	}
}

func (n *Node) mesh() *mesh.Mesh {
	return &mesh.Mesh{Conn: n.News, Others: n.peers.Others, Tell: n.news, Take: n.take, Meters: n.Meters, Log: n.Log}
}

// news is what this process tells the others, and whether it changed.
func (n *Node) news() (*wire.News, bool) {
	news := &wire.News{From: n.Name, Incarnation: n.incarnation, TableVersion: n.Version(), Stopping: n.stopping.Load()}
	n.usage.Each(func(id string, born int64, seen usage.Seen) {
		news.Loads = append(news.Loads, &wire.ServerLoad{
			Server: roster.Key(id, born), Running: uint32(seen.Running), Long: uint32(seen.Long), Reading: uint32(seen.Reading),
		})
	})
	news.Loads = most(news.Loads)
	for _, l := range news.Loads {
		l.Granted = uint32(n.Broker.Held(l.Server))
	}
	n.Broker.Lines(func(hash uint64, load peers.Load) {
		news.Lines = append(news.Lines, &wire.LineLoad{
			Line: hash, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Granted: uint32(load.Granted),
		})
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	news.Departures = n.departed(time.Now())
	digest := digest(news)
	fresh := digest != n.told
	n.told = digest
	n.sequence++
	news.Sequence = n.sequence
	return news, fresh
}

const (
	// maxLoads is how many backend servers a message has, those with the most
	// requests.
	maxLoads = 48
	// maxDepartures is how many that leave it has: half the newest, half others
	// in turn, so that each is told a few times while it matters. A message
	// that fits into one packet is lost less easily.
	maxDepartures = 16
)

// most shortens the loads to those that matter.
func most(loads []*wire.ServerLoad) []*wire.ServerLoad {
	if len(loads) <= maxLoads {
		return loads
	}
	slices.SortFunc(loads, func(a, b *wire.ServerLoad) int { return cmp.Compare(b.Running, a.Running) })
	return loads[:maxLoads]
}

// departed lists backend servers that leave, for one message.
func (n *Node) departed(now time.Time) []*wire.Departure {
	var list []*wire.Departure
	for _, d := range n.departures {
		if now.Before(d.until) {
			list = append(list, &wire.Departure{Server: d.id, Born: d.born, Removed: d.removed})
		}
	}
	if len(list) <= maxDepartures {
		return list
	}
	older := list[:len(list)-maxDepartures/2]
	told := list[len(older):]
	for range maxDepartures / 2 {
		n.turn = (n.turn + 1) % len(older)
		told = append(told, older[n.turn])
	}
	return told
}

// digest tells whether two messages say the same; the order of the loads is
// not kept, so that a message may seem new that is not.
func digest(news *wire.News) uint64 {
	data, err := proto.Marshal(news)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// take takes in another process's news.
func (n *Node) take(news *wire.News) {
	now := time.Now()
	n.coordinated(news)
	if news.Sequence == 0 {
		return
	}
	heard := n.peers.Heard()
	if !n.peers.Take(now, news) {
		return
	}
	if n.peers.Heard() > heard {
		n.Log.Info("process is heard", zap.String("Peer", news.From), zap.Uint64("Incarnation", news.Incarnation), zap.Uint64("Version", news.TableVersion))
	}
	for _, d := range news.Departures {
		for _, c := range n.roster.Leave(d.Server, d.Born, d.Removed) {
			n.Log.Info("backend server leaves, says another process", zap.String("Server", d.Server), zap.Int64("Born", d.Born),
				zap.Uint64("Removed", d.Removed), zap.String("Peer", news.From))
			n.tell([]roster.Change{c})
		}
	}
	if n.peers.Heard() <= peers.Few {
		// Among many messages come faster than it pays to look.
		n.Broker.Kick(now)
	}
}

const (
	// fetchEvery is how often it is looked whether another process has a newer
	// configuration. Once may be by chance; then the store is asked anew, and
	// if it has not answered at the fifth look, another process is.
	fetchEvery   = 100 * time.Millisecond
	pokeAt       = 2
	askAt        = 5
	fetchTimeout = 700 * time.Millisecond
)

// fetch gets a configuration from another process where the store does not
// bring it.
func (n *Node) fetch(ctx context.Context) error {
	behind := 0
	for timer.Wait(ctx, fetchEvery) {
		peer, found := n.peers.Newer(n.Version())
		if !found {
			behind = 0
			continue
		}
		if behind++; behind == pokeAt {
			n.tables.Poke()
		}
		if behind < askAt {
			continue
		}
		try, cancel := context.WithTimeout(ctx, fetchTimeout)
		answer, err := n.Peers.Table(try, peer.Address, &wire.TableQuery{Newer: n.Version()})
		cancel()
		if err != nil {
			n.Log.Info("configuration could not be fetched", zap.String("Peer", peer.Name), zap.Error(err))
			continue
		}
		if answer.Version > n.Version() {
			n.advance(answer.Data, peer.Name)
		}
	}
	return ctx.Err()
}

// Table implements the service for other processes.
func (n *Node) Table(_ context.Context, q *wire.TableQuery) (*wire.TableAnswer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Version() <= q.Newer {
		return &wire.TableAnswer{}, nil
	}
	return &wire.TableAnswer{Version: n.Version(), Data: n.document}, nil
}
