// Package store is the client of the platform's object API, a key-value store
// with compare-and-swap writes and long-poll watches.
//
// The platform stores objects of up to 1 MiB, each under a key. Every write
// gives the object a new version from one counter that increases over all
// objects of the platform. A write names the version that it replaces, so that
// one of two concurrent writes fails with ErrConflict. Writing an empty value
// removes the object. A watch waits for objects under a prefix that are newer
// than a version.
//
// # Usage
//
//	client := &store.Client{Address: address}
//	object, err := client.Get(ctx, "watch/malabar/manifest")
//	version, err := client.Put(ctx, store.Object{Key: key, Value: value, Version: object.Version})
//
// The response to a write can be lost after the write took effect. The error is
// then neither ErrConflict nor ErrRefused, and the outcome can only be found by
// reading the object and comparing a write ID that the writer put into the
// value. Settle does this.
package store

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ebonyscale.example/ebonyscale/internal/base/timer"
)

// Object is a value under a key. Version 0 means that the object does not
// exist.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
	// Removed is set in a list of changes if the object was removed.
	Removed bool `json:",omitempty"`
}

// VM is an entry of the platform's list of VMs. The list lags behind the VMs'
// actual state.
type VM struct {
	Name             string
	AvailabilityZone string
	Address          netip.Addr
	// Entry is set for the entry VMs of this system; others are backend VMs.
	Entry bool
	// Leaving is set if the VM is about to be removed. It gets no new requests.
	Leaving bool
}

// List is the platform's list of VMs at a revision.
type List struct {
	Revision uint64
	VMs      []VM
}

// Page is a page of a list, or the changes that a watch returned.
type Page struct {
	// Revision is the version from which to watch for later changes.
	Revision uint64
	Objects  []Object
	// Next is the token for the next page of a list; empty on the last page and
	// in changes.
	Next string
	// Nameless counts the objects that are left out as their names cannot be read.
	Nameless int `json:"-"`
}

// Errors of the platform. Any other error of a write means that the write's
// outcome is unknown.
var (
	// ErrAbsent is returned if there is no object under the key.
	ErrAbsent = errors.New("no such object")
	// ErrConflict is returned if the object's version is not the one that the
	// write named.
	ErrConflict = errors.New("version conflict")
	// ErrRefused is returned if the platform rejected the call, because its rate
	// limit was reached or it is out of service, or if it could not be reached.
	// A refused write had no effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrForgotten is returned if the platform no longer has the changes since
	// the given version. The caller has to list again.
	ErrForgotten = errors.New("history is gone")
	// ErrTooLarge is returned if a value exceeds the platform's limit.
	ErrTooLarge = errors.New("value too large")
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// API is the complete interface of the platform. Packages that need only a part
// of it declare a smaller interface.
type API interface {
	// Get returns the object under key. The error is ErrAbsent if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the version of the object that object.Version names and
	// returns the new version. Version 0 creates the object, an empty value
	// removes it. The error is ErrConflict if the object has another version.
	Put(ctx context.Context, object Object) (uint64, error)
	// Watch returns the objects under prefix whose versions are greater than
	// after. It waits up to wait for the first of them.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// VMs returns the list of VMs if its revision is greater than after, else a
	// list without VMs.
	VMs(ctx context.Context, after uint64) (List, error)
}

// Getter reads objects.
type Getter interface {
	Get(ctx context.Context, key string) (Object, error)
}

// Writer reads and conditionally writes objects.
type Writer interface {
	Getter
	Put(ctx context.Context, object Object) (uint64, error)
}

// Settle writes the object and resolves the outcome of a write whose response
// was lost. It returns the object's new version.
//
// The value must contain a write ID of the caller, which isOwn recognises. A
// write of unknown outcome is retried on the same version. Either the retry
// takes effect, and then the first write cannot any more; or it conflicts, and
// the write ID in the object shows whose write came first. The error is
// ErrConflict if it was another's. An error for which NotWritten is false means
// that ctx ended with the outcome still unknown.
func Settle(ctx context.Context, w Writer, object Object, isOwn func(value []byte) bool) (uint64, error) {
	version, err := w.Put(ctx, object)
	if err == nil || NotWritten(err) {
		return version, wrapError("write", object.Key, err)
	}
	retry := backoff.ExponentialBackOff{InitialInterval: initialRetryDelay, Multiplier: 2, MaxInterval: maxRetryDelay}
	retry.Reset()
	for ctx.Err() == nil {
		if !timer.Wait(ctx, retry.NextBackOff()) {
			break
		}
		version, err = w.Put(ctx, object)
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, ErrConflict) {
			continue
		}
		current, getErr := w.Get(ctx, object.Key)
		if errors.Is(getErr, ErrAbsent) {
			return 0, wrapError("write", object.Key, ErrConflict)
		}
		if getErr != nil {
			continue
		}
		if isOwn(current.Value) {
			return current.Version, nil
		}
		return 0, wrapError("write", object.Key, ErrConflict)
	}
	return 0, wrapError("write", object.Key, errors.Join(ErrUnsettled, ctx.Err()))
}

// Bounds of the backoff between two attempts of a write.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// ErrUnsettled is returned if a write whose response was lost may have taken
// effect or may still do so.
var ErrUnsettled = errors.New("outcome of the write is not known")

// wrapError adds the verb and the key to an error; nil stays nil.
func wrapError(verb, key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s %s: %w", verb, key, err)
}

// NotWritten reports whether err, the error of a write, proves that the write had
// no effect.
func NotWritten(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrRefused) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrAbsent)
}

// Answered reports whether err, the error of a call, is what the store has answered, so that it
// is up and serves this caller. ErrRefused isn't: a store in an outage may refuse calls.
func Answered(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrAbsent) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrForgotten)
}
