package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Variant is a deliberately broken system, by which the checkers are checked.
type Variant int

// The variants.
const (
	Correct Variant = iota
	// FenceNotSent sends orders without number and without regard for the
	// lease's end.
	FenceNotSent
	// RetryAfterSend sends a call again that may have run.
	RetryAfterSend
	// StageMisjudged takes a call that may have run for one that was not sent.
	StageMisjudged
	// NoVersionCheck writes objects whatever version they are at.
	NoVersionCheck
	// NoMargin trusts a lease for longer than it lasts.
	NoMargin
	// DrainIgnored does not hear who is leaving.
	DrainIgnored
	// IdentityUnchecked takes any event for the request's own.
	IdentityUnchecked
	// StopAtOnce ends a process at a planned stop without waiting.
	StopAtOnce
	// NotEmptied orders an engine while streams run on it, and does not resume
	// them.
	NotEmptied
	// OrderForgotten takes an order for carried out once it was sent.
	OrderForgotten
	// ConfigDeaf does not hear of new configurations after the first.
	ConfigDeaf
	// ResumeFromStart resumes a stream from its beginning.
	ResumeFromStart
)

// Variants are the broken variants.
var Variants = []Variant{FenceNotSent, RetryAfterSend, StageMisjudged, NoVersionCheck, NoMargin, DrainIgnored, IdentityUnchecked, StopAtOnce, NotEmptied, OrderForgotten, ConfigDeaf, ResumeFromStart}

// String returns the variant's name.
func (v Variant) String() string {
	return [...]string{
		"Correct", "FenceNotSent", "RetryAfterSend", "StageMisjudged", "NoVersionCheck", "NoMargin",
		"DrainIgnored", "IdentityUnchecked", "StopAtOnce", "NotEmptied", "OrderForgotten", "ConfigDeaf", "ResumeFromStart",
	}[v]
}

// Kind is a kind of fault or planned change.
type Kind int

// The kinds.
const (
	Kill Kind = iota
	PauseShort
	PauseLong
	PauseOverLease
	CutPlatform
	CutPeers
	CutOneWay
	CutZone
	PlatformDown
	PlatformSilent
	PlatformSlow
	LoseWrites
	StaleReads
	EngineCrash
	EngineCut
	EngineCross
	CrashInOrder
	LoseOrderAnswer
	EngineSlow
	PlainLose
	PlainDown
	PlainRefuse
	PlainCross
	VMLeaves
	Drain
	ChangeRole
	CompetingApplies
	PlannedStop
	// CutZonePeers cuts a zone off from other zones, CutZonePlatform from the
	// platform; CutZone does both.
	CutZonePeers
	CutZonePlatform
	// Custom calls the world's OnCustom.
	Custom
	// LoseAnswer is for strikes only: the answer of the call does not arrive.
	LoseAnswer
)

var kindNames = [...]string{
	"Kill", "PauseShort", "PauseLong", "PauseOverLease", "CutPlatform", "CutPeers", "CutOneWay", "CutZone",
	"PlatformDown", "PlatformSilent", "PlatformSlow", "LoseWrites", "StaleReads", "EngineCrash", "EngineCut", "EngineCross",
	"CrashInOrder", "LoseOrderAnswer", "EngineSlow", "PlainLose", "PlainDown", "PlainRefuse", "PlainCross", "VMLeaves", "Drain",
	"ChangeRole", "CompetingApplies", "PlannedStop", "CutZonePeers", "CutZonePlatform", "Custom", "LoseAnswer",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// randomKinds is how many kinds a random schedule draws from.
const randomKinds = int(Custom)

// Event is a fault at a time.
type Event struct {
	At   time.Duration
	Kind Kind
	// Pick chooses the host, engine or server.
	Pick int
	For  time.Duration
}

// Strike is a fault at a call of a process.
type Strike struct {
	// Operation is the beginning of the call's name, such as "Put order/".
	Operation string
	// After is set to strike after the call took effect.
	After bool
	// Skip is how many calls are let through before.
	Skip int
	Kind Kind

	// Struck is set once the strike has found its call.
	Struck bool
}

// String describes the strike.
func (s *Strike) String() string {
	when := "before"
	if s.After {
		when = "after"
	}
	return fmt.Sprintf("%s %s %s", s.Kind, when, s.Operation)
}

// Schedule is what happens in a run.
type Schedule struct {
	Events  []Event
	Strikes []*Strike
}

// Random makes a schedule from a seed.
func Random(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 6))
	s := Schedule{Events: []Event{
		{At: time.Duration(random.IntN(8000)) * time.Millisecond, Kind: ChangeRole, Pick: random.IntN(100)},
	}}
	for range 6 + random.IntN(8) {
		s.Events = append(s.Events, Event{
			At:   time.Duration(random.IntN(35000)) * time.Millisecond,
			Kind: Kind(random.IntN(randomKinds)), Pick: random.IntN(1000),
			For: time.Duration(500+random.IntN(8000)) * time.Millisecond,
		})
	}
	for range random.IntN(3) {
		s.Strikes = append(s.Strikes, &Strike{
			Operation: Operations[random.IntN(len(Operations))], After: random.IntN(2) == 0, Skip: random.IntN(6),
			Kind: StrikeKinds[random.IntN(len(StrikeKinds))],
		})
	}
	return s
}

// Operations are the calls that a strike can wait for: each step of each
// protocol between a process and the outside.
var Operations = []string{
	"Put lease/", "Get lease/", "Put order/", "Get order/", "Order ", "Report ", "Put claim/", "Get claim/",
	"Send bay-jobs", "Send verdict-llm", "Watch", "Get piece/", "VMs", "Exchange", "Pieces",
}

// StrikeKinds are the faults that strike at calls.
var StrikeKinds = []Kind{Kill, PauseShort, PauseOverLease, PauseLong, LoseAnswer}

// play brings the events about, each in a goroutine of its own.
func (w *World) play(ctx context.Context, events []Event) {
	done := make(chan struct{}, len(events))
	for _, e := range events {
		go func() {
			defer func() { done <- struct{}{} }()
			if sleep(ctx, e.At) {
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
	if sleep(ctx, after) {
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
	sleep(ctx, d)
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
	sleep(ctx, e.For)
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
	sleep(ctx, e.For)
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
	sleep(ctx, e.For)
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
	sleep(ctx, e.For)
	server.SetFaults(plain.Faults{})
}

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
	sleep(ctx, 12*time.Second+e.For)
	w.judgeLeaving(b.Name, since, func(id string, at time.Time) bool {
		return w.couldNotKnow(id, at) || w.listUnknown(id, at)
	})
	vm.Leaving = false
	w.Scene.Platform.SetVM(vm)
}

func (w *World) platformShaken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.platform
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
	sleep(ctx, 8*time.Second+e.For)
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
	sleep(ctx, latency)
	return o.world.Scene.Platform.Get(ctx, key)
}

func (o operator) Put(ctx context.Context, object store.Object) (uint64, error) {
	sleep(ctx, latency)
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
	sleep(ctx, 10*time.Millisecond)
	select {
	case <-l.dead:
		return
	default:
	}
	if n := l.held(); n > 0 {
		w.violate(judge.NoCutByPlannedStop, "%s stopped with %d requests under way", h.name, n)
	}
	h.kill()
	if sleep(ctx, after) {
		h.startIfDown(ctx)
	}
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
			sleep(w.ctx, d)
			l.resume()
		}()
	}
	return false
}
