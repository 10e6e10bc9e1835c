package broker

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/pace"
)

// slowWriter is a client that takes a time for each event.
type slowWriter struct {
	client
	pause time.Duration
}

func (s *slowWriter) Event(text []byte) error {
	time.Sleep(s.pause)
	return s.client.Event(text)
}

// pacedThenBreaks responds with so many events after the gap each, and then breaks the stream.
func pacedThenBreaks(count int, gap time.Duration) behavior {
	return func(ctx context.Context, s *sent) (*Response, error) {
		response, err := paced(count, gap)(ctx, s)
		response.Body = io.NopCloser(io.MultiReader(response.Body, brokenBody{}))
		return response, err
	}
}

// TestGapsAfterAPauseOfTheReader guards against gaps of about 0 of events that came while the reader
// was not ready: an engine with slow clients would look fast.
func TestGapsAfterAPauseOfTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := gapSampler{broker: f.Broker, service: "model", engine: 1}
		read := func(wait time.Duration) {
			s.ready()
			time.Sleep(wait)
			s.event(time.Now())
		}
		read(0)
		time.Sleep(500 * time.Millisecond)
		for range 9 {
			read(0)
		}
		read(20 * time.Millisecond)
		assert.Empty(t, f.GapsMeasured(28))
		read(50 * time.Millisecond)
		assert.Equal(t, []pace.Report{{Engine: 1, Count: 1, Mean: 50 * time.Millisecond}}, f.GapsMeasured(28))
	})
}

// TestGapsOfLongStreams guards against samples that are not gaps of an engine: those of short
// streams, of the time in which this process writes, and of a stream that goes on elsewhere.
func TestGapsOfLongStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.fleet.fallback = paced(10, 50*time.Millisecond)
		f.serve(t.Context(), newPromptRequest("/chat/1", 100, 10))
		assert.Empty(t, f.GapsMeasured(28), "not known to be long yet")
		f.serve(t.Context(), newPromptRequest("/chat/1", 100, 10))
		reports := f.GapsMeasured(28)
		require.Len(t, reports, 1)
		assert.Equal(t, 9, reports[0].Count)
		assert.Equal(t, 50*time.Millisecond, reports[0].Mean)
		assert.Equal(t, int64(2), f.Meters.Value("EventGap.LeMs.50"))

		f.Serve(t.Context(), newPromptRequest("/chat/1", 100, 10), &slowWriter{pause: 2 * maxReaderPause})
		assert.Empty(t, f.GapsMeasured(28), "the reader was not ready")

		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			if s.call.After == "" {
				return pacedThenBreaks(4, 50*time.Millisecond)(ctx, s)
			}
			return delays(time.Second, resumes(3, true))(ctx, s)
		}
		f.routeHolds["talk"] = routeHold{mean: 1}
		got := f.serve(t.Context(), newPromptRequest("/talk/1", 100, 10))
		assert.True(t, got.ended)
		total := time.Duration(0)
		for _, r := range f.GapsMeasured(28) {
			total += time.Duration(r.Count) * r.Mean
		}
		assert.Equal(t, 150*time.Millisecond, total, "the second until it went on is not a gap")
	})
}

// hearGaps tells the broker of 100 gaps at an engine.
func (f *fixture) hearGaps(id string, mean time.Duration) {
	s, _ := f.roster.Find(id, 1)
	f.HearGaps(time.Now(), []pace.Report{{Engine: s.Key(), Count: 100, Mean: mean}, {Engine: 7, Count: 1000}})
}

// TestLongStreamsAvoidSlowEngines guards against long streams at engines that do not meet
// their target, and against any effect on other requests and on a process without estimates.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	f.occupy("d2", 1)
	n := need{key: queueKey{"model", roster.Decode, usage.Long}, perSlot: decodePerSlot, gapTarget: 150 * time.Millisecond, affinity: decodeAffinity}
	v := f.choose(time.Now(), n)
	assert.Equal(t, "d1", v.server.ID, "without estimates the load decides")
	assert.False(t, v.paced)
	f.hearGaps("d1", 100*time.Millisecond)
	f.hearGaps("d2", 80*time.Millisecond)
	v = f.choose(time.Now(), n)
	assert.Equal(t, "d2", v.server.ID)
	assert.True(t, v.paced)
	for hash := range uint64(20) {
		n.prompt = assign.Prompt{Shared: minAffinityTokens - 1, PrefixHash: hash + 1}
		assert.Equal(t, "d2", f.choose(time.Now(), n).server.ID, "a short prefix does not count")
	}
	n.prompt, n.gapTarget = assign.Prompt{}, 0
	assert.Equal(t, "d1", f.choose(time.Now(), n).server.ID, "no token gap target")
	assert.Len(t, f.gaps.services, 1)
	f.HearGaps(time.Now(), []pace.Report{{Engine: 7, Count: 1000, Mean: time.Minute}})
	table := f.gaps.services["model"]
	p, _ := table.Predict(time.Now())
	assert.Less(t, p.Gap(7), 100*time.Millisecond, "an engine that the roster does not have")
}

// TestLocalPrefillSparesLongWork guards against prefills beside long streams while another
// engine meets the target, and against late prefills for the sake of a stream.
func TestLocalPrefillSparesLongWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.recordPrefills("d1", 5*time.Millisecond, 200e3)
		f.recordPrefills("d2", 5*time.Millisecond, 100e3)
		f.recordPrefills("p1", 5*time.Millisecond, 50e3)
		d1, _ := f.roster.Find("d1", 1)
		f.Usage.Start(time.Now(), d1, usage.Long)
		prefill, local := promptOf(1000)
		prefill.startBy = time.Now().Add(prefill.target)
		local.startBy = prefill.startBy
		assert.Equal(t, "d1", f.chooseAnew(time.Now(), local).server.ID, "no long work with a target")
		f.hearGaps("d1", 80*time.Millisecond)
		assert.Equal(t, "d2", f.chooseAnew(time.Now(), local).server.ID)
		short := need{key: queueKey{"model", roster.Decode, usage.Short}, perSlot: decodePerSlot}
		f.occupy("d2", 1)
		assert.Equal(t, "d2", f.choose(time.Now(), short).server.ID, "equal load")
		f.occupy("d2", 1)
		assert.Equal(t, "d1", f.choose(time.Now(), short).server.ID, "no more than a tie-break")

		f.leave("d2")
		v := views{first: f.chooseAnew(time.Now(), prefill)}
		alternative := f.choose(time.Now(), local)
		assert.Equal(t, "d1", alternative.server.ID, "no other decode engine")
		assert.False(t, preferAlternative(v.first, alternative), "the prefill engine ends it in time")
		prefill.startBy = time.Now().Add(20 * time.Millisecond)
		assert.True(t, preferAlternative(f.choose(time.Now(), prefill), alternative), "it would be late there")
		time.Sleep(time.Minute)
		f.Tick(time.Now())
		assert.False(t, f.chooseAnew(time.Now(), local).disturbs, "no long work any more")
	})
}
