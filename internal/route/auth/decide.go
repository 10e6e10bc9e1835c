package auth

import "errors"

// Errors of Decide: why a request must not run.
var (
	ErrMissing   = errors.New("the request has no key")
	ErrMalformed = errors.New("the request's key is malformed or given more than once")
	ErrUnknown   = errors.New("the request's key belongs to no account")
	// ErrUnconfirmed means that the process may have an outdated list of accounts.
	ErrUnconfirmed = errors.New("the accounts could not be confirmed in time")
)

// Decide returns the account of a request, or the error that says why it must not run.
// Accounts must be configured. On a public route every request may run, without an
// account if it has no known key. unconfirmed is set if the process must accept no key,
// since its list may be outdated: an unknown key may have been added meanwhile, and the
// route may have become public.
func Decide(a *Accounts, public bool, c Credential, unconfirmed bool) (Account, error) {
	account, err := a.check(c, unconfirmed)
	if err != nil && public {
		return Account{}, nil
	}
	return account, err
}

// check returns the account of a credential.
func (a *Accounts) check(c Credential, unconfirmed bool) (Account, error) {
	switch {
	case unconfirmed:
		return Account{}, ErrUnconfirmed
	case c.state == absent:
		return Account{}, ErrMissing
	case c.state != given:
		return Account{}, ErrMalformed
	}
	account, ok := a.Find(c.key)
	if !ok {
		return Account{}, ErrUnknown
	}
	return account, nil
}

// ErrNoAccount means that no account of the list has the name.
var ErrNoAccount = errors.New("no such client account")

// DecideNamed is Decide for a request with a valid key of the named account, or without a
// key if name is empty. It returns ErrNoAccount if there is no such account.
func DecideNamed(a *Accounts, public bool, name string, unconfirmed bool) (Account, error) {
	account, known := a.named(name)
	switch {
	case name != "" && !known:
		return Account{}, ErrNoAccount
	case unconfirmed && !public:
		return Account{}, ErrUnconfirmed
	case unconfirmed:
		return Account{}, nil
	case name == "" && !public:
		return Account{}, ErrMissing
	}
	return account, nil
}

// named returns the account with the name. If several entries have it, the first one counts.
func (a *Accounts) named(name string) (Account, bool) {
	for _, e := range a.entries {
		if e.Name == name {
			return e.account(), true
		}
	}
	return Account{}, false
}
