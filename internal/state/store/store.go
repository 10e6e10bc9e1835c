// Package store is the client of the platform's object API.
//
// The platform holds objects of up to a megabyte under a key. Every write of
// an object gives it a new version, a number that grows over all objects of
// the platform. A write names the version that it replaces, so that of two
// racing writes one fails with ErrConflict. A write of an empty value removes the
// object. A watch waits for objects under a
// prefix that are newer than a version.
//
// # Usage
//
//	client := &store.Client{Address: address}
//	object, err := client.Get(ctx, "config/malabar/manifest")
//	version, err := client.Put(ctx, store.Object{Key: key, Value: value, Version: object.Version})
//
// The answer to a write can be lost after the write took effect: the error is
// then neither ErrConflict nor ErrRefused, and the caller has to find out by a
// write id of its own. Settle does so.
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

// Object is a value under a key. Version 0 stands for an object that is absent.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
	// Removed is set in a list of changes if the object is no more.
	Removed bool `json:",omitempty"`
}

// VM is an entry of the platform's lagging list of VMs.
type VM struct {
	Name             string
	AvailabilityZone string
	Address          netip.Addr
	// Entry is set for the VMs of this system; others are backend VMs.
	Entry   bool
	Leaving bool
}

// List is the platform's list of VMs as of a revision.
type List struct {
	Revision uint64
	VMs      []VM
}

// Page is the answer to a list or a watch: objects, or those that changed, and
// the version to watch from next.
type Page struct {
	Revision uint64
	Objects  []Object
	// Next is where the list goes on; empty at its end, and in changes.
	Next string
}

// Errors of the platform. Any other error of a write means that its outcome is
// not known.
var (
	// ErrAbsent says that there is no object under the key.
	ErrAbsent = errors.New("no such object")
	// ErrConflict says that the object is at another version than was named.
	ErrConflict = errors.New("version conflict")
	// ErrRefused says that the platform did not take the call: its rate is
	// used up or it is out of service. A refused write took no effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrForgotten says that the changes since a version are not known any
	// more.
	ErrForgotten = errors.New("history is gone")
	// ErrTooLarge says that a value is over the platform's limit.
	ErrTooLarge = errors.New("value too large")
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// API is the whole interface of the platform. Packages that need less declare
// less.
type API interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, object Object) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	// VMs reads the list of VMs if its revision is over after; else it returns
	// a list without VMs.
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

// Settle writes the object and finds out what became of a write whose answer
// was lost. The value must carry a write id of the caller, by which own knows
// it. A write of unknown outcome is sent again on the same version: either it
// takes effect now, and then the first cannot any more, or it conflicts, and
// then the object shows by its write id whose value it holds. The error is
// ErrConflict if another write came first; any error that is not Certain means
// that ctx ended with the outcome still unknown.
func Settle(ctx context.Context, w Writer, object Object, own func(value []byte) bool) (uint64, error) {
	version, err := w.Put(ctx, object)
	if err == nil || Certain(err) {
		return version, wrapKey("write", object.Key, err)
	}
	retry := backoff.ExponentialBackOff{InitialInterval: firstDelay, Multiplier: 2, MaxInterval: maxDelay}
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
			return 0, wrapKey("write", object.Key, ErrConflict)
		}
		if getErr != nil {
			continue
		}
		if own(current.Value) {
			return current.Version, nil
		}
		return 0, wrapKey("write", object.Key, ErrConflict)
	}
	return 0, wrapKey("write", object.Key, errors.Join(ErrUnsettled, ctx.Err()))
}

// Bounds of the delay between two tries of a write.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// ErrUnsettled says that a write whose answer was lost may have taken effect
// or may still do so.
var ErrUnsettled = errors.New("outcome of the write is not known")

func wrapKey(verb, key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s %s: %w", verb, key, err)
}

// Certain reports whether err tells for sure that a write took no effect.
func Certain(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrRefused) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrAbsent)
}
