package crash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBystanderOfARequest checks that a sound request which was retried, and met the same
// crashes as the cause, is kept away only shortly, and not at all once the cause is known.
func TestBystanderOfARequest(t *testing.T) {
	var e Evidence
	for i := range requiredForRequest {
		e.add(at(100*i), i, 7)
		e.add(at(100*i), i, 8)
	}
	now := at(1000)
	assert.ElementsMatch(t, []Cause{{"request:7", bystanderTime}, {"request:8", bystanderTime}}, e.Causes(now, never))
	e.add(at(1000), 10, 7)
	now = at(1500)
	assert.Equal(t, []Cause{{"request:7", QuarantineTime}}, e.Causes(now, never), "it explains the crashes of the other")
	e.add(at(1500), 11, 7)
	e.add(at(1500), 11, 8)
	now = at(2000)
	assert.Empty(t, e.Causes(now, set(map[string]bool{"request:7": true})))
	e.Succeeded("request:8", at(1600))
	assert.Equal(t, []Cause{{"request:7", QuarantineTime}}, e.Causes(now, never))
}

// TestSoundRequestAtCrashesOfTheCauseIsServed checks that a sound request which was sent
// again to servers that another one crashed is not taken for a cause beside that.
func TestSoundRequestAtCrashesOfTheCauseIsServed(t *testing.T) {
	var e Evidence
	for i := range 5 {
		e.add(at(100*i), i, 7)
		if i >= 2 {
			e.add(at(100*i), i, 8)
		}
	}
	assert.Equal(t, []Cause{{"request:7", QuarantineTime}}, e.Causes(at(1000), never))
}

// TestRequestServedBeforeIsNotKeptAwayBesideTheCause checks that a request which many
// clients send, and which was there at the crashes of one that was never served, goes on
// being served.
func TestRequestServedBeforeIsNotKeptAwayBesideTheCause(t *testing.T) {
	for _, causes := range [][]int{{7, 7, 7}, {7, 9, 7}, {7, 7, 9, 7}} {
		var e Evidence
		for i, cause := range causes {
			e.add(at(100*i), i, cause)
			e.add(at(100*i), i, 8)
		}
		e.Succeeded("request:8", at(-1000))
		assert.NotContains(t, e.subjects(at(1000), never), "request:8", causes)
		known := Known(func(subject string) time.Duration {
			return map[string]time.Duration{"request:7": bystanderTime}[subject]
		})
		assert.NotContains(t, e.subjects(at(1000), known), "request:8", "%v: once the cause is kept away", causes)
	}
}

// TestRequestServedBeforeIsNotKeptAwayAtTheFirstCrashOfASecondCause checks the same of a
// request all whose other crashes have a known cause.
func TestRequestServedBeforeIsNotKeptAwayAtTheFirstCrashOfASecondCause(t *testing.T) {
	var e Evidence
	for i, cause := range []int{7, 7, 7, 9} {
		e.add(at(100*i), i, cause)
		e.add(at(100*i), i, 8)
	}
	e.Succeeded("request:8", at(-1000))
	assert.Empty(t, e.Causes(at(1000), set(map[string]bool{"request:7": true})))
}

// TestRequestServedBeforeIsNotKeptAwayWhileNoServerIsUp checks the same where two others end
// all servers within a second, so that nothing is served between the crashes.
func TestRequestServedBeforeIsNotKeptAwayWhileNoServerIsUp(t *testing.T) {
	for _, crashes := range [][][]int{
		{{7}, {9, 8}, {7, 8, 9}, {7, 8, 9}, {7, 8, 9}, {7, 8, 9}},
		{{7, 8}, {7, 8}, {7, 8}, {7, 8}, {7, 8}, {7, 8}},
		{{7, 9, 8}, {7, 9, 8}, {7, 9, 8}, {7, 9, 8}, {7, 9, 8}},
	} {
		var e Evidence
		for i, requests := range crashes {
			for _, request := range requests {
				e.add(at(100*i), i, request)
			}
		}
		e.Succeeded("request:8", at(-1000))
		known := map[string]time.Duration{}
		for range 3 {
			for _, c := range e.Causes(at(1000), func(subject string) time.Duration { return known[subject] }) {
				known[c.Subject] = c.For
			}
		}
		assert.NotZero(t, known["request:7"], crashes)
		assert.Zero(t, known["request:8"], crashes)
	}
}

