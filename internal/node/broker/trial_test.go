package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// trials is a fake Trials that begins one trial.
type trials struct {
	begun, agreed, sent  int
	refused              bool
	ended, reached, done bool
}

func (t *trials) Try(time.Time, uint64, []string) (Trial, bool) {
	t.begun++
	return t, t.begun == 1
}

func (t *trials) Agree(context.Context) bool {
	t.agreed++
	return !t.refused
}

func (t *trials) Send() bool {
	t.sent++
	return true
}

func (t *trials) End(reached, served bool) {
	if t.ended {
		panic("trial ended twice")
	}
	t.ended, t.reached, t.done = true, reached, served
}

// TestTrialIsOneRequestToOneServer checks that a trial is sent to one server only, whatever
// becomes of it, and that only a complete response with a success status proves the part
// harmless.
func TestTrialIsOneRequestToOneServer(t *testing.T) {
	for _, c := range []struct {
		name            string
		path            string
		answer          behavior
		reached, served bool
	}{
		{"served, with an engine for prefills", "/chat/1", events(1, 3, true), true, true},
		{"plain", "/read/", succeeds, true, true},
		{"error status", "/read/", fails, true, false},
		{"crash", "/talk/", breaksOff, true, false},
		{"crash in the stream", "/talk/", events(1, 2, false), true, false},
		{"not connected", "/talk/", unreachable, false, false},
		{"refused by the server, which has got it", "/talk/", rejects, true, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			q := &trials{}
			f.Quarantine, f.Trials = &quarantineList{part: "bad", until: time.Now().Add(time.Minute)}, q
			f.addServer("p", "model", "Prefill")
			f.addServer("d", "model", "Decode")
			f.addServer("e", "model", "Decode")
			f.fleet.fallback = c.answer
			f.serve(t.Context(), newCrashing(c.path))
			assert.Len(t, f.fleet.sent, 1, c.name)
			assert.True(t, q.ended, c.name)
			assert.Equal(t, [2]bool{c.reached, c.served}, [2]bool{q.reached, q.done}, c.name)
			f.serve(t.Context(), newCrashing(c.path))
			assert.Len(t, f.fleet.sent, 1, "no further request is sent: "+c.name)
		})
	}
}

// TestTrialThatPeersRefuseIsNotSent checks that nothing is sent without the peers' votes, and
// that a resumed stream is no trial.
func TestTrialThatPeersRefuseIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		q := &trials{refused: true}
		f.Quarantine, f.Trials = &quarantineList{part: "bad", until: time.Now().Add(time.Minute)}, q
		f.addServer("d", "model", "Decode")
		resumed := newCrashing("/talk/")
		resumed.After = "3"
		f.serve(t.Context(), resumed)
		assert.Zero(t, q.begun)
		c := f.serve(t.Context(), newCrashing("/talk/"))
		assert.Empty(t, f.fleet.sent)
		assert.True(t, q.ended && !q.reached)
		if assert.Len(t, c.replies, 1) {
			assert.Equal(t, 503, c.replies[0].Status)
		}
	})
}
