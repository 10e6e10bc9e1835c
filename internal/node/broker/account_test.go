package broker

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

const accountList = `"Accounts":[{"Name":"acme","Keys":["k1"],"Priority":1},{"Name":"plain","Keys":["k2"]}],`

// useAccounts gives the fixture a configuration with accounts, in which the route "read" is
// public. All routes but "chat" have the priority 4.
func useAccounts(t *testing.T, f *fixture) {
	text := strings.Replace(routes, `"Routes"`, accountList+`"Routes"`, 1)
	text = strings.Replace(text, `"Name":"read",`, `"Name":"read","Public":true,`, 1)
	text = strings.ReplaceAll(text, `"Kind":"AtMostOnce",`, `"Kind":"AtMostOnce","Priority":4,`)
	tab, err := table.Parse([]byte(text))
	require.NoError(t, err)
	f.Table = func() *table.Table { return tab }
}

// withKey returns a request with the key, none if that is empty. Its OpenFields must not be
// forwarded while accounts are configured.
func withKey(path, key string) *Request {
	r := newRequest(path)
	r.Fields = []call.Field{{Name: "X-A", Value: "1"}}
	if key != "" {
		r.Credential.Add("Token", []byte("Token "+key))
		r.OpenFields = append([]call.Field{{Name: "Authorization", Value: "Token " + key}}, r.Fields...)
	}
	return r
}

// TestRequestsNeedKeys guards against requests that run without a key, rejections that count
// as failures of this system, and public routes that need a key.
func TestRequestsNeedKeys(t *testing.T) {
	for _, c := range []struct {
		path, key       string
		stale           bool
		status          int
		reason, account string
	}{
		{"/once/x", "k1", false, 200, "Answered", "acme"},
		{"/once/x", "K1", false, 401, "Unauthorized", ""},
		{"/once/x", "", false, 401, "Unauthorized", ""},
		{"/read/x", "k1", false, 200, "Answered", "acme"},
		{"/read/x", "k9", false, 200, "Answered", ""},
		{"/read/x", "", false, 200, "Answered", ""},
		{"/none/x", "", false, 404, "NoRoute", ""},
		{"/once/x", "k1", true, 503, "Unconfirmed", ""},
		{"/once/x", "", true, 503, "Unconfirmed", ""},
		{"/read/x", "k1", true, 200, "Answered", ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			useAccounts(t, f)
			seen, logs := observer.New(zap.InfoLevel)
			f.Log = zap.New(seen)
			f.Unconfirmed = func(time.Time) bool { return c.stale }
			reply := f.serve(t.Context(), withKey(c.path, c.key)).replies[0]
			assert.Equal(t, c.status, reply.Status, "%+v", c)
			assert.Equal(t, c.status == 503, reply.RetryAfter > 0, "%+v", c)
			assert.Equal(t, c.status == 401, reply.Challenge, "%+v", c)
			ended := logs.FilterMessage("ended").All()[0].ContextMap()
			assert.Equal(t, c.reason, ended["Reason"], "%+v", c)
			assert.Equal(t, c.status != 404, ended["Account"] == c.account, "%+v", c)
			assert.Equal(t, c.status == 401, f.Meters.Value("Unauthorized") == 1, "%+v", c)
			require.Len(t, f.fleet.sent, map[bool]int{true: 1}[c.status == 200])
			for _, s := range f.fleet.sent {
				assert.Equal(t, []any{c.account, true, 1}, []any{s.call.Account, s.call.Accounts, len(s.call.Request.Fields)}, "%+v", c)
			}
		})
	}
}

// TestWithoutAccountsNothingChanges guards against a deployment without accounts whose
// clients' headers are no longer forwarded.
func TestWithoutAccountsNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Unconfirmed = func(time.Time) bool { return true }
		r := withKey("/once/x", "k9")
		assert.Equal(t, 200, f.serve(t.Context(), r).replies[0].Status)
		got := f.fleet.sent[0].call
		assert.Equal(t, []any{false, "", r.OpenFields}, []any{got.Accounts, got.Account, got.Request.Fields})
	})
}

