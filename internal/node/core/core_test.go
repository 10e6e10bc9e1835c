package core

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

func config(version int) []byte {
	return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[],"Limits":{"IdleTimeoutMs":%d}}`, version, version*1000))
}

func serverEntry(id, fields string) store.Object {
	return store.Object{Key: "servers/" + id, Value: []byte(`{"Service":"s","Address":"10.0.0.1:80","Slots":1,"State":"Ready","born":1` + fields + `}`)}
}

// peerTables is a fake Peers with each process's configuration by address.
type peerTables map[netip.AddrPort][]byte

func (p peerTables) Table(_ context.Context, address netip.AddrPort, _ *wire.TableQuery) (*wire.TableAnswer, error) {
	data, ok := p[address]
	if !ok {
		return nil, errors.New("no such peer")
	}
	return &wire.TableAnswer{Version: 99, Data: data}, nil
}

func newNode(t *testing.T) *Node {
	t.Helper()
	n := &Node{
		Name: "a", Zone: "calicut", Log: zap.NewNop(), Peers: peerTables{}, Address: netip.MustParseAddrPort("10.0.0.1:7660"),
		Keys: Keys{TableKind: "config", TableName: "main", ServersKind: "servers", MembersKind: "members", QuarantineKind: "quarantine", OriginsKind: "origins", StreamsKind: "streams"},
	}
	n.Prepare()
	return n
}

func page(objects ...store.Object) store.Page { return store.Page{Revision: 9, Objects: objects} }

func configObject(version int) store.Object {
	return store.Object{Key: "config/main", Value: config(version)}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	n := newNode(t)
	v := &tableView{n}
	for _, c := range []struct {
		object store.Object
		want   uint64
	}{
		{store.Object{Key: "config/other", Value: config(9)}, 0},
		{configObject(3), 3},
		{configObject(2), 3},
		{configObject(7), 7},
		{store.Object{Key: "config/main", Value: []byte("{"), Version: 11}, 7},
		{store.Object{Key: "config/main", Removed: true}, 7},
		{configObject(7), 7},
		{configObject(8), 8},
	} {
		v.Change(page(c.object))
		assert.Equal(t, c.want, n.Version())
	}
	assert.Equal(t, 8*time.Second, n.Limits().IdleTimeout)
}

func TestReadyAfterAllLists(t *testing.T) {
	n := newNode(t)
	assert.False(t, n.Ready())
	(&tableView{n}).Replace(page(configObject(3)), false)
	assert.False(t, n.Ready(), "the backend servers are not listed yet")
	(&serversView{n}).Replace(page(serverEntry("i-1", "")), false)
	assert.False(t, n.Ready(), "the prompt parts in quarantine are not listed yet")
	quarantineView{n.quarantine}.Replace(page(), false)
	assert.False(t, n.Ready(), "the defaults of streams are not listed yet")
	n.origins.defaults.Replace(page(), false)
	assert.False(t, n.Ready(), "the records of streams are not listed yet")
	n.Feed = &memoryStore{}
	assert.NoError(t, n.origins.recall.list(t.Context()))
	n.streamsListed.Store(true)
	assert.True(t, n.Ready())
	n.stopping.Store(true)
	assert.False(t, n.Ready())
}

func TestInvalidEntryIsNoServer(t *testing.T) {
	n := newNode(t)
	v := &serversView{n}
	v.Replace(page(serverEntry("i-1", ""), serverEntry("i-2", ""), store.Object{Key: "servers/i-3", Value: []byte{0}}), false)
	assert.Len(t, n.roster.Service("s"), 2)
	v.Change(page(serverEntry("i-1", `,"State":7`)))
	assert.Len(t, n.roster.Service("s"), 1, "the other entries stay")
	v.Change(page(serverEntry("i-1", "")))
	assert.Len(t, n.roster.Service("s"), 2)
}

// TestServerIsUsedAgainAfterAnOddEntry checks that a server whose entry another writer has
// replaced by an odd one is used with its own next entry, also if the odd one claims a later
// start.
func TestServerIsUsedAgainAfterAnOddEntry(t *testing.T) {
	n := newNode(t)
	v := &serversView{n}
	v.Replace(page(serverEntry("i-1", `,"Sequence":1`), serverEntry("i-2", "")), false)
	for i, odd := range []string{`,"born":9007199254740991`, `,"born":9e99`, `,"Sequence":9e99`, `,"Slots":1e12`, `,"Address":"10.0.0.1:99999"`} {
		v.Change(page(serverEntry("i-1", odd)))
		assert.Len(t, n.roster.Service("s"), 1, odd)
		v.Change(page(serverEntry("i-1", fmt.Sprintf(`,"Sequence":%d`, 2+i))))
		assert.Len(t, n.roster.Service("s"), 2, odd)
	}
}

// TestOddEntryMakesShortLogLines checks that a line about an odd entry doesn't have all of
// it: one of a megabyte would crowd out the lines of others.
func TestOddEntryMakesShortLogLines(t *testing.T) {
	long := strings.Repeat("7", 1<<20)
	for _, fields := range []string{`,"Slots":` + long, `,"Address":"` + long + `"`, `,"State":"` + long + `"`, `,"Role":"` + long + `"`, `,"Part":` + long, `,"Version":` + long} {
		n := newNode(t)
		var output bytes.Buffer
		n.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&output), zap.InfoLevel))
		o := serverEntry("i-1", fields)
		(&serversView{n}).Change(page(o))
		(&membersView{n}).Change(page(o))
		quarantineView{n.quarantine}.Change(page(o, store.Object{Key: "quarantine/" + long, Value: []byte("{")}))
		(&tableView{n}).Change(page(store.Object{Key: "config/main", Value: o.Value}))
		assert.Contains(t, output.String(), "skipped over")
		assert.Less(t, output.Len(), 10_000, "%.20s", fields)
	}
}

// TestOwnOddEntryIsWrittenAgain checks that a process whose entry another writer has
// replaced by an odd one announces itself again, and that it and its peers keep the members.
func TestOwnOddEntryIsWrittenAgain(t *testing.T) {
	own := store.Object{Key: "members/a", Value: []byte(`{"Name":"a","Address":"10.0.0.1:7660"}`)}
	for _, odd := range []string{`null`, `{"Name":"a","Address":"10.0.0.1:99999"}`, strings.Repeat("[", 20_000), `{"Name":"b","Address":"10.0.0.1:7660"}`} {
		n := newNode(t)
		n.announced.Store(true)
		v := &membersView{n}
		v.Replace(page(own), false)
		v.Change(page(own))
		assert.Empty(t, n.announceNow)
		v.Change(page(store.Object{Key: "members/b", Value: []byte(odd)}))
		assert.Empty(t, n.announceNow, "another's entry")
		v.Change(page(store.Object{Key: "members/a", Value: []byte(odd)}))
		assert.Len(t, n.announceNow, 1, "%.40s", odd)
		_, known := n.peers.Member("a")
		assert.True(t, known, "%.40s", odd)
	}
}

func TestDeparturesAreSentToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newNode(t), newNode(t)
		b.Name, b.peers.Self = "b", "b"
		for _, n := range []*Node{a, b} {
			(&serversView{n}).Replace(page(serverEntry("i-1", ""), serverEntry("i-2", "")), false)
		}
		(&serversView{a}).Change(page(serverEntry("i-1", `,"State":"Leaving","Sequence":2`)))
		message, changed := a.composeStatus()
		assert.True(t, changed)
		b.handleStatus(message)
		require.Len(t, b.roster.Service("s"), 1)
		assert.Equal(t, "i-2", b.roster.Service("s")[0].ID)
		_, changed = a.composeStatus()
		assert.False(t, changed, "nothing has changed")
		time.Sleep(departureTTL)
		message, _ = a.composeStatus()
		assert.Empty(t, message.Departures)
	})
}

// serverEntryAt is a backend server's entry that was written at a revision.
func serverEntryAt(revision uint64, id string, sequence int) store.Object {
	o := serverEntry(id, fmt.Sprintf(`,"Sequence":%d`, sequence))
	o.Version = revision
	return o
}

// removedEntry is the event that a backend server's entry was removed.
func removedEntry(id string) store.Object { return store.Object{Key: "servers/" + id, Removed: true} }

// During a store outage entries expire, while the long poll for changes goes on
// without an error; afterwards all backend servers write their entries again.
// Servers whose entries only expired must be kept, if another task of the process
// saw the outage or if entries vanish in mass.
func TestEntriesExpireDuringLongPoll(t *testing.T) {
	all := []string{"i-1", "i-2", "i-3", "i-4"}
	for _, c := range []struct {
		name string
		// outage is how long the store failed for another task of the process.
		outage  time.Duration
		expired int
		want    int
	}{
		{"no outage", 0, 1, 3},
		{"one failed call", 0, 1, 3},
		{"outage seen by another task's calls", 3 * time.Second, 1, 4},
		{"unnoticed outage, all expired at once", 0, 4, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newNode(t)
			n.LeaveWithin = 2 * time.Second
			v := &serversView{n}
			var listed, removals, rewritten []store.Object
			for i, id := range all {
				listed, rewritten = append(listed, serverEntryAt(3, id, 1)), append(rewritten, serverEntryAt(9, id, 5))
				if i < c.expired {
					removals = append(removals, removedEntry(id))
				}
			}
			v.Replace(store.Page{Revision: 5, Objects: listed}, false)
			n.health.RecordFailure(time.Now(), time.Now(), "other")
			time.Sleep(c.outage)
			n.health.RecordSuccess(time.Now(), "other")
			v.Change(store.Page{Revision: 7, Objects: removals})
			assert.Len(t, n.roster.Service("s"), c.want, c.name)
			time.Sleep(time.Second)
			n.roster.Expire(time.Now())
			assert.Len(t, n.roster.Service("s"), c.want, "%s: a second later", c.name)
			v.Change(store.Page{Revision: 9, Objects: rewritten})
			n.roster.Expire(time.Now().Add(time.Minute))
			assert.Len(t, n.roster.Service("s"), len(all), "%s: all have returned", c.name)
		})
	}
}

// Without a store outage, backend servers whose entries are removed get no
// requests after LeaveWithin, even if all are removed at once and thus are kept
// for a while as possibly expired.
func TestRemovedServerIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		n.LeaveWithin = 2 * time.Second
		v := &serversView{n}
		v.Replace(store.Page{Revision: 5, Objects: []store.Object{serverEntryAt(3, "i-1", 1), serverEntryAt(3, "i-2", 1), serverEntryAt(3, "i-3", 1)}}, false)
		time.Sleep(time.Hour)
		v.Change(store.Page{Revision: 7, Objects: []store.Object{removedEntry("i-1"), removedEntry("i-2"), removedEntry("i-3")}})
		time.Sleep(n.LeaveWithin - n.serversDebounce() - leaveMargin)
		n.roster.Expire(time.Now())
		assert.Empty(t, n.roster.Service("s"))
	})
}

// If only one of two processes noticed a store outage, the other one reports its
// backend servers as departed. These reports, repeated or delayed, must not remove
// a backend server that has written its entry again.
func TestNewerEntryOverridesDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newNode(t), newNode(t)
		b.Name, b.peers.Self = "b", "b"
		views := []*serversView{{node: a}, {node: b}}
		for _, v := range views {
			v.Replace(store.Page{Revision: 5, Objects: []store.Object{serverEntryAt(3, "i-1", 1)}}, false)
		}
		views[0].Change(store.Page{Revision: 7, Objects: []store.Object{removedEntry("i-1")}})
		departed, _ := a.composeStatus()
		b.handleStatus(departed)
		assert.Empty(t, b.roster.Service("s"), "its entry is removed")
		for _, v := range views {
			v.Change(store.Page{Revision: 8, Objects: []store.Object{serverEntryAt(8, "i-1", 2)}})
		}
		for range 3 {
			message, _ := a.composeStatus()
			b.handleStatus(message)
			message, _ = b.composeStatus()
			a.handleStatus(message)
			b.handleStatus(departed)
			assert.Len(t, a.roster.Service("s"), 1)
			assert.Len(t, b.roster.Service("s"), 1)
			time.Sleep(time.Second)
		}
	})
}

func TestConfigurationIsFetchedFromPeer(t *testing.T) {
	for _, c := range []struct {
		name   string
		tables peerTables
		member bool
		want   uint64
	}{
		{"peer has the newer configuration", peerTables{netip.MustParseAddrPort("10.0.0.2:7660"): config(5)}, true, 5},
		{"peer does not respond", peerTables{}, true, 3},
		{"peer has no entry in the store", peerTables{netip.MustParseAddrPort("10.0.0.2:7660"): config(5)}, false, 3},
		{"peer has invalid data", peerTables{netip.MustParseAddrPort("10.0.0.2:7660"): []byte("?")}, true, 3},
		{"peer has an older one", peerTables{netip.MustParseAddrPort("10.0.0.2:7660"): config(2)}, true, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newNode(t)
			n.Peers = c.tables
			n.activate(config(3), "store")
			if c.member {
				n.peers.Set(peers.Member{Name: "b", Address: netip.MustParseAddrPort("10.0.0.2:7660")})
			}
			n.handleStatus(&wire.News{From: "b", Incarnation: 1, Sequence: 1, TableVersion: 5})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.ErrorIs(t, n.fetch(ctx), context.DeadlineExceeded)
			assert.Equal(t, c.want, n.Version(), c.name)
		})
	}
}

func TestTableReturnsOnlyNewerConfiguration(t *testing.T) {
	n := newNode(t)
	response, err := n.Table(t.Context(), &wire.TableQuery{})
	require.NoError(t, err)
	assert.Zero(t, response.Version)
	n.activate(config(4), "store")
	response, err = n.Table(t.Context(), &wire.TableQuery{Newer: 3})
	require.NoError(t, err)
	assert.Equal(t, uint64(4), response.Version)
	assert.Equal(t, config(4), response.Data)
	response, err = n.Table(t.Context(), &wire.TableQuery{Newer: 4})
	require.NoError(t, err)
	assert.Empty(t, response.Data)
}

// fakeStore is a store of one object. Its writes fail with the errors of fails, in
// order, and then succeed.
type fakeStore struct {
	object store.Object
	fails  []error
	puts   int
}

func (s *fakeStore) Get(context.Context, string) (store.Object, error) {
	if len(s.object.Value) == 0 {
		return store.Object{}, store.ErrAbsent
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, object store.Object) (uint64, error) {
	s.puts++
	if len(s.fails) > 0 {
		err := s.fails[0]
		s.fails = s.fails[1:]
		return 0, err
	}
	object.Version = uint64(s.puts)
	s.object = object
	return object.Version, nil
}

// The pause after changes of the backend servers grows with the number of
// processes, but stays below LeaveWithin, within which a leaving backend server must
// stop getting requests.
func TestServersDebounceScalesWithProcesses(t *testing.T) {
	for _, c := range []struct {
		processes         int
		shortest, longest time.Duration
	}{
		{1, 100 * time.Millisecond, 210 * time.Millisecond},
		{6, 100 * time.Millisecond, 210 * time.Millisecond},
		{30, 600 * time.Millisecond, 1050 * time.Millisecond},
		{80, 1125 * time.Millisecond, 1875 * time.Millisecond},
		{700, 1125 * time.Millisecond, 1875 * time.Millisecond},
	} {
		n := newNode(t)
		n.WatchFor, n.LeaveWithin = 2*time.Second, 3*time.Second
		for i := range c.processes - 1 {
			n.handleStatus(&wire.News{From: fmt.Sprint("p", i), Incarnation: 1, Sequence: 1})
		}
		for range 100 {
			pause := n.jittered(n.serversDebounce)()
			assert.GreaterOrEqual(t, pause, c.shortest, c.processes)
			assert.LessOrEqual(t, pause, c.longest, c.processes)
		}
		assert.Positive(t, n.grace(time.Now(), false).MassRemoval, c.processes)
	}
}
