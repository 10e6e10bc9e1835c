package shed

import (
	"math"
	"time"

	"ebonyscale.example/ebonyscale/internal/route/admit"
)

// Stage is the state of one queue in the process that decides for it: the requests that have
// arrived and been served. The zero value is ready to use. A Stage is not safe for concurrent use.
type Stage struct {
	floors Floors
	ledger admit.Ledger
	// arrived has the units that arrived with each priority, with exponential decay
	// as of at.
	arrived [levels]float64
	at      time.Time
	swept   time.Time
}

const (
	// useHalfLife is the half-life of the accounts' use.
	useHalfLife = 5 * time.Second
	// arrivalHalfLife is the half-life of the rates of arrivals. A burst begins
	// within a fraction of a second.
	arrivalHalfLife = 500 * time.Millisecond
)

// Clone returns a copy that shares nothing with the stage, for the evaluation of a request
// that is not sent. The Members of requests at the stage belong to the stage only.
func (s *Stage) Clone() *Stage {
	c := *s
	c.ledger = s.ledger.Clone()
	c.floors.groups = make(map[group]*tally, len(s.floors.groups))
	for g, t := range s.floors.groups {
		copied := *t
		c.floors.groups[g] = &copied
	}
	return &c
}

// Arrive counts the arrival of a request.
func (s *Stage) Arrive(now time.Time, w *Work) Member {
	s.decay(now)
	s.arrived[min(max(w.Priority, 0), levels-1)] += w.Units
	return s.floors.Arrive(now, w)
}

// Serve counts that a request is served, and charges it to its account. All accounts
// have the same share.
func (s *Stage) Serve(now time.Time, w *Work, m Member) {
	s.floors.Serve(now, m)
	if w.Account == "" {
		return
	}
	tokens := int(w.Tokens)
	if tokens == 0 {
		tokens = plainTokens
	}
	s.ledger.HalfLife = useHalfLife
	s.ledger.Charge(w.Account, 1, tokens, now)
	if now.Sub(s.swept) >= sweepInterval {
		s.swept = now
		s.ledger.Sweep(now)
	}
}

// Assess sets the ratio and the floor of a request. Call it before Rank; both change
// as requests are served.
func (s *Stage) Assess(now time.Time, w *Work, m Member) {
	w.Floor = s.floors.Floor(now, m)
	w.Over = 0
	if w.Account != "" {
		w.Over = s.ledger.Ratio(w.Account, now)
	}
}

// Room returns the room for the requests of the stage. rate is the part of the capacity
// that this process may use if others have a Stage for the same queue.
func (s *Stage) Room(now time.Time, rate, ahead float64) Room {
	s.decay(now)
	room := Room{Rate: rate, Ahead: ahead}
	sum := 0.0
	for i, units := range s.arrived {
		sum += units * math.Ln2 / arrivalHalfLife.Seconds()
		room.Arriving[i] = sum
	}
	return room
}

// decay applies the decay of the arrivals since the last call.
func (s *Stage) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 && !s.at.IsZero() {
		factor := math.Exp2(-float64(passed) / float64(arrivalHalfLife))
		for i := range s.arrived {
			s.arrived[i] *= factor
		}
	}
	s.at = now
}
