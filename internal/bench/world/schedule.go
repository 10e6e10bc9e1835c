package world

import (
	"fmt"
	"math/rand/v2"
	"time"
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
	// UnknownAsNotRun tells callers that a call has not run when that is not
	// known.
	UnknownAsNotRun
)

// Variants are the broken variants.
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
