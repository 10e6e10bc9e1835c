package core

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const accountConfig = `{"Version":4,"Accounts":[{"Name":"acme","Keys":["secret-1","secret-2"],"Priority":2},{"Keys":["secret-3"]},{"Name":"b","Keys":["secret-2"]}],` +
	`"Routes":[{"Name":"w","Host":"h","Prefix":"/","Kind":"AtMostOnce","Service":"s"}]}`

// TestAccountsBecomeActive guards against faults that nobody is told of, and keys in the log
// or in what peers fetch.
func TestAccountsBecomeActive(t *testing.T) {
	seen, logs := observer.New(zap.DebugLevel)
	a, b := newNode(t), newNode(t)
	a.Log = zap.New(seen)
	for range 2 {
		(&tableView{a}).Change(page(store.Object{Key: "config/main", Value: []byte(accountConfig)}))
	}
	assert.Equal(t, []int64{2, 2}, []int64{a.Meters.Value("AccountFaults"), a.Meters.Value("Accounts")})
	assert.Equal(t, 2, logs.FilterMessage("fault in the list of accounts").Len(), "once each")
	for _, entry := range logs.All() {
		for _, field := range entry.Context {
			assert.NotContains(t, field.String, "secret")
		}
	}
	answer, err := a.Table(t.Context(), &wire.TableQuery{Newer: 3})
	require.NoError(t, err)
	assert.NotContains(t, answer.String(), "secret")
	b.activate(answer.Data, "a")
	for key, want := range map[string]string{"secret-1": "acme", "secret-2": "", "secret-3": ""} {
		account, _ := b.table.Load().Accounts.Find(auth.Digest([]byte(key)))
		assert.Equal(t, want, account.Name, key)
	}
	assert.NotContains(t, newNode(t).Meters.JSON(), "Accounts", "without accounts there is no metric")
}

// TestCarriedAccount guards against an account that is lost on the wire, and against an
// older process whose message reads as checked.
func TestCarriedAccount(t *testing.T) {
	c := carriedRequest("/w/x", nil)
	c.Authenticated, c.Account, c.Priority = true, "acme", 2
	got := decodeCarried(time.Now(), encodeCarried("a", time.Now(), c), nil)
	assert.Equal(t, []any{true, "acme", 2}, []any{got.Authenticated, got.Account, got.Priority})
	assert.False(t, decodeCarried(time.Now(), &wire.CarriedRequest{ID: []byte("r")}, nil).Authenticated)
}

// unreachableFeed is a store whose calls fail while down is set.
type unreachableFeed struct{ down atomic.Bool }

func (f *unreachableFeed) List(context.Context, string, string) (store.Page, error) {
	if f.down.Load() {
		return store.Page{}, errors.ErrUnsupported
	}
	return page(store.Object{Key: "config/main", Value: []byte(accountConfig)}), nil
}

func (f *unreachableFeed) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Page, error) {
	select {
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	case <-time.After(wait):
	}
	if f.down.Load() {
		return store.Page{}, errors.ErrUnsupported
	}
	return page(), nil
}

// TestStrictRevoke guards against a process that is cut off and accepts keys without a
// bound, and against one that rejects them while the store or a peer confirms them.
func TestStrictRevoke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &unreachableFeed{}
		n := newNode(t)
		assert.Nil(t, n.Broker.Unconfirmed, "not strict")
		n.Feed, n.WatchFor, n.StrictRevoke, n.RevokeWithin = feed, 20*time.Second, true, 5*time.Second
		n.Prepare()
		assert.True(t, n.Broker.Unconfirmed(time.Now()), "never confirmed")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = n.tableFollower.Run(ctx) }()
		for range 60 {
			time.Sleep(time.Second)
			require.False(t, n.Broker.Unconfirmed(time.Now()), "the store confirms it, though nothing changes")
		}
		feed.down.Store(true)
		time.Sleep(8 * time.Second)
		assert.True(t, n.Broker.Unconfirmed(time.Now()))
		tell := func(version uint64, confirmedMs uint32) {
			n.sequence++
			n.handleStatus(&wire.News{From: "b", Incarnation: 1, Sequence: n.sequence, TableVersion: version, ConfirmedMs: confirmedMs})
		}
		tell(3, 1)
		tell(5, 1)
		assert.True(t, n.Broker.Unconfirmed(time.Now()), "peers with another version confirm nothing")
		tell(4, 0)
		tell(4, 5000)
		tell(4, 1<<32-1)
		assert.True(t, n.Broker.Unconfirmed(time.Now()), "peers of an older release, or that have lost the store, confirm nothing")
		tell(4, 2000)
		time.Sleep(3*time.Second - 1)
		assert.False(t, n.Broker.Unconfirmed(time.Now()))
		time.Sleep(time.Nanosecond)
		assert.True(t, n.Broker.Unconfirmed(time.Now()), "for what is left of RevokeWithin")
		tell(4, 1)
		status, _ := n.composeStatus()
		assert.Zero(t, status.ConfirmedMs, "a peer's word is not passed on")
		time.Sleep(5 * time.Second)
		feed.down.Store(false)
		time.Sleep(4 * time.Second)
		assert.False(t, n.Broker.Unconfirmed(time.Now()))
		cancel()
		<-done
	})
}

