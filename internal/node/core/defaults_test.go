package core

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
)

// TestCopyOlderThanTheDefaultsIsNotGuessedFrom guards against a default that is in force at
// once after the store has lost the entry itself.
func TestCopyOlderThanTheDefaultsIsNotGuessedFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{era: 1}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "lost", "v2")
		s.stop()
		s.store.goBack("streams")
		s.store.goBack("origins")
		s.start(t, 3, "v1", "v1", "v2")
		version, source := s.found(s.cluster[1], "lost")
		assert.Equal(t, origin.Unknown, source, version)
		s.end()
	})
}

// TestEmptyOrInvalidDefaultsAreNotReplacedAtOnce guards against another default that is in
// force at once after another writer's entry.
func TestEmptyOrInvalidDefaultsAreNotReplacedAtOnce(t *testing.T) {
	for _, value := range []string{`{}`, `null`, `7`} {
		t.Run(value, func(t *testing.T) { testOddDefaults(t, value) })
	}
}

func testOddDefaults(t *testing.T, value string) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "old", "v1")
		s.stop()
		s.store.mu.Lock()
		o := s.store.objects["origins/"+defaultsName]
		o.Value = []byte(value)
		s.store.objects[o.Key] = o
		s.store.mu.Unlock()
		s.start(t, 3, "v1", "v2", "v2")
		version, _ := s.found(s.cluster[1], "old")
		assert.NotEqual(t, "v2", version, value)
		s.end()
	})
}

// TestKeeperThatWasReplacedMeanwhileHoldsDefaultsSuspended guards against a default that
// changes too early because a process became keeper again and counts from its first time.
func TestKeeperThatWasReplacedMeanwhileHoldsDefaultsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1")
		n := s.cluster[0]
		s.setVersions(n, []string{"v2", "v2"})
		time.Sleep(2 * time.Second)
		n.stopping.Store(true)
		time.Sleep(2 * minStreamLife)
		n.stopping.Store(false)
		time.Sleep(5 * time.Second)
		_, known := n.origins.defaults.begin(time.Now(), "h", "/talk/")
		assert.False(t, known, "this process has kept the entry for 7 s only")
		s.end()
	})
}

// TestStreamsBegunByProcessThatWasToldLateAreNotGuessed guards against another default that is
// in force while streams go on that a process without the store began at the one before.
func TestStreamsBegunByProcessThatWasToldLateAreNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 30 * time.Second
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v1")
		late := newNode(t)
		late.Feed, late.Name = s.store, "late"
		ctx, cut := context.WithCancel(t.Context())
		defer cut()
		go func() { _ = late.follower(late.Keys.OriginsKind, late.origins.defaults, s.poll, nil).Run(ctx) }()
		time.Sleep(2 * time.Second)
		cut()
		for _, n := range s.cluster {
			n.activate([]byte(strings.NewReplacer(`"Version":1`, `"Version":2`, "5000", fmt.Sprint(timeout.Milliseconds())).Replace(talk)), "test")
			s.setVersions(n, []string{"v1", "v2", "v2"})
		}
		time.Sleep(defaultsTrust - 2*time.Second)
		began := time.Now()
		assert.Nil(t, late.origins.Place("r", "h", "/talk/", origin.Origin{Service: "s", Version: "v1"}, 0), "it takes the default to be current")
		for time.Since(began) < 2*timeout-time.Second {
			version, _ := s.found(s.cluster[1], "r")
			if !assert.NotEqual(t, "v2", version, "%v after its beginning", time.Since(began)) {
				break
			}
			time.Sleep(time.Second)
		}
		s.end()
	})
}

// withRoute returns the configuration talk with another route, at a later version.
func withRoute(version int, prefix, service string) string {
	route := strings.NewReplacer(`"talk"`, `"more"`, "/talk/", prefix, `"Service":"s"`, fmt.Sprintf(`"Service":%q`, service))
	first, _, _ := strings.Cut(talk[strings.Index(talk, `{"Name":"talk"`):], "]")
	config := strings.Replace(talk, first, first+","+route.Replace(first), 1)
	config = strings.Replace(config, `"Services":[`, `"Services":[{"Name":"other","Engine":{"Slots":8}},`, 1)
	return strings.Replace(config, `"Version":1`, fmt.Sprintf(`"Version":%d`, version), 1)
}

// TestStreamsOfRouteThatWasSplitAreNotGuessedFromTheNewOne guards against streams that go on at
// the default of a route that was added within theirs after they began.
func TestStreamsOfRouteThatWasSplitAreNotGuessedFromTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1")
		s.begin(s.cluster[0], "old", "v1")
		for _, n := range s.cluster {
			s.setVersions(n, []string{"v1", "v2", "v2"})
		}
		s.configure(withRoute(2, "/talk/shop/", "s"))
		time.Sleep(2500 * time.Millisecond)
		s.restart(t, "v1", "v2", "v2")
		version, _ := s.foundAt(s.cluster[1], "old", "/talk/shop/1")
		assert.NotEqual(t, "v2", version)
		s.end()
	})
}

// TestStreamsOfRemovedRouteAreNotGuessedFromAnother guards against streams that go on at the
// default of a route around theirs after theirs was removed.
func TestStreamsOfRemovedRouteAreNotGuessedFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}, config: withRoute(1, "/talk/shop/", "other")}
		s.start(t, 3, "v1", "v1")
		s.beginAt(s.cluster[0], "old", "/talk/shop/1", origin.Origin{Service: "other", Version: "v7"})
		s.configure(strings.Replace(talk, `"Version":1`, `"Version":2`, 1))
		time.Sleep(3 * time.Second)
		s.beginAt(s.cluster[1], "new", "/talk/shop/1", origin.Origin{Service: "s", Version: "v1"})
		s.restart(t, "v1", "v1")
		version, _ := s.foundAt(s.cluster[1], "old", "/talk/shop/1")
		assert.NotEqual(t, "v1", version)
		version, _ = s.foundAt(s.cluster[1], "new", "/talk/shop/1")
		assert.Equal(t, "v1", version)
		s.end()
	})
}
