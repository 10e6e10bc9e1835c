package table

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sample has a route of each kind, and a field that this release doesn't have.
const sample = `{"Version":7,"Routes":[
 {"Name":"a","Host":"App.Example","Prefix":"/","Kind":"Idempotent","TimeoutMs":1500,"AimMs":300,"Priority":2,"Service":"web","Attempts":2},
 {"Name":"b","Host":"app.example","Prefix":"/jobs/","Kind":"AtMostOnce","TimeoutMs":1500.0,"Service":"jobs","Attempts":0},
 {"Name":"c","Host":"app.example","Prefix":"/jobs/model/","Kind":"Stream","TimeoutMs":15000,"GapMs":150,"Prompted":true,"Resumable":true,
  "Split":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}],"Attempts":2},
 {"Name":"d","Host":"other.example","Prefix":"/jobs/","Kind":"Idempotent","Service":"web"}],
 "Services":[{"Name":"web","HealthPath":"/h","MaxConnections":96},
  {"Name":"x","Engine":{"Slots":8,"CacheTokens":1470480,"TokenBytes":35136,"HandleSeconds":5.0,"SwitchSeconds":3.0},
   "Scaling":{"Min":1,"Max":22,"BootSeconds":4.0,"SpotPrice":0.15,"ZonePrices":{"a":1.0}}}],
 "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"SomethingNew":[1]}`

func parsed(t *testing.T) *Table {
	t.Helper()
	table, err := Parse([]byte(sample))
	require.NoError(t, err)
	return table
}

// TestParse checks the parsed values of a valid table.
func TestParse(t *testing.T) {
	table := parsed(t)
	assert.Equal(t, uint64(7), table.Version)
	c := table.Routes[2]
	assert.Equal(t, 15*time.Second, c.Timeout)
	assert.Equal(t, 150*time.Millisecond, c.TokenGapTarget)
	assert.True(t, c.Repeatable())
	assert.True(t, table.Routes[0].Repeatable())
	assert.False(t, table.Routes[1].Repeatable())
	assert.Equal(t, 1, table.Routes[1].Attempts, "every request gets at least one attempt")
	assert.Equal(t, 5*time.Second, table.Services["x"].Engine.HandleTTL)
	assert.Nil(t, table.Services["web"].Engine)
	assert.Equal(t, Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, table.Limits)
}

// TestMatch checks which route matches, by host and longest prefix.
func TestMatch(t *testing.T) {
	table := parsed(t)
	for _, c := range []struct{ host, path, route string }{
		{"app.example", "/", "a"},
		{"APP.example", "/x/y", "a"},
		{"app.example", "/jobs", "a"},
		{"app.example", "/jobs/", "b"},
		{"app.example", "/jobs/17/items", "b"},
		{"app.example", "/jobs/model", "b"},
		{"app.example", "/jobs/model/z", "c"},
		{"app.example", "/jobs/models/z", "b"},
		{"app.example", "/JOBS/17", "a"},
		{"app.example", "/jobs//model/z", "b"},
		{"other.example", "/jobs/1", "d"},
		{"other.example", "/", ""},
		{"none.example", "/jobs/", ""},
		{"", "/jobs/", ""},
		{"app.example", "", ""},
	} {
		route, found := table.Match(c.host, c.path)
		if c.route == "" {
			assert.False(t, found, "%s%s", c.host, c.path)
			continue
		}
		require.True(t, found, "%s%s", c.host, c.path)
		assert.Equal(t, c.route, route.Name, "%s%s", c.host, c.path)
	}
}

// TestServiceSplitsByWeight checks the split of evenly spread random numbers, and
// the smallest and largest number.
func TestServiceSplitsByWeight(t *testing.T) {
	route := parsed(t).Routes[2]
	counts := map[string]int{}
	for i := range uint64(10000) {
		counts[route.PickService(i*0x9e3779b97f4a7c15)]++
	}
	assert.InDelta(t, 9000, counts["x"], 150)
	assert.InDelta(t, 1000, counts["y"], 150)
	assert.Equal(t, "x", route.PickService(0))
	assert.Equal(t, "y", route.PickService(1<<64-1))
}

// TestParseRejectsInvalidTables checks that each kind of invalid table is an
// error.
func TestParseRejectsInvalidTables(t *testing.T) {
	route := func(fields string) string {
		return fmt.Sprintf(`{"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/","Kind":"Idempotent","Service":"s",%s}]}`, fields)
	}
	for name, data := range map[string]string{
		"not JSON":                   `{"Version":`,
		"no version":                 `{"Routes":[]}`,
		"version is text":            `{"Version":"7"}`,
		"unknown kind":               route(`"Kind":"Sometimes"`),
		"prefix without final slash": route(`"Prefix":"/x"`),
		"relative prefix":            route(`"Prefix":"x/"`),
		"negative weight":            route(`"Split":[{"Service":"s","Weight":-1}]`),
		"total weight of 0":          route(`"Split":[{"Service":"s","Weight":0}]`),
		"no service":                 strings.Replace(route(`"Attempts":1`), `"Service":"s",`, "", 1),
		"timeout is text":            route(`"TimeoutMs":"1s"`),
	} {
		_, err := Parse([]byte(data))
		assert.ErrorIs(t, err, ErrInvalid, name)
	}
}

// FuzzParse checks that Parse and Match don't panic and that every route of a
// valid table matches its own prefix.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"Version":1,"Routes":[{"Prefix":"/"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Parse(data)
		if err != nil {
			return
		}
		for _, r := range table.Routes {
			found, ok := table.Match(r.Host, r.Prefix)
			if !ok || found.Prefix != r.Prefix {
				t.Fatalf("route %q does not match its own prefix", r.Name)
			}
			r.PickService(uint64(len(data)))
		}
	})
}

// BenchmarkParse parses a table of over 400 routes.
func BenchmarkParse(b *testing.B) {
	var routes strings.Builder
	for i := range 400 {
		fmt.Fprintf(&routes, `{"Name":"r%d","Host":"app.example","Prefix":"/r%d/","Kind":"Idempotent","TimeoutMs":1500,"AimMs":300,"Priority":2,"Service":"web","Attempts":2},`, i, i)
	}
	data := []byte(strings.Replace(sample, `"Routes":[`, `"Routes":[`+routes.String(), 1))
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}
