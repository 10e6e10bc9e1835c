package origin

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestKeeper plays what happens to the backend servers of a route's service, and which
// default follows.
func TestKeeper(t *testing.T) {
	const hold = time.Minute
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	type versions = map[string]int
	inForce := func(o Origin) []Default { return []Default{{Route: RouteKey("h", "/r/"), Origin: o}} }
	isSuspended := func(o Origin) []Default { return []Default{{Route: RouteKey("h", "/r/"), Origin: o, Suspended: true}} }
	isComplete := func(o Origin) []Default {
		return []Default{{Route: RouteKey("h", "/r/"), Origin: o, Suspended: true, Complete: true}}
	}
	type step struct {
		at       time.Duration
		era      uint64
		service  string
		versions versions
		want     []Default
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"no server yet", []step{{0, 1, "s", nil, nil}, {time.Second, 1, "s", versions{"v1": 1}, inForce(v1)}}},
		{"several services", []step{{0, 1, "", nil, nil}}},
		{"a release", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 1, "s", versions{"v1": 4, "v2": 1}, inForce(v1)},
			{2 * time.Second, 1, "s", versions{"v1": 3, "v2": 3}, inForce(v1)},
			{3 * time.Second, 1, "s", versions{"v1": 2, "v2": 3}, isComplete(v1)},
			{4 * time.Second, 1, "s", versions{"v2": 5}, isComplete(v1)},
			{62 * time.Second, 1, "s", versions{"v2": 5}, isSuspended(v1)},
			{63 * time.Second, 1, "s", versions{"v2": 5}, inForce(v2)},
		}},
		{"the old version stays for long, with few servers", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 1, "s", versions{"v1": 1, "v2": 4}, isComplete(v1)},
			{60 * time.Second, 1, "s", versions{"v1": 1, "v2": 4}, isSuspended(v1)},
			{61 * time.Second, 1, "s", versions{"v1": 1, "v2": 4}, inForce(v2)},
		}},
		{"a few servers for a while", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 1, "s", versions{"v1": 1, "v2": 4}, isComplete(v1)},
			{30 * time.Second, 1, "s", versions{"v1": 3, "v2": 2}, isComplete(v1)},
			{61 * time.Second, 1, "s", versions{"v1": 3, "v2": 2}, inForce(v1)},
		}},
		{"the old version comes back", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 1, "s", versions{"v2": 5}, isComplete(v1)},
			{2 * time.Second, 1, "s", versions{"v1": 5}, isComplete(v1)},
			{61 * time.Second, 1, "s", versions{"v1": 5}, inForce(v1)},
		}},
		{"the route leads elsewhere", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 1, "other", versions{"v1": 5}, isComplete(v1)},
			{61 * time.Second, 1, "other", versions{"v1": 5}, inForce(Origin{"other", "v1"})},
		}},
		{"the store came back from an older copy", []step{
			{0, 1, "s", versions{"v1": 5}, inForce(v1)},
			{time.Second, 2, "s", versions{"v1": 5}, isSuspended(v1)},
			{2 * time.Second, 2, "s", versions{"v1": 5}, isSuspended(v1)},
			{61 * time.Second, 2, "s", versions{"v1": 5}, inForce(v1)},
		}},
	} {
		var keeper Keeper
		var current Defaults
		start := time.Unix(1000, 0)
		for _, s := range c.steps {
			next, changed := keeper.Next(start.Add(s.at), s.era, current, []Route{{Keys("h", "/r/"), s.service, s.versions}}, hold)
			assert.Equal(t, s.want, next.Routes, "%s at %v", c.name, s.at)
			assert.Equal(t, changed, !assert.ObjectsAreEqual(current, next), "%s at %v", c.name, s.at)
			o, known := next.Begin(s.era, "h", "/r/1")
			assert.Equal(t, len(s.want) == 1 && !s.want[0].Suspended, known, "%s at %v", c.name, s.at)
			if known {
				assert.Equal(t, s.want[0].Origin, o)
			}
			o, known = next.Find(s.era, "h", "/r/1")
			assert.Equal(t, len(s.want) == 1 && (!s.want[0].Suspended || s.want[0].Complete), known, "%s at %v", c.name, s.at)
			if known {
				assert.Equal(t, s.want[0].Origin, o)
			}
			for _, find := range []func(uint64, string, string) (Origin, bool){next.Begin, next.Find} {
				_, known = find(s.era+1, "h", "/r/1")
				assert.False(t, known, "records may have been lost")
			}
			current = next
		}
	}
}

