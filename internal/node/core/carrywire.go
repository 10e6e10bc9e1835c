package core

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// refused returns the message that ends a request without a response.
func refused(outcome retry.Outcome, reason broker.Reason, attempts int) *wire.CarryReply {
	return &wire.CarryReply{Refused: &wire.Refusal{Outcome: uint32(outcome), Reason: string(reason), Attempts: uint32(attempts)}}
}

// decodeRefusal returns a refusal as an error. An outcome that is not known is Unknown.
func decodeRefusal(m *wire.Refusal) error {
	outcome := retry.Unknown
	if o := retry.Outcome(m.Outcome); o == retry.NotRun || o == retry.Run {
		outcome = o
	}
	return &broker.CarryError{Outcome: outcome, Reason: broker.Reason(m.Reason), Attempts: int(m.Attempts)}
}

// encodeCarried returns the message of a request that is handed over at the time now.
func encodeCarried(from string, now time.Time, c broker.Carried) *wire.CarriedRequest {
	r := c.Request
	q := &wire.CarriedRequest{
		From: from, ID: []byte(r.ID), Host: []byte(r.Host), Method: []byte(r.Method), Path: []byte(r.Path), Fields: encodeFields(r.Fields), BodyBytes: uint64(len(r.Body)),
		AgeMicroseconds: now.Sub(r.Arrived).Microseconds(), LeftMicroseconds: r.Deadline.Sub(now).Microseconds(),
		PromptTokens: uint64(max(r.PromptTokens, 0)), MaxOutputTokens: uint64(max(r.MaxOutputTokens, 0)), After: []byte(r.After), Origin: []byte(r.Origin),
		Service: c.Service, TableVersion: c.TableVersion, Attempts: uint32(c.Attempts), Failed: c.Failed, Bound: c.Bound, Software: c.Software,
		Kind: string(c.Kind), Repeatable: c.Repeatable, MaxAttempts: uint32(c.MaxAttempts),
		Hops: uint32(c.Hops), Authenticated: c.Authenticated, Account: c.Account, Priority: int32(c.Priority),
	}
	for _, p := range r.Parts {
		q.Parts = append(q.Parts, &wire.PromptPart{ID: []byte(p.ID), Tokens: uint32(max(p.Tokens, 0))})
	}
	return q
}

// decodeCarried returns the request of a message that was received at the time now.
func decodeCarried(now time.Time, q *wire.CarriedRequest, body []byte) broker.Carried {
	r := &broker.Request{
		ID: string(q.ID), Host: string(q.Host), Method: string(q.Method), Path: string(q.Path), Fields: decodeFields(q.Fields), Body: body,
		Arrived: now.Add(-microseconds(q.AgeMicroseconds)), Deadline: now.Add(microseconds(q.LeftMicroseconds)),
		PromptTokens: int(q.PromptTokens), MaxOutputTokens: int(q.MaxOutputTokens), After: string(q.After), Origin: string(q.Origin),
	}
	for _, p := range q.Parts {
		r.Parts = append(r.Parts, broker.Part{ID: string(p.ID), Tokens: int(p.Tokens)})
	}
	return broker.Carried{
		Request: r, Service: q.Service, TableVersion: q.TableVersion, Attempts: int(q.Attempts), Failed: q.Failed, Bound: q.Bound, Software: q.Software,
		Kind: table.Kind(q.Kind), Repeatable: q.Repeatable, MaxAttempts: int(q.MaxAttempts),
		Hops: int(min(q.Hops, broker.MaxHops)), Authenticated: q.Authenticated, Account: q.Account, Priority: int(q.Priority),
	}
}

func encodeFields(fields []call.Field) []*wire.HeaderField {
	list := make([]*wire.HeaderField, 0, len(fields))
	for _, f := range fields {
		list = append(list, &wire.HeaderField{Name: []byte(f.Name), Value: []byte(f.Value)})
	}
	return list
}

func decodeFields(list []*wire.HeaderField) []call.Field {
	fields := make([]call.Field, 0, len(list))
	for _, f := range list {
		fields = append(fields, call.Field{Name: string(f.Name), Value: string(f.Value)})
	}
	return fields
}
