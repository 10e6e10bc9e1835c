package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// trialStep is the time between two steps of a trialWorld.
const trialStep = 50 * time.Millisecond

// trialWorld plays processes that try the part "a", which is found at the time 0.
type trialWorld struct {
	*rand.Rand
	now       time.Time
	processes []*trialProcess
	mail      []trialMail
	// loss is the share of messages that are lost. In a split the first cut processes reach
	// only each other.
	loss float64
	cut  int
	// disagree has the processes choose different ones for the part.
	disagree bool
	// crashes is set if the part crashes servers. sent counts the trials that reached one,
	// stored is whether the store has the part.
	crashes, stored bool
	sent            int
}

type trialProcess struct {
	name        int
	trials      Trials
	quarantined bool
	// ends is when the trial has its result, zero if its request is not sent yet.
	began, ends time.Time
	trying      bool
	downUntil   time.Time
	// live is what it knows of the processes that it reaches, seen when that was.
	live []int
	seen time.Time
}

type trialMail struct {
	from, to    int
	at          time.Time
	claims      []Claim
	vote, asked bool
	withdrawn   time.Time
}

func newTrialWorld(seed uint64, size int, crashes bool) *trialWorld {
	w := &trialWorld{Rand: rand.New(rand.NewPCG(seed, 3)), now: at(0), crashes: crashes, stored: true}
	for i := range size {
		w.processes = append(w.processes, &trialProcess{name: i})
		w.start(w.processes[i], at(-1000))
	}
	return w
}

func (w *trialWorld) start(p *trialProcess, started time.Time) {
	*p = trialProcess{name: p.name, quarantined: w.stored}
	p.trials = Trials{Self: string(rune('a' + p.name)), Incarnation: uint64(started.UnixMilli()), Started: started}
	if w.stored {
		p.trials.Found("a", at(0).Add(QuarantineTime))
	}
}

func (w *trialWorld) up(p int) bool { return !w.now.Before(w.processes[p].downUntil) }

func (w *trialWorld) reaches(a, b int) bool { return w.up(a) && w.up(b) && (a < w.cut) == (b < w.cut) }

func (w *trialWorld) send(m trialMail) {
	if w.Float64() >= w.loss {
		m.at = w.now.Add(time.Duration(w.IntN(30)) * time.Millisecond)
		w.mail = append(w.mail, m)
	}
}

func (w *trialWorld) sendAll(from int, m trialMail) {
	for _, to := range w.processes {
		m.from, m.to = from, to.name
		if to.name != from {
			w.send(m)
		}
	}
}

func (w *trialWorld) step() {
	w.now = w.now.Add(trialStep)
	mail := w.mail
	w.mail = nil
	for _, m := range mail {
		if w.reaches(m.from, m.to) {
			w.receive(w.processes[m.to], m)
		}
	}
	for _, p := range w.processes {
		if w.up(p.name) {
			w.act(p)
		}
	}
}

func (w *trialWorld) receive(p *trialProcess, m trialMail) {
	if !m.withdrawn.IsZero() {
		p.quarantined = p.quarantined && !p.trials.Withdraw("a", m.withdrawn)
		return
	}
	p.trials.Hear(string(rune('a'+m.from)), "a", m.claims, m.vote)
	if m.asked {
		claims, vote := p.trials.Claims("a")
		w.send(trialMail{from: p.name, to: m.from, claims: claims, vote: vote})
	}
}

// act has a process do what is due, and often gives it a request with the part.
func (w *trialWorld) act(p *trialProcess) {
	if w.now.Sub(p.seen) > 600*time.Millisecond {
		p.seen, p.live = w.now.Add(-time.Duration(w.IntN(300))*time.Millisecond), nil
		for _, other := range w.processes {
			if w.reaches(p.name, other.name) {
				p.live = append(p.live, other.name)
			}
		}
	}
	p.trials.Observe(w.now, len(p.live), len(w.processes))
	switch {
	case p.trying:
		w.try(p)
	case p.quarantined && w.IntN(3) > 0:
		p.began = w.now
		p.trying = p.trials.Begin(w.now, "a", func() bool { return p.live[0] == p.name || w.disagree })
	}
	if len(p.trials.Tell(w.now)) > 0 {
		claims, vote := p.trials.Claims("a")
		w.sendAll(p.name, trialMail{claims: claims, vote: vote, asked: true})
	}
	for part, began := range p.trials.Withdrawn() {
		if w.now.Sub(began) < 5*time.Second {
			w.sendAll(p.name, trialMail{withdrawn: began})
		}
		w.stored = w.stored && part != "a"
	}
}

// try goes on with the trial of a process.
func (w *trialWorld) try(p *trialProcess) {
	switch {
	case p.ends.IsZero() && w.IntN(20) == 0, p.ends.IsZero() && w.now.Sub(p.began) > 500*time.Millisecond:
		p.trying = false
		p.trials.End("a", p.began, false)
	case p.ends.IsZero() && p.trials.Send(w.now, "a", p.began):
		p.ends = w.now.Add(time.Duration(w.IntN(2000)) * time.Millisecond)
		w.sent++
	case !p.ends.IsZero() && !w.now.Before(p.ends):
		p.trying, p.ends = false, time.Time{}
		p.trials.End("a", p.began, true)
		p.quarantined = w.crashes || !p.trials.Withdraw("a", p.began)
	}
}

