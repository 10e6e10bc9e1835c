package world

import (
	"context"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
)

// runEvents runs the events, each in a goroutine of its own, and waits for them.
func (w *World) runEvents(ctx context.Context, events []Event) {
	done := make(chan struct{}, len(events))
	for _, e := range events {
		go func() {
			defer func() { done <- struct{}{} }()
			if timer.Wait(ctx, e.At) {
				w.runEvent(ctx, e)
			}
		}()
	}
	for range events {
		<-done
	}
}

// runEvent starts a fault or planned change and ends it after its duration.
func (w *World) runEvent(ctx context.Context, e Event) {
	h := w.Hosts[e.Pick%len(w.Hosts)]
	switch e.Kind {
	case Kill:
		w.killAndRestart(ctx, h, e.For)
	case PauseShort:
		w.pauseHost(ctx, h, time.Second)
	case PauseLong:
		w.pauseHost(ctx, h, 30*time.Second)
	case PauseOverLease:
		w.pauseHost(ctx, h, 14*time.Second)
	case CutPlatform, CutPeers, CutOneWay, CutZone, CutZonePeers, CutZonePlatform:
		w.partition(ctx, h, e)
	case PlatformDown, PlatformSilent, PlatformSlow, LoseWrites, StaleReads:
		w.injectPlatformFault(ctx, e)
	case EngineCrash, EngineCut, EngineCross, CrashInOrder, LoseOrderAnswer, EngineSlow:
		w.injectEngineFault(ctx, e)
	case PlainLose, PlainDown, PlainRefuse, PlainCross:
		w.injectPlainFault(ctx, e)
	case VMLeaves:
		w.vmLeaves(ctx, e)
	case Drain:
		w.drain(ctx, h, e)
	case ChangeRole:
		w.changeRole(ctx, e.Pick, "one")
	case CompetingApplies:
		w.competingApplies(ctx, e.Pick)
	case PlannedStop:
		w.plannedStop(ctx, h, e.For)
	case Custom:
		w.OnCustom(w.Scene)
	}
}

// killAndRestart kills a host's process and starts another after the given time.
func (w *World) killAndRestart(ctx context.Context, h *Host, after time.Duration) {
	defer h.beginDisruption()()
	h.kill()
	if timer.Wait(ctx, after) {
		h.startIfDown(ctx)
	}
}

// startIfDown starts a process if none runs.
func (h *Host) startIfDown(ctx context.Context) {
	if h.current() == nil {
		h.start(ctx)
	}
}

// pauseHost pauses a host's process for d.
func (w *World) pauseHost(ctx context.Context, h *Host, d time.Duration) {
	p := h.current()
	if p == nil {
		return
	}
	defer h.beginDisruption()()
	p.pause()
	timer.Wait(ctx, d)
	p.resume()
}

// partition makes a network partition of the event's kind for its duration. An
// asymmetric one (CutOneWay) blocks only the calls of h.
func (w *World) partition(ctx context.Context, h *Host, e Event) {
	blocked := map[*Host][]string{}
	switch e.Kind {
	case CutPlatform:
		blocked[h] = []string{"platform"}
	case CutPeers:
		blocked[h] = []string{"*"}
		for _, other := range w.Hosts {
			blocked[other] = append(blocked[other], h.name)
		}
	case CutOneWay:
		blocked[h] = []string{"*"}
	case CutZone, CutZonePeers, CutZonePlatform:
		w.partitionZone(h.zone, e.Kind, blocked)
	}
	for host, names := range blocked {
		defer host.beginDisruption()()
		host.setBlocked(names, true)
	}
	timer.Wait(ctx, e.For)
	for host, names := range blocked {
		host.setBlocked(names, false)
	}
}

// partitionZone adds to blocked what separates the hosts of an availability zone
// from those of other zones, from the platform, or from both.
func (w *World) partitionZone(zone string, kind Kind, blocked map[*Host][]string) {
	for _, a := range w.Hosts {
		for _, b := range w.Hosts {
			if (a.zone == zone) != (b.zone == zone) && kind != CutZonePlatform {
				blocked[a] = append(blocked[a], b.name)
			}
		}
		if a.zone == zone && kind != CutZonePeers {
			blocked[a] = append(blocked[a], "platform")
		}
	}
}

// setBlocked makes the named peers or the platform unreachable from the host, or
// reachable again.
func (h *Host) setBlocked(names []string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.blocked == nil {
		h.blocked = map[string]bool{}
	}
	for _, name := range names {
		h.blocked[name] = on
	}
}

