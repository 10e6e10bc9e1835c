package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// fleet is a system of processes with a store, which exchange status messages.
type fleet struct {
	store *troubledStore
	nodes []*Node
	tasks sync.WaitGroup
	end   context.CancelFunc
	// bound is the promise on leaving servers.
	bound time.Duration
	// offset returns when the nth task of a process begins.
	offset func(n int) time.Duration
}

// settled is how long after an outage the promises hold again.
const settled = 3 * time.Second

// startFleet starts so many processes, with an entry of each of so many backend servers.
func startFleet(t *testing.T, processes, servers int) *fleet {
	return startSlowFleet(t, processes, servers, 0)
}

// startSlowFleet is startFleet with a store whose answers take a time to arrive.
func startSlowFleet(t *testing.T, processes, servers int, answering time.Duration) *fleet {
	f := &fleet{store: newTroubledStore(), bound: 2 * time.Second, offset: func(int) time.Duration { return rand.N(time.Second) }}
	f.start(t, processes, servers, answering)
	return f
}

// start starts the processes.
func (f *fleet) start(t *testing.T, processes, servers int, answering time.Duration) {
	f.store.write(configObject(3))
	for i := range servers {
		f.store.write(entryOf(i, 1))
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.end = cancel
	for i := range processes {
		n := newNode(t)
		n.Name = fmt.Sprint("p", i)
		n.peers.Self = n.Name
		n.Feed, n.Store, n.WatchFor, n.LeaveWithin = laggingStore{f.store, answering}, f.store, 2*time.Second, f.bound
		n.observeStore()
		n.tableFollower.Feed, n.serversFollower.Feed = n.Feed, n.Feed
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			n.peers.Set(peers.Member{Name: other.Name, Address: n.Address})
		}
		f.run(ctx, n)
	}
}

// run runs the tasks of a process that keep its view of the store.
func (f *fleet) run(ctx context.Context, n *Node) {
	for i, do := range []func(context.Context) error{
		n.tableFollower.Run,
		n.serversFollower.Run,
		n.follower(n.Keys.QuarantineKind, quarantineView{n.quarantine}, n.membersPollTimeout, nil).Run,
		n.follower(n.Keys.OriginsKind, n.origins.defaults, n.membersPollTimeout, nil).Run,
		n.announce,
	} {
		f.tasks.Go(func() {
			time.Sleep(f.offset(i))
			_ = do(ctx)
		})
	}
	f.tasks.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(tickInterval)
			n.expireServers(time.Now())
			if i%10 != 0 {
				continue
			}
			for _, other := range f.nodes {
				if other != n {
					message, _ := n.composeStatus()
					other.handleStatus(message)
				}
			}
		}
	})
}

// close ends the tasks.
func (f *fleet) close() {
	f.end()
	f.tasks.Wait()
}

// uses returns the processes that use a backend server.
func (f *fleet) uses(server string) []string {
	var names []string
	for _, n := range f.nodes {
		for _, s := range n.roster.Service("s") {
			if s.ID == server {
				names = append(names, n.Name)
			}
		}
	}
	return names
}

// leave removes the entries of the first so many backend servers.
func (f *fleet) leave(servers int) {
	for i := range servers {
		f.store.write(store.Object{Key: fmt.Sprint("servers/i-", i)})
	}
}

// entryOf returns the entry of a backend server as it writes it for the nth time.
func entryOf(server, sequence int) store.Object {
	o := serverEntry(fmt.Sprint("i-", server), fmt.Sprintf(`,"Sequence":%d`, sequence))
	o.Value = []byte(strings.Replace(string(o.Value), "10.0.0.1", fmt.Sprint("10.0.1.", server), 1))
	return o
}