// TestKeeperKeepsRemovedRoutes checks that the default of a route is not replaced at once if
// the route is removed for a moment, and is forgotten later.
func TestKeeperKeepsRemovedRoutes(t *testing.T) {
	var keeper Keeper
	now := time.Unix(1000, 0)
	route := Route{Keys("h", "/r/"), "s", map[string]int{"v1": 1}}
	current, _ := keeper.Next(now, 1, Defaults{}, []Route{route}, time.Minute)
	current, _ = keeper.Next(now, 1, current, nil, time.Minute)
	assert.Equal(t, []Default{{Route: RouteKey("h", "/r/"), Origin: Origin{"s", "v1"}, Suspended: true, Complete: true}}, current.Routes)
	route.Versions = map[string]int{"v2": 1}
	again, _ := keeper.Next(now.Add(time.Second), 1, current, []Route{route}, time.Minute)
	assert.True(t, again.Routes[0].Suspended)
	current, _ = keeper.Next(now.Add(time.Minute), 1, current, nil, time.Minute)
	assert.Empty(t, current.Routes)
	assert.Empty(t, keeper.suspended)
}

func TestRecords(t *testing.T) {
	records := []Record{{1, Origin{"a", "v1"}, 0}, {2, Origin{"a", "v1"}, 0}, {1, Origin{"a", "v2"}, 1}, {1 << 63, Origin{"b", ""}, 1}}
	decoded, err := ParseRecords(EncodeRecords(records))
	assert.NoError(t, err)
	assert.Equal(t, records, decoded)
	decoded, err = ParseRecords(EncodeRecords(nil))
	assert.NoError(t, err)
	assert.Empty(t, decoded)
	slices.Reverse(records)
	latest := Latest(records)
	assert.Len(t, latest, 3)
	assert.Equal(t, "v2", latest[1].Version, "the latest attempt counts, in any order")
}

// invalidEntries are entries of another writer.
var invalidEntries = []string{
	"", "null", "7", "[]", "{", `{"Records":7}`, `{"Records":[{"Streams":"!"}]}`, `{"Records":[{"Streams":"AAAA"}]}`, `{"Routes":[{"Route":""}]}`,
	`{"Era":1e99}`, `{"Era":-1}`, `{"Routes":[{"Route":"r","Service":7}]}`, `{"Routes":{"a":[[[[[[]]]]]]}}`,
}

func FuzzParseRecords(f *testing.F) {
	for _, text := range invalidEntries {
		f.Add([]byte(text))
	}
	f.Add(EncodeRecords([]Record{{7, Origin{"a", "v"}, 0}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := ParseRecords(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			assert.Empty(t, records)
			return
		}
		assert.LessOrEqual(t, len(records), MaxRecords)
	})
}

func FuzzParseDefaults(f *testing.F) {
	for _, text := range invalidEntries {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"Era":3,"Routes":[{"Route":"r","Service":"s","Version":"v"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDefaults(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			return
		}
		text, err := json.Marshal(d)
		assert.NoError(t, err)
		assert.NotEmpty(t, text)
	})
}

// TestDefaultsOfOtherBuildsAreReadable checks that an entry is readable by the build before
// and the one after, which run side by side during an upgrade. The one before knows no
// Complete: it takes nothing for known of what is suspended.
func TestDefaultsOfOtherBuildsAreReadable(t *testing.T) {
	old, err := ParseDefaults([]byte(`{"Era":3,"Routes":[{"Route":"` + RouteKey("h", "/r/") + `","Service":"s","Version":"v1","Suspended":true}],"Later":{}}`))
	assert.NoError(t, err)
	_, known := old.Find(3, "h", "/r/1")
	assert.False(t, known, "its writer may have known that records were lost")
	written, err := json.Marshal(Defaults{Era: 3, Routes: []Default{{Route: "r", Origin: Origin{"s", "v1"}, Suspended: true, Complete: true}}})
	assert.NoError(t, err)
	type before struct {
		Era    uint64
		Routes []struct {
			Route, Service, Version string
			Suspended               bool
		}
	}
	var read before
	assert.NoError(t, json.Unmarshal(written, &read))
	assert.Equal(t, "r s v1 true", fmt.Sprint(read.Routes[0].Route, " ", read.Routes[0].Service, " ", read.Routes[0].Version, " ", read.Routes[0].Suspended))
}
