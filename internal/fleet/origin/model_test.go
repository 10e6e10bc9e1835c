package origin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// model is a system of which only the store and the configuration last: whatever a process
// remembers is lost. Streams begin after each step, at processes that know the entry of the
// store as it is and as it was, and are looked up by ones that know it as late as they may.
type model struct {
	now     time.Time
	era     uint64
	keeper  Keeper
	routes  map[string]string // service by prefix
	counts  map[string]map[string]int
	entries []entryAt // the latest last
	streams []modelStream
	// lossy is set once the store has lost records.
	lossy bool
}

type entryAt struct {
	at       time.Time
	defaults Defaults
	routes   map[string]string
}

// modelStream is a stream without a record.
type modelStream struct {
	path  string
	began time.Time
	Origin
	lost bool
}

const (
	modelLife  = time.Minute
	modelTrust = 40 * time.Second
	modelHold  = modelLife + modelTrust
	// modelDeadline is how long clients wait for a stream.
	modelDeadline = 30 * time.Second
)

// modelSteps are what may happen.
var modelSteps = []struct {
	name string
	do   func(m *model)
}{
	{"most have v2", func(m *model) { m.counts["s"] = map[string]int{"v1": 2, "v2": 3} }},
	{"most have v1", func(m *model) { m.counts["s"] = map[string]int{"v1": 3, "v2": 2} }},
	{"v1 has left", func(m *model) { m.counts["s"] = map[string]int{"v2": 3} }},
	{"split", func(m *model) { m.routes["/a/b/"] = "s" }},
	{"split to another service", func(m *model) { m.routes["/a/b/"] = "t" }},
	{"unsplit", func(m *model) { delete(m.routes, "/a/b/") }},
	{"move", func(m *model) { m.routes["/a/"] = "t" }},
	{"move back", func(m *model) { m.routes["/a/"] = "s" }},
	{"kill", func(m *model) { m.keeper = Keeper{} }},
	{"35 s", func(m *model) { m.wait(35 * time.Second) }},
	{"110 s", func(m *model) { m.wait(110 * time.Second) }},
	{"the store goes back", func(m *model) { m.goBack() }},
}

func newModel() *model {
	m := &model{
		now: time.Unix(1000, 0), era: 1, routes: map[string]string{"/a/": "s"},
		counts: map[string]map[string]int{"s": {"v1": 3}, "t": {"w1": 2, "w2": 1}},
	}
	m.keep()
	return m
}

// wait lets time pass, in which the entry is kept.
func (m *model) wait(d time.Duration) {
	for ; d > 0; d -= 5 * time.Second {
		m.now = m.now.Add(5 * time.Second)
		m.keep()
		m.begin(m.latest())
	}
}

// goBack makes the store lose the records of the last seconds.
func (m *model) goBack() {
	m.era++
	m.lossy = true
	for _, version := range []string{"v1", "v2"} {
		m.streams = append(m.streams, modelStream{"/a/1", m.now, Origin{"s", version}, true}, modelStream{"/a/b/1", m.now, Origin{"t", "w2"}, true})
	}
}

func (m *model) latest() entryAt { return m.entries[len(m.entries)-1] }

// asOf returns the entry as it was a time ago.
func (m *model) asOf(age time.Duration) entryAt {
	found := m.entries[0]
	for _, e := range m.entries {
		if !e.at.After(m.now.Add(-age)) {
			found = e
		}
	}
	return found
}

// keep writes the next entry.
func (m *model) keep() {
	var routes []Route
	configured := map[string]string{}
	for _, prefix := range []string{"/a/", "/a/b/"} {
		if service, ok := m.routes[prefix]; ok {
			configured[prefix] = service
			routes = append(routes, Route{Keys("h", prefix), service, m.counts[service]})
		}
	}
	var current Defaults
	if len(m.entries) > 0 {
		current = m.latest().defaults
	}
	next, _ := m.keeper.Next(m.now, m.era, current, routes, modelHold)
	m.entries = append(m.entries, entryAt{m.now, next, configured})
}

// begin begins streams at a process with the entry and configuration, at all versions.
func (m *model) begin(known entryAt) {
	for _, path := range []string{"/a/1", "/a/b/1"} {
		service := known.routes["/a/"]
		if inner, ok := known.routes["/a/b/"]; ok && path == "/a/b/1" {
			service = inner
		}
		for version := range m.counts[service] {
			o := Origin{service, version}
			if unrecorded, ok := known.defaults.Begin(m.era, "h", path); ok && unrecorded == o {
				m.streams = append(m.streams, modelStream{path, m.now, o, false})
			}
		}
	}
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool { return m.now.Sub(s.began) > modelLife })
}

// check returns what is wrong with what is found of the streams without a record.
func (m *model) check() string {
	for _, s := range m.streams {
		for _, age := range []time.Duration{0, completeGap - time.Second} {
			found, known := m.asOf(age).defaults.Find(m.era, "h", s.path)
			if known && found != s.Origin {
				return fmt.Sprintf("guessed: %s of %v that began %v ago is taken for one of %v", s.path, s.Origin, m.now.Sub(s.began), found)
			}
			if !known && age == 0 && !m.lossy && m.now.Sub(s.began) <= modelDeadline {
				return fmt.Sprintf("refused: %s of %v that began %v ago", s.path, s.Origin, m.now.Sub(s.began))
			}
		}
	}
	return ""
}

// play plays steps and returns what is wrong, empty if nothing is.
func (m *model) play(steps []int) string {
	for i, number := range steps {
		m.now = m.now.Add(time.Second)
		modelSteps[number].do(m)
		// A process has the new configuration and not yet the entry.
		m.begin(entryAt{m.now, m.latest().defaults, m.routes})
		m.keep()
		m.begin(m.latest())
		m.begin(m.asOf(modelTrust - time.Second))
		if wrong := m.check(); wrong != "" {
			var names []string
			for _, n := range steps[:i+1] {
				names = append(names, modelSteps[n].name)
			}
			return fmt.Sprintf("%s, after %q", wrong, names)
		}
	}
	return ""
}

// TestStreamsWithoutRecordAreNeitherGuessedNorRefused walks the short sequences of what may
// happen to the configuration, the servers, the processes and the store, and some long ones.
// It guards against streams that go on elsewhere, and against ones that are refused although
// the store has lost nothing.
func TestStreamsWithoutRecordAreNeitherGuessedNorRefused(t *testing.T) {
	const short, long, walks = 3, 14, 600
	var walk func(steps []int)
	walk = func(steps []int) {
		if len(steps) == short {
			if wrong := newModel().play(steps); wrong != "" {
				t.Fatal(wrong)
			}
			return
		}
		for next := range modelSteps {
			walk(append(steps, next))
		}
	}
	walk(make([]int, 0, short))
	random := rand.New(rand.NewPCG(38, 1))
	for range walks {
		steps := make([]int, long)
		for i := range steps {
			steps[i] = random.IntN(len(modelSteps))
		}
		if !assert.Empty(t, newModel().play(steps)) {
			return
		}
	}
}
