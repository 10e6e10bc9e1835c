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
	// reconnectInterval is the interval at which the unreachable backend servers
	// are listed.
	reconnectInterval = 20 * time.Millisecond
	// reconnectPause is the pause between two attempts to connect to the same
	// backend server.
	reconnectPause = 100 * time.Millisecond
	// maxReconnects bounds the concurrent attempts to connect, which limits the
	// cost when a whole availability zone is unreachable.
	maxReconnects = 32
)

// Reconnect probes unreachable backend servers by connecting to them, so that no
// request is spent on that. It blocks until ctx ends and returns its error.
func (b *Broker) Reconnect(ctx context.Context) error {
	r := reconnector{broker: b, dialing: map[usage.Incarnation]bool{}, probed: map[probe]time.Time{}}
	defer r.attempts.Wait()
	for timer.Wait(ctx, reconnectInterval) {
		if b.Table() == nil {
			continue
		}
		undialable := b.Usage.Undialable()
		b.undialable.Store(int64(len(undialable)))
		r.logChanges(undialable)
		r.logLost()
		for _, i := range undialable {
			if server, ok := b.Roster.Find(i.ID, i.Born); ok && !b.Usage.Get(time.Now(), server).Paused && r.reserve(i) {
				r.attempts.Go(func() { r.connect(ctx, i, server) })
			}
		}
		r.probe(ctx, time.Now())
	}
	return ctx.Err()
}

// reconnector tracks the attempts to connect.
type reconnector struct {
	broker   *Broker
	attempts sync.WaitGroup
	// undialable has the backend servers of the last list.
	undialable map[usage.Incarnation]bool
	// probed is until when each probe of a backend server that seemed silent is not repeated.
	probed map[probe]time.Time
	// lost has the services of which no backend server can be reached.
	lost []string

	// mu guards dialing, which has the backend servers with an attempt in
	// progress.
	mu      sync.Mutex
	dialing map[usage.Incarnation]bool
}

// logChanges logs each backend server that has become unreachable, is reachable
// again, or has left while unreachable.
func (r *reconnector) logChanges(list []usage.Incarnation) {
	if len(list) == 0 && len(r.undialable) == 0 {
		return
	}
	current := make(map[usage.Incarnation]bool, len(list))
	for _, i := range list {
		current[i] = true
		if !r.undialable[i] {
			r.broker.Log.Info("backend server cannot be reached", zap.String("Server", i.ID), zap.Int64("Born", i.Born))
		}
	}
	for i := range r.undialable {
		if current[i] {
			continue
		}
		message := "backend server can be reached again"
		if _, found := r.broker.Roster.Find(i.ID, i.Born); !found {
			message = "unreachable backend server has left"
		}
		r.broker.Log.Info(message, zap.String("Server", i.ID), zap.Int64("Born", i.Born))
	}
	r.undialable = current
}

// reserve registers an attempt to connect. It returns false if the backend server
// has one in progress, or maxReconnects are.
func (r *reconnector) reserve(i usage.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dialing[i] || len(r.dialing) >= maxReconnects {
		return false
	}
	r.dialing[i] = true
	return true
}

// connect makes one attempt to connect, and pauses if it fails.
func (r *reconnector) connect(ctx context.Context, i usage.Incarnation, server roster.Server) {
	b := r.broker
	defer r.unreserve(i)
	b.Meters.Add("ReachTries", 1)
	b.Usage.MarkDialing(time.Now(), i)
	err := b.Servers.Connect(ctx, server, b.maxConnections(b.Table().Services[server.Service]))
	if err == nil {
		b.Usage.MarkReachable(time.Now(), i)
		b.Dispatch(time.Now())
		return
	}
	b.Log.Debug("connection attempt failed", zap.String("Server", i.ID), zap.Int64("Born", i.Born), zap.Error(err))
	timer.Wait(ctx, reconnectPause)
}
