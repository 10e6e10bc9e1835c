// Package gaps compares choices of engines for long streams by the gaps between their events,
// in a simulation in virtual time: 34 engines, 117 processes, 35 long streams and 470 short
// requests a second. Every process chooses by itself, from loads and gaps of its peers that are
// as old as with so many processes.
//
// # Usage
//
//	result := gaps.Run(gaps.Case{Seed: 1, SlowShare: 0.5, SlowFactor: 2.2, Length: 20 * time.Second})
//	fmt.Println(result.LateShare())
//
// An engine runs one prefill after another, and all streams beside it. Each is slowed by 2.5
// for 0.6 s in 15 % of the time. The times of the work are those of HARD-LOAD-2.md where it has
// them; the others are such that without estimates about as many streams are late as it says.
package gaps

import (
	"math/rand/v2"
	"time"

	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/pace"
)

// Case is what is simulated.
type Case struct {
	Seed uint64
	// SlowShare is the share of the engines that are slower than the others by SlowFactor.
	SlowShare, SlowFactor float64
	// ByLoad selects the choice by load and prefix, without estimates.
	ByLoad bool
	// SlowedUntil is until when engine 0 is slowed by 2.5 all the time.
	SlowedUntil, Length time.Duration
}

// Result is what clients get.
type Result struct {
	// Streams counts the long streams after the first 5 s, Late those of them with a gap
	// above the target of 150 ms.
	Streams, Late int
	// Busiest is the highest number of requests at an engine.
	Busiest int
	// Began is when streams began at engine 0.
	Began []time.Duration
}

// LateShare returns the share of the streams that are late.
func (r Result) LateShare() float64 { return float64(r.Late) / float64(max(r.Streams, 1)) }

// Run simulates a case.
func Run(c Case) Result {
	w := &world{Case: c, random: rand.New(rand.NewPCG(c.Seed, 7))}
	for i := range w.engines {
		w.engines[i].speed = 1
		if float64(i) < c.SlowShare*engineCount {
			w.engines[i].speed = c.SlowFactor
		}
		w.engines[i].slowFrom = w.after(1 / meanPause.Seconds())
	}
	w.play()
	return w.result
}

// Slots is the number of requests that an engine runs at once.
const Slots = 32

const (
	// Each engine is slowed by slowedBy for slowTime, with pauses of meanPause on average.
	slowedBy     = 2.5
	slowTime     = 600 * time.Millisecond
	meanPause    = 3400 * time.Millisecond
	processCount = 117
	engineCount  = 34
	step         = time.Millisecond
	// statusInterval is the interval of status messages with so many processes.
	statusInterval = 585 * time.Millisecond
	gapTarget      = 150 * time.Millisecond
	latencyTarget  = 200 * time.Millisecond
	// An idle engine of the fastest kind takes eventTime for an event, tokenTime for the first
	// token of a request, and promptTime for the prefill of minPrompt tokens. morePrompt is the
	// mean of the further tokens of a prompt.
	eventTime  = 46 * time.Millisecond
	tokenTime  = 6 * time.Millisecond
	promptTime = 8 * time.Millisecond
	minPrompt  = 2890
	morePrompt = 3000
	// decodeShare is the share of an engine's time for streams during a prefill, perStream by
	// how much each further stream lengthens the events.
	decodeShare = 0.4
	perStream   = 0.02
	// streamsPerSecond are long streams, requestsPerSecond short requests. Decode engines
	// prefill localShare of these.
	streamsPerSecond  = 35
	requestsPerSecond = 470
	localShare        = 0.6
	prefixCount       = 60
	settled           = 5 * time.Second
)

// engine is the state of an engine. speed is by how much its work takes longer than that of the
// fastest ones.
type engine struct {
	speed               float64
	slowFrom, slowUntil time.Duration
	prefills, streams   []*request
	running, long       int
}

