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

// Engines reads and orders engines.
type Engines interface {
	Report(ctx context.Context, server spec.BackendServer, since uint64) (engine.Report, error)
	Order(ctx context.Context, server spec.BackendServer, order engine.Order) error
}

// Authority gives the lease of the planner.
type Authority interface {
	Grant() (lease.Grant, bool)
}

// Emptier keeps new work away from an engine, or lets it in again. The sequence
// grows with the fencing number.
type Emptier interface {
	Empty(name string, sequence uint64, empty bool)
}

// Desk carries out what the plan wants, for as long as it holds the lease. It is
// used by one goroutine.
type Desk struct {
	Deployment string
	Store      store.Writer
	Engines    Engines
	Authority  Authority
	Emptier    Emptier
	Trace      *trace.Line

	fence   uint64
	counter uint64
	engines map[string]*work
}

// work is what this process knows of the order of one engine. It is forgotten
// with the lease.
type work struct {
	intent       Intent
	version      uint64
	read         bool
	emptiedSince time.Time
	sentAt       time.Time
	report       engine.Report
	reportAt     time.Time
}

// Busy returns how many engines have an open order.
func (d *Desk) Busy() int {
	n := 0
	for _, w := range d.engines {
		if w.intent.Open() {
			n++
		}
	}
	return n
}

// Open returns the open intent of an engine.
func (d *Desk) Open(name string) (Intent, bool) {
	w, ok := d.engines[name]
	if !ok || !w.intent.Open() {
		return Intent{}, false
	}
	return w.intent, true
}

// Last returns the last intent of an engine, reading it if need be. It returns
// false if this process does not hold the lease.
func (d *Desk) Last(ctx context.Context, name string) (Intent, bool, error) {
	grant, ok := d.Authority.Grant()
	if !ok {
		return Intent{}, false, nil
	}
	d.begin(grant.Fence)
	w := d.work(name)
	if !w.read {
		if err := d.load(ctx, name, w); err != nil {
			return Intent{}, false, fmt.Errorf("load intent: %w", err)
		}
	}
	return w.intent, true, nil
}

// Step takes one engine a step further. want is nil if the plan has no wish.
// It returns what was done.
func (d *Desk) Step(ctx context.Context, server spec.BackendServer, want *Want, reason string) (Kind, error) {
	if _, ok, err := d.Last(ctx, server.Name); !ok || err != nil {
		return Wait, err
	}
	grant, ok := d.Authority.Grant()
	if !ok || grant.Fence != d.fence {
		return Wait, nil
	}
	w := d.work(server.Name)
	if want != nil || w.intent.Open() {
		d.observe(ctx, server, w)
	}
	situation := Situation{
		Now: time.Now(), Intent: w.intent, Fence: grant.Fence, EmptiedSince: w.emptiedSince,
		Report: w.report, ReportAt: w.reportAt, SentAt: w.sentAt,
	}
	if want != nil {
		situation.Want, situation.Wanted = *want, true
	}
	kind := Next(situation)
	if err := d.do(ctx, kind, server, w, grant, want, reason); err != nil {
		return kind, fmt.Errorf("%s order of %s: %w", kind, server.Name, err)
	}
	return kind, nil
}

// begin forgets everything when the lease is a new one.
func (d *Desk) begin(fence uint64) {
	if fence == d.fence && d.engines != nil {
		return
	}
	d.fence, d.counter, d.engines = fence, 0, map[string]*work{}
}

func (d *Desk) work(name string) *work {
	w := d.engines[name]
	if w == nil {
		w = &work{}
		d.engines[name] = w
	}
	return w
}

func (d *Desk) key(name string) string { return "order/" + d.Deployment + "/" + name }

