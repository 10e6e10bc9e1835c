package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// keepStored gives the writer the entries that the store lacks, and those to be
// removed as their quarantine has ended. q.mu must be held.
func (q *quarantine) keepStored(now time.Time) {
	subjects := q.subjects.Subjects()
	for subject, until := range subjects {
		entry, stored := q.stored[subject]
		if until.After(now) == stored || now.Sub(q.written[subject]) < quarantineWriteRetry {
			continue
		}
		object := store.Object{Key: q.key(subject), Version: entry.version}
		if !stored {
			object.Value = encodeQuarantined(now, subject, until)
		}
		if q.writes.Push(object) {
			q.written[subject] = now
		}
	}
	q.removeEnded(now, subjects)
}

// removeEnded removes the entries whose time is over and whose subjects are in no quarantine
// here, as those of a withdrawn part that outlive the memory of its withdrawal. q.mu must be
// held.
func (q *quarantine) removeEnded(now time.Time, subjects map[string]time.Time) {
	for subject, entry := range q.stored {
		_, known := subjects[subject]
		if known || entry.until.After(now) || now.Sub(q.written[subject]) < quarantineWriteRetry {
			continue
		}
		if q.writes.Push(store.Object{Key: q.key(subject), Version: entry.version}) {
			q.written[subject] = now
		}
	}
}

// forgetEnded forgets the subjects whose quarantine has ended and that are not in the
// store any more. q.mu must be held.
func (q *quarantine) forgetEnded(now time.Time) {
	for subject, until := range q.subjects.Subjects() {
		if _, stored := q.stored[subject]; !stored && !until.After(now) {
			q.subjects.Remove(subject)
			delete(q.written, subject)
		}
	}
}

// key returns the store key of a subject's entry. IDs of parts may hold any character.
func (q *quarantine) key(subject string) string {
	return q.node.Keys.QuarantineKind + "/" + strconv.FormatUint(xxhash.Sum64String(subject), 16)
}

// Write writes entries to the store until ctx ends and returns its error.
func (q *quarantine) Write(ctx context.Context) error {
	for {
		object, err := q.writes.Pop(ctx)
		if err != nil {
			return err
		}
		if _, err := q.node.Store.Put(ctx, object); err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAbsent) {
			q.node.Log.Info("quarantine could not be written", zap.String("Key", object.Key), zap.Error(err))
		}
	}
}

// quarantined is the entry of a subject in the store.
type quarantined struct {
	Part string
	// UntilMs is the end of the quarantine in milliseconds since 1970.
	UntilMs int64
}

// encodeQuarantined returns the entry of a subject.
func encodeQuarantined(now time.Time, subject string, until time.Time) []byte {
	// A struct of a string and an integer can always be encoded.
	data, _ := json.Marshal(quarantined{subject, time.Now().Add(until.Sub(now)).UnixMilli()})
	return data
}

// errInvalidQuarantine means that an entry names no subject.
var errInvalidQuarantine = errors.New("entry names no subject of a prompt")

// parseQuarantined decodes an entry of the store.
func parseQuarantined(data []byte) (quarantined, error) {
	var entry quarantined
	if err := json.Unmarshal(data, &entry); err != nil {
		return entry, fmt.Errorf("%w: %w", errInvalidQuarantine, err)
	}
	if entry.Part == "" || len(entry.Part) > crash.MaxPartBytes {
		return entry, errInvalidQuarantine
	}
	return entry, nil
}

// quarantineView applies the entries of the store. It implements follow.View.
type quarantineView struct{ *quarantine }

// Replace implements follow.View. Subjects that the store lacks stay in quarantine: it may
// have come back from an older copy.
func (v quarantineView) Replace(page store.Page, _ bool) {
	v.mu.Lock()
	clear(v.stored)
	v.mu.Unlock()
	v.Change(page)
	v.node.quarantineListed.Store(true)
}

// Change implements follow.View.
func (v quarantineView) Change(page store.Page) {
	for _, o := range page.Objects {
		if o.Removed {
			v.removed(o.Key)
			continue
		}
		entry, err := parseQuarantined(o.Value)
		if err == nil && v.key(entry.Part) != o.Key {
			err = errInvalidQuarantine
		}
		if err != nil {
			v.node.logInvalid(o, err)
			continue
		}
		v.added(entry, o.Version)
	}
}

// added puts the subject of an entry into quarantine.
func (v quarantineView) added(entry quarantined, version uint64) {
	now := time.Now()
	left := min(time.Until(time.UnixMilli(entry.UntilMs)), crash.QuarantineTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored[entry.Part] = storedEntry{version, now.Add(left)}
	// The entry of a part that was withdrawn is removed again.
	v.add(now, entry.Part, left, "store")
}

// removed ends the quarantine of the subject whose entry was removed.
func (v quarantineView) removed(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for subject := range v.stored {
		if v.key(subject) != key {
			continue
		}
		delete(v.stored, subject)
		delete(v.written, subject)
		delete(v.found, subject)
		v.evidence.Forget(subject)
		v.trials.Forget(subject)
		if v.subjects.Remove(subject) {
			v.node.Log.Info("quarantine has ended", zap.String("Subject", subject))
		}
	}
}
