package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/table"
)

// trials is a fake Trials that begins one trial.
type trials struct {
	begun, agreed, sent int
	refused             bool
	// agreeing, if set, is called while the peers are asked.
	agreeing             func()
	ended, reached, done bool
}

func (t *trials) Try(time.Time, uint64, []string) (Trial, bool) {
	t.begun++
	return t, t.begun == 1
}

func (t *trials) Agree(context.Context) bool {
	t.agreed++
	if t.agreeing != nil {
		t.agreeing()
	}
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

// TestTrialIsNotHandedToPeer guards against a trial that a peer without the finding serves
// uncounted: the links are cut while the peers are asked, or by the trial's own failure.
func TestTrialIsNotHandedToPeer(t *testing.T) {
	for _, path := range []string{"/read/", "/talk/", "/chat/"} {
		for _, answer := range []behavior{nil, fails, breaksOff, events(1, 2, false), rejects, unreachable} {
			synctest.Test(t, func(t *testing.T) {
				peer := newFixture(t)
				peer.addVersion("d", "v1")
				f := newFixture(t)
				f.addVersion("d", "v1")
				h := &hops{names: []string{"p1"}, behaviors: map[string]peerBehavior{"p1": servedBy(peer)}}
				f.Carrier = h
				q := &trials{}
				f.Quarantine, f.Trials = &quarantineList{part: "bad", until: time.Now().Add(time.Minute)}, q
				f.fleet.fallback = unreachable
				if answer == nil {
					q.agreeing = f.cutAll
				} else {
					f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
						f.cutAll()
						return answer(ctx, s)
					}
				}
				f.serve(t.Context(), newCrashing(path))
				// The check of the server that broke off ends.
				time.Sleep(time.Minute)
				assert.Empty(t, h.used, path)
				assert.LessOrEqual(t, len(f.fleet.sent), 1)
				assert.Empty(t, peer.fleet.sent)
				assert.True(t, q.ended)
			})
		}
	}
}

// TestTrialDoesNotLeave guards against a trial that counts as sent and is then given up, as the
// server of its permit has stopped responding.
func TestTrialDoesNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFailingFixture(t, unverified, "p1")
		stop := f.run(t)
		f.sendFor(t, time.Second)
		server, _ := f.roster.Find("a", 1)
		j := &job{broker: f.Broker, ctx: t.Context(), route: &table.Route{Kind: table.AtMostOnce, Attempts: 2}, service: table.Service{Name: "plain"}, trial: &trials{}}
		time.Sleep(2 * time.Second)
		assert.False(t, j.leaves(&permit{server: server}))
		j.trial = nil
		assert.True(t, j.leaves(&permit{server: server}))
		stop()
	})
}

// TestFailedTrialIsNotRetried guards against a second request after a trial that failed, also
// if the quarantine has ended meanwhile.
func TestFailedTrialIsNotRetried(t *testing.T) {
	for _, path := range []string{"/read/", "/talk/"} {
		for _, answer := range []behavior{fails, breaksOff, events(1, 2, false), rejects} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.addServer("d", "model", "Decode")
				f.addServer("e", "model", "Decode")
				list := &quarantineList{part: "bad", until: time.Now().Add(time.Minute)}
				f.Quarantine, f.Trials = list, &trials{}
				f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
					list.until = time.Time{}
					return answer(ctx, s)
				}
				f.serve(t.Context(), newCrashing(path))
				time.Sleep(time.Minute)
				assert.Len(t, f.fleet.sent, 1, path)
			})
		}
	}
}
