package broker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

const (
	// reachEvery is how often new backend servers that cannot be reached are
	// looked for.
	reachEvery = 20 * time.Millisecond
	// reachPause lies between two tries to reach the same one.
	reachPause = 100 * time.Millisecond
	// reachMost bounds the tries under way, and so what they cost where a whole
	// availability zone is cut off.
	reachMost = 32
)

// Reach connects to backend servers that could not be reached until they can,
// so that no request has to find out. It returns when ctx ends.
func (b *Broker) Reach(ctx context.Context) error {
	r := reacher{broker: b, under: map[usage.Incarnation]bool{}}
	defer r.tries.Wait()
	for timer.Wait(ctx, reachEvery) {
		if b.Table() == nil {
			continue
		}
		lost := b.Usage.Unreachable()
		r.tell(lost)
		for _, i := range lost {
			if server, ok := b.Roster.Find(i.ID, i.Born); ok && r.begin(i) {
				r.tries.Go(func() { r.try(ctx, i, server) })
			}
		}
	}
	return ctx.Err()
}

// reacher keeps which backend servers are being tried.
type reacher struct {
	broker *Broker
	tries  sync.WaitGroup
	// lost are those that could not be reached at the last look.
	lost map[usage.Incarnation]bool

	mu    sync.Mutex
	under map[usage.Incarnation]bool
}

// tell writes a line for each backend server that is lost, can be reached again,
// or has gone without.
func (r *reacher) tell(list []usage.Incarnation) {
	if len(list) == 0 && len(r.lost) == 0 {
		return
	}
	lost := make(map[usage.Incarnation]bool, len(list))
	for _, i := range list {
		lost[i] = true
		if !r.lost[i] {
			r.broker.Log.Info("backend server cannot be reached", zap.String("Server", i.ID), zap.Int64("Born", i.Born))
		}
	}
	for i := range r.lost {
		if lost[i] {
			continue
		}
		message := "backend server can be reached again"
		if _, there := r.broker.Roster.Find(i.ID, i.Born); !there {
			message = "lost backend server is forgotten"
		}
		r.broker.Log.Info(message, zap.String("Server", i.ID), zap.Int64("Born", i.Born))
	}
	r.lost = lost
}

// begin notes a try; it returns false if there is one or there are too many.
func (r *reacher) begin(i usage.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.under[i] || len(r.under) >= reachMost {
		return false
	}
	r.under[i] = true
	return true
}

// try tries once and pauses.
func (r *reacher) try(ctx context.Context, i usage.Incarnation, server roster.Server) {
	b := r.broker
	defer func() {
		r.mu.Lock()
		delete(r.under, i)
		r.mu.Unlock()
	}()
	b.Meters.Add("ReachTries", 1)
	b.Usage.Tried(time.Now(), i)
	err := b.Servers.Reach(ctx, server, b.maxOpen(b.Table().Services[server.Service]))
	if err == nil {
		b.Usage.Reached(time.Now(), i)
		b.Kick(time.Now())
		return
	}
	b.Log.Debug("connection did not come about", zap.String("Server", i.ID), zap.Int64("Born", i.Born), zap.Error(err))
	timer.Wait(ctx, reachPause)
}