// injectPlatformFault makes the platform's stand-in faulty for the event's
// duration.
func (w *World) injectPlatformFault(ctx context.Context, e Event) {
	var f platf.Faults
	switch e.Kind {
	case PlatformDown:
		f.Down = true
	case PlatformSilent:
		f.Silent = true
	case PlatformSlow:
		f.Delay = 5 * time.Second
	case LoseWrites:
		f.LoseAnswers = 3
	case StaleReads:
		f.Stale = 4
	}
	w.setPlatformFaulty(true)
	w.Scene.Platform.SetFaults(f)
	began := time.Now()
	timer.Wait(ctx, e.For)
	w.Scene.Platform.SetFaults(platf.Faults{})
	w.setPlatformFaulty(false)
	if f.Down || f.Silent {
		w.mu.Lock()
		defer w.mu.Unlock()
		// A call that got no response is retried after its timeout.
		w.outages = append(w.outages, disruption{began, time.Now().Add(platformTimeout)})
	}
}

// setPlatformFaulty records the start or end of a platform fault.
func (w *World) setPlatformFaulty(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platformFaulty = on
	// Calls made before have ended or timed out by then.
	w.platformFaultUntil = time.Now().Add(recovery)
}

// engines returns the names of the engines in the deployment's order.
func (w *World) engines() []string {
	var names []string
	for _, b := range w.deployment.Servers {
		if b.Engine() {
			names = append(names, b.Name)
		}
	}
	return names
}

// injectEngineFault makes one engine faulty for the event's duration.
func (w *World) injectEngineFault(ctx context.Context, e Event) {
	names := w.engines()
	engine := w.Scene.Engines[names[e.Pick%len(names)]]
	var f model.Faults
	switch e.Kind {
	case EngineCrash:
		f.Crashed = true
	case EngineCut:
		f.CutAfter = 1 + e.Pick%20
	case EngineCross:
		f.Cross = true
	case CrashInOrder:
		f.CrashInOrder = true
	case LoseOrderAnswer:
		f.LoseOrderAnswers = 2
	case EngineSlow:
		f.Slow = 5
	}
	engine.SetFaults(f)
	timer.Wait(ctx, e.For)
	engine.SetFaults(model.Faults{})
}

// injectPlainFault makes one backend server of a plain service faulty for the
// event's duration.
func (w *World) injectPlainFault(ctx context.Context, e Event) {
	var names []string
	for _, b := range w.deployment.Servers {
		if !b.Engine() {
			names = append(names, b.Name)
		}
	}
	server := w.Scene.Plains[names[e.Pick%len(names)]]
	var f plain.Faults
	switch e.Kind {
	case PlainLose:
		f.LoseAnswers = 5
	case PlainDown:
		f.Down = true
	case PlainRefuse:
		f.Refuse = true
	case PlainCross:
		f.Cross = true
	}
	server.SetFaults(f)
	timer.Wait(ctx, e.For)
	server.SetFaults(plain.Faults{})
}

func (w *World) isPlatformFaulty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.platformFaulty
}

// heal ends the faults of all stand-ins and cancels the call faults that are
// still pending.
func (w *World) heal() {
	w.Scene.Platform.SetFaults(platf.Faults{})
	for _, e := range w.Scene.Engines {
		e.SetFaults(model.Faults{})
	}
	for _, p := range w.Scene.Plains {
		p.SetFaults(plain.Faults{})
	}
	w.mu.Lock()
	w.callFaults = nil
	w.mu.Unlock()
}

// injectCallFault injects the first pending CallFault that matches the call. It
// returns true if the response is to be lost. A pause takes effect at the
// checkpoint that follows.
func (w *World) injectCallFault(p *process, operation string, after bool) bool {
	w.mu.Lock()
	var due *CallFault
	for _, f := range w.callFaults {
		if f.Injected || f.After != after || !strings.HasPrefix(operation, f.Operation) {
			continue
		}
		if f.Skip > 0 {
			f.Skip--
			continue
		}
		f.Injected = true
		due = f
		break
	}
	w.mu.Unlock()
	if due == nil {
		return false
	}
	switch due.Kind {
	case LoseAnswer:
		return true
	case Kill:
		// The call blocks until the process has ended, so that it doesn't return
		// to the process.
		go w.killAndRestart(w.ctx, p.host, 2*time.Second)
		<-p.done
	case PauseShort, PauseOverLease, PauseLong:
		d := map[Kind]time.Duration{PauseShort: time.Second, PauseOverLease: 14 * time.Second, PauseLong: 30 * time.Second}[due.Kind]
		p.pause()
		go func() {
			defer p.host.beginDisruption()()
			timer.Wait(w.ctx, d)
			p.resume()
		}()
	}
	return false
}
