package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// relayCalls is a fake feed.Caller: one relay with the objects.
type relayCalls struct {
	objects []*wire.FeedObject

	mu sync.Mutex
	// asked is the address of the last call.
	asked netip.AddrPort
}

// last returns the address of the last call.
func (r *relayCalls) last() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}

func (r *relayCalls) Changes(ctx context.Context, address netip.AddrPort, q *wire.FeedQuery) (*wire.FeedAnswer, error) {
	r.mu.Lock()
	r.asked = address
	r.mu.Unlock()
	answer := &wire.FeedAnswer{}
	for _, p := range q.Positions {
		part := &wire.FeedPart{Kind: p.Kind, Listed: p.List, Revision: 50}
		for _, o := range r.objects {
			if p.List && strings.HasPrefix(o.Key, p.Kind+"/") {
				part.Objects = append(part.Objects, o)
			}
		}
		answer.Parts = append(answer.Parts, part)
	}
	return answer, nil
}

// TestNothingWithoutRelays guards against calls and objects of a part that isn't configured.
func TestNothingWithoutRelays(t *testing.T) {
	n := newNode(t)
	s := &memoryStore{}
	n.Feed, n.RelayCalls = s, &relayCalls{}
	n.prepareRelays()
	assert.Nil(t, n.relayed)
	assert.Same(t, s, n.Feed)
	answer, err := n.Changes(t.Context(), &wire.FeedQuery{Positions: []*wire.FeedPosition{{Kind: "servers", List: true}}})
	require.NoError(t, err)
	assert.True(t, answer.Refused)
	assert.Nil(t, n.debounceRelayed("quarantine", nil))
}

// TestReadsFromARelay guards against a process that calls the store although a relay of its
// zone has all that it needs, its own entry included.
func TestReadsFromARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		s := &memoryStore{}
		calls := &relayCalls{}
		n.Feed, n.Store, n.RelayCalls, n.Relays = s, s, calls, 1
		n.prepareRelays()
		own := peers.Member{Name: n.Name, AvailabilityZone: n.Zone, Address: n.Address, Incarnation: n.incarnation, Cores: n.Cores}
		list := []peers.Member{own}
		for i := range 30 {
			list = append(list, peers.Member{
				Name: fmt.Sprint("p", i), AvailabilityZone: n.Zone, Cores: float64(i), Incarnation: 1,
				Address: netip.MustParseAddrPort(fmt.Sprint("10.0.1.", i, ":7660")),
			})
		}
		n.peers.Replace(list)
		value, err := json.Marshal(own)
		require.NoError(t, err)
		calls.objects = []*wire.FeedObject{{Key: "members/a", Value: value, Version: 7}, {Key: "config/main", Value: config(3), Version: 8}}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.relayed.Run(ctx) }()
		time.Sleep(time.Second)
		page, err := n.Feed.List(ctx, "config", "")
		require.NoError(t, err)
		assert.Len(t, page.Objects, 1)
		assert.Equal(t, "10.0.1.29:7660", calls.last().String(), "the relay has the most cores")
		assert.Zero(t, n.debounceRelayed("config", n.debounce)())
		s.set(true)
		require.NoError(t, n.announceOnce(ctx), "the relay has seen the entry")
		n.incarnation++
		require.Error(t, n.announceOnce(ctx), "the entry has to be written")
		cancel()
		synctest.Wait()
	})
}

// TestRelaysAreNotUsedInSmallSystems guards against relays with fewer processes than 24.
func TestRelaysAreNotUsedInSmallSystems(t *testing.T) {
	n := newNode(t)
	n.Feed, n.RelayCalls, n.Relays = &memoryStore{}, &relayCalls{}, 2
	n.prepareRelays()
	n.peers.Replace([]peers.Member{{Name: "b", AvailabilityZone: n.Zone, Cores: 8}})
	assert.False(t, n.chooseRelays(true).Active)
	_, err := n.relayed.Changes(t.Context(), "config", 1, 0)
	assert.True(t, errors.Is(err, store.ErrForgotten), "asked the store")
}

// pageFeed is a follow.Feed that returns one page.
type pageFeed struct{ page store.Page }

func (f pageFeed) List(context.Context, string, string) (store.Page, error) { return f.page, nil }

func (f pageFeed) Changes(context.Context, string, uint64, time.Duration) (store.Page, error) {
	return f.page, nil
}

// TestRelaysSendNoKeys guards against keys of clients in messages between processes: what a
// relay reads from the store it sends to others.
func TestRelaysSendNoKeys(t *testing.T) {
	const secret = "akn2ftimaj3nr26tta82"
	valid := `{"Version":3,"Accounts":[{"Name":"huka","Keys":["` + secret + `"]}]}`
	f := keylessFeed{pageFeed{store.Page{Objects: []store.Object{
		{Key: "config/main", Value: []byte(valid), Version: 4}, {Key: "config/other", Value: []byte(valid[1:]), Version: 5}, {Key: "config/gone", Removed: true, Version: 6},
	}}}, "config"}
	listed, err := f.List(t.Context(), "config", "")
	require.NoError(t, err)
	changed, err := f.Changes(t.Context(), "config", 3, 0)
	require.NoError(t, err)
	for _, page := range []store.Page{listed, changed} {
		for _, o := range page.Objects {
			assert.NotContains(t, string(o.Value), secret, o.Key)
		}
		read, err := table.Parse(page.Objects[0].Value)
		require.NoError(t, err)
		account, known := read.Accounts.Find(auth.Digest([]byte(secret)))
		assert.True(t, known)
		assert.Equal(t, "huka", account.Name)
		assert.True(t, page.Objects[2].Removed)
	}
	other, err := f.List(t.Context(), "servers", "")
	require.NoError(t, err)
	assert.Equal(t, valid, string(other.Objects[0].Value), "other kinds are unchanged")
}
