package world

import (
	"context"
	"errors"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// listDelay is how long a change of the platform's VM list may take to reach a
// process.
const listDelay = 2 * time.Second

// vmLeaves marks the VM of an engine as leaving in the platform's list, checks
// that the engine gets no new requests, and then clears the mark.
func (w *World) vmLeaves(ctx context.Context, e Event) {
	names := w.engines()
	b, _ := w.deployment.Server(names[e.Pick%len(names)])
	if !w.reserve(b.Name) {
		return
	}
	defer w.release(b.Name)
	vm := store.VM{Name: b.VM, AvailabilityZone: b.AvailabilityZone, Address: b.Address.Addr(), Leaving: true}
	w.Scene.Platform.SetVM(vm)
	since := time.Now().Add(listDelay)
	timer.Wait(ctx, 12*time.Second+e.For)
	w.checkLeaving(b.Name, since, func(id string, at time.Time) bool {
		return w.uninformed(id, at) || w.listUnavailable(id, at)
	})
	vm.Leaving = false
	w.Scene.Platform.SetVM(vm)
}

// reserve reserves an engine for one event that drains it, and reports whether
// it was free. Without that, the end of one event would undo another.
func (w *World) reserve(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved[name] {
		return false
	}
	w.reserved[name] = true
	return true
}

// release ends a reservation.
func (w *World) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reserved, name)
}

// checkLeaving checks the calls that an engine received since it was marked as
// leaving. It is called while the engine is still leaving.
func (w *World) checkLeaving(name string, since time.Time, excused func(id string, at time.Time) bool) {
	record := w.Scene.Engines[name].Recorded()
	for _, v := range judge.AfterLeaving(name, since, record.Started, excused) {
		w.addViolation(v.Promise, "%s", v.Detail)
	}
}

// drain drains an engine by a call to a process, as an operator does, checks
// that the engine gets no new requests, and ends the drain.
func (w *World) drain(ctx context.Context, h *Host, e Event) {
	names := w.engines()
	name := names[e.Pick%len(names)]
	node := h.live()
	if node == nil || !w.reserve(name) {
		return
	}
	defer w.release(name)
	if _, err := node.Drain(ctx, &wire.DrainQuery{Name: name, Leaving: true}); err != nil {
		return
	}
	// A process that is partitioned, paused or killed can't propagate the drain.
	if w.disrupted(h, time.Now(), time.Now().Add(time.Nanosecond)) || w.isPlatformFaulty() {
		return
	}
	since := time.Now()
	timer.Wait(ctx, 8*time.Second+e.For)
	w.checkLeaving(name, since, w.uninformed)
	if node := h.live(); node != nil {
		_, _ = node.Drain(ctx, &wire.DrainQuery{Name: name, Leaving: false})
	}
}

// changeRole applies a configuration in which an engine has another role, as an
// operator does. pick selects the engine and the role.
func (w *World) changeRole(ctx context.Context, pick int, author string) {
	names := w.engines()
	name := names[pick%len(names)]
	manifest, _, err := apply.Read(ctx, w.Scene.Platform, w.deployment.Name)
	if err != nil {
		return
	}
	role := spec.Role(pick / 7 % 3).String()
	files := withRole(w.files, name, role)
	attempt, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	accepted, err := apply.Apply(attempt, operator{w}, files, apply.Request{Base: manifest.Version, Author: author})
	var conflict *apply.Conflict
	if err != nil && !errors.As(err, &conflict) {
		return
	}
	if err == nil {
		w.recordAccepted(accepted.Version, author)
	}
}

// operator is an operator's client of the platform's stand-in. No faults are
// injected into its calls.
type operator struct{ world *World }

func (o operator) Get(ctx context.Context, key string) (store.Object, error) {
	timer.Wait(ctx, latency)
	return o.world.Scene.Platform.Get(ctx, key)
}

func (o operator) Put(ctx context.Context, object store.Object) (uint64, error) {
	timer.Wait(ctx, latency)
	if o.world.Variant == NoVersionCheck {
		current, _ := o.world.Scene.Platform.Peek(object.Key)
		object.Version = current.Version
	}
	return o.world.Scene.Platform.Put(ctx, object)
}

// recordAccepted records that the store accepted a version of the configuration.
func (w *World) recordAccepted(version uint64, author string) {
	w.mu.Lock()
	_, duplicate := w.accepted[version]
	w.accepted[version] = time.Now()
	w.mu.Unlock()
	if duplicate {
		w.addViolation(judge.ConfigNeverReverts, "version %d was accepted twice, last by %s", version, author)
	}
}

// competingApplies applies two configurations at the same time, by two
// operators.
func (w *World) competingApplies(ctx context.Context, pick int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.changeRole(ctx, pick, "one")
	}()
	w.changeRole(ctx, pick+1, "two")
	<-done
}

// withRole returns the files with an engine's role changed from Mixed.
func withRole(files []spec.File, name, role string) []spec.File {
	var changed []spec.File
	for _, f := range files {
		before, after, ok := strings.Cut(string(f.Data), "[BackendServer "+name+"]")
		if ok {
			after = strings.Replace(after, "Role = Mixed", "Role = "+role, 1)
			f.Data = []byte(before + "[BackendServer " + name + "]" + after)
		}
		changed = append(changed, f)
	}
	return changed
}

// plannedStop stops a process, checks that it has no active request left, ends it,
// and starts another on its host after the given time.
func (w *World) plannedStop(ctx context.Context, h *Host, after time.Duration) {
	p := h.current()
	if p == nil {
		return
	}
	defer h.beginDisruption()()
	if w.Variant != StopAtOnce {
		if err := p.node.Stop(p.ctx); err != nil {
			return
		}
	}
	// Clients need some time to read the last responses.
	timer.Wait(ctx, 10*time.Millisecond)
	select {
	case <-p.done:
		return
	default:
	}
	if n := p.activeCount(); n > 0 {
		w.addViolation(judge.NoCutByPlannedStop, "%s stopped with %d active requests", h.name, n)
	}
	h.kill()
	if timer.Wait(ctx, after) {
		h.startIfDown(ctx)
	}
}