func (d *Desk) load(ctx context.Context, name string, w *work) error {
	object, err := d.Store.Get(ctx, d.key(name))
	if errors.Is(err, store.ErrAbsent) {
		w.intent, w.version, w.read = Intent{}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(object.Value, &w.intent); err != nil {
		return fmt.Errorf("decode intent of %s: %w", name, err)
	}
	w.version, w.read = object.Version, true
	return nil
}

// observe reads the engine. The time noted is that before the question, so that
// the report is known to be no older than the lag of reports.
func (d *Desk) observe(ctx context.Context, server spec.BackendServer, w *work) {
	asked := time.Now()
	report, err := d.Engines.Report(ctx, server, engine.NoEvents)
	if err == nil {
		w.report, w.reportAt = report, asked
	}
}

func (d *Desk) do(ctx context.Context, kind Kind, server spec.BackendServer, w *work, grant lease.Grant, want *Want, reason string) error {
	switch kind {
	case Intend:
		next := Intent{ID: uuid.NewString(), Engine: server.Name, Fence: grant.Fence, Want: *want, Declared: server.Role, State: Intended, Reason: reason}
		return d.record(ctx, w, next, trace.OrderIntended)
	case Empty:
		w.emptiedSince = time.Now()
		d.empty(server.Name, true)
	case Commit:
		next := w.intent
		next.State = Sending
		if err := d.record(ctx, w, next, trace.OrderSent); err != nil {
			return err
		}
		return d.send(ctx, server, w)
	case Send:
		return d.send(ctx, server, w)
	case Adopt:
		next := w.intent
		next.ID, next.Fence, next.Declared = uuid.NewString(), grant.Fence, server.Role
		w.sentAt = time.Time{}
		d.empty(server.Name, true)
		return d.record(ctx, w, next, trace.OrderIntended)
	case Confirm:
		return d.end(ctx, server.Name, w, Confirmed, trace.OrderConfirmed)
	case Abandon:
		return d.end(ctx, server.Name, w, Abandoned, trace.OrderAbandoned)
	}
	return nil
}

func (d *Desk) end(ctx context.Context, name string, w *work, state State, kind trace.Kind) error {
	next := w.intent
	next.State = state
	if err := d.record(ctx, w, next, kind); err != nil {
		return err
	}
	w.emptiedSince, w.sentAt = time.Time{}, time.Time{}
	d.empty(name, false)
	return nil
}

func (d *Desk) empty(name string, empty bool) {
	d.counter++
	d.Emptier.Empty(name, d.fence<<counterBits|d.counter, empty)
}

// counterBits leaves room for the announcements of one lease.
const counterBits = 24

// record writes the intent. After a conflict or an unknown outcome the record is
// read again before anything else is done.
func (d *Desk) record(ctx context.Context, w *work, next Intent, kind trace.Kind) error {
	next.Write = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	object := store.Object{Key: d.key(next.Engine), Value: value, Version: w.version}
	version, err := store.Settle(ctx, d.Store, object, func(value []byte) bool {
		var found Intent
		return json.Unmarshal(value, &found) == nil && found.Write == next.Write
	})
	if err != nil {
		w.read = false
		return err
	}
	w.intent, w.version = next, version
	d.Trace.Add(trace.Event{Kind: kind, Engine: next.Engine, Detail: fmt.Sprintf("%s %s fence %d: %s", next.ID, next.Want.Role, next.Fence, next.Reason)})
	return nil
}

// send sends the order if the lease is still valid. The connection does not
// write after the end of the grant.
func (d *Desk) send(ctx context.Context, server spec.BackendServer, w *work) error {
	grant, ok := d.Authority.Grant()
	if !ok || grant.Fence != w.intent.Fence {
		d.Trace.Add(trace.Event{Kind: trace.OrderHeldBack, Engine: server.Name, Detail: w.intent.ID})
		return nil
	}
	w.sentAt = time.Now()
	order := engine.Order{ID: w.intent.ID, Fence: w.intent.Fence, Role: w.intent.Want.Role, Load: w.intent.Want.Models, SendBefore: grant.Until}
	return d.Engines.Order(ctx, server, order)
}
