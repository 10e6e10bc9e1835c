package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/claim"
)

// maxPlainResponse is the largest response body of a plain service, in bytes. A call with a
// longer one fails.
const maxPlainResponse = 16 << 20

// Timeouts of the store calls for claims.
const (
	claimTimeout  = 2 * time.Second  // for a claim, and for the first attempt to update it
	finishTimeout = 30 * time.Second // unused
)

// servePlain serves a call to a plain service.
func (c *Core) servePlain(ctx context.Context, id string, d *spec.Deployment, service spec.Service, path string, r Request) *Reply {
	r.Deadline = earlier(r.Deadline, time.Now().Add(service.Limit))
	if time.Until(r.Deadline) <= 0 {
		return rejection(400, retry.NotRun, "DeadlinePassed", "the deadline has passed", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	c.depositRetry(d)
	p := &plainCall{core: c, id: id, service: service, request: r, repeatable: service.Repeatable(r.Method, path)}
	if p.repeatable || r.Key == "" {
		reply, _ := p.run(ctx)
		return reply
	}
	return p.runClaimed(ctx, d)
}

// plainCall is a call to a plain service in progress. It is used by one goroutine.
type plainCall struct {
	core       *Core
	id         string
	service    spec.Service
	request    Request
	repeatable bool
	// excluded are the names of the servers that failed or rejected this call.
	excluded []string
	// kept is the body of the response, nil until there is one.
	kept *body
}

// runClaimed claims the call's idempotency key, runs the call and records its
// outcome. It does not run a call whose key was claimed by an earlier request.
func (p *plainCall) runClaimed(ctx context.Context, d *spec.Deployment) *Reply {
	c := p.core
	registry := &claim.Registry{Store: c.Store, Retention: d.KeyRetention, Prefix: "claim/" + d.Name + "/"}
	key := claim.Key{Account: p.request.Account, Key: p.request.Key, Digest: p.digest()}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	claimed, prior, err := registry.Claim(claimCtx, key, p.id, p.request.Deadline)
	cancel()
	switch {
	case errors.Is(err, claim.ErrMismatch):
		return rejection(422, retry.NotRun, "KeyMismatch", err.Error(), 0)
	case err != nil && d.KeyedWithoutPlatform == "SendOnce":
		// The deployment prefers a run without a claim to no run.
		c.Meters.Add("KeyedWithoutClaim", 1)
		reply, _ := p.run(ctx)
		return reply
	case err != nil:
		p.releaseClaim(registry, claimed)
		return rejection(503, retry.NotRun, "ClaimUnavailable", "the idempotency key could not be claimed: "+err.Error(), 2*time.Second)
	case prior != nil:
		return p.replay(prior)
	}
	c.Trace.Add(trace.Event{Kind: trace.Claimed, Request: p.id})
	reply, response := p.run(ctx)
	p.recordOutcome(registry, claimed, reply.Outcome, response)
	return reply
}

// digest returns a hash of the call's method, path and body.
func (p *plainCall) digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(p.request.Method + "\x00" + p.request.Path + "\x00")
	_, _ = digest.Write(p.request.Body)
	return digest.Sum64()
}

// recordOutcome updates the claim after its call: it releases the claim of a call
// that was not run, and stores the response of one that was. A claim whose call has
// an unknown outcome stays in progress, and counts as unknown after the deadline.
func (p *plainCall) recordOutcome(registry *claim.Registry, claimed *claim.Claim, outcome retry.Outcome, response *claim.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var err error
	switch {
	case outcome == retry.NotRun:
		err = registry.Release(ctx, claimed)
	case response != nil:
		err = registry.Finish(ctx, claimed, *response)
	}
	if err != nil {
		p.core.Meters.Add("ClaimsUnfinished", 1)
		p.deferClaimUpdate(func(ctx context.Context) error {
			if outcome == retry.NotRun {
				return registry.Release(ctx, claimed)
			}
			return registry.Finish(ctx, claimed, *response)
		})
	}
}

// releaseClaim releases a claim that may or may not have been stored.
func (p *plainCall) releaseClaim(registry *claim.Registry, claimed *claim.Claim) {
	if claimed == nil {
		return
	}
	p.deferClaimUpdate(func(ctx context.Context) error { return registry.Release(ctx, claimed) })
}

// deferClaimUpdate passes an update of a claim to Core.Defer, which retries it until
// the platform responds. It is counted as dropped if the queue is full.
func (p *plainCall) deferClaimUpdate(update func(ctx context.Context) error) {
	if p.core.Defer != nil && !p.core.Defer(update) {
		p.core.Meters.Add("ClaimsDropped", 1)
	}
}

// replay returns the reply to a call whose key was claimed by an earlier request:
// the stored response, or an error if there is none.
func (p *plainCall) replay(prior *claim.Record) *Reply {
	p.core.Trace.Add(trace.Event{Kind: trace.Replayed, Request: p.id, Detail: prior.State.String() + " of " + prior.Request})
	p.core.Meters.Add("Replayed", 1)
	switch {
	case prior.State == claim.Done && prior.Truncated:
		return rejection(200, retry.Run, "BodyNotKept", "the call has run; its answer was too large to be kept", 0)
	case prior.State == claim.Done:
		reply := jsonReply(prior.Status, prior.Body)
		reply.Fields = prior.Fields
		return reply
	case prior.OutcomeUnknown(time.Now()):
		return rejection(409, retry.Unknown, "Unknown", "an earlier arrival of this key may or may not have run", 0)
	}
	return rejection(409, retry.Unknown, "InProgress", "an earlier arrival of this key is in progress", time.Second)
}

// run sends the call, and retries it where that is safe. The response is nil if the
// reply is an error.
func (p *plainCall) run(ctx context.Context) (*Reply, *claim.Response) {
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		response, err := p.attempt(ctx, attempts > 1)
		if err == nil {
			p.core.quarantine.succeeded(time.Now(), p.request.content)
			reply := keptReply(response.Status, p.kept)
			reply.Fields = response.Fields
			p.core.Meters.Add("PlainAnswered", 1)
			p.core.Trace.Add(trace.Event{Kind: trace.Answered, Request: p.id})
			return reply, response
		}
		failure := retry.Failure{
			Rejected: errors.Is(err, errRejected) || errors.Is(err, errNoServer), Stage: call.StageOf(err), Repeatable: p.repeatable,
			MayHaveRun: mayHaveRun, Attempts: attempts, Left: time.Until(p.request.Deadline),
		}
		decision := p.core.decideRetry(failure)
		mayHaveRun = decision.Outcome == retry.Unknown
		waited := decision.Retry && timer.Wait(ctx, decision.Delay)
		if left := p.core.quarantined(p.request.content); waited && left > 0 {
			return rejectQuarantined(decision.Outcome, left), nil
		}
		if waited {
			p.core.Meters.Add("Retried", 1)
			p.core.Trace.Add(trace.Event{Kind: trace.Retried, Request: p.id, Detail: err.Error()})
			continue
		}
		return rejection(failureStatus(decision.Outcome), decision.Outcome, plainReason(decision, err), err.Error(), time.Second), nil
	}
}