// TestRequestBesideOneServedBeforeIsInDoubt checks that a request that was never served is
// kept away only shortly if it was never at a crash without one that was served before.
func TestRequestBesideOneServedBeforeIsInDoubt(t *testing.T) {
	var e Evidence
	for i := range requiredForRequest {
		e.add(at(100*i), i, 7)
		e.add(at(100*i), i, 8)
	}
	e.Succeeded("request:8", at(-1000))
	assert.Equal(t, []Cause{{"request:7", bystanderTime}}, e.Causes(at(1000), never))
	e.add(at(1000), 9, 7)
	assert.Equal(t, []Cause{{"request:7", QuarantineTime}}, e.Causes(at(1500), never))
}

// TestRequestServedBeforeIsFoundBesideBystanders checks that a request which crashes
// servers though it was served before is found, whatever was there beside it.
func TestRequestServedBeforeIsFoundBesideBystanders(t *testing.T) {
	for _, beside := range [][]int{nil, {9, 9, 9}, {9, 9, 10, 10, 11}} {
		var e Evidence
		known := map[string]time.Duration{}
		found := func(subject string) time.Duration { return known[subject] }
		for i := range requiredAfterSuccess {
			e.add(at(100*i), i, 8)
			if i < len(beside) {
				e.add(at(100*i), i, beside[i])
			}
			e.Succeeded("request:8", at(-1000))
			for _, c := range e.Causes(at(100*i).Add(settleTime), found) {
				known[c.Subject] = c.For
			}
			if len(beside) == 0 && i+1 == requiredForRequest {
				break
			}
		}
		assert.Positive(t, known["request:8"], beside)
	}
}

// TestSecondCauseIsFoundAtItsNextCrash checks that a request whose crashes another one
// explains is kept away from servers after the next one, at first for a short time, since
// it may be sound, and then for a long one.
func TestSecondCauseIsFoundAtItsNextCrash(t *testing.T) {
	for _, explained := range []int{requiredForRequest - 1, requiredForRequest} {
		var e Evidence
		for i := range explained {
			e.add(at(100*i), i, 7)
			e.add(at(100*i), i, 8)
		}
		known := set(map[string]bool{"request:7": true})
		assert.Empty(t, e.Causes(at(1000), known))
		e.add(at(1000), 10, 8)
		if explained < requiredForRequest {
			assert.Empty(t, e.Causes(at(1500), known))
			continue
		}
		assert.Equal(t, []Cause{{"request:8", bystanderTime}}, e.Causes(at(1500), known))
		e.Found(at(1500), "request:8", bystanderTime)
		again := at(1500).Add(bystanderTime)
		e.add(again, 11, 8)
		assert.Equal(t, []Cause{{"request:8", QuarantineTime}}, e.Causes(again.Add(settleTime), known))
		e.Succeeded("request:8", again.Add(time.Millisecond))
		e.add(again.Add(2*time.Millisecond), 12, 8)
		assert.Empty(t, e.Causes(again.Add(settleTime), known), "it was served")
	}
}

// TestCausesThatAreAlwaysTogetherAreKeptAway checks that two requests which crash servers
// and never come alone are kept away for a long time once they do so again.
func TestCausesThatAreAlwaysTogetherAreKeptAway(t *testing.T) {
	var e Evidence
	for i := range requiredForRequest {
		e.add(at(100*i), i, 7)
		e.add(at(100*i), i, 8)
	}
	for _, c := range e.Causes(at(1000), never) {
		assert.Equal(t, bystanderTime, c.For)
		e.Found(at(1000), c.Subject, c.For)
	}
	again := at(1000).Add(bystanderTime)
	e.add(again, 10, 7)
	e.add(again, 10, 8)
	assert.ElementsMatch(t, []Cause{{"request:7", QuarantineTime}, {"request:8", QuarantineTime}}, e.Causes(again.Add(settleTime), never))
}

