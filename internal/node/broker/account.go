package broker

import (
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// authenticate finds the client account of the request, once its route is known. It
// returns false if the request must not run; it has ended then.
func (j *job) authenticate() bool {
	b, r := j.broker, j.request
	if !j.table.Accounts.Required() {
		if r.OpenFields != nil {
			r.Fields = r.OpenFields
		}
		return true
	}
	j.accounts = true
	r.OpenFields = nil
	stale := b.Unconfirmed != nil && b.Unconfirmed(time.Now())
	account, err := auth.Decide(&j.table.Accounts, j.route.Public, r.Credential, stale)
	switch {
	case err == nil:
		j.account = account
		return true
	case errors.Is(err, auth.ErrUnconfirmed):
		j.reject(unconfirmed)
	default:
		b.Meters.Add("Unauthorized", 1)
		j.outcome = retry.NotRun
		j.endUnanswered(Reply{Status: 401, Challenge: true}, unauthorized, err)
	}
	return false
}

// acceptAccount takes the account of a request that a peer hands over, which has checked
// the key. It returns false if the peer has not, since it is of an older build or has a
// configuration without accounts, and the route needs a key. The request is refused as
// not run then.
func (j *job) acceptAccount(c Carried) bool {
	switch {
	case c.Authenticated:
		j.accounts = true
		j.account = auth.Account{Name: c.Account, Priority: c.Priority, Ranked: true}
	case j.table.Accounts.Required() && !j.route.Public:
		j.reject(unauthorized)
		return false
	default:
		j.accounts = j.table.Accounts.Required()
	}
	return true
}