// request is a request at an engine. events are those left, prefill the work that is left before
// them, and progress the part of the next event that is done.
type request struct {
	process, engine, events, prompt int
	long                            bool
	prefill, last, longest          time.Duration
	arrived                         time.Duration
	progress                        float64
}

// process has the requests of a process at each engine, and those that its peers know.
type process struct {
	table                                pace.Table
	running, long, toldRunning, toldLong [engineCount]int
}

// world is the state of a case.
type world struct {
	Case
	result                Result
	random                *rand.Rand
	now                   time.Duration
	engines               [engineCount]engine
	processes             [processCount]process
	toldRunning, toldLong [engineCount]int
}

// after returns a random time until the next of so many per second.
func (w *world) after(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *world) at() time.Time { return time.Unix(1000, 0).Add(w.now) }

// play plays the case.
func (w *world) play() {
	nextStream, nextRequest := time.Duration(0), time.Duration(0)
	for ; w.now < w.Length; w.now += step {
		for i := range w.processes {
			if (w.now-statusInterval*time.Duration(i)/processCount)%statusInterval/step == 0 {
				w.tell(&w.processes[i])
			}
		}
		for i := range w.engines {
			w.run(&w.engines[i])
		}
		for ; nextStream <= w.now; nextStream += w.after(streamsPerSecond) {
			w.place(&request{long: true, events: 20, prefill: tokenTime})
		}
		for ; nextRequest <= w.now; nextRequest += w.after(requestsPerSecond) {
			r := &request{events: 2, prefill: tokenTime}
			if w.random.Float64() < localShare {
				r.prompt = minPrompt + int(w.random.ExpFloat64()*morePrompt)
				r.prefill += promptTime * time.Duration(r.prompt) / minPrompt
			}
			w.place(r)
		}
	}
}

// tell sends a status message of a process to all others.
func (w *world) tell(p *process) {
	for e := range w.engines {
		w.toldRunning[e] += p.running[e] - p.toldRunning[e]
		w.toldLong[e] += p.long[e] - p.toldLong[e]
	}
	p.toldRunning, p.toldLong = p.running, p.long
	reports := p.table.Take(28)
	for i := range w.processes {
		if &w.processes[i] != p {
			w.processes[i].table.Hear(w.at(), reports)
		}
	}
}

// key returns the hash and the key of an engine.
func key(engine int) uint64 { return uint64(engine+1) * 0x9e3779b97f4a7c15 }

// place sends a request of a random process to the engine that it chooses.
func (w *world) place(r *request) {
	r.process, r.arrived = w.random.IntN(processCount), w.now
	p := &w.processes[r.process]
	if r.prompt > 0 {
		r.engine = w.choosePrefill(r.prompt)
	} else {
		r.engine = w.choose(p, r.long)
	}
	if r.engine < 0 {
		// A stream that no engine takes counts as late.
		r.longest = w.Length
		w.count(r)
		return
	}
	e := &w.engines[r.engine]
	e.prefills = append(e.prefills, r)
	e.running++
	p.running[r.engine]++
	if r.long {
		e.long++
		p.long[r.engine]++
		if r.engine == 0 {
			w.result.Began = append(w.result.Began, w.now)
		}
	}
	w.result.Busiest = max(w.result.Busiest, e.running)
}

// choose chooses the engine for a request without a prompt, as package broker does.
func (w *world) choose(p *process, long bool) int {
	candidates := make([]assign.Candidate, engineCount)
	q := assign.Request{Seed: w.random.Uint64() | 1, SpareLongWork: !w.ByLoad && !long && p.table.Active(w.at())}
	for i := range candidates {
		running, other := w.toldRunning[i]-p.toldRunning[i]+p.running[i], w.toldLong[i]-p.toldLong[i]+p.long[i]
		c := assign.Candidate{Hash: key(i), Running: running, SameWork: running, Slots: Slots, Limit: Slots * 5 / 4, SameWorkLimit: Slots * 5 / 4, LatencyRatio: 1}
		c.LongWork = other > 0 || p.table.Busy(w.at(), key(i))
		if long {
			c.SameWork, c.SameWorkLimit = other, Slots/2
		}
		candidates[i] = c
	}
	if !long {
		return assign.Choose(candidates, q)
	}
	q.PrefixHash, q.Affinity = uint64(w.random.IntN(prefixCount)+1), 0.13
	if prediction, known := p.table.Predict(w.at()); known && !w.ByLoad {
		q.GapTarget, q.PrefixHash = gapTarget, 0
		for i := range candidates {
			candidates[i].Gap = prediction.Gap(key(i))
		}
	}
	i := assign.Choose(candidates, q)
	if i >= 0 {
		p.table.Sent(w.at(), key(i))
	}
	return i
}

