package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/route/relay"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/state/claim"
)

// maxPlainResponse is the largest answer of a plain service, in bytes.
const maxPlainResponse = 16 << 20

// Timing of claims.
const (
	claimTimeout  = 2 * time.Second
	finishTimeout = 30 * time.Second
)

// servePlain serves a call of a plain service.
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

// plainCall is a call of a plain service under way.
type plainCall struct {
	core       *Core
	id         string
	service    spec.Service
	request    Request
	repeatable bool
	excluded   []string
}

// runClaimed claims the call's key before it is run.
func (p *plainCall) runClaimed(ctx context.Context, d *spec.Deployment) *Reply {
	c := p.core
	book := &claim.Book{Store: c.Store, Retention: d.KeyRetention, Prefix: "claim/" + d.Name + "/"}
	key := claim.Key{Account: p.request.Account, Key: p.request.Key, Digest: p.digest()}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	made, prior, err := book.Claim(claimCtx, key, p.id, p.request.Deadline)
	cancel()
	switch {
	case errors.Is(err, claim.ErrMismatch):
		return rejection(422, retry.NotRun, "KeyMismatch", err.Error(), 0)
	case err != nil && d.KeyedWithoutPlatform == "SendOnce":
		// The deployment prefers a run without the record to no run.
		c.Meters.Add("KeyedWithoutClaim", 1)
		reply, _ := p.run(ctx)
		return reply
	case err != nil:
		p.releaseClaim(book, made)
		return rejection(503, retry.NotRun, "ClaimUnavailable", "the idempotency key could not be claimed: "+err.Error(), 2*time.Second)
	case prior != nil:
		return p.replay(prior)
	}
	c.Trace.Add(trace.Event{Kind: trace.Claimed, Request: p.id})
	reply, answer := p.run(ctx)
	p.recordOutcome(book, made, reply.Outcome, answer)
	return reply
}

func (p *plainCall) digest() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(p.request.Method + "\x00" + p.request.Path + "\x00")
	_, _ = digest.Write(p.request.Body)
	return digest.Sum64()
}

// recordOutcome records what became of a claimed call. A call of unknown outcome stays
// in progress and is reported as unknown after its deadline.
func (p *plainCall) recordOutcome(book *claim.Book, made *claim.Claim, outcome retry.Outcome, answer *claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var err error
	switch {
	case outcome == retry.NotRun:
		err = book.Release(ctx, made)
	case answer != nil:
		err = book.Finish(ctx, made, *answer)
	}
	if err != nil {
		p.core.Meters.Add("ClaimsUnfinished", 1)
		p.deferClaimUpdate(func(ctx context.Context) error {
			if outcome == retry.NotRun {
				return book.Release(ctx, made)
			}
			return book.Finish(ctx, made, *answer)
		})
	}
}

// releaseClaim releases a claim that may or may not have been made.
func (p *plainCall) releaseClaim(book *claim.Book, made *claim.Claim) {
	if made == nil {
		return
	}
	p.deferClaimUpdate(func(ctx context.Context) error { return book.Release(ctx, made) })
}

// deferClaimUpdate hands work on a claim to the duty that repeats it until the platform
// answers.
func (p *plainCall) deferClaimUpdate(work func(ctx context.Context) error) {
	if p.core.Later != nil && !p.core.Later(work) {
		p.core.Meters.Add("ClaimsDropped", 1)
	}
}

// replay answers a second arrival of a key.
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
	case prior.Lost(time.Now()):
		return rejection(409, retry.Unknown, "Unknown", "an earlier arrival of this key may or may not have run", 0)
	}
	return rejection(409, retry.Unknown, "InProgress", "an earlier arrival of this key is in progress", time.Second)
}

// run sends the call, and again where that is safe. The answer is nil unless
// the call has run.
func (p *plainCall) run(ctx context.Context) (*Reply, *claim.Answer) {
	for tries := 1; ; tries++ {
		answer, err := p.attempt(ctx)
		if err == nil {
			reply := jsonReply(answer.Status, answer.Body)
			reply.Fields = answer.Fields
			p.core.Meters.Add("PlainAnswered", 1)
			p.core.Trace.Add(trace.Event{Kind: trace.Answered, Request: p.id})
			return reply, answer
		}
		failure := retry.Failure{
			Refused: errors.Is(err, errRejected) || errors.Is(err, errNoServer), Stage: call.StageOf(err), Repeatable: p.repeatable,
			Tries: tries, Left: time.Until(p.request.Deadline),
		}
		decision := p.core.decideRetry(failure)
		if decision.Again && timer.Wait(ctx, decision.Delay) {
			p.core.Meters.Add("Retried", 1)
			p.core.Trace.Add(trace.Event{Kind: trace.Retried, Request: p.id, Detail: err.Error()})
			continue
		}
		status := 503
		if decision.Outcome != retry.NotRun {
			status = 502
		}
		return rejection(status, decision.Outcome, plainReason(decision, err), err.Error(), time.Second), nil
	}
}

func plainReason(d retry.Decision, err error) string {
	if errors.Is(err, errNoServer) {
		return "NoServer"
	}
	if d.Again {
		return retry.DeadlineNear.String()
	}
	return d.Reason.String()
}

// mismatched reports whether an answer carries another request's identity. Servers
// that do not return the identity are trusted to keep to their connection.
func mismatched(answer *engine.Answer, id string) bool {
	for _, f := range answer.Fields {
		if strings.EqualFold(f.Name, engine.IDHeader) {
			return f.Value != id
		}
	}
	return false
}

// errNoServer says that no server of a service may get the call now.
var errNoServer = errors.New("no server of the service may get the call now")

// attempt sends the call to one server.
func (p *plainCall) attempt(ctx context.Context) (*claim.Answer, error) {
	c := p.core
	server, ok := c.Board.Plain(time.Now(), p.service.Name, p.excluded)
	if !ok && len(p.excluded) > 0 {
		p.excluded = nil
		server, ok = c.Board.Plain(time.Now(), p.service.Name, nil)
	}
	if !ok {
		return nil, errNoServer
	}
	ticket := c.Board.Start(time.Now(), server.Name, board.Work{})
	defer ticket.End()
	c.Trace.Add(trace.Event{Kind: trace.Placed, Request: p.id, Engine: server.Name})
	sent := engine.Call{
		ID: p.id, Method: p.request.Method, Path: p.request.Path, Fields: p.request.Fields,
		Body: p.request.Body, Once: !p.repeatable, ReadTimeout: p.service.Limit,
	}
	answer, err := c.Sender.Send(ctx, server, sent)
	if err != nil {
		p.excluded = append(p.excluded, server.Name)
		c.Board.Failed(time.Now(), server.Name)
		return nil, fmt.Errorf("call %s: %w", p.service.Name, err)
	}
	defer answer.Body.Close()
	if mismatched(answer, p.id) {
		c.Meters.Add("Crossed", 1)
		c.Trace.Add(trace.Event{Kind: trace.Crossed, Request: p.id, Engine: server.Name})
		return nil, fmt.Errorf("answer of %s: %w", p.service.Name, relay.ErrCrossed)
	}
	if answer.NotRun {
		p.excluded = append(p.excluded, server.Name)
		return nil, errRejected
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlainResponse))
	if err != nil {
		c.Board.Failed(time.Now(), server.Name)
		return nil, fmt.Errorf("answer of %s: %w", p.service.Name, err)
	}
	c.Board.Worked(server.Name)
	return &claim.Answer{Status: answer.Status, Fields: answer.Fields, Body: body}, nil
}