// TestRequestsAreServedByTheirTable guards against keys that are forwarded, and requests that
// are rejected for a key that was not read, if the configuration changes after the front has
// read a request.
func TestRequestsAreServedByTheirTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		before := f.Table()
		useAccounts(t, f)
		with := f.Table()
		r := withKey("/once/x", "")
		r.Fields, r.Table = append(r.Fields, call.Field{Name: "Authorization", Value: "Token k9"}), before
		assert.Equal(t, 200, f.serve(t.Context(), r).replies[0].Status, "read without accounts")
		f.Table = func() *table.Table { return before }
		r = withKey("/once/x", "k1")
		r.Table = with
		assert.Equal(t, 200, f.serve(t.Context(), r).replies[0].Status, "read with accounts")
		require.Len(t, f.fleet.sent, 2)
		assert.Equal(t, []any{false, true}, []any{f.fleet.sent[0].call.Accounts, f.fleet.sent[1].call.Accounts})
		assert.Len(t, f.fleet.sent[1].call.Request.Fields, 1, "the key is not forwarded")
	})
}

// TestPriorityOfTheAccountCounts guards against queues and coordinators that use the
// priority of the route for an account that has its own.
func TestPriorityOfTheAccountCounts(t *testing.T) {
	f := newFixture(t)
	useAccounts(t, f)
	for key, want := range map[string]int{"k1": 1, "k2": 4} {
		r := withKey("/write/x", key)
		route, _ := f.Table().Match("h", "/write/x")
		j := &job{broker: f.Broker, request: r, out: &client{}, table: f.Table(), route: route}
		require.True(t, j.authenticate())
		assert.Equal(t, want, j.withTiming(need{}).priority)
		assert.Equal(t, want, j.carried().Priority)
	}
}

// TestPeerGetsTheAccountNotTheKey guards against keys in messages to peers, and against a
// request that loses its account and rank on the way.
func TestPeerGetsTheAccountNotTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newFixture(t)
		f, h := newCutFixture(t, map[string]peerBehavior{"p1": servedBy(peer)})
		useAccounts(t, f)
		assert.Equal(t, 200, f.serve(t.Context(), withKey("/write/x", "k1")).replies[0].Status)
		c := h.carried[0]
		assert.Equal(t, []any{true, "acme", 1}, []any{c.Authenticated, c.Account, c.Priority})
		assert.Equal(t, []call.Field{{Name: "X-A", Value: "1"}}, c.Request.Fields)
		assert.Nil(t, c.Request.OpenFields)
		got := peer.fleet.sent[0].call
		assert.Equal(t, []any{true, "acme"}, []any{got.Accounts, got.Account}, "the peer has no accounts yet, and trusts")
		assert.Equal(t, f.Table().Version, c.TableVersion)
	})
}

// TestUncheckedRequestsOfPeers guards against a request without a key that comes in through
// a process of an older build, or one whose configuration has no accounts yet.
func TestUncheckedRequestsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(c Carried) (*memoryHop, *fixture) {
			f := newFixture(t)
			useAccounts(t, f)
			m := &memoryHop{Relay: &carryRelay{job: &job{broker: f.Broker, out: &client{}, request: c.Request, route: &table.Route{}, table: &table.Table{}}}}
			f.ServeCarried(t.Context(), c, m)
			return m, f
		}
		m, f := serve(Carried{Request: newRequest("/write/x"), Service: "plain", TableVersion: 3, MaxAttempts: 2})
		assert.Equal(t, CarryError{Outcome: retry.NotRun, Reason: unauthorized}, *m.refused)
		assert.Empty(t, f.fleet.sent)
		m, f = serve(Carried{Request: newRequest("/read/x"), Service: "plain", TableVersion: 3, MaxAttempts: 2})
		assert.Nil(t, m.refused, "a public route")
		assert.Equal(t, []any{true, ""}, []any{f.fleet.sent[0].call.Accounts, f.fleet.sent[0].call.Account})
	})
}

// TestContentDependsOnTheAccount guards against a quarantine of one account's request that
// holds for another's, or that a client evades with its second key.
func TestContentDependsOnTheAccount(t *testing.T) {
	r := withKey("/read/x", "k1")
	assert.NotEqual(t, r.contentHash("acme"), r.contentHash("plain"))
	assert.NotEqual(t, r.contentHash("acme"), r.contentHash(""))
	assert.Equal(t, r.contentHash("acme"), withKey("/read/x", "k2").contentHash("acme"))
}
