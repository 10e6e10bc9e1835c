// Package claim makes sure that a keyed call runs at most once, at whichever
// entry VM it and its repetitions arrive.
//
// A caller names a call by an idempotency key. Before the call is dispatched
// its key is claimed by creating an object in the platform, which only one
// process can do. A second arrival finds the object and gets the stored
// outcome, or that the call is in progress, or that its outcome is unknown;
// it never leads to a second run. A claim is given back only if the call is
// proved not to have run.
//
// # Usage
//
//	claim, prior, err := book.Claim(ctx, claim.Key{Account: a, Key: k, Digest: d}, deadline)
//	if err != nil {
//		refuse("not run") // the claim could not be made
//	}
//	if prior != nil {
//		return prior // an earlier arrival has it
//	}
//	outcome := dispatch()
//	book.Finish(claim, outcome)
//
// Book holds no state that matters: a process that dies leaves its claims in
// progress, and they are reported as unknown once their deadline has passed.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Key is the identity of a keyed call.
type Key struct {
	Account string
	Key     string
	// Digest is a hash of the call's method, path and body. The same key with
	// another digest is another call, which is an error of the caller.
	Digest uint64
}

// State is how far a claimed call got.
type State int

// The states.
const (
	InProgress State = iota
	Done
	// Released means that the call was proved not to have run; the key may be
	// claimed again.
	Released
)

var stateNames = [...]string{"InProgress", "Done", "Released"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Record is the value of a claim's object.
type Record struct {
	Account string
	Key     string
	Digest  uint64
	State   State
	// Write is different for each claim, by which a claimer knows its own.
	Write string
	// Request is the identity of the request that has the claim.
	Request string
	// Ends is the deadline of the call by the claimer's time of day; Kept is
	// when the record may be removed.
	Ends, Kept time.Time
	Status     int            `json:",omitempty"`
	Fields     []engine.Field `json:",omitempty"`
	Body       []byte         `json:",omitempty"`
	// Truncated is set if the body was too large to be kept.
	Truncated bool `json:",omitempty"`
}

// Claim is a claim that was made.
type Claim struct {
	record  Record
	object  store.Object
	version uint64
}

// Answer is the outcome of a call that has run.
type Answer struct {
	Status int
	Fields []engine.Field
	Body   []byte
}

// MaxBody is the largest body that is kept with a claim, in bytes.
const MaxBody = 64 << 10

// maxClockSkew is how far the times of day of two VMs may be apart, before a call
// in progress is taken for lost.
const maxClockSkew = 5 * time.Second

// ErrMismatch says that the key was used for another call before.
var ErrMismatch = errors.New("idempotency key was used for another call")

// Book makes claims. Store and Retention must be set.
type Book struct {
	Store     store.Writer
	Retention time.Duration
	// Prefix comes before the keys of the objects.
	Prefix string
}

func (b *Book) objectKey(k Key) string {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(k.Account + "\x00" + k.Key)
	first := digest.Sum64()
	_, _ = digest.WriteString("\x00second")
	return b.Prefix + strconv.FormatUint(first, 36) + strconv.FormatUint(digest.Sum64(), 36)
}

// Claim claims the key for the request. It returns the claim, or the record of
// an earlier arrival. An error means that the key is not claimed by this
// arrival and must not be dispatched.
func (b *Book) Claim(ctx context.Context, k Key, request string, ends time.Time) (*Claim, *Record, error) {
	c := &Claim{record: Record{
		Account: k.Account, Key: k.Key, Digest: k.Digest, State: InProgress,
		Write: uuid.NewString(), Request: request, Ends: ends, Kept: time.Now().Add(b.Retention),
	}}
	c.object.Key = b.objectKey(k)
	for {
		err := b.write(ctx, c)
		if err == nil {
			return c, nil, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return c, nil, fmt.Errorf("claim: %w", err)
		}
		prior, version, err := b.read(ctx, c.object.Key)
		switch {
		case errors.Is(err, store.ErrAbsent):
			c.object.Version = 0
			continue
		case err != nil:
			return nil, nil, fmt.Errorf("claim: %w", err)
		case prior.Account != k.Account || prior.Key != k.Key || prior.Digest != k.Digest:
			return nil, nil, ErrMismatch
		case prior.State == Released:
			c.object.Version = version
			continue
		}
		return nil, &prior, nil
	}
}

// Lost reports whether a call in progress should have ended by now, so that its
// outcome has to be called unknown.
func (r *Record) Lost(now time.Time) bool {
	return r.State == InProgress && now.After(r.Ends.Add(maxClockSkew))
}

// Finish stores the answer of a call that has run.
func (b *Book) Finish(ctx context.Context, c *Claim, a Answer) error {
	c.record.State = Done
	c.record.Status, c.record.Fields, c.record.Body = a.Status, a.Fields, a.Body
	if len(a.Body) > MaxBody {
		c.record.Body, c.record.Truncated = nil, true
	}
	return b.update(ctx, c)
}

// Release gives the key back, for a call that is proved not to have run.
func (b *Book) Release(ctx context.Context, c *Claim) error {
	c.record.State = Released
	return b.update(ctx, c)
}

func (b *Book) update(ctx context.Context, c *Claim) error {
	if c.version == 0 {
		// Whether the claim was made is not known. If it was, it has to be
		// found before it can be changed.
		prior, version, err := b.read(ctx, c.object.Key)
		if errors.Is(err, store.ErrAbsent) || err == nil && prior.Write != c.record.Write {
			return nil
		}
		if err != nil {
			return fmt.Errorf("update claim: %w", err)
		}
		c.version = version
	}
	c.object.Version = c.version
	if err := b.write(ctx, c); err != nil {
		return fmt.Errorf("update claim: %w", err)
	}
	return nil
}

// write writes the claim's record on the version that its object names.
func (b *Book) write(ctx context.Context, c *Claim) error {
	value, err := json.Marshal(c.record)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	c.object.Value = value
	state := c.record.State
	version, err := store.Settle(ctx, b.Store, c.object, func(value []byte) bool {
		var found Record
		return json.Unmarshal(value, &found) == nil && found.Write == c.record.Write && found.State == state
	})
	if err != nil {
		return err
	}
	c.version = version
	return nil
}

func (b *Book) read(ctx context.Context, key string) (Record, uint64, error) {
	var record Record
	object, err := b.Store.Get(ctx, key)
	if err != nil {
		return record, 0, fmt.Errorf("read claim: %w", err)
	}
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return record, 0, fmt.Errorf("read claim: %w", err)
	}
	return record, object.Version, nil
}