// choosePrefill chooses the engine for a prompt as the coordinator does. It knows the prefills
// that it has granted, and the streams of its peers from their last messages.
func (w *world) choosePrefill(prompt int) int {
	p := &w.processes[0]
	list := make([]assign.Engine, engineCount)
	for i := range list {
		e := &w.engines[i]
		list[i] = assign.Engine{
			Hash: key(i), Full: e.running >= Slots*5/4, LongWork: w.toldLong[i]-p.toldLong[i]+p.long[i] > 0 || p.table.Busy(w.at(), key(i)),
			Times: assign.Times{Base: time.Duration(e.speed * float64(tokenTime)), Rate: minPrompt / promptTime.Seconds() / e.speed},
		}
		for _, r := range e.prefills {
			if r.prompt > 0 {
				list[i].Prefills++
				list[i].Backlog += r.prompt
			}
		}
	}
	q := assign.Query{Prompt: assign.Prompt{Own: prompt}, Window: latencyTarget * 4 / 10}
	if !w.ByLoad {
		q.Spare = latencyTarget - 15*time.Millisecond
	}
	return assign.Prefill(list, q).Index
}

// run runs an engine for one step.
func (w *world) run(e *engine) {
	factor := e.speed
	if w.now >= e.slowFrom {
		e.slowUntil = w.now + slowTime
		e.slowFrom = e.slowUntil + w.after(1/meanPause.Seconds())
	}
	if w.now < e.slowUntil || e == &w.engines[0] && w.now < w.SlowedUntil {
		factor *= slowedBy
	}
	work, decode := time.Duration(float64(step)/factor), time.Duration(0)
	if len(e.streams) > 0 {
		decode = time.Duration(decodeShare * float64(work))
	}
	for work -= decode; len(e.prefills) > 0 && work > 0; {
		r := e.prefills[0]
		used := min(work, r.prefill)
		work -= used
		if r.prefill -= used; r.prefill == 0 {
			r.last = w.now
			e.prefills, e.streams = e.prefills[1:], append(e.streams, r)
		}
	}
	progress := (work + decode).Seconds() / eventTime.Seconds() / (1 + perStream*float64(max(len(e.streams)-1, 0)))
	kept := e.streams[:0]
	for _, r := range e.streams {
		if r.progress += progress; r.progress >= 1 {
			w.event(r)
		}
		if r.events > 0 {
			kept = append(kept, r)
		}
	}
	e.streams = kept
}

// event handles an event of a stream, and its end.
func (w *world) event(r *request) {
	p, e := &w.processes[r.process], &w.engines[r.engine]
	if r.long {
		r.longest = max(r.longest, w.now-r.last)
		p.table.Record(w.at(), key(r.engine), w.now-r.last)
	}
	r.last, r.progress = w.now, r.progress-1
	if r.events--; r.events > 0 {
		return
	}
	e.running--
	p.running[r.engine]--
	if !r.long {
		return
	}
	e.long--
	p.long[r.engine]--
	w.count(r)
}

// count counts a long stream that has ended.
func (w *world) count(r *request) {
	if !r.long || r.arrived <= settled {
		return
	}
	w.result.Streams++
	if r.longest > gapTarget {
		w.result.Late++
	}
}
