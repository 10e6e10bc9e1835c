// Package auth decides whether a client's request may run: it finds the client
// account of the key that the client gave.
//
// Only digests of keys are kept. A key is looked up by its digest, so that the time of
// a comparison reveals nothing about the keys of other clients. Keys, digests and
// credentials print as "[redacted]".
//
// # Usage
//
//	accounts, faults := auth.New([]auth.Entry{{Name: "acme", Keys: []auth.Key{auth.Digest(key)}}})
//
//	var credential auth.Credential
//	credential.Add("Token", []byte("Token 8m82thhk"))
//	account, err := auth.Decide(&accounts, route.Public, credential, false)
//
// Nothing here reads a clock, blocks or calls another process. An Accounts is immutable and
// safe for concurrent use.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Key is the SHA-256 of a client's key.
type Key [sha256.Size]byte

// Digest returns the Key of a client's key.
func Digest(key []byte) Key { return sha256.Sum256(key) }

// redacted is what keys, digests and credentials print as.
const redacted = "[redacted]"

// Format implements fmt.Formatter, so that no verb prints the digest.
func (Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler for JSON and logs.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Hex returns the digest in hexadecimal, as processes send it to each other.
func (k Key) Hex() string { return hex.EncodeToString(k[:]) }

// errDigest is the error of a text that is not a digest. It does not contain the text.
var errDigest = errors.New("not a SHA-256 digest in hexadecimal")

// ParseHex parses the result of Hex.
func ParseHex(text string) (Key, error) {
	var k Key
	if n, err := hex.Decode(k[:], []byte(text)); len(text) != hex.EncodedLen(len(k)) || err != nil || n != len(k) {
		return Key{}, errDigest
	}
	return k, nil
}

// Account is a client account. The zero value is that of a request without a known key.
type Account struct {
	Name string
	// Priority takes precedence over that of the route if Ranked is set; 0 goes first.
	Priority int
	Ranked   bool
}

// Rank returns the priority of a request of the account on a route with the given one.
func (a Account) Rank(route int) int {
	if a.Ranked {
		return a.Priority
	}
	return route
}

// Entry is one entry of the list of accounts.
type Entry struct {
	// Name, Priority and Ranked have the meaning of those of Account.
	Name     string
	Priority int
	Ranked   bool
	Keys     []Key
}

// account returns the account of the entry.
func (e Entry) account() Account {
	return Account{Name: e.Name, Priority: e.Priority, Ranked: e.Ranked}
}

// Fault is an error in the list of accounts. It never contains a key.
type Fault struct {
	// Index is the position of the entry in the list, from 0. Name is the account's, empty
	// if it has none that can be used.
	Index int
	Name  string
	Text  string
}

// String names the account and what is wrong with it.
func (f Fault) String() string {
	if f.Name == "" {
		return fmt.Sprintf("entry %d of Accounts: %s", f.Index, f.Text)
	}
	return fmt.Sprintf("account %q, entry %d of Accounts: %s", f.Name, f.Index, f.Text)
}

// Accounts is the list of client accounts of one configuration. The zero value means
// that no accounts are configured.
type Accounts struct {
	required bool
	// names is the number of different names.
	names   int
	entries []Entry
	// owners has the index of the entry of each key.
	owners map[Key]int
}

// New returns the accounts of a list, which may be empty, and its faults. An entry
// without a name that can be sent in a header is left out; a key that two accounts have
// belongs to neither.
func New(list []Entry) (Accounts, []Fault) {
	a := Accounts{required: true, owners: map[Key]int{}}
	var faults []Fault
	first := map[string]int{}
	shared := map[Key]bool{}
	for i, e := range list {
		if text := nameFault(e.Name); text != "" {
			faults = append(faults, Fault{Index: i, Text: text})
			continue
		}
		if other, ok := first[e.Name]; ok {
			faults = append(faults, Fault{Index: i, Name: e.Name, Text: fmt.Sprintf("entry %d has the same name; the keys of both are valid", other)})
		} else {
			first[e.Name] = i
		}
		keys := e.Keys
		e.Keys = nil
		a.entries = append(a.entries, e)
		own := len(a.entries) - 1
		for _, k := range keys {
			owner, taken := a.owners[k]
			if taken && a.entries[owner].Name != e.Name {
				faults = append(faults, Fault{Index: i, Name: e.Name, Text: fmt.Sprintf("account %q has one of its keys too; the key belongs to neither", a.entries[owner].Name)})
				shared[k] = true
			}
			if !taken {
				a.owners[k] = own
				a.entries[own].Keys = append(a.entries[own].Keys, k)
			}
		}
	}
	a.names = len(first)
	a.remove(shared)
	return a, faults
}

// remove removes the keys that several accounts have.
func (a *Accounts) remove(shared map[Key]bool) {
	if len(shared) == 0 {
		return
	}
	for k := range shared {
		delete(a.owners, k)
	}
	for i := range a.entries {
		kept := a.entries[i].Keys[:0]
		for _, k := range a.entries[i].Keys {
			if !shared[k] {
				kept = append(kept, k)
			}
		}
		a.entries[i].Keys = kept
	}
}

// maxName bounds the name of an account, in bytes. Names are sent in headers and in
// messages between processes, which must fit into one packet.
const maxName = 256

// nameFault returns why a name can't be used, empty if it can. A receiver strips the
// space around the value of a header field, so that a name with such space would be
// another one there.
func nameFault(name string) string {
	switch {
	case name == "":
		return "it has no name, or one that is not a text; it is left out with its keys"
	case len(name) > maxName:
		return fmt.Sprintf("the name has more than %d bytes; it is left out with its keys", maxName)
	case strings.TrimSpace(name) != name:
		return "the name begins or ends with a space, so that it can't be sent in a header; it is left out with its keys"
	case strings.ContainsFunc(name, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }):
		return "the name has a control character, so that it can't be sent in a header; it is left out with its keys"
	}
	return ""
}

// Required reports whether accounts are configured, so that requests need a key unless
// their route is public.
func (a *Accounts) Required() bool { return a.required }

// Find returns the account that holds the key, or false if there is none.
func (a *Accounts) Find(k Key) (Account, bool) {
	i, ok := a.owners[k]
	if !ok {
		return Account{}, false
	}
	return a.entries[i].account(), true
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return a.names }

// Entries returns the valid entries with their valid keys. They must not be changed.
func (a *Accounts) Entries() []Entry { return a.entries }
