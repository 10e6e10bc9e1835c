package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Engines reads the reports of engines and sends them orders.
type Engines interface {
	Report(ctx context.Context, server spec.BackendServer, since uint64) (engine.Report, error)
	Order(ctx context.Context, server spec.BackendServer, order engine.Order) error
}

// Authority is the planner's lease. Grant returns false if this process does not
// hold it.
type Authority interface {
	Grant() (lease.Grant, bool)
}

// Drainer makes all processes stop sending new requests to an engine, or resume.
// The call with the highest sequence applies; a later lease holder's sequences
// are higher.
type Drainer interface {
	SetDraining(name string, sequence uint64, draining bool)
}

// Reconciler brings engines to their planned state while this process holds
// the planner's lease. The exported fields must be set before use. It is not safe
// for concurrent use.
type Reconciler struct {
	Deployment string
	Store      store.Writer
	Engines    Engines
	Authority  Authority
	Drainer    Drainer
	Trace      *trace.Timeline

	fence   uint64
	counter uint64
	engines map[string]*engineState
}

// engineState is the state of the order of one engine. It is discarded when the
// fencing token changes.
type engineState struct {
	// intent and version are those of the stored record; valid if read is set.
	intent        Intent
	version       uint64
	read          bool
	drainingSince time.Time
	sentAt        time.Time
	report        engine.Report
	reportAt      time.Time
}

// Busy returns the number of engines with an open order.
func (r *Reconciler) Busy() int {
	n := 0
	for _, s := range r.engines {
		if s.intent.Open() {
			n++
		}
	}
	return n
}

// Open returns the open intent of an engine, and false if there is none or it has
// not been read from the store.
func (r *Reconciler) Open(name string) (Intent, bool) {
	s, ok := r.engines[name]
	if !ok || !s.intent.Open() {
		return Intent{}, false
	}
	return s.intent, true
}

// Last returns the last intent of an engine, which it reads from the store if it
// is not known; its ID is empty if there is none. It returns false if this
// process does not hold the lease.
func (r *Reconciler) Last(ctx context.Context, name string) (Intent, bool, error) {
	grant, ok := r.Authority.Grant()
	if !ok {
		return Intent{}, false, nil
	}
	r.reset(grant.Fence)
	s := r.state(name)
	if !s.read {
		if err := r.load(ctx, name, s); err != nil {
			return Intent{}, false, fmt.Errorf("load intent: %w", err)
		}
	}
	return s.intent, true, nil
}

// Step carries out the next action for an engine and returns it. want is the
// planned state; nil if no change is planned. Without the lease it does nothing
// and returns Wait. After an error the caller should call it again.
func (r *Reconciler) Step(ctx context.Context, server spec.BackendServer, want *Want, reason string) (Action, error) {
	if _, ok, err := r.Last(ctx, server.Name); !ok || err != nil {
		return Wait, err
	}
	grant, ok := r.Authority.Grant()
	if !ok || grant.Fence != r.fence {
		return Wait, nil
	}
	s := r.state(server.Name)
	if want != nil || s.intent.Open() {
		r.readReport(ctx, server, s)
	}
	in := Input{
		Now: time.Now(), Intent: s.intent, Fence: grant.Fence, DrainingSince: s.drainingSince,
		Report: s.report, ReportAt: s.reportAt, SentAt: s.sentAt,
	}
	if want != nil {
		in.Want, in.Wanted = *want, true
	}
	action := Next(in)
	if err := r.execute(ctx, action, server, s, grant, want, reason); err != nil {
		return action, fmt.Errorf("%s order for engine %s: %w", action, server.Name, err)
	}
	return action, nil
}

// reset discards all state if the fencing token is a new one.
func (r *Reconciler) reset(fence uint64) {
	if fence == r.fence && r.engines != nil {
		return
	}
	r.fence, r.counter, r.engines = fence, 0, map[string]*engineState{}
}

// state returns the state of an engine, which it creates if there is none.
func (r *Reconciler) state(name string) *engineState {
	s := r.engines[name]
	if s == nil {
		s = &engineState{}
		r.engines[name] = s
	}
	return s
}

// key returns the store's key of an engine's intent.
func (r *Reconciler) key(name string) string { return "order/" + r.Deployment + "/" + name }

