package broker

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
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
	// entryDelay is the time after a start within which a backend server's entry arrives.
	entryDelay = 1500 * time.Millisecond
)

// Reconnect probes unreachable backend servers by connecting to them, so that no
// request is spent on that. It blocks until ctx ends and returns its error.
func (b *Broker) Reconnect(ctx context.Context) error {
	r := reconnector{broker: b, dialing: map[usage.Incarnation]bool{}, cutAt: map[string]time.Time{}, watched: map[string]bool{}, probed: map[probe]time.Time{}}
	defer r.attempts.Wait()
	for timer.Wait(ctx, reconnectInterval) {
		if b.Table() == nil {
			continue
		}
		undialable := b.Usage.Undialable()
		b.undialable.Store(int64(len(undialable)))
		r.logChanges(undialable)
		r.watch(time.Now())
		r.logLost()
		for _, i := range undialable {
			server, ok := b.Roster.Find(i.ID, i.Born)
			if ok {
				r.noteCut(time.Now(), server.Service)
			}
			if ok && !b.Usage.Get(time.Now(), server).Paused && r.reserve(i) {
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
	// watched has the services for whose backend servers Usage.Watch is on.
	watched map[string]bool
	// lost has the services of which no backend server can be reached.
	lost []string

	// mu guards dialing, which has the backend servers with an attempt in
	// progress, and cutAt, when services were last seen of which most could not be reached.
	mu      sync.Mutex
	dialing map[usage.Incarnation]bool
	cutAt   map[string]time.Time
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

// connect makes one attempt to connect, and pauses if it fails. A backend server that may have
// started with another software version is used once its new entry would be here: its streams
// would be taken for ones of the version in the old one, and go on at that. With the new entry
// it is another incarnation, which is used at once.
func (r *reconnector) connect(ctx context.Context, i usage.Incarnation, server roster.Server) {
	b := r.broker
	defer r.unreserve(i)
	b.Meters.Add("ReachTries", 1)
	b.Usage.MarkDialing(time.Now(), i)
	most := b.maxConnections(b.Table().Services[server.Service])
	err := b.Servers.Connect(ctx, server, most)
	if err == nil && r.mayHaveRestarted(time.Now(), server.Service) && timer.Wait(ctx, entryDelay) {
		// It may have ended once more.
		err = b.Servers.Connect(ctx, server, most)
	}
	if err == nil {
		b.Usage.MarkReachable(time.Now(), i)
		b.Dispatch(time.Now())
		return
	}
	b.Log.Debug("connection attempt failed", zap.String("Server", i.ID), zap.Int64("Born", i.Born), zap.Error(err))
	timer.Wait(ctx, reconnectPause)
}

// noteCut records that most backend servers of a service can't be reached: the links of this
// process may be cut.
func (r *reconnector) noteCut(now time.Time, service string) {
	if reach := r.broker.reach(service, software{}); 2*reach.Undialable > reach.All {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cutAt[service] = now
	}
}

// mayHaveRestarted reports whether a backend server of the service that can be reached again may
// have started anew, and clients may resume streams of it.
func (r *reconnector) mayHaveRestarted(now time.Time, service string) bool {
	r.mu.Lock()
	cut := now.Sub(r.cutAt[service]) < entryDelay
	r.mu.Unlock()
	t := r.broker.Table()
	return !cut && slices.ContainsFunc(t.Routes, func(route table.Route) bool {
		return route.Kind == table.Stream && route.Resumable && slices.ContainsFunc(route.Targets, func(t table.Target) bool { return t.Service == service })
	})
}