// failureStatus returns the HTTP status of the reply to a request that failed.
func failureStatus(outcome retry.Outcome) int {
	if outcome == retry.NotRun {
		return 503
	}
	return 502
}

// plainReason returns the reason of the error reply after a failed call.
func plainReason(d retry.Decision, err error) string {
	if errors.Is(err, errNoServer) {
		return "NoServer"
	}
	if d.Retry {
		return retry.DeadlineNear.String()
	}
	return d.Reason.String()
}

// mismatched reports whether a response has another request's ID. A response
// without an ID is assumed to belong to the request sent on its connection.
func mismatched(response *engine.Response, id string) bool {
	for _, f := range response.Fields {
		if strings.EqualFold(f.Name, engine.IDHeader) {
			return f.Value != id
		}
	}
	return false
}

// errNoServer means that no server of the service is available for the call.
var errNoServer = errors.New("no server of the service may get the call now")

// attempt sends the call to one server and reads its response. again is set if it was sent
// before.
func (p *plainCall) attempt(ctx context.Context, again bool) (*claim.Response, error) {
	c := p.core
	server, ok := c.Estimates.PickServer(time.Now(), p.service.Name, p.excluded)
	if !ok && len(p.excluded) > 0 {
		p.excluded = nil
		server, ok = c.Estimates.PickServer(time.Now(), p.service.Name, nil)
	}
	if !ok {
		return nil, errNoServer
	}
	ticket := c.Estimates.Start(time.Now(), server.Name, stats.Work{})
	defer ticket.End()
	begun := c.quarantine.start(server.Name)
	c.Trace.Add(trace.Event{Kind: trace.Placed, Request: p.id, Engine: server.Name})
	outgoing := engine.Call{
		ID: p.id, Method: p.request.Method, Path: p.request.Path, Fields: p.request.Fields,
		Body: p.request.Body, AtMostOnce: !p.repeatable, Again: again, ReadTimeout: p.service.Limit,
	}
	response, err := c.Sender.Send(ctx, server, outgoing)
	if err != nil {
		p.excluded = append(p.excluded, server.Name)
		c.Estimates.RecordFailure(time.Now(), server.Name)
		c.checkBroken(ctx, begun, server, p.id, p.request.content, err)
		return nil, fmt.Errorf("call %s: %w", p.service.Name, err)
	}
	defer response.Body.Close()
	if mismatched(response, p.id) {
		c.Meters.Add("Crossed", 1)
		c.Trace.Add(trace.Event{Kind: trace.Crossed, Request: p.id, Engine: server.Name})
		return nil, fmt.Errorf("answer of %s: %w", p.service.Name, relay.ErrMismatched)
	}
	if response.NotRun {
		p.excluded = append(p.excluded, server.Name)
		return nil, errRejected
	}
	p.kept, err = c.readResponse(response.Body, maxPlainResponse)
	if err != nil {
		c.Estimates.RecordFailure(time.Now(), server.Name)
		c.checkBroken(ctx, begun, server, p.id, p.request.content, err)
		return nil, fmt.Errorf("answer of %s: %w", p.service.Name, err)
	}
	c.Estimates.RecordSuccess(server.Name)
	return &claim.Response{Status: response.Status, Fields: response.Fields, Body: p.kept.text}, nil
}
