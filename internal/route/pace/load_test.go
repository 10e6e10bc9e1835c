package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	engines "ebonyscale.example/ebonyscale/internal/route/assign"
)

const (
	simProcesses = 117
	simEngines   = 34
	simSlots     = 32
	simStep      = time.Millisecond
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
	simPrefixes       = 60
	settled           = 5 * time.Second
)

// simEngine is an engine: it runs one prefill after another, and all streams beside it.
type simEngine struct {
	speed               float64
	slowFrom, slowUntil time.Duration
	prefills, streams   []*simRequest
	running, long       int
}

// simRequest is a request at an engine.
type simRequest struct {
	process, engine, events, prompt int
	long                            bool
	prefill, last, longest          time.Duration
	arrived                         time.Duration
	progress                        float64
}

// simProcess has the requests of a process at each engine, and those that its peers know.
type simProcess struct {
	table                                Table
	running, long, toldRunning, toldLong [simEngines]int
}

// world plays the load in virtual time. Every process chooses by itself, from loads and gaps
// of its peers that are as old as with so many processes.
type world struct {
	// present selects the choice without estimates. slowed has engines that stay slow by a
	// factor until a time.
	present     bool
	slowedUntil time.Duration

	random                *rand.Rand
	now                   time.Duration
	engines               [simEngines]simEngine
	processes             [simProcesses]simProcess
	toldRunning, toldLong [simEngines]int
	// late and streams count long streams, busiest is the highest load of an engine, and
	// began when the last stream began at engine 0.
	late, streams, busiest int
	began                  []time.Duration
}

// newWorld returns engines of which a share is slower by a factor.
func newWorld(seed uint64, share, factor float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range w.engines {
		w.engines[i].speed = 1
		if float64(i) < share*simEngines {
			w.engines[i].speed = factor
		}
		w.engines[i].slowFrom = w.after(1 / 3.4)
	}
	return w
}

// after returns a random time until the next of so many per second.
func (w *world) after(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *world) at() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *world) play(d time.Duration) *world {
	nextStream, nextRequest := time.Duration(0), time.Duration(0)
	for ; w.now < d; w.now += simStep {
		for i := range w.processes {
			if (w.now-statusInterval*time.Duration(i)/simProcesses)%statusInterval/simStep == 0 {
				w.tell(&w.processes[i])
			}
		}
		for i := range w.engines {
			w.step(&w.engines[i])
		}
		for ; nextStream <= w.now; nextStream += w.after(streamsPerSecond) {
			w.place(&simRequest{long: true, events: 20, prefill: tokenTime})
		}
		for ; nextRequest <= w.now; nextRequest += w.after(requestsPerSecond) {
			r := &simRequest{events: 2, prefill: tokenTime}
			if w.random.Float64() < localShare {
				r.prompt = minPrompt + int(w.random.ExpFloat64()*morePrompt)
				r.prefill += promptTime * time.Duration(r.prompt) / minPrompt
			}
			w.place(r)
		}
	}
	return w
}

// tell sends a status message of a process to all others.
func (w *world) tell(p *simProcess) {
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

// key is the hash and the key of an engine.
func key(engine int) uint64 { return uint64(engine+1) * 0x9e3779b97f4a7c15 }

// place sends a request of a random process to the engine that it chooses.
func (w *world) place(r *simRequest) {
	r.process, r.arrived = w.random.IntN(simProcesses), w.now
	p := &w.processes[r.process]
	if r.prompt > 0 {
		r.engine = w.choosePrefill(r.prompt)
	} else {
		r.engine = w.choose(p, r.long)
	}
	if r.engine < 0 {
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
			w.began = append(w.began, w.now)
		}
	}
	w.busiest = max(w.busiest, e.running)
}

