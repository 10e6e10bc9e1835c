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

// listDelay is how long the list of VMs may take to reach a process.
const listDelay = 2 * time.Second

func (w *World) leaveVM(ctx context.Context, e Event) {
	names := w.engines()
	b, _ := w.deployment.Server(names[e.Pick%len(names)])
	if !w.reserve(b.Name) {
		return
	}
	defer w.free(b.Name)
	vm := store.VM{Name: b.VM, AvailabilityZone: b.AvailabilityZone, Address: b.Address.Addr(), Leaving: true}
	w.Scene.Platform.SetVM(vm)
	since := time.Now().Add(listDelay)
	timer.Wait(ctx, 12*time.Second+e.For)
	w.judgeLeaving(b.Name, since, func(id string, at time.Time) bool {
		return w.couldNotKnow(id, at) || w.listUnknown(id, at)
	})
	vm.Leaving = false
	w.Scene.Platform.SetVM(vm)
}

// reserve takes an engine for one event that makes it leave: a second one would
// be undone by the end of the first.
func (w *World) reserve(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved[name] {
		return false
	}
	w.reserved[name] = true
	return true
}

func (w *World) free(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reserved, name)
}

// judgeLeaving judges the calls that an engine got since it began to leave. It
// is called while the engine still is leaving.
func (w *World) judgeLeaving(name string, since time.Time, excused func(id string, at time.Time) bool) {
	seen := w.Scene.Engines[name].Seen()
	for _, v := range judge.AfterLeaving(name, since, seen.Started, excused) {
		w.violate(v.Promise, "%s", v.What)
	}
}

func (w *World) drain(ctx context.Context, h *Host, e Event) {
	names := w.engines()
	name := names[e.Pick%len(names)]
	node := h.live()
	if node == nil || !w.reserve(name) {
		return
	}
	defer w.free(name)
	if _, err := node.Drain(ctx, &wire.DrainQuery{Name: name, Leaving: true}); err != nil {
		return
	}
	// A process that is cut off or dies cannot pass on what it was told.
	if w.disturbed(h, time.Now(), time.Now().Add(time.Nanosecond)) || w.platformShaken() {
		return
	}
	since := time.Now()
	timer.Wait(ctx, 8*time.Second+e.For)
	w.judgeLeaving(name, since, w.couldNotKnow)
	if node := h.live(); node != nil {
		_, _ = node.Drain(ctx, &wire.DrainQuery{Name: name, Leaving: false})
	}
}

// changeRole applies a change of an engine's role by an operator.
func (w *World) changeRole(ctx context.Context, pick int, author string) {
	names := w.engines()
	name := names[pick%len(names)]
	manifest, _, err := apply.Read(ctx, w.Scene.Platform, w.deployment.Name)
	if err != nil {
		return
	}
	role := spec.Role(pick / 7 % 3).String()
	files := withRole(w.files, name, role)
	try, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	accepted, err := apply.Apply(try, operator{w}, files, apply.Request{Base: manifest.Version, Author: author})
	var conflict *apply.Conflict
	if err != nil && !errors.As(err, &conflict) {
		return
	}
	if err == nil {
		w.accept(accepted.Version, author)
	}
}

// operator is the platform as an operator's tool sees it.
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

func (w *World) accept(version uint64, author string) {
	w.mu.Lock()
	_, twice := w.accepted[version]
	w.accepted[version] = time.Now()
	w.mu.Unlock()
	if twice {
		w.violate(judge.ConfigNeverReverts, "version %d was accepted twice, last by %s", version, author)
	}
}

// compete has two operators apply at the same moment.
func (w *World) compete(ctx context.Context, pick int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.changeRole(ctx, pick, "one")
	}()
	w.changeRole(ctx, pick+1, "two")
	<-done
}

// withRole returns the files with an engine's role changed.
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

// plannedStop stops a process as an operator does, and starts it again.
func (w *World) plannedStop(ctx context.Context, h *Host, after time.Duration) {
	l := h.current()
	if l == nil {
		return
	}
	defer h.disturb()()
	if w.Variant != StopAtOnce {
		if err := l.node.Stop(l.ctx); err != nil {
			return
		}
	}
	// Answers that have left the process are on their way to their callers.
	timer.Wait(ctx, 10*time.Millisecond)
	select {
	case <-l.dead:
		return
	default:
	}
	if n := l.held(); n > 0 {
		w.violate(judge.NoCutByPlannedStop, "%s stopped with %d requests under way", h.name, n)
	}
	h.kill()
	if timer.Wait(ctx, after) {
		h.startIfDown(ctx)
	}
}
