package core

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

func TestAnnounce(t *testing.T) {
	for _, c := range []struct {
		name  string
		value []byte
		fails []error
		puts  int
	}{
		{"new", nil, nil, 1},
		{"from before the restart", []byte(`{"Name":"a","Address":"10.0.0.9:1","Incarnation":1}`), nil, 1},
		{"invalid", []byte(`?`), nil, 1},
		{"the store is down", nil, []error{store.ErrRefused, errors.New("lost")}, 3},
		{"concurrent write", nil, []error{store.ErrConflict}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newNode(t)
			s := &fakeStore{object: store.Object{Value: c.value}, fails: c.fails}
			n.Store = s
			ctx, cancel := context.WithTimeout(t.Context(), announceInterval*2)
			defer cancel()
			assert.ErrorIs(t, n.announce(ctx), context.DeadlineExceeded)
			assert.Equal(t, c.puts, s.puts, "%s: not written again", c.name)
			m, err := peers.Parse(s.object.Value)
			require.NoError(t, err, c.name)
			assert.Equal(t, n.incarnation, m.Incarnation, c.name)
		})
	}
}

func TestMembers(t *testing.T) {
	n := newNode(t)
	v := &membersView{n}
	v.Replace(page(
		store.Object{Key: "members/a", Value: []byte(`{"Name":"a","Address":"10.0.0.1:1"}`)},
		store.Object{Key: "members/b", Value: []byte(`{"Name":"b","Address":"10.0.0.2:1"}`)},
		store.Object{Key: "members/c", Value: []byte(`{"Name":"b","Address":"10.0.0.3:1"}`)},
		store.Object{Key: "members/d", Value: []byte(`?`)},
	), false)
	require.Len(t, n.peers.Peers(), 1)
	v.Change(page(store.Object{Key: "members/e", Value: []byte(`{"Name":"e","Address":"10.0.0.5:1"}`)}))
	assert.Equal(t, 3, n.peers.Members())
	v.Change(page(store.Object{Key: "members/b", Removed: true}))
	assert.Equal(t, 2, n.peers.Members())
}
