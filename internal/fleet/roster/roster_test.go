package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

func entryWith(fields string) []byte {
	return []byte(`{"Service":"jobs","Address":"10.1.0.9:8080","AvailabilityZone":"calicut","Slots":6,"State":"Ready","Sequence":4,"born":1000` + fields + `}`)
}

func server(id string, born int64, sequence uint64, state State) Server {
	s, err := Parse(id, entryWith(fmt.Sprintf(`,"State":%q,"born":%d,"Sequence":%d`, state, born, sequence)))
	if err != nil {
		panic(err)
	}
	return s
}

func TestParse(t *testing.T) {
	s, err := Parse("i-1", entryWith(`,"ColdLeftMs":250,"Role":"Decode","new":{}`))
	require.NoError(t, err)
	assert.Equal(t, "jobs", s.Service)
	assert.Equal(t, int64(1000), s.Born)
	assert.Equal(t, Decode, s.Role)
	assert.Equal(t, 250*time.Millisecond, s.WarmupLeft)
}

func TestParseInvalidEntries(t *testing.T) {
	for name, data := range map[string][]byte{
		"no bytes":          nil,
		"not JSON":          []byte("\x00\xff"),
		"a list":            []byte(`[1]`),
		"service missing":   []byte(`{"Address":"10.1.0.9:8080","Slots":6,"State":"Ready","born":1}`),
		"address missing":   []byte(`{"Service":"jobs","Slots":6,"State":"Ready","born":1}`),
		"host name":         entryWith(`,"Address":"host:80"`),
		"address a number":  entryWith(`,"Address":7`),
		"state unknown":     entryWith(`,"State":"Resting"`),
		"state missing":     entryWith(`,"State":null,"State":""`),
		"role unknown":      entryWith(`,"Role":"Cook"`),
		"slots a text":      entryWith(`,"Slots":"6"`),
		"zero slots":        entryWith(`,"Slots":0`),
		"slots a fraction":  entryWith(`,"Slots":1.5`),
		"born a fraction":   entryWith(`,"born":1.5`),
		"born a text":       entryWith(`,"born":"1000"`),
		"born missing":      []byte(`{"Service":"jobs","Address":"10.1.0.9:8080","Slots":6,"State":"Ready"}`),
		"sequence negative": entryWith(`,"Sequence":-1`),
	} {
		_, err := Parse("i-1", data)
		assert.ErrorIs(t, err, ErrInvalidEntry, name)
	}
}

