package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// TestProcessWhoseEntryIsRemovedAnnouncesItselfAtOnce checks that a process which learns
// from the watch that its entry is gone writes it again within a second.
func TestProcessWhoseEntryIsRemovedAnnouncesItselfAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		s := &fakeStore{}
		n.Store = s
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = n.announce(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		require.NotEmpty(t, s.object.Value)
		s.object = store.Object{}
		(&membersView{n}).Change(page(store.Object{Key: "members/a", Removed: true}))
		time.Sleep(time.Second)
		synctest.Wait()
		require.NotEmpty(t, s.object.Value)
		m, err := peers.Parse(s.object.Value)
		require.NoError(t, err)
		assert.Equal(t, n.incarnation, m.Incarnation)
	})
}