// disturb kills processes, which start again, and splits the system, at random.
func (w *trialWorld) disturb() {
	switch w.IntN(1000) {
	case 0:
		p := w.processes[w.IntN(len(w.processes))]
		down := w.now.Add(time.Duration(w.IntN(20_000)) * time.Millisecond)
		w.start(p, down)
		p.downUntil = down
	case 1, 2:
		w.cut = w.IntN(len(w.processes))
	case 3, 4, 5, 6:
		w.cut = 0
	}
}

// TestNeverMoreThanTwoTrials guards the limit on requests that reach servers against kills,
// partitions and lost messages.
func TestNeverMoreThanTwoTrials(t *testing.T) {
	total := 0
	for seed := range uint64(150) {
		w := newTrialWorld(seed, 2+int(seed%6), true)
		w.loss, w.disagree = float64(seed%5)/6, seed%2 == 0
		for w.now.Before(at(300_000)) {
			w.step()
			w.disturb()
		}
		assert.LessOrEqual(t, w.sent, maxTrials, "seed %d", seed)
		total += w.sent
	}
	assert.Positive(t, total)
}

// TestTrialsWithoutDisturbance checks that a part that goes on crashing servers is tried
// twice, and that a harmless one is served again within 25 s, in all processes.
func TestTrialsWithoutDisturbance(t *testing.T) {
	for seed := range uint64(60) {
		w := newTrialWorld(seed, 2+int(seed%6), seed%2 == 0)
		w.loss = float64(seed%3) / 10
		for w.now.Before(at(25_000)) {
			w.step()
			assert.False(t, w.sent > 0 && w.now.Before(at(20_000)), "it is too early for a trial")
		}
		assert.Equal(t, 1, w.sent, "seed %d", seed)
		for _, p := range w.processes {
			assert.Equal(t, w.crashes, p.quarantined, "seed %d, process %d", seed, p.name)
		}
		for w.now.Before(at(300_000)) {
			w.step()
		}
		assert.Equal(t, map[bool]int{true: maxTrials, false: 1}[w.crashes], w.sent, "seed %d", seed)
	}
}

// TestWithdrawalAndFinding checks that a withdrawn part does not come back by the finding
// from before its trial, and that a finding after that is not withdrawn.
func TestWithdrawalAndFinding(t *testing.T) {
	until := at(0).Add(QuarantineTime)
	var a, b Trials
	assert.True(t, a.Found("a", until))
	assert.True(t, a.Withdraw("a", at(20_000)))
	assert.True(t, a.Withdraw("a", at(20_500)), "the message comes again")
	assert.False(t, a.Found("a", until.Add(time.Second)))
	a.Observe(at(590_000), 2, 2)
	assert.False(t, a.Found("a", until), "an older build writes it again")
	assert.True(t, a.Found("a", until.Add(21*time.Second)), "another process has found it again")

	assert.True(t, b.Found("a", at(20_100).Add(QuarantineTime)))
	assert.False(t, b.Withdraw("a", at(20_000)))
	assert.False(t, b.Withdraw(RequestSubject(7), at(20_000)), "requests are not tried")
}

// TestOneOfTwoOwnersKeepsTheTrial guards against a trial that both owners leave to each other,
// so that no request is sent and the trial counts as used.
func TestOneOfTwoOwnersKeepsTheTrial(t *testing.T) {
	now := at(20_000)
	list := []*Trials{{Self: "a", Incarnation: 2, Started: at(-1000)}, {Self: "b", Incarnation: 1, Started: at(-1000)}}
	for _, p := range list {
		p.Found("a", at(0).Add(QuarantineTime))
		p.Observe(now.Add(-trialSettle), 2, 2)
		for ms := 15_000; ms <= 20_000; ms += 500 {
			p.Observe(at(ms), 2, 2)
		}
		assert.True(t, p.Begin(now, "a", func() bool { return true }))
	}
	claims, _ := list[0].Claims("a")
	others, _ := list[1].Claims("a")
	list[0].Hear("b", "a", others, true)
	list[1].Hear("a", "a", claims, true)
	answer, vote := list[1].Claims("a")
	list[0].Hear("b", "a", answer, vote)
	assert.True(t, list[0].Send(now.Add(trialNotice), "a", now))
	assert.False(t, list[1].Send(now.Add(trialNotice), "a", now))
}

// TestWithdrawalThatCannotBeRemembered guards against a part whose quarantine is withdrawn
// here and comes back with the next finding from before the trial.
func TestWithdrawalThatCannotBeRemembered(t *testing.T) {
	var w Trials
	for i := range maxSubjects {
		assert.True(t, w.Withdraw(fmt.Sprint("p", i), at(20_000)))
	}
	assert.True(t, w.Found("a", at(0).Add(QuarantineTime)))
	assert.False(t, w.Withdraw("a", at(20_000)))
	assert.Equal(t, 1, w.Len())
	assert.True(t, w.Withdraw("p0", at(20_000)), "it is remembered already")
}
