package feed

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

func object(key string, version uint64) store.Object {
	return store.Object{Key: key, Value: []byte(key), Version: version}
}

// text returns the objects of a page in short.
func text(page store.Page) string {
	parts := []string{fmt.Sprint(page.Revision)}
	for _, o := range page.Objects {
		mark := ""
		if o.Removed {
			mark = "-"
		}
		parts = append(parts, mark+o.Key)
	}
	return strings.Join(parts, " ")
}

// TestHistory guards against changes that are lost or come twice.
func TestHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := func() *history {
		h := &history{}
		_, err := h.replace(now, store.Page{Revision: 10, Objects: []store.Object{object("a", 3), object("b", 5)}})
		assert.NoError(t, err)
		return h
	}
	since := func(h *history, after uint64) string {
		page, err := h.since(after)
		if err != nil {
			return err.Error()
		}
		return text(page)
	}
	forgotten := store.ErrForgotten.Error()

	h := listed()
	assert.Equal(t, "10", since(h, 10))
	assert.Equal(t, "12", since(h, 12), "a follower may be ahead")
	assert.Equal(t, forgotten, since(h, 9))
	assert.Equal(t, errBehind.Error(), since(h, store.Version(1, 1)))
	assert.Equal(t, errBehind.Error(), since(&history{}, 0))

	// The store gives a removal the version of the last value, or none that can be read.
	removed := store.Object{Key: "b", Version: 5, Removed: true}
	_, err := h.update(now, store.Page{Revision: 20, Objects: []store.Object{object("c", 12), removed, object("a", 15), {Key: "d"}}})
	assert.NoError(t, err)
	assert.Equal(t, "20 c -b a d", since(h, 10))
	assert.Equal(t, "20 -b a d", since(h, 12), "the removal came between two changes")
	assert.Equal(t, "20 d", since(h, 15))
	assert.Equal(t, "20 a c d", text(h.list()))
	_, err = h.update(now, store.Page{Revision: 22, Objects: []store.Object{object("b", 21), object("a", 22)}})
	assert.NoError(t, err)
	assert.Equal(t, "22 c d b a", since(h, 10), "the latest change of each object")

	// A list after a failure has what changed meanwhile.
	_, err = h.replace(now, store.Page{Revision: 30, Objects: []store.Object{object("a", 22), object("c", 25)}})
	assert.NoError(t, err)
	assert.Equal(t, "30 c -b -d", since(h, 22))
	_, err = h.replace(now, store.Page{Revision: 29})
	assert.ErrorIs(t, err, errOlder)
	// One that has an older object which was not known begins anew.
	_, err = h.replace(now, store.Page{Revision: 40, Objects: []store.Object{object("a", 22), object("c", 25), object("e", 27)}})
	assert.NoError(t, err)
	assert.Equal(t, forgotten, since(h, 30))

	h = listed()
	_, err = h.replace(now, store.Page{Revision: store.Version(1, 4), Objects: []store.Object{object("a", store.Version(1, 3))}})
	assert.NoError(t, err)
	assert.Equal(t, forgotten, since(h, 10), "another era")
	_, err = h.update(now, store.Page{Revision: 50})
	assert.ErrorIs(t, err, errOlder)

	h = listed()
	for i := range uint64(3) {
		_, err = h.update(now.Add(time.Duration(i)*historyAge), store.Page{Revision: 11 + i, Objects: []store.Object{object("a", 11+i)}})
		assert.NoError(t, err)
	}
	assert.Equal(t, forgotten, since(h, 10), "too old")
	assert.Equal(t, "13 a", since(h, 11))
	large := object("large", 14)
	large.Value = make([]byte, historyBytes)
	_, err = h.update(now.Add(2*historyAge), store.Page{Revision: 14, Objects: []store.Object{large}})
	assert.NoError(t, err)
	assert.Equal(t, forgotten, since(h, 13), "too many bytes")
	assert.Equal(t, "14 a b large", text(h.list()))
	assert.Zero(t, h.bytes)
}

