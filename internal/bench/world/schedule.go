package world

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Variant is a deliberately broken form of the system. The tests use variants to
// show that the checkers find violations.
type Variant int

// The variants.
const (
	Correct Variant = iota
	// FenceNotSent sends orders without a fencing token, and also after the
	// lease has expired.
	FenceNotSent
	// RetryAfterSend retries a call that may have run and must run at most once.
	RetryAfterSend
	// StageMisjudged reports a call that may have run as one that wasn't sent.
	StageMisjudged
	// NoVersionCheck overwrites objects whatever their version.
	NoVersionCheck
	// NoMargin uses a lease for four times its duration.
	NoMargin
	// DrainIgnored ignores that VMs and servers are leaving.
	DrainIgnored
	// IdentityUnchecked accepts events that belong to another request.
	IdentityUnchecked
	// StopAtOnce ends a process at a planned stop without waiting for its
	// requests.
	StopAtOnce
	// NotEmptied sends an order to an engine that still runs streams, and doesn't
	// resume them on another engine.
	NotEmptied
	// OrderForgotten treats an order as carried out as soon as it was sent.
	OrderForgotten
	// ConfigDeaf ignores new configurations after the first.
	ConfigDeaf
	// ResumeFromStart resumes a stream from its beginning.
	ResumeFromStart
	// UnknownAsNotRun reports to clients that a call has not run when its outcome
	// is unknown.
	UnknownAsNotRun
)

// Variants lists the broken variants, without Correct.
var Variants = []Variant{FenceNotSent, RetryAfterSend, StageMisjudged, NoVersionCheck, NoMargin, DrainIgnored, IdentityUnchecked, StopAtOnce, NotEmptied, OrderForgotten, ConfigDeaf, ResumeFromStart, UnknownAsNotRun}

// String returns the variant's name.
func (v Variant) String() string {
	return [...]string{
		"Correct", "FenceNotSent", "RetryAfterSend", "StageMisjudged", "NoVersionCheck", "NoMargin",
		"DrainIgnored", "IdentityUnchecked", "StopAtOnce", "NotEmptied", "OrderForgotten", "ConfigDeaf", "ResumeFromStart",
		"UnknownAsNotRun",
	}[v]
}

// Kind is a kind of fault or planned change.
type Kind int

// The kinds. Unless stated otherwise, a fault lasts for Event.For.
const (
	// Kill kills a process and starts another on its host after Event.For.
	Kill Kind = iota
	// PauseShort, PauseLong and PauseOverLease pause a process for 1 s, 30 s and
	// 14 s. The last two are longer than a lease.
	PauseShort
	PauseLong
	PauseOverLease
	// CutPlatform makes the platform unreachable for a process, CutPeers
	// separates it from its peers, and CutOneWay blocks only its own calls to
	// peers. CutZone separates the processes of an availability zone from those
	// of other zones and from the platform.
	CutPlatform
	CutPeers
	CutOneWay
	CutZone
	// PlatformDown, PlatformSilent, PlatformSlow, LoseWrites and StaleReads are
	// faults of the platform: it rejects calls, never responds, responds 5 s
	// late, loses the responses to 3 writes, or serves 4 stale reads.
	PlatformDown
	PlatformSilent
	PlatformSlow
	LoseWrites
	StaleReads
	// EngineCrash, EngineCut, EngineCross, CrashInOrder, LoseOrderAnswer and
	// EngineSlow are faults of an engine: it crashes, truncates a stream, puts the
	// ID and text of another request into an event, crashes when it gets an order,
	// loses the responses to 2 orders, or computes at a fifth of its speed.
	EngineCrash
	EngineCut
	EngineCross
	CrashInOrder
	LoseOrderAnswer
	EngineSlow
	// PlainLose, PlainDown, PlainRefuse and PlainCross are faults of a backend
	// server of a plain service: it loses the responses to 5 calls, refuses
	// connections, rejects calls, or gives a response another request's ID.
	PlainLose
	PlainDown
	PlainRefuse
	PlainCross
	// VMLeaves marks the VM of an engine as leaving and Drain drains an engine,
	// for 12 s and 8 s longer than Event.For. ChangeRole applies a configuration
	// with another role for an engine, and CompetingApplies applies two
	// configurations at once.
	VMLeaves
	Drain
	ChangeRole
	CompetingApplies
	// PlannedStop stops a process as planned and starts another after Event.For.
	PlannedStop
	// CutZonePeers separates an availability zone from other zones only, and
	// CutZonePlatform from the platform only.
	CutZonePeers
	CutZonePlatform
	// Custom calls World.OnCustom and ignores Event.For.
	Custom
	// LoseAnswer loses the response of a call. It is used in a CallFault only.
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

// randomKinds is the number of kinds, counted from Kill, that Random uses.
const randomKinds = int(Custom)

// Event is a fault or planned change at a time.
type Event struct {
	// At is relative to the start of the load.
	At   time.Duration
	Kind Kind
	// Pick selects the host, engine or server: it is taken modulo their number.
	Pick int
	// For is the duration.
	For time.Duration
}

// CallFault is a fault that is injected at one call of any process to the outside.
type CallFault struct {
	// Operation is a prefix of the call's name, such as "Put order/".
	Operation string
	// After is set to inject the fault after the call took effect.
	After bool
	// Skip is the number of matching calls before the faulty one. Run counts it
	// down.
	Skip int
	// Kind is one of CallFaultKinds.
	Kind Kind

	// Injected is set by Run when the fault was injected.
	Injected bool
}

// String describes the fault, such as "Kill before Put order/".
func (f *CallFault) String() string {
	when := "before"
	if f.After {
		when = "after"
	}
	return fmt.Sprintf("%s %s %s", f.Kind, when, f.Operation)
}

// Schedule is the faults and planned changes of a run.
type Schedule struct {
	Events     []Event
	CallFaults []*CallFault
}

// Random generates a schedule. The same seed gives the same schedule.
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
		s.CallFaults = append(s.CallFaults, &CallFault{
			Operation: Operations[random.IntN(len(Operations))], After: random.IntN(2) == 0, Skip: random.IntN(6),
			Kind: CallFaultKinds[random.IntN(len(CallFaultKinds))],
		})
	}
	return s
}

// Operations are name prefixes of calls at which faults can be injected: the
// steps of the protocols between a process and the outside.
var Operations = []string{
	"Put lease/", "Get lease/", "Put order/", "Get order/", "Order ", "Report ", "Put claim/", "Get claim/",
	"Send bay-jobs", "Send verdict-llm", "Watch", "Get piece/", "VMs", "Exchange", "Pieces",
}

// CallFaultKinds are the kinds of faults that can be injected at calls.
var CallFaultKinds = []Kind{Kill, PauseShort, PauseOverLease, PauseLong, LoseAnswer}
