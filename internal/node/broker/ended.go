package broker

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

const (
	// endedCheckTimeout bounds the check whether a backend server has ended.
	endedCheckTimeout = time.Second
	// cutKnown is how long after a connection was refused it is known whether the links of
	// this process are cut.
	cutKnown = 400 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 64
)

// recordBroken records that a backend server broke off a request, and finds out whether it
// has ended.
func (b *Broker) recordBroken(server roster.Server, r *Request) {
	request := crash.Broken{At: time.Now(), ID: r.ID, Content: r.content, Parts: r.sharedParts()}
	b.mu.Lock()
	defer b.mu.Unlock()
	ended, check := b.endings.Break(usage.Incarnation{ID: server.ID, Born: server.Born}, server, request)
	if ended {
		b.reportEnded(server, []crash.Broken{request})
	}
	if check {
		go b.checkEnded(server)
	}
}

// checkEnded finds out whether a backend server has ended.
func (b *Broker) checkEnded(server roster.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	refused := errors.Is(b.Servers.Connect(ctx, server, 0), syscall.ECONNREFUSED)
	if refused {
		// It must not be used, though no request needs a connection while it is down, before
		// it is known which start accepts connections.
		b.Usage.MarkUnreachable(time.Now(), server)
	}
	if refused && b.Carrier != nil {
		// ctx is for the connection: what is left of it may be shorter.
		time.Sleep(cutKnown)
		refused = !b.cutAlone(server.Service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	requests := b.endings.Checked(time.Now(), usage.Incarnation{ID: server.ID, Born: server.Born}, refused)
	if len(requests) > 0 {
		b.markEnded(server, requests)
	}
}

// markEnded counts the end of a backend server and reports the requests in progress. b.mu
// must be held.
func (b *Broker) markEnded(server roster.Server, requests []crash.Broken) {
	b.Meters.Add("ServersEnded", 1)
	b.reportEnded(server, requests)
}

// reportEnded logs and reports the requests that were in progress at a backend server
// when it ended. b.mu must be held.
func (b *Broker) reportEnded(server roster.Server, requests []crash.Broken) {
	for _, r := range requests {
		b.Log.Info("backend server ended with a request in progress", zap.String("Server", server.ID), zap.Int64("Born", server.Born),
			zap.String("Request", r.ID), zap.String("Content", strconv.FormatUint(r.Content, 16)), zap.Int("PartsInAll", len(r.Parts)), zap.Strings("Parts", r.Parts[:min(len(r.Parts), maxLoggedParts)]))
		if b.Quarantine != nil {
			b.Quarantine.Crashed(r.At, server, r.Content, r.Parts)
		}
	}
}