// TestChoose guards against processes that choose different relays although they see the
// same ones, and against relays that cannot serve.
func TestChoose(t *testing.T) {
	var list []Process
	for i := range 40 {
		list = append(list, Process{Name: fmt.Sprint("p", i), AvailabilityZone: fmt.Sprint("z", i%2), Cores: float64(i % 4), Live: true, Heard: true})
	}
	relays := map[string]bool{}
	for _, p := range list {
		c := Choose(p.Name, list, 2, false)
		assert.True(t, c.Active)
		if c.Relay {
			relays[p.Name] = true
			assert.Equal(t, 2+float64(p.AvailabilityZone[1]-'0'), p.Cores, "those with the most cores")
		}
		for _, r := range c.Relays {
			assert.Equal(t, p.AvailabilityZone, r.AvailabilityZone)
			relays[r.Name] = true
		}
	}
	assert.Len(t, relays, 4, "two of each zone, the same for all")
	first := Choose("p0", list, 2, false).Relays
	if len(first) == 2 {
		for i := range list {
			if list[i].Name == first[0].Name {
				list[i].Stopping = true
			}
			if list[i].Name == first[1].Name {
				list[i].Live = false
			}
		}
		for _, r := range Choose("p0", list, 2, false).Relays {
			assert.NotContains(t, []string{first[0].Name, first[1].Name}, r.Name)
		}
	}
	for i := range list {
		list[i].Live, list[i].Heard = false, false
	}
	assert.True(t, Choose("p0", list, 1, false).Relay, "a process that hears nobody reads from the store")
	assert.False(t, Choose("p0", list, 1, true).Relay, "it has just started")
	assert.Equal(t, Choice{}, Choose("p0", list[:MinProcesses-1], 1, false), "a small system")
	assert.Equal(t, Choice{}, Choose("p0", list, 0, false))
}

// TestSharedListsAreFresh guards against a list that began before it was asked for.
func TestSharedListsAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := &Feed{Direct: s, Kinds: kinds, Meters: &meter.Set{}, Log: zap.NewNop()}
		query := &wire.FeedQuery{Kind: "streams", List: true}
		assert.True(t, f.Answer(t.Context(), query).Refused, "no relay")
		f.setRole(true, true)
		for range 3 {
			go func() {
				time.Sleep(storeDelay / 2)
				assert.Len(t, f.Answer(t.Context(), query).Objects, 1)
			}()
		}
		go f.Answer(t.Context(), query)
		time.Sleep(time.Millisecond)
		time.Sleep(storeDelay)
		s.put("streams/x", "x")
		time.Sleep(time.Second)
		assert.Equal(t, 2, s.count())
		s.setDown(true)
		assert.True(t, f.Answer(t.Context(), query).Refused)
		query.Kind = "servers"
		assert.True(t, f.Answer(t.Context(), query).Refused, "kinds that are watched are asked for by position")
	})
}

// forgetful is a store whose watches are forgotten at once.
type forgetful struct{ fakeStore }

func (f *forgetful) Changes(context.Context, string, uint64, time.Duration) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return store.Page{}, errors.Join(errors.New("gone"), store.ErrForgotten)
}

// TestForgottenWatchesAreSpaced guards against a relay that lists without a pause if the
// store forgets changes at once, and one that takes that for an outage although the store
// answers.
func TestForgottenWatchesAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &forgetful{fakeStore{objects: map[string]store.Object{}, changed: make(chan struct{})}}
		f := &Feed{Direct: s, Choose: func() Choice { return Choice{Active: true, Relay: true} }, Kinds: kinds, Meters: &meter.Set{}, Log: zap.NewNop(), Health: &follow.Health{}}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		assert.Error(t, f.Run(ctx))
		_, outage := f.Health.Last(time.Now())
		assert.False(t, outage)
		assert.Less(t, s.count(), 2*20*len(kinds)*int(time.Second/(maxRetry/2)))
	})
}
