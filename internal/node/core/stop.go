package core

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
)

// Phases of a planned stop. The load balancer checks readiness once a second and
// sends no new connections after two failed checks.
const (
	// balancerWait is how long new connections may still arrive.
	balancerWait = 2500 * time.Millisecond
	// stopMargin is how long before the forced end of the process Stop gives up
	// waiting, and refuses connections. lastWait is how long it then waits for those that
	// were accepted; it is longer than a new one may take to send its request.
	stopMargin = 500 * time.Millisecond
	lastWait   = 300 * time.Millisecond
	// replyWait is the part of lastWait in which requests that are still in progress are
	// answered with an error.
	replyWait        = 100 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// Stop performs a planned stop and returns within grace or when ctx ends. The
// process is no longer ready, but serves requests until all in progress have
// ended. If too few processes are ready, the load balancer keeps sending to all
// of them; therefore, after balancerWait or half of grace, only requests are
// accepted whose deadline is before the end of the stop. New connections are refused
// only at its end, and those that were accepted before are served. What is in progress after
// that was accepted early, or before, and gets an error.
func (n *Node) Stop(ctx context.Context, server *httpd.Server, grace time.Duration) {
	began := time.Now()
	end := began.Add(grace - stopMargin)
	n.stopping.Store(true)
	if n.accounting != nil {
		n.accounting.sendDue(began)
	}
	n.Broker.Close(began.Add(min(balancerWait, grace/2)), end)
	server.Drain()
	n.Log.Info("stopping", zap.Int("Active", server.Active()), zap.Int("Connections", server.Connections()), zap.Duration("Grace", grace))
	timer.Wait(ctx, min(balancerWait, grace/2))
	n.awaitEnd(ctx, server, end)
	refuseCtx, cancel := context.WithDeadline(ctx, began.Add(grace-lastWait))
	server.Refuse(refuseCtx)
	cancel()
	n.awaitEnd(ctx, server, time.Now().Add(lastWait-replyWait))
	server.CancelRequests(broker.ErrStopped)
	n.awaitEnd(ctx, server, time.Now().Add(replyWait))
	if n.accounting != nil {
		flushCtx, cancel := context.WithDeadline(ctx, began.Add(grace))
		n.accounting.Flush(flushCtx, time.Now())
		cancel()
	}
	n.Log.Info("stopped", zap.Int("Active", server.Active()), zap.Duration("Took", time.Since(began)))
}

// awaitEnd waits until there is neither a request, also none of a peer, nor a connection, or
// until a time or the end of ctx.
func (n *Node) awaitEnd(ctx context.Context, server *httpd.Server, until time.Time) {
	for time.Now().Before(until) {
		server.CloseIdle()
		if server.Active() == 0 && server.Connections() == 0 && n.carrier.serving.Load() == 0 || !timer.Wait(ctx, stopPollInterval) {
			return
		}
	}
}
