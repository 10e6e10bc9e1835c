package core

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
)

// Phases of a planned stop. The load balancer checks readiness once a second and
// sends no new connections after two failed checks.
const (
	// balancerWait is how long new connections may still arrive.
	balancerWait = 2500 * time.Millisecond
	// stopMargin is how long before the forced end of the process Stop gives up
	// waiting.
	stopMargin       = 500 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// Stop performs a planned stop and returns within grace or when ctx ends. The
// process is no longer ready, but serves requests until all in progress have
// ended. If too few processes are ready, the load balancer keeps sending to all
// of them; therefore, after balancerWait or half of grace, only requests are
// accepted whose deadline is before the end of the stop.
func (n *Node) Stop(ctx context.Context, server *httpd.Server, grace time.Duration) {
	began := time.Now()
	end := began.Add(grace - stopMargin)
	n.stopping.Store(true)
	n.Broker.Close(began.Add(min(balancerWait, grace/2)), end)
	server.Drain()
	n.Log.Info("stopping", zap.Int("Active", server.Active()), zap.Int("Connections", server.Connections()), zap.Duration("Grace", grace))
	timer.Wait(ctx, min(balancerWait, grace/2))
	for time.Now().Before(end) {
		server.CloseIdle()
		if server.Active() == 0 && server.Connections() == 0 && n.carrier.serving.Load() == 0 {
			break
		}
		if !timer.Wait(ctx, stopPollInterval) {
			break
		}
	}
	n.Log.Info("stopped", zap.Int("Active", server.Active()), zap.Duration("Took", time.Since(began)))
}