// choose chooses the engine for a request without a prompt, as package broker does.
func (w *world) choose(p *simProcess, long bool) int {
	candidates := make([]engines.Candidate, simEngines)
	q := engines.Request{Seed: w.random.Uint64() | 1, SpareLongWork: !w.present && !long && p.table.Active(w.at())}
	for i := range candidates {
		running, other := w.toldRunning[i]-p.toldRunning[i]+p.running[i], w.toldLong[i]-p.toldLong[i]+p.long[i]
		c := engines.Candidate{Hash: key(i), Running: running, SameWork: running, Slots: simSlots, Limit: simSlots * 5 / 4, SameWorkLimit: simSlots * 5 / 4, LatencyRatio: 1}
		c.LongWork = other > 0 || p.table.Busy(w.at(), key(i))
		if long {
			c.SameWork, c.SameWorkLimit = other, simSlots/2
		}
		candidates[i] = c
	}
	if !long {
		return engines.Choose(candidates, q)
	}
	q.PrefixHash, q.Affinity = uint64(w.random.IntN(simPrefixes)+1), 0.13
	if prediction, known := p.table.Predict(w.at()); known && !w.present {
		q.GapTarget, q.PrefixHash = gapTarget, 0
		for i := range candidates {
			candidates[i].Gap = prediction.Gap(key(i))
		}
	}
	i := engines.Choose(candidates, q)
	if i >= 0 {
		p.table.Sent(w.at(), key(i))
	}
	return i
}

// choosePrefill chooses the engine for a prompt as the coordinator does. It knows the prefills
// that it has granted, and the streams of its peers from their last messages.
func (w *world) choosePrefill(prompt int) int {
	p := &w.processes[0]
	list := make([]engines.Engine, simEngines)
	for i := range list {
		e := &w.engines[i]
		list[i] = engines.Engine{
			Hash: key(i), Full: e.running >= simSlots*5/4, LongWork: w.toldLong[i]-p.toldLong[i]+p.long[i] > 0 || p.table.Busy(w.at(), key(i)),
			Times: engines.Times{Base: time.Duration(e.speed * float64(tokenTime)), Rate: minPrompt / promptTime.Seconds() / e.speed},
		}
		for _, r := range e.prefills {
			if r.prompt > 0 {
				list[i].Prefills++
				list[i].Backlog += r.prompt
			}
		}
	}
	q := engines.Query{Prompt: engines.Prompt{Own: prompt}, Window: latencyTarget * 4 / 10}
	if !w.present {
		q.Spare = latencyTarget - 15*time.Millisecond
	}
	return engines.Prefill(list, q).Index
}

// step runs an engine for simStep. Each engine is slowed by 2.5 for 0.6 s, in 15 % of the time.
func (w *world) step(e *simEngine) {
	factor := e.speed
	if w.now >= e.slowFrom {
		e.slowUntil = w.now + 600*time.Millisecond
		e.slowFrom = e.slowUntil + w.after(1/3.4)
	}
	if w.now < e.slowUntil || e == &w.engines[0] && w.now < w.slowedUntil {
		factor *= 2.5
	}
	work, decode := time.Duration(float64(simStep)/factor), time.Duration(0)
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
func (w *world) event(r *simRequest) {
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
	if r.arrived > settled {
		w.streams++
		if r.longest > gapTarget {
			w.late++
		}
	}
}

// TestFewerStreamsAreLate guards against a choice under which as many long streams have a gap
// above the target as without estimates, and one that overloads the engines that it prefers.
func TestFewerStreamsAreLate(t *testing.T) {
	for _, c := range []struct{ share, factor float64 }{{1.0 / 3, 1.3}, {0.5, 2.2}} {
		var late [2]float64
		busiest := 0
		for seed := range uint64(3) {
			for i := range late {
				w := newWorld(seed, c.share, c.factor)
				w.present = i == 0
				w.play(20 * time.Second)
				late[i] += float64(w.late) / float64(w.streams) / 3
				busiest = max(busiest, w.busiest)
			}
		}
		t.Logf("%.2f slower by %.1f: late %.3f, without estimates %.3f; busiest %d", c.share, c.factor, late[1], late[0], busiest)
		assert.LessOrEqual(t, late[1], late[0]*2/3)
		assert.LessOrEqual(t, busiest, simSlots)
	}
}

// TestSlowEngineIsTriedAgain guards against engines that get no streams once they were slow.
func TestSlowEngineIsTriedAgain(t *testing.T) {
	w := newWorld(1, 0, 1)
	w.slowedUntil = 25 * time.Second
	w.play(45 * time.Second)
	before, after := 0, 0
	for _, at := range w.began {
		if at > 15*time.Second && at <= w.slowedUntil {
			before++
		}
		if at > w.slowedUntil {
			after++
		}
	}
	t.Logf("%d streams in the last 10 s of the slowdown, %d in the 20 s after it", before, after)
	assert.Less(t, before, 10*streamsPerSecond/simEngines, "it is avoided while it is slow")
	assert.Positive(t, after)
}