// oddEntries are entries of another writer with values that no backend server has.
func oddEntries() map[string][]byte {
	long := strings.Repeat("x", maxName+1)
	return map[string][]byte{
		"nested":               entryWith(`,"Extra":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)),
		"port 0":               entryWith(`,"Address":"10.1.0.9:0"`),
		"port too large":       entryWith(`,"Address":"10.1.0.9:65536"`),
		"address unspecified":  entryWith(`,"Address":"0.0.0.0:80"`),
		"address of a group":   entryWith(`,"Address":"224.0.0.1:80"`),
		"address of all":       entryWith(`,"Address":"255.255.255.255:80"`),
		"address of version 6": entryWith(`,"Address":"[2001:db8::1]:80"`),
		"slots 1e9":            entryWith(`,"Slots":1e9`),
		"slots 1e999":          entryWith(`,"Slots":1e999`),
		"start in the future":  entryWith(`,"born":9007199254740991`),
		"warmup too long":      entryWith(`,"ColdLeftMs":1e300`),
		"service too long":     entryWith(`,"Service":"` + long + `"`),
		"zone too long":        entryWith(`,"AvailabilityZone":"` + long + `"`),
		"version too long":     entryWith(`,"Version":"` + long + `"`),
		"sequence too large":   entryWith(`,"Sequence":18446744073709551615`),
		"null":                 []byte(`null`),
	}
}

// TestOddEntryNamesNoServer checks that values out of range make an entry that names no
// server, and that an odd ID does.
func TestOddEntryNamesNoServer(t *testing.T) {
	for name, data := range oddEntries() {
		_, err := Parse("i-1", data)
		assert.ErrorIs(t, err, ErrInvalidEntry, name)
	}
	_, err := Parse(strings.Repeat("x", maxName+1), entryWith(""))
	assert.ErrorIs(t, err, ErrInvalidEntry, "ID too long")
	s, err := Parse("i-1", entryWith(`,"Address":"[::ffff:10.1.0.9]:80","ColdLeftMs":-1e300`))
	require.NoError(t, err)
	assert.Equal(t, "10.1.0.9:80 0s", fmt.Sprint(s.Address, " ", s.WarmupLeft))
}

func ids(r *Roster) []string {
	list := []string{}
	for _, s := range r.Service("jobs") {
		list = append(list, s.ID)
	}
	return list
}

func change(r *Roster, s Server) []Change {
	return r.Update(time.Unix(1000, 0), 9, []Event{{Server: s}}, Grace{})
}

func remove(r *Roster, now time.Time, revision uint64) []Change {
	return r.Update(now, revision, []Event{{Server{ID: "a"}, true}}, Grace{})
}

func TestRosterChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := server("a", 1, 1, Ready), server("b", 1, 1, Ready)
	for _, c := range []struct {
		name string
		do   func(r *Roster)
		want []string
	}{
		{"listed", func(*Roster) {}, []string{"a", "b"}},
		{"removed while the store is available", func(r *Roster) { remove(r, now, 9) }, []string{"b"}},
		{"not listed while the store is available", func(r *Roster) { r.Replace(now, 9, []Server{b}, Grace{}) }, []string{"b"}},
		{"expired in a store outage", func(r *Roster) { r.Replace(now, 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)}) }, []string{"a", "b"}},
		{"expired and not written again in time", func(r *Roster) {
			r.Replace(now, 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)})
			r.Expire(now.Add(OutageGrace))
		}, []string{"b"}},
		{"expired, end of the grace period not reached", func(r *Roster) {
			r.Replace(now, 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)})
			r.Expire(now.Add(OutageGrace - 1))
		}, []string{"a", "b"}},
		{"expired and written again", func(r *Roster) {
			r.Replace(now, 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)})
			change(r, server("a", 1, 2, Ready))
			r.Expire(now.Add(OutageGrace))
		}, []string{"a", "b"}},
		{"not listed twice: the grace period counts from the first time", func(r *Roster) {
			r.Replace(now, 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)})
			r.Replace(now.Add(OutageGrace/2), 9, []Server{b}, Grace{Outage: now.Add(OutageGrace)})
			r.Expire(now.Add(OutageGrace))
		}, []string{"b"}},
		{"leaving", func(r *Roster) { change(r, server("a", 1, 2, Leaving)) }, []string{"b"}},
		{"leaving, then an older entry", func(r *Roster) {
			change(r, server("a", 1, 5, Leaving))
			change(r, server("a", 1, 4, Ready))
		}, []string{"b"}},
		{"leaving, then a newer entry of the incarnation that is ready", func(r *Roster) {
			change(r, server("a", 1, 5, Leaving))
			change(r, server("a", 1, 6, Ready))
		}, []string{"b"}},
		{"leaving, then started again", func(r *Roster) {
			change(r, server("a", 1, 5, Leaving))
			change(r, server("a", 2, 0, Ready))
		}, []string{"a", "b"}},
		{"an earlier incarnation's entry", func(r *Roster) {
			change(r, server("a", 2, 0, Ready))
			change(r, server("a", 1, 9, Leaving))
		}, []string{"a", "b"}},
		{"another process reports it leaving", func(r *Roster) { r.MarkLeaving("a", 1, 0, 0) }, []string{"b"}},
		{"another process reports another incarnation leaving", func(r *Roster) { r.MarkLeaving("a", 2, 0, 0) }, []string{"a", "b"}},
	} {
		var r Roster
		r.Replace(now, 9, []Server{a, b}, Grace{})
		c.do(&r)
		assert.Equal(t, c.want, ids(&r), c.name)
	}
}

func TestChanges(t *testing.T) {
	var r Roster
	now := time.Unix(1000, 0)
	assert.Len(t, change(&r, server("a", 1, 1, Ready)), 1)
	assert.Empty(t, change(&r, server("a", 1, 2, Ready)), "a heartbeat is not a change")
	changes := change(&r, server("a", 1, 3, Leaving))
	require.Len(t, changes, 1)
	assert.Equal(t, Changed, changes[0].Kind)
	assert.Zero(t, changes[0].Removed, "its entry was not removed")
	changes = remove(&r, now, 7)
	require.Len(t, changes, 1)
	assert.Equal(t, Left, changes[0].Kind)
	assert.Equal(t, uint64(7), changes[0].Removed)
	assert.Empty(t, remove(&r, now, 8))
}

// The removal of half of all entries, if at least three, counts as a store
// outage: the entries are kept for the given time.
func TestMassRemoval(t *testing.T) {
	now := time.Unix(1000, 0)
	grace := Grace{MassRemoval: time.Second}
	fleet := func(n int) (list []Server) {
		for i := range n {
			list = append(list, server(fmt.Sprint("s", i), 1, 1, Ready))
		}
		return list
	}
	for _, c := range []struct{ known, removed, want int }{
		{12, 1, 11}, {12, 5, 7}, {12, 6, 12}, {12, 12, 12}, {2, 2, 0}, {3, 3, 3}, {4, 2, 2},
	} {
		for _, listed := range []bool{false, true} {
			var r Roster
			r.Replace(now, 5, fleet(c.known), Grace{})
			events := make([]Event, 0, c.removed)
			for _, s := range fleet(c.removed) {
				events = append(events, Event{Server{ID: s.ID}, true})
			}
			if listed {
				r.Replace(now, 9, fleet(c.known)[c.removed:], grace)
			} else {
				r.Update(now, 9, events, grace)
			}
			assert.Len(t, r.Service("jobs"), c.want, "%+v", c)
			r.Expire(now.Add(time.Second))
			assert.Len(t, r.Service("jobs"), c.known-c.removed, "%+v, after the grace period", c)
		}
	}
}

// at returns the server's entry as written at a revision.
func at(revision uint64, s Server) Server {
	s.Revision = revision
	return s
}

// After a store outage, a process finds that an entry has expired in a list, in
// the response to a watch during which the outage took place, or in another
// process's report. Entries expire separately, so that some are found removed
// only some time after the outage.
// TestHoldsAreReported guards against a log from which nobody can tell why and for how long a
// backend server got requests after its entry was removed.
func TestHoldsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Roster
	list := []Server{server("i-1", 1, 1, Ready), server("i-2", 1, 1, Ready), server("i-3", 1, 1, Ready)}
	r.Replace(now, 10, list, Grace{})
	until := now.Add(2 * time.Second)
	missing := r.Replace(now, 11, list[1:], Grace{Outage: until})
	assert.Equal(t, Hold{Outage, until}, missing[0].Hold)
	gone := r.Expire(until.Add(time.Millisecond))
	assert.Equal(t, Change{Server: list[0], Kind: Gone, Removed: 11, Hold: Hold{Outage, until}, Held: 2001 * time.Millisecond}, gone[0])
	assert.Equal(t, gone[0].Held, r.LongestHold())

	left := r.Replace(until.Add(time.Second), 12, list[2:], Grace{})
	assert.Equal(t, Change{Server: list[1], Kind: Left, Removed: 12}, left[0], "it wasn't kept")

	var mass Roster
	mass.Replace(now, 10, list, Grace{})
	for _, c := range mass.Replace(now, 11, nil, Grace{MassRemoval: time.Second}) {
		assert.Equal(t, Hold{MassRemoval, now.Add(time.Second)}, c.Hold)
	}
}

// TestFewMissingEntriesAreKeptForLess guards against a server that left in the moment at which the
// store was back and is kept as if all entries had expired, and against one that is dropped too
// early, as others have written theirs again before.
func TestFewMissingEntriesAreKeptForLess(t *testing.T) {
	now := time.Unix(1000, 0)
	grace := Grace{Outage: now.Add(2200 * time.Millisecond), Few: now.Add(1800 * time.Millisecond)}
	var list []Server
	for i := range 4 {
		s := server(fmt.Sprint("i-", i), 1, 1, Ready)
		s.Revision = uint64(i + 1)
		list = append(list, s)
	}
	written := list[0]
	written.Revision, written.Sequence = 20, 9
	for name, c := range map[string]struct {
		listed []Server
		until  time.Time
	}{
		"one":                    {list[1:], grace.Few},
		"two":                    {list[2:], grace.Few},
		"three":                  {list[3:], grace.Outage},
		"two, and one was":       {[]Server{written, list[3]}, grace.Outage},
		"one, another has moved": {[]Server{written, list[2], list[3]}, grace.Few},
	} {
		var r Roster
		r.Replace(now, 10, list, Grace{})
		for _, change := range r.Replace(now, 21, c.listed, grace) {
			if change.Kind == Missing {
				assert.Equal(t, Hold{Outage, c.until}, change.Hold, name)
			}
		}
	}
}

// TestFewMissingEntriesAreKeptForLessAlsoInAnOutage guards against a server that is kept as if
// many were missing, as it was found missing while the outage lasted.
func TestFewMissingEntriesAreKeptForLessAlsoInAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	graceAt := func(seen time.Time) Grace {
		return Grace{Outage: seen.Add(2200 * time.Millisecond), Settled: seen.Add(3 * time.Second), Few: seen.Add(1800 * time.Millisecond)}
	}
	list := []Server{server("i-0", 1, 1, Ready), server("i-1", 1, 1, Ready), server("i-2", 1, 1, Ready), server("i-3", 1, 1, Ready)}
	for missing, until := range map[int]time.Duration{1: 2800 * time.Millisecond, 2: 2800 * time.Millisecond, 3: 3200 * time.Millisecond} {
		var r Roster
		r.Replace(now, 10, list, Grace{})
		var events []Event
		for _, s := range list[:missing] {
			events = append(events, Event{Server: Server{ID: s.ID}, Removed: true})
		}
		r.Update(now, 11, events, graceAt(now))
		assert.Equal(t, now, r.LastMissing())
		r.Prolong(graceAt(now.Add(time.Second)))
		assert.Empty(t, r.Expire(now.Add(until-1)), missing)
		assert.Len(t, r.Expire(now.Add(until)), missing)
		assert.Zero(t, r.LastMissing())
	}
}

func TestExpiredEntriesReappear(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := at(5, server("a", 1, 1, Ready)), at(5, server("b", 1, 1, Ready))
	removed := func(id string) Event { return Event{Server{ID: id}, true} }
	for _, c := range []struct {
		name string
		do   func(r *Roster)
		want []string
	}{
		{"removed in a wait for changes during the outage", func(r *Roster) {
			r.Update(now, 9, []Event{removed("a"), removed("b")}, Grace{Outage: now.Add(OutageGrace)})
		}, []string{"a", "b"}},
		{"removed in a wait for changes during the outage and not written again in time", func(r *Roster) {
			r.Update(now, 9, []Event{removed("a")}, Grace{Outage: now.Add(OutageGrace)})
			r.Expire(now.Add(OutageGrace))
		}, []string{"b"}},
		{"removed shortly after the outage", func(r *Roster) {
			r.Update(now, 9, []Event{removed("b")}, Grace{Outage: now.Add(OutageGrace)})
			r.Update(now.Add(time.Second), 11, []Event{removed("a"), {Server: at(10, server("b", 1, 2, Ready))}}, Grace{})
		}, []string{"a", "b"}},
		{"removed shortly after the outage: the grace period counts from its end", func(r *Roster) {
			r.Update(now, 9, []Event{removed("b")}, Grace{Outage: now.Add(OutageGrace)})
			r.Update(now.Add(time.Second), 11, []Event{removed("a"), {Server: at(10, server("b", 1, 2, Ready))}}, Grace{})
			r.Expire(now.Add(OutageGrace))
		}, []string{"b"}},
		{"removed long after the outage", func(r *Roster) {
			r.Update(now, 9, nil, Grace{Outage: now.Add(OutageGrace)})
			r.Update(now.Add(OutageGrace), 11, []Event{removed("a")}, Grace{})
		}, []string{"b"}},
		{"removed and written again in one response", func(r *Roster) {
			r.Update(now, 9, []Event{removed("a"), {Server: at(8, server("a", 1, 2, Ready))}}, Grace{Outage: now.Add(OutageGrace)})
			r.Expire(now.Add(OutageGrace))
		}, []string{"a", "b"}},
		{"another process reports the removal", func(r *Roster) { r.MarkLeaving("a", 1, 7, 0) }, []string{"b"}},
		{"another process reports the removal, then written again", func(r *Roster) {
			r.MarkLeaving("a", 1, 7, 0)
			change(r, at(8, server("a", 1, 2, Ready)))
		}, []string{"a", "b"}},
		{"another process reports the removal, then an older entry", func(r *Roster) {
			r.MarkLeaving("a", 1, 7, 0)
			change(r, at(6, server("a", 1, 2, Ready)))
		}, []string{"b"}},
		{"written again, and only then another process reports the removal", func(r *Roster) {
			change(r, at(8, server("a", 1, 2, Ready)))
			r.MarkLeaving("a", 1, 7, 0)
		}, []string{"a", "b"}},
		{"another process reports it leaving, then written again", func(r *Roster) {
			r.MarkLeaving("a", 1, 0, 0)
			change(r, at(8, server("a", 1, 2, Ready)))
		}, []string{"b"}},
		{"missing, then another process reports the removal", func(r *Roster) {
			r.Update(now, 9, []Event{removed("a")}, Grace{Outage: now.Add(OutageGrace)})
			r.MarkLeaving("a", 1, 9, 0)
		}, []string{"b"}},
		{"missing, then another process reports the removal, then written again", func(r *Roster) {
			r.Update(now, 9, []Event{removed("a")}, Grace{Outage: now.Add(OutageGrace)})
			r.MarkLeaving("a", 1, 9, 0)
			change(r, at(10, server("a", 1, 2, Ready)))
			r.Expire(now.Add(OutageGrace))
		}, []string{"a", "b"}},
	} {
		var r Roster
		r.Replace(now.Add(-time.Minute), 5, []Server{a, b}, Grace{})
		c.do(&r)
		assert.Equal(t, c.want, ids(&r), c.name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(entryWith(""))
	for _, data := range oddEntries() {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("i-1", data)
		if err != nil && !errors.Is(err, ErrInvalidEntry) {
			t.Fatal(err)
		}
		if err == nil && (s.Slots < 1 || s.Slots > maxSlots || !s.Address.IsValid() || s.Address.Port() == 0 || s.Service == "" || s.WarmupLeft < 0 || s.Born < 0) {
			t.Fatalf("%+v", s)
		}
	})
}

// An incarnation that has said itself that it leaves is not used again, whatever is
// listed later. The next one is.
func TestAnnouncedServerStaysLeaving(t *testing.T) {
	var r Roster
	now := time.Unix(1000, 0)
	listed := Server{ID: "i-1", Born: 5, Service: "s", State: Ready, Slots: 1, Sequence: 1}
	r.Replace(now, 10, []Server{listed}, Grace{})
	assert.Len(t, r.Announce(now, "i-1", 5), 1)
	assert.Empty(t, r.Announce(now, "i-1", 5), "told once")
	assert.Empty(t, r.Service("s"))
	listed.Sequence = 2
	r.Replace(now, 11, []Server{listed}, Grace{})
	assert.Empty(t, r.Service("s"), "a later heartbeat")
	r.Replace(now, 12, nil, Grace{})
	listed.Sequence = 3
	r.Replace(now.Add(time.Minute), 13, []Server{listed}, Grace{})
	assert.Empty(t, r.Service("s"), "removed and written again")
	listed.Born, listed.Sequence = 6, 0
	r.Replace(now.Add(time.Minute), 14, []Server{listed}, Grace{})
	assert.Len(t, r.Service("s"), 1, "started again")
}

// TestCopiesOfOldEntries checks a store that comes back from an older copy: what it had
// of backend servers that have left since is no news of them.
func TestCopiesOfOldEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(era, revision, sequence uint64) Server {
		return Server{ID: "a", Born: 1, Service: "s", State: Ready, Sequence: sequence, Revision: store.Version(era, revision)}
	}
	for _, c := range []struct {
		name   string
		listed Server
		want   int
	}{
		{"the copy", at(2, 40, 3), 0},
		{"an older copy", at(2, 30, 2), 0},
		{"written again", at(2, 41, 4), 1},
		{"another incarnation", Server{ID: "a", Born: 2, Service: "s", State: Ready, Sequence: 1, Revision: store.Version(2, 41)}, 1},
		{"written again in the same era", at(1, 60, 3), 1},
	} {
		var r Roster
		r.Replace(now, store.Version(1, 45), []Server{at(1, 40, 3)}, Grace{})
		r.Update(now, store.Version(1, 50), []Event{{Server: Server{ID: "a"}, Removed: true}}, Grace{})
		assert.Empty(t, r.Service("s"), c.name)
		r.Replace(now, c.listed.Revision+1, []Server{c.listed}, Grace{})
		assert.Len(t, r.Service("s"), c.want, c.name)
	}
}

// TestDepartureOfAnEarlierEra checks what a peer says of a removal before the store came
// back, at a process that has the entry from the copy.
func TestDepartureOfAnEarlierEra(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		sequence uint64
		want     int
	}{{3, 0}, {4, 1}} {
		var r Roster
		listed := Server{ID: "a", Born: 1, Service: "s", State: Ready, Sequence: c.sequence, Revision: store.Version(2, 41)}
		r.Replace(now, store.Version(2, 45), []Server{listed}, Grace{})
		r.MarkLeaving("a", 1, store.Version(1, 50), 3)
		assert.Len(t, r.Service("s"), c.want, "sequence %d", c.sequence)
	}
}

func TestSuperseded(t *testing.T) {
	server := func(id, address string, born int64) Server {
		return Server{ID: id, Born: born, Service: "s", State: Ready, Address: netip.MustParseAddrPort(address)}
	}
	for _, c := range []struct {
		name  string
		later Server
		want  bool
	}{
		{"another address", server("b", "10.0.0.1:2", 9), false},
		{"its address, started later", server("b", "10.0.0.1:1", 9), true},
		{"its address, started earlier", server("b", "10.0.0.1:1", 3), false},
		{"its ID", server("a", "10.0.0.1:2", 9), true},
	} {
		var r Roster
		first := server("a", "10.0.0.1:1", 5)
		r.Update(time.Now(), 1, []Event{{Server: first}}, Grace{})
		assert.False(t, r.Superseded(first), c.name)
		r.Update(time.Now(), 2, []Event{{Server: c.later}}, Grace{})
		assert.Equal(t, c.want, r.Superseded(first), c.name)
	}
}

func TestVersions(t *testing.T) {
	now := time.Now()
	server := func(id, service, version string) Event {
		return Event{Server: Server{ID: id, Born: 1, Service: service, State: Ready, Version: version}}
	}
	var r Roster
	assert.Empty(t, r.Versions("s"))
	r.Update(now, 1, []Event{server("a", "s", "v1"), server("b", "s", "v1"), server("c", "other", "v2"), server("d", "s", "v2")}, Grace{})
	assert.Equal(t, map[string]int{"v1": 2, "v2": 1}, r.Versions("s"))
	r.Announce(now, "d", 1)
	assert.Equal(t, map[string]int{"v1": 2, "v2": 1}, r.Versions("s"), "streams may go on at a server that leaves")
	r.Update(now, 2, []Event{{Server: Server{ID: "a"}, Removed: true}, {Server: Server{ID: "b"}, Removed: true}}, Grace{})
	assert.Equal(t, map[string]int{"v2": 1}, r.Versions("s"))
}

// TestAllOfAService guards against spot servers that look like others, and leaving ones
// that are not seen: a reclaim would go unnoticed.
func TestAllOfAService(t *testing.T) {
	spot, err := Parse("b", []byte(`{"Service":"s","Address":"10.0.0.1:80","Slots":1,"State":"Leaving","born":1,"Spot":true}`))
	require.NoError(t, err)
	assert.True(t, spot.Spot)
	var r Roster
	r.Replace(time.Time{}, 1, []Server{spot, {ID: "a", Service: "s", State: Ready}, {ID: "c", Service: "t", State: Ready}}, Grace{})
	list := r.All("s")
	require.Len(t, list, 2)
	assert.Equal(t, []string{"a", "b"}, []string{list[0].ID, list[1].ID})
	assert.True(t, list[1].Spot)
	assert.Len(t, r.Service("s"), 1)
}

// TestKeyIsThatOfOtherBuilds guards against processes that take the backend servers in the status
// messages of another build for other ones.
func TestKeyIsThatOfOtherBuilds(t *testing.T) {
	for _, id := range []string{"", "i-1", strings.Repeat("i", 2*keyBytes)} {
		assert.Equal(t, xxhash.Sum64String(id+"/-7"), Key(id, -7))
		assert.Equal(t, xxhash.Sum64String(id+"/1771089897728"), Key(id, 1771089897728))
	}
}
