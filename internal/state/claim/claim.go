// Package claim makes a call with an idempotency key run at most once, whichever
// entry VMs the call and its duplicates arrive at.
//
// Before a call is dispatched, its key is claimed by creating an object in the
// platform's store, which succeeds for one process only. A duplicate finds the
// object, which has the response, or shows that the call is in progress or that
// its outcome is unknown; the duplicate is never dispatched. A claim is released
// only if the call is proved not to have run.
//
// # Usage
//
//	registry := &claim.Registry{Store: platform, Retention: 24 * time.Hour, Prefix: "claim/malabar/"}
//	made, prior, err := registry.Claim(ctx, claim.Key{Account: a, Key: k, Digest: d}, requestID, deadline)
//	if err != nil {
//		return err // not claimed: the call must not run
//	}
//	if prior != nil {
//		return replay(prior) // an earlier request claimed the key
//	}
//	response := dispatch()
//	err = registry.Finish(ctx, made, response)
//
// A Registry keeps no state in memory. If a process dies, its claims stay in
// progress and their outcomes count as unknown once their deadlines have passed.
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

// Key identifies a call.
type Key struct {
	Account string
	// Key is the client's idempotency key, unique within the account.
	Key string
	// Digest is a hash of the call's method, path and body. Using a key for a
	// call with another digest is an error of the client.
	Digest uint64
}

// State is the progress of a claimed call.
type State int

// The states.
const (
	InProgress State = iota
	Done
	// Released means that the call is proved not to have run. The key may be
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
	// Write is a unique ID of the claim, by which the claiming process recognises
	// its own writes.
	Write string
	// Request is the ID of the request that claimed the key.
	Request string
	// Ends is the deadline of the call, by the wall clock of the claiming
	// process. Kept is when the record may be removed.
	Ends, Kept time.Time
	// Status, Fields and Body are the response of a call that is Done.
	Status int            `json:",omitempty"`
	Fields []engine.Field `json:",omitempty"`
	Body   []byte         `json:",omitempty"`
	// Truncated is set if the body was larger than MaxBody and is not stored.
	Truncated bool `json:",omitempty"`
}

// Claim is a claim made by this process. It is not safe for concurrent use.
type Claim struct {
	record  Record
	object  store.Object
	version uint64
}

// Response is the response of a call that has run.
type Response struct {
	Status int
	Fields []engine.Field
	Body   []byte
}

// MaxBody is the largest response body that is stored with a claim, in bytes.
const MaxBody = 64 << 10

// maxClockSkew is the largest difference between the wall clocks of two VMs. The
// outcome of a call in progress is unknown this long after its deadline.
const maxClockSkew = 5 * time.Second

// ErrMismatch is returned if the key was used for another call before.
var ErrMismatch = errors.New("idempotency key was used for another call")

// Registry makes and updates claims. Store and Retention must be set. Its methods
// are safe for concurrent use on different claims.
type Registry struct {
	Store store.Writer
	// Retention is the time from the claim until its record may be removed.
	Retention time.Duration
	// Prefix is the prefix of the objects' keys.
	Prefix string
}

// objectKey returns the key of the claim's object, which ends in a 128-bit hash
// of the account and the idempotency key.
func (r *Registry) objectKey(k Key) string {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(k.Account + "\x00" + k.Key)
	first := digest.Sum64()
	_, _ = digest.WriteString("\x00second")
	return r.Prefix + strconv.FormatUint(first, 36) + strconv.FormatUint(digest.Sum64(), 36)
}

// Claim claims the key for the request with the ID, whose deadline is ends. It
// returns the claim, or the record of an earlier request that claimed the key. The
// error is ErrMismatch if the key was used for another call.
// On an error the call must not be dispatched. If a claim is returned with the
// error, it may have been made and should be passed to Release.
func (r *Registry) Claim(ctx context.Context, k Key, request string, ends time.Time) (*Claim, *Record, error) {
	c := &Claim{record: Record{
		Account: k.Account, Key: k.Key, Digest: k.Digest, State: InProgress,
		Write: uuid.NewString(), Request: request, Ends: ends, Kept: time.Now().Add(r.Retention),
	}}
	c.object.Key = r.objectKey(k)
	for {
		err := r.write(ctx, c)
		if err == nil {
			return c, nil, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return c, nil, fmt.Errorf("claim: %w", err)
		}
		prior, version, err := r.read(ctx, c.object.Key)
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

// OutcomeUnknown reports whether the call is still recorded as in progress at now although
// its deadline has passed, so that its outcome counts as unknown.
func (r *Record) OutcomeUnknown(now time.Time) bool {
	return r.State == InProgress && now.After(r.Ends.Add(maxClockSkew))
}

// Finish stores the response of a call that has run. A body larger than MaxBody
// is not stored. After an error the outcome of the call may stay unknown to
// duplicates.
func (r *Registry) Finish(ctx context.Context, c *Claim, response Response) error {
	c.record.State = Done
	c.record.Status, c.record.Fields, c.record.Body = response.Status, response.Fields, response.Body
	if len(response.Body) > MaxBody {
		c.record.Body, c.record.Truncated = nil, true
	}
	return r.update(ctx, c)
}

// Release releases the key of a call that is proved not to have run, so that it
// can be claimed again.
func (r *Registry) Release(ctx context.Context, c *Claim) error {
	c.record.State = Released
	return r.update(ctx, c)
}

// update writes the claim's changed record.
func (r *Registry) update(ctx context.Context, c *Claim) error {
	if c.version == 0 {
		// It is unknown whether the claim was made. If it was, its version has to
		// be read before it can be changed.
		prior, version, err := r.read(ctx, c.object.Key)
		if errors.Is(err, store.ErrAbsent) || err == nil && prior.Write != c.record.Write {
			return nil
		}
		if err != nil {
			return fmt.Errorf("update claim: %w", err)
		}
		c.version = version
	}
	c.object.Version = c.version
	if err := r.write(ctx, c); err != nil {
		return fmt.Errorf("update claim: %w", err)
	}
	return nil
}

// write writes the claim's record, replacing the version c.object.Version.
func (r *Registry) write(ctx context.Context, c *Claim) error {
	value, err := json.Marshal(c.record)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	c.object.Value = value
	state := c.record.State
	version, err := store.Settle(ctx, r.Store, c.object, func(value []byte) bool {
		var found Record
		return json.Unmarshal(value, &found) == nil && found.Write == c.record.Write && found.State == state
	})
	if err != nil {
		return err
	}
	c.version = version
	return nil
}

// read returns the record of the object and the object's version.
func (r *Registry) read(ctx context.Context, key string) (Record, uint64, error) {
	var record Record
	object, err := r.Store.Get(ctx, key)
	if err != nil {
		return record, 0, fmt.Errorf("read claim: %w", err)
	}
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return record, 0, fmt.Errorf("read claim: %w", err)
	}
	return record, object.Version, nil
}
