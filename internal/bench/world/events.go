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

// play brings the events about, each in a goroutine of its own.
func (w *World) play(ctx context.Context, events []Event) {
	done := make(chan struct{}, len(events))
	for _, e := range events {
		go func() {
			defer func() { done <- struct{}{} }()
			if timer.Wait(ctx, e.At) {
				w.bring(ctx, e)
			}
		}()
	}
	for range events {
		<-done
	}
}

// bring brings one event about and ends it after its time.
func (w *World) bring(ctx context.Context, e Event) {
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
		w.cutHosts(ctx, h, e)
	case PlatformDown, PlatformSilent, PlatformSlow, LoseWrites, StaleReads:
		w.shakePlatform(ctx, e)
	case EngineCrash, EngineCut, EngineCross, CrashInOrder, LoseOrderAnswer, EngineSlow:
		w.shakeEngine(ctx, e)
	case PlainLose, PlainDown, PlainRefuse, PlainCross:
		w.shakePlain(ctx, e)
	case VMLeaves:
		w.leaveVM(ctx, e)
	case Drain:
		w.drain(ctx, h, e)
	case ChangeRole:
		w.changeRole(ctx, e.Pick, "one")
	case CompetingApplies:
		w.compete(ctx, e.Pick)
	case PlannedStop:
		w.plannedStop(ctx, h, e.For)
	case Custom:
		w.OnCustom(w.Scene)
	}
}

func (w *World) killAndRestart(ctx context.Context, h *Host, after time.Duration) {
	defer h.disturb()()
	h.kill()
	if timer.Wait(ctx, after) {
		h.startIfDown(ctx)
	}
}

func (h *Host) startIfDown(ctx context.Context) {
	if h.current() == nil {
		h.start(ctx)
	}
}

func (w *World) pauseHost(ctx context.Context, h *Host, d time.Duration) {
	l := h.current()
	if l == nil {
		return
	}
	defer h.disturb()()
	l.pause()
	timer.Wait(ctx, d)
	l.resume()
}

// cutHosts cuts connections for a time.
func (w *World) cutHosts(ctx context.Context, h *Host, e Event) {
	cuts := map[*Host][]string{}
	switch e.Kind {
	case CutPlatform:
		cuts[h] = []string{"platform"}
	case CutPeers:
		cuts[h] = []string{"*"}
		for _, other := range w.Hosts {
			cuts[other] = append(cuts[other], h.name)
		}
	case CutOneWay:
		cuts[h] = []string{"*"}
	case CutZone, CutZonePeers, CutZonePlatform:
		w.cutZone(h.zone, e.Kind, cuts)
	}
	for host, names := range cuts {
		defer host.disturb()()
		host.setCut(names, true)
	}
	timer.Wait(ctx, e.For)
	for host, names := range cuts {
		host.setCut(names, false)
	}
}

// cutZone cuts a zone's hosts off from the others', the platform, or both.
func (w *World) cutZone(zone string, kind Kind, cuts map[*Host][]string) {
	for _, a := range w.Hosts {
		for _, b := range w.Hosts {
			if (a.zone == zone) != (b.zone == zone) && kind != CutZonePlatform {
				cuts[a] = append(cuts[a], b.name)
			}
		}
		if a.zone == zone && kind != CutZonePeers {
			cuts[a] = append(cuts[a], "platform")
		}
	}
}

func (h *Host) setCut(names []string, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cut == nil {
		h.cut = map[string]bool{}
	}
	for _, name := range names {
		h.cut[name] = cut
	}
}

func (w *World) shakePlatform(ctx context.Context, e Event) {
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
	w.shake(true)
	w.Scene.Platform.SetFaults(f)
	began := time.Now()
	timer.Wait(ctx, e.For)
	w.Scene.Platform.SetFaults(platf.Faults{})
	w.shake(false)
	if f.Down || f.Silent {
		w.mu.Lock()
		defer w.mu.Unlock()
		// A call that was not answered is asked again after its timeout.
		w.outages = append(w.outages, disturbance{began, time.Now().Add(platformTimeout)})
	}
}

func (w *World) shake(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform = on
	// What a process asked for before is answered or given up by then.
	w.shaken = time.Now().Add(recovery)
}

// engines returns the engines' names in order.
func (w *World) engines() []string {
	var names []string
	for _, b := range w.deployment.Servers {
		if b.Engine() {
			names = append(names, b.Name)
		}
	}
	return names
}

func (w *World) shakeEngine(ctx context.Context, e Event) {
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

func (w *World) shakePlain(ctx context.Context, e Event) {
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

func (w *World) platformShaken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.platform
}

// heal ends every fault.
func (w *World) heal() {
	w.Scene.Platform.SetFaults(platf.Faults{})
	for _, e := range w.Scene.Engines {
		e.SetFaults(model.Faults{})
	}
	for _, p := range w.Scene.Plains {
		p.SetFaults(plain.Faults{})
	}
	w.mu.Lock()
	w.strikes = nil
	w.mu.Unlock()
}

// strike brings about the first strike that waits for the call. It returns true
// if the answer is to be lost.
func (w *World) strike(l *life, operation string, after bool) bool {
	w.mu.Lock()
	var due *Strike
	for _, s := range w.strikes {
		if s.Struck || s.After != after || !strings.HasPrefix(operation, s.Operation) {
			continue
		}
		if s.Skip > 0 {
			s.Skip--
			continue
		}
		s.Struck = true
		due = s
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
		// The call that is struck does not return to the process.
		go w.killAndRestart(w.ctx, l.host, 2*time.Second)
		<-l.dead
	case PauseShort, PauseOverLease, PauseLong:
		d := map[Kind]time.Duration{PauseShort: time.Second, PauseOverLease: 14 * time.Second, PauseLong: 30 * time.Second}[due.Kind]
		l.pause()
		go func() {
			defer l.host.disturb()()
			timer.Wait(w.ctx, d)
			l.resume()
		}()
	}
	return false
}