// lateFeed is a store that answers as it should, and whose answers arrive late.
type lateFeed struct {
	unreachableFeed
	late time.Duration
	// answered is when the store last gave an answer.
	answered time.Time
}

func (f *lateFeed) List(ctx context.Context, kind, after string) (store.Page, error) {
	p, err := f.unreachableFeed.List(ctx, kind, after)
	f.arrive(err)
	return p, err
}

func (f *lateFeed) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	p, err := f.unreachableFeed.Changes(ctx, kind, after, wait)
	f.arrive(err)
	return p, err
}

// arrive waits until an answer that is given now arrives.
func (f *lateFeed) arrive(err error) {
	if err == nil {
		f.answered = time.Now()
		time.Sleep(f.late)
	}
}

// TestKeysAreConfirmedAsOfTheStoresAnswer guards against withdrawn keys that go on working for
// longer than RevokeWithin, as an answer of the store that arrived late, or was read late after a
// pause of the process, counts from when it was read.
func TestKeysAreConfirmedAsOfTheStoresAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			feed := &lateFeed{late: late}
			n := newNode(t)
			n.Feed, n.WatchFor, n.StrictRevoke, n.RevokeWithin = feed, 2*time.Second, true, 5*time.Second
			n.Prepare()
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = n.tableFollower.Run(ctx) }()
			time.Sleep(20 * time.Second)
			assert.False(t, n.Broker.Unconfirmed(time.Now()), late)
			feed.down.Store(true)
			time.Sleep(5 * time.Second)
			assert.True(t, n.Broker.Unconfirmed(feed.answered.Add(n.RevokeWithin)), late)
			cancel()
			<-done
		})
	}
}

// TestProcessesCutOffTogether guards against revoked keys that go on working where processes
// without the store confirm each other's configuration, and against a process without the
// store that rejects keys though a peer reaches it.
func TestProcessesCutOffTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		nodes := map[string]*Node{"a": newNode(t), "b": newNode(t)}
		feeds := map[string]*unreachableFeed{"a": {}, "b": {}}
		for name, n := range nodes {
			n.Name, n.Feed, n.WatchFor, n.StrictRevoke, n.RevokeWithin = name, feeds[name], 20*time.Second, true, 5*time.Second
			n.Prepare()
			wait.Go(func() { _ = n.tableFollower.Run(ctx) })
		}
		exchange := func(seconds int) {
			for range 5 * seconds {
				time.Sleep(200 * time.Millisecond)
				toB, _ := nodes["a"].composeStatus()
				toA, _ := nodes["b"].composeStatus()
				nodes["a"].handleStatus(toA)
				nodes["b"].handleStatus(toB)
			}
		}
		exchange(10)
		feeds["a"].down.Store(true)
		for range 30 {
			exchange(1)
			require.False(t, nodes["a"].Broker.Unconfirmed(time.Now()), "b reaches the store")
		}
		feeds["b"].down.Store(true)
		exchange(5)
		for name, n := range nodes {
			assert.True(t, n.Broker.Unconfirmed(time.Now()), name)
		}
		feeds["b"].down.Store(false)
		exchange(4)
		for name, n := range nodes {
			assert.False(t, n.Broker.Unconfirmed(time.Now()), name)
		}
		cancel()
		wait.Wait()
	})
}

// TestPollsStayLongWithoutStrictRevoke guards against more calls of the store than before in
// deployments that do not ask for strict revocation.
func TestPollsStayLongWithoutStrictRevoke(t *testing.T) {
	n := newNode(t)
	n.WatchFor, n.RevokeWithin = 8*time.Second, 2*time.Second
	assert.Equal(t, n.pollTimeout(), n.tablePollTimeout())
	assert.Equal(t, n.Feed, n.tableFeed())
	status, _ := n.composeStatus()
	assert.Zero(t, status.ConfirmedMs)
	n.StrictRevoke = true
	n.prepareRevocation()
	assert.Equal(t, time.Second, n.tablePollTimeout())
}