// load reads an engine's intent from the store.
func (r *Reconciler) load(ctx context.Context, name string, s *engineState) error {
	object, err := r.Store.Get(ctx, r.key(name))
	if errors.Is(err, store.ErrAbsent) {
		s.intent, s.version, s.read = Intent{}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(object.Value, &s.intent); err != nil {
		return fmt.Errorf("decode intent of %s: %w", name, err)
	}
	s.version, s.read = object.Version, true
	return nil
}

// readReport requests the engine's report. reportAt is the time before the
// request, so that the report is at most MaxReportAge older than that. The last
// report is kept if the request fails.
func (r *Reconciler) readReport(ctx context.Context, server spec.BackendServer, s *engineState) {
	requestedAt := time.Now()
	report, err := r.Engines.Report(ctx, server, engine.NoEvents)
	if err == nil {
		s.report, s.reportAt = report, requestedAt
	}
}

// execute carries out an action.
func (r *Reconciler) execute(ctx context.Context, action Action, server spec.BackendServer, s *engineState, grant lease.Grant, want *Want, reason string) error {
	switch action {
	case Intend:
		next := Intent{ID: uuid.NewString(), Engine: server.Name, Fence: grant.Fence, Want: *want, Declared: server.Role, State: Intended, Reason: reason}
		return r.record(ctx, s, next, trace.OrderIntended)
	case Empty:
		s.drainingSince = time.Now()
		r.setDraining(server.Name, true)
	case Commit:
		next := s.intent
		next.State = Sending
		if err := r.record(ctx, s, next, trace.OrderSent); err != nil {
			return err
		}
		return r.send(ctx, server, s)
	case Send:
		return r.send(ctx, server, s)
	case Adopt:
		next := s.intent
		next.ID, next.Fence, next.Declared = uuid.NewString(), grant.Fence, server.Role
		s.sentAt = time.Time{}
		r.setDraining(server.Name, true)
		return r.record(ctx, s, next, trace.OrderIntended)
	case Confirm:
		return r.finish(ctx, server.Name, s, Confirmed, trace.OrderConfirmed)
	case Abandon:
		return r.finish(ctx, server.Name, s, Abandoned, trace.OrderAbandoned)
	}
	return nil
}

// finish records the end of an order and stops draining the engine.
func (r *Reconciler) finish(ctx context.Context, name string, s *engineState, state State, kind trace.Kind) error {
	next := s.intent
	next.State = state
	if err := r.record(ctx, s, next, kind); err != nil {
		return err
	}
	s.drainingSince, s.sentAt = time.Time{}, time.Time{}
	r.setDraining(name, false)
	return nil
}

// setDraining starts or stops the draining of an engine.
func (r *Reconciler) setDraining(name string, draining bool) {
	r.counter++
	r.Drainer.SetDraining(name, r.fence<<counterBits|r.counter, draining)
}

// counterBits is the number of low bits of a sequence that count the calls of
// SetDraining under one fencing token.
const counterBits = 24

// record writes the intent. After a conflict or an unknown outcome the record is
// read again before the next action.
func (r *Reconciler) record(ctx context.Context, s *engineState, next Intent, kind trace.Kind) error {
	next.Write = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	object := store.Object{Key: r.key(next.Engine), Value: value, Version: s.version}
	version, err := store.Settle(ctx, r.Store, object, func(value []byte) bool {
		var found Intent
		return json.Unmarshal(value, &found) == nil && found.Write == next.Write
	})
	if err != nil {
		s.read = false
		return err
	}
	s.intent, s.version = next, version
	r.Trace.Add(trace.Event{Kind: kind, Engine: next.Engine, Detail: fmt.Sprintf("%s %s fence %d: %s", next.ID, next.Want.Role, next.Fence, next.Reason)})
	return nil
}

// send sends the order if this process still holds the lease. Nothing is written
// to the connection after the end of the grant.
func (r *Reconciler) send(ctx context.Context, server spec.BackendServer, s *engineState) error {
	grant, ok := r.Authority.Grant()
	if !ok || grant.Fence != s.intent.Fence {
		r.Trace.Add(trace.Event{Kind: trace.OrderHeldBack, Engine: server.Name, Detail: s.intent.ID})
		return nil
	}
	s.sentAt = time.Now()
	order := engine.Order{ID: s.intent.ID, Fence: s.intent.Fence, Role: s.intent.Want.Role, Load: s.intent.Want.Models, SendBefore: grant.Until}
	return r.Engines.Order(ctx, server, order)
}
