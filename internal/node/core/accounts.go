package core

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// maxFaultLines bounds the log lines about faults in the list of accounts of one
// configuration.
const maxFaultLines = 50

// reportAccounts logs and counts what is wrong with the accounts of a configuration that
// has become active.
func (n *Node) reportAccounts(t *table.Table) {
	if !t.Accounts.Required() {
		return
	}
	n.Meters.Gauge("Accounts", n.countAccounts)
	n.Log.Info("client accounts are active", zap.Uint64("Version", t.Version), zap.Int("Accounts", t.Accounts.Len()), zap.Int("Faults", len(t.AccountFaults)))
	n.Meters.Add("AccountFaults", int64(len(t.AccountFaults)))
	for i, f := range t.AccountFaults {
		if i == maxFaultLines {
			break
		}
		n.Log.Warn("fault in the list of accounts", zap.Uint64("Version", t.Version), zap.String("Fault", short(f.String())))
	}
}

// countAccounts returns the number of accounts of the active configuration.
func (n *Node) countAccounts() int64 {
	t := n.table.Load()
	if t == nil {
		return 0
	}
	return int64(t.Accounts.Len())
}

// prepareRevocation makes the Broker accept no key while the configuration can't be
// confirmed. Without StrictRevoke it does nothing.
func (n *Node) prepareRevocation() {
	if !n.StrictRevoke {
		return
	}
	n.fresh = &auth.Freshness{Within: n.RevokeWithin}
	n.Broker.Unconfirmed = n.fresh.Expired
}

// tableFeed returns the feed of the configuration.
func (n *Node) tableFeed() follow.Feed {
	if n.fresh == nil {
		return n.Feed
	}
	return confirmingFeed{n.Feed, n.fresh}
}

// tablePollTimeout returns the timeout of a long poll of the configuration. Two fit into
// RevokeWithin if each process has to confirm it.
func (n *Node) tablePollTimeout() time.Duration {
	if n.fresh == nil {
		return n.pollTimeout()
	}
	return min(n.pollTimeout(), n.RevokeWithin/2)
}

// confirmByPeer handles a status message of a live peer: if it has the same configuration and
// has confirmed that at the store, it is confirmed here for as long as it is there.
func (n *Node) confirmByPeer(now time.Time, message *wire.News) {
	if n.fresh != nil && message.ConfirmedMs != 0 && message.TableVersion != 0 && message.TableVersion == n.Version() {
		n.fresh.ConfirmByPeer(now, time.Duration(message.ConfirmedMs)*time.Millisecond)
	}
}

// confirmationAge returns the age of the last confirmation at the store for a status message,
// in milliseconds, rounded up, or 0 if no process uses it or no confirmation holds.
func (n *Node) confirmationAge(now time.Time) uint32 {
	if n.fresh == nil {
		return 0
	}
	age, confirmed := n.fresh.Age(now)
	if !confirmed {
		return 0
	}
	return uint32(min(age.Milliseconds()+1, math.MaxUint32))
}

// confirmingFeed confirms the configuration with each successful call. A list shows the
// state when it was called, and changes that when they arrived: none came before. It
// implements follow.Feed.
type confirmingFeed struct {
	follow.Feed
	fresh *auth.Freshness
}

// List implements follow.Feed.
func (f confirmingFeed) List(ctx context.Context, kind, after string) (store.Page, error) {
	called := time.Now()
	page, err := f.Feed.List(ctx, kind, after)
	if err == nil {
		f.fresh.Confirm(called)
	}
	return page, err
}

// Changes implements follow.Feed.
func (f confirmingFeed) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	page, err := f.Feed.Changes(ctx, kind, after, wait)
	if err == nil {
		f.fresh.Confirm(time.Now())
	}
	return page, err
}