// TestDoubtEndsWithASuccess checks that a request that was in doubt and served since is in
// doubt again, and no certain cause, after further crashes beside the cause.
func TestDoubtEndsWithASuccess(t *testing.T) {
	var e Evidence
	for round := range 2 {
		for i := range requiredForRequest {
			ms := round*100_000 + 100*i
			e.add(at(ms), ms, 7)
			e.add(at(ms), ms, 8)
		}
		now := at(round*100_000 + 1000)
		want := []Cause{{"request:7", bystanderTime}, {"request:8", bystanderTime}}
		if round > 0 {
			want[0].For = QuarantineTime
			// The certain cause explains the crashes of the other.
			want = want[:1]
		}
		assert.ElementsMatch(t, want, e.Causes(now, never))
		e.Found(now, "request:7", bystanderTime)
		e.Found(now, "request:8", bystanderTime)
		e.Succeeded("request:8", now.Add(bystanderTime))
	}
}

// TestOneCrashIsEnoughForEachRequestOfAQuarantine guards against three more crashes by a
// request that was found after many others.
func TestOneCrashIsEnoughForEachRequestOfAQuarantine(t *testing.T) {
	var e Evidence
	for i := range maxSubjects {
		e.Found(at(i), RequestSubject(uint64(i)), QuarantineTime)
	}
	again := at(0).Add(QuarantineTime + time.Minute)
	e.add(again, 1, maxSubjects-1)
	assert.Equal(t, []string{RequestSubject(maxSubjects - 1)}, e.subjects(again.Add(settleTime), never))
}

// TestOneCrashIsEnoughAfterAQuarantine checks that a request which crashes servers again
// after its quarantine has ended needs no further proof.
func TestOneCrashIsEnoughAfterAQuarantine(t *testing.T) {
	for _, quarantine := range []time.Duration{QuarantineTime, bystanderTime} {
		var e Evidence
		e.Found(at(0), "request:7", quarantine)
		e.Found(at(0), "bad", quarantine)
		again := at(0).Add(QuarantineTime + time.Minute)
		e.add(again, 1, 7, "bad")
		e.add(again, 1, 8)
		var want []string
		if quarantine == QuarantineTime {
			want = []string{"request:7"}
		}
		assert.Equal(t, want, e.subjects(again.Add(settleTime), never))
		e.Succeeded("request:7", again.Add(time.Millisecond))
		assert.Empty(t, e.Causes(again.Add(settleTime), never), "it was served")
	}
	var e Evidence
	for i := range 2 * maxSubjects {
		e.Found(at(i), RequestSubject(uint64(i)), QuarantineTime)
	}
	assert.Len(t, e.relapses, maxSubjects)
	e.add(at(0).Add(relapseTime+time.Minute), 1, 1)
	assert.Empty(t, e.relapses)
}

// TestForgottenSubjectIsNoRelapse checks that nothing is held against a subject whose
// quarantine was ended by hand.
func TestForgottenSubjectIsNoRelapse(t *testing.T) {
	for _, quarantine := range []time.Duration{QuarantineTime, bystanderTime} {
		var e Evidence
		for i := range requiredForRequest {
			e.add(at(100*i), i, 7)
		}
		e.Succeeded("request:7", at(-1000))
		e.Found(at(1000), "request:7", quarantine)
		e.Forget("request:7")
		assert.Empty(t, e.index)
		assert.Empty(t, e.repeated)
		assert.Zero(t, e.appearances)
		e.add(at(1100), 10, 7)
		assert.Empty(t, e.Causes(at(1500), never))
		e.add(at(1200), 11, 7)
		e.add(at(1200), 11, 8)
		e.add(at(1300), 12, 7)
		e.add(at(1300), 12, 8)
		assert.Equal(t, []Cause{{"request:7", QuarantineTime}}, e.Causes(at(1800), never))
	}
}
