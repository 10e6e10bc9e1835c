package broker

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

const (
	// probePause is the pause between two probes of a backend server that seems silent,
	// idlePause that after it has accepted one while it was idle.
	probePause = time.Second
	idlePause  = 10 * time.Second
	// maxProbes bounds the probes that begin in one reconnectInterval.
	maxProbes = 2
)

// probe is a connection to a backend server that is not repeated for the pause.
type probe struct {
	usage.Incarnation
	pause time.Duration
}

// probe connects to backend servers that are stalled. A sound one that is just slow accepts
// the connection; otherwise it counts as unreachable. While the links of this process may be
// cut, the idle ones are probed too.
func (r *reconnector) probe(ctx context.Context, now time.Time) {
	for p, until := range r.probed {
		if !now.Before(until) {
			delete(r.probed, p)
		}
	}
	begun := r.probeAll(ctx, now, r.broker.Usage.Stalled(now), probe{pause: probePause}, maxProbes)
	if begun < maxProbes && r.broker.mayBeCut() {
		r.probeAll(ctx, now, r.idle(now), probe{pause: idlePause}, maxProbes-begun)
	}
}

// probeAll begins up to most probes of backend servers that have not been probed lately, and
// returns how many. None of them is probed again for p.pause.
func (r *reconnector) probeAll(ctx context.Context, now time.Time, list []usage.Incarnation, p probe, most int) int {
	begun := 0
	for _, i := range list {
		p.Incarnation = i
		server, ok := r.broker.Roster.Find(i.ID, i.Born)
		if _, probed := r.probed[p]; !ok || probed || begun == most || !r.reserve(i) {
			continue
		}
		begun++
		r.probed[p] = now.Add(p.pause)
		r.attempts.Go(func() { r.probeOne(ctx, i, server) })
	}
	return begun
}

// mayBeCut reports whether connections to half of the backend servers of a service, or more,
// fail, though a peer reaches some of them.
func (b *Broker) mayBeCut() bool {
	if b.Carrier == nil || b.undialable.Load() == 0 {
		return false
	}
	for name := range b.Table().Services {
		if r := b.reach(name, software{}); (r.MayBeCut() || r.NoneDialable()) && b.Carrier.Choose(name, nil) != "" {
			return true
		}
	}
	return false
}

// idle lists the backend servers of all services that can be connected to as far as is
// known and have sent nothing lately.
func (r *reconnector) idle(now time.Time) []usage.Incarnation {
	var list []usage.Incarnation
	for name := range r.broker.Table().Services {
		for _, s := range r.broker.Roster.Service(name) {
			snapshot := r.broker.Usage.Get(now, s)
			if !snapshot.Undialable && !snapshot.Paused && now.Sub(snapshot.HeardAt) >= probePause {
				list = append(list, usage.Incarnation{ID: s.ID, Born: s.Born})
			}
		}
	}
	return list
}

// probeOne makes one attempt to connect. A limit of connections that is reached says nothing.
func (r *reconnector) probeOne(ctx context.Context, i usage.Incarnation, server roster.Server) {
	defer r.unreserve(i)
	b := r.broker
	b.Meters.Add("ReachTries", 1)
	err := b.Servers.Connect(ctx, server, b.maxConnections(b.Table().Services[server.Service]))
	if err != nil && ctx.Err() == nil && !errors.Is(err, call.ErrBusy) {
		b.Log.Debug("probe of a silent backend server failed", zap.String("Server", i.ID), zap.Int64("Born", i.Born), zap.Error(err))
		b.Usage.MarkUnreachable(time.Now(), server)
	}
}

// unreserve ends an attempt to connect.
func (r *reconnector) unreserve(i usage.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dialing, i)
}

// logLost logs each service whose last reachable backend server is lost, or of which one
// can be reached again.
func (r *reconnector) logLost() {
	lost := r.broker.servicesWhere(func(name string) bool { return r.broker.cutOff(name, software{}) })
	for _, name := range lost {
		if !slices.Contains(r.lost, name) {
			r.broker.Log.Warn("no backend server of a service can be reached, its requests go to peers", zap.String("Service", name))
		}
	}
	for _, name := range r.lost {
		if !slices.Contains(lost, name) {
			r.broker.Log.Info("backend servers of a service can be reached again", zap.String("Service", name))
		}
	}
	r.lost = lost
}
