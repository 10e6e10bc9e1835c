package store_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// overNetwork returns a Client of the stand-in's HTTP API.
func overNetwork(t *testing.T, p *platf.Platform) store.API {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: p.Handler, MaxRequestBodySize: 4 << 20}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { listener.Close() })
	return &store.Client{Address: netip.MustParseAddrPort(listener.Addr().String()), Timeout: 2 * time.Second}
}

// TestOddValuesHideNoOther checks that values of another writer that are no JSON, nested too
// deeply or no text arrive as they are, and hide no other object of the watch.
func TestOddValuesHideNoOther(t *testing.T) {
	p := &platf.Platform{}
	api := overNetwork(t, p)
	values := map[string]string{"a/sound": `{"Version":1}`, "a/zound": "1"}
	for i, odd := range []string{strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000), "\x00\xff\xfe", "null", `"]}`, "1e999", "\u2028<"} {
		values[fmt.Sprint("a/odd", i)] = odd
	}
	for key, value := range values {
		_, err := api.Put(t.Context(), store.Object{Key: key, Value: []byte(value)})
		require.NoError(t, err)
	}
	page, err := api.Watch(t.Context(), "a/", 0, time.Second)
	require.NoError(t, err)
	assert.Len(t, page.Objects, len(values))
	for _, o := range page.Objects {
		assert.True(t, values[o.Key] == string(o.Value), o.Key)
		one, err := api.Get(t.Context(), o.Key)
		require.NoError(t, err)
		assert.True(t, values[o.Key] == string(one.Value), o.Key)
	}
}

// TestContract checks that the stand-in itself and the network client before it
// behave as documented at API, so that tests may use either.
func TestContract(t *testing.T) {
	implementations := map[string]func(t *testing.T, p *platf.Platform) store.API{
		"direct":  func(_ *testing.T, p *platf.Platform) store.API { return p },
		"network": overNetwork,
	}
	for name, implement := range implementations {
		t.Run(name, func(t *testing.T) {
			p := &platf.Platform{}
			api := implement(t, p)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			put := func(key, value string, version uint64) (uint64, error) {
				return api.Put(ctx, store.Object{Key: key, Value: []byte(value), Version: version})
			}
			_, err := api.Get(ctx, "a/x")
			require.ErrorIs(t, err, store.ErrAbsent)
			first, err := put("a/x", "1", 0)
			require.NoError(t, err)
			_, err = put("a/x", "2", 0)
			require.ErrorIs(t, err, store.ErrConflict, "creating an object that exists")
			second, err := put("a/x", "2", first)
			require.NoError(t, err)
			assert.Greater(t, second, first)
			_, err = put("a/x", "3", first)
			require.ErrorIs(t, err, store.ErrConflict, "writing on an old version")
			object, err := api.Get(ctx, "a/x")
			require.NoError(t, err)
			assert.Equal(t, store.Object{Key: "a/x", Value: []byte("2"), Version: second}, object)
			_, err = api.Put(ctx, store.Object{Key: "big", Value: make([]byte, store.MaxValue+1)})
			require.ErrorIs(t, err, store.ErrTooLarge)
			_, err = put("b/y", "1", 0)
			require.NoError(t, err)
			page, err := api.Watch(ctx, "a/", 0, time.Second)
			require.NoError(t, err)
			require.Len(t, page.Objects, 1)
			began := time.Now()
			page, err = api.Watch(ctx, "a/", second, 50*time.Millisecond)
			require.NoError(t, err)
			assert.Empty(t, page.Objects)
			assert.GreaterOrEqual(t, time.Since(began), 40*time.Millisecond, "a watch without changes waits")
			go func() { _, _ = put("a/z", "1", 0) }()
			page, err = api.Watch(ctx, "a/", second, 10*time.Second)
			require.NoError(t, err)
			require.Len(t, page.Objects, 1)
			assert.Equal(t, "a/z", page.Objects[0].Key)
			_, err = put("a/x", "", second)
			require.NoError(t, err, "removing")
			_, err = api.Get(ctx, "a/x")
			require.ErrorIs(t, err, store.ErrAbsent)
			p.SetVM(store.VM{Name: "v", AvailabilityZone: "z", Address: netip.MustParseAddr("127.0.0.9"), Leaving: true})
			list, err := api.VMs(ctx, 0)
			require.NoError(t, err)
			require.Len(t, list.VMs, 1)
			assert.True(t, list.VMs[0].Leaving)
			unchanged, err := api.VMs(ctx, list.Revision)
			require.NoError(t, err)
			assert.Empty(t, unchanged.VMs, "the list has not changed")
			p.SetFaults(platf.Faults{LoseAnswers: 1})
			_, err = put("a/lost", "1", 0)
			require.Error(t, err)
			assert.False(t, store.NotWritten(err), "after a lost response the outcome is unknown: %v", err)
			p.SetFaults(platf.Faults{Down: true})
			_, err = put("a/down", "1", 0)
			require.ErrorIs(t, err, store.ErrRefused)
			assert.True(t, store.NotWritten(err))
		})
	}
}

// TestRateLimitRefuses checks that calls over the platform's rate limit fail
// with ErrRefused.
func TestRateLimitRefuses(t *testing.T) {
	p := &platf.Platform{Writes: 5}
	refused := 0
	for range 20 {
		if _, err := p.Put(t.Context(), store.Object{Key: "k", Version: 99, Value: []byte("x")}); errors.Is(err, store.ErrRefused) {
			refused++
		}
	}
	assert.Greater(t, refused, 10)
}

// TestSettle checks that Settle finds the outcome of a write whose responses
// were lost.
func TestSettle(t *testing.T) {
	cases := []struct {
		name string
		// other is whether another writer has written the object before.
		other bool
		// lose is how many responses to writes are lost.
		lose  int
		down  bool
		want  error
		value string
	}{
		{"response received", false, 0, false, nil, "mine"},
		{"response lost once", false, 1, false, nil, "mine"},
		{"responses lost many times", false, 9, false, nil, "mine"},
		{"another write came first", true, 0, false, store.ErrConflict, "other"},
		{"refused", false, 0, true, store.ErrRefused, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &platf.Platform{}
				if c.other {
					_, err := p.Put(t.Context(), store.Object{Key: "k", Value: []byte("other")})
					require.NoError(t, err)
				}
				p.SetFaults(platf.Faults{LoseAnswers: c.lose, Down: c.down})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := store.Settle(ctx, p, store.Object{Key: "k", Value: []byte("mine")}, func(v []byte) bool { return string(v) == "mine" })
				require.ErrorIs(t, err, c.want)
				object, _ := p.Peek("k")
				assert.Equal(t, c.value, string(object.Value))
			})
		})
	}
}
