package feed

import (
	"bytes"
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	// historyAge and historyBytes bound the changes of a kind that are kept. A follower that
	// needs older ones lists the objects again.
	historyAge   = 20 * time.Second
	historyBytes = 2 << 20
	// changeOverhead is what a change takes in memory beside its key and value, in bytes.
	changeOverhead = 96
)

var (
	// errOlder means that objects are older than those that are known.
	errOlder = errors.New("older than what is known")
	// errBehind means that the position is of a later era of the store than the history.
	errBehind = errors.New("the position is of a later era")
)

// history has the objects of one kind and their last changes. The zero value has none.
type history struct {
	// listed is set once objects have been listed.
	listed bool
	// base is the version after which all changes are kept, revision the one up to which the
	// objects are complete.
	base, revision uint64
	objects        map[string]store.Object
	// changes are in the order of their versions.
	changes []change
	bytes   int
}

// change is an object that changed or was removed. version is what orders it, also if the
// object has none that can be read.
type change struct {
	store.Object
	version uint64
	at      time.Time
}

func (c change) size() int { return len(c.Key) + len(c.Value) + changeOverhead }

// replace takes over a complete list. Its differences from the objects that are known
// become changes, unless the store was restored or the differences are of no later version:
// the history begins again then. It reports whether anything changed. The error is errOlder
// if the list is older than what is known.
func (h *history) replace(now time.Time, page store.Page) (bool, error) {
	if h.listed && page.Revision < h.revision {
		return false, errOlder
	}
	objects := make(map[string]store.Object, len(page.Objects))
	for _, o := range page.Objects {
		objects[o.Key] = o
	}
	changes := h.differences(now, page.Revision, objects)
	stale := slices.ContainsFunc(changes, func(c change) bool { return c.version <= h.revision })
	if !h.listed || stale || store.Era(page.Revision) != store.Era(h.revision) {
		*h = history{listed: true, base: page.Revision, revision: page.Revision, objects: objects}
		return true, nil
	}
	h.objects, h.revision = objects, page.Revision
	h.add(now, changes)
	return len(changes) > 0, nil
}

// differences returns what changed from the objects that are known to the listed ones, in
// the order of the versions.
func (h *history) differences(now time.Time, revision uint64, objects map[string]store.Object) []change {
	var changes []change
	for key, o := range objects {
		known, ok := h.objects[key]
		if !ok || known.Version != o.Version || !bytes.Equal(known.Value, o.Value) {
			changes = append(changes, change{o, versionOf(o, revision), now})
		}
	}
	for key := range h.objects {
		if _, ok := objects[key]; !ok {
			changes = append(changes, change{store.Object{Key: key, Version: revision, Removed: true}, revision, now})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.Key, b.Key)) })
	return changes
}

// versionOf returns the version that orders an object. That of a removed one may be that of
// its last value, and that of one that cannot be read is not known: other stands for these.
func versionOf(o store.Object, other uint64) uint64 {
	if o.Removed || store.Era(o.Version) != store.Era(other) || store.Revision(o.Version) == 0 {
		return other
	}
	return o.Version
}

// update takes over the changes after the revision that is known, in their order. It reports
// whether there are any. The error is errOlder if they are of an earlier era.
func (h *history) update(now time.Time, page store.Page) (bool, error) {
	if store.Era(page.Revision) < store.Era(h.revision) {
		return false, errOlder
	}
	changes := make([]change, len(page.Objects))
	next := page.Revision
	for i, o := range slices.Backward(page.Objects) {
		next = versionOf(o, next)
		changes[i] = change{o, next, now}
	}
	least := min(h.revision+1, page.Revision)
	for i, c := range changes {
		least = max(least, c.version)
		changes[i].version = least
		if c.Removed {
			delete(h.objects, c.Key)
			continue
		}
		h.objects[c.Key] = c.Object
	}
	h.revision = max(h.revision, page.Revision)
	h.add(now, changes)
	return len(changes) > 0, nil
}

// add appends changes and evicts those that are too old or too many.
func (h *history) add(now time.Time, changes []change) {
	for _, c := range changes {
		h.bytes += c.size()
	}
	h.changes = append(h.changes, changes...)
	evicted := 0
	for evicted < len(h.changes) && (h.bytes > historyBytes || now.Sub(h.changes[evicted].at) > historyAge) {
		h.base = h.changes[evicted].version
		h.bytes -= h.changes[evicted].size()
		evicted++
	}
	// Changes of the version that was evicted last are incomplete.
	for evicted < len(h.changes) && h.changes[evicted].version <= h.base {
		h.bytes -= h.changes[evicted].size()
		evicted++
	}
	h.changes = slices.Delete(h.changes, 0, evicted)
}

// since returns the changes after a version, the latest one of each object, with a revision
// that is not lower than that version. The error is store.ErrForgotten if they are not all
// kept, or errBehind.
func (h *history) since(after uint64) (store.Page, error) {
	switch {
	case !h.listed || store.Era(after) > store.Era(h.revision):
		return store.Page{}, errBehind
	case after < h.base || store.Era(after) < store.Era(h.revision):
		return store.Page{}, store.ErrForgotten
	}
	page := store.Page{Revision: max(after, h.revision)}
	first, _ := slices.BinarySearchFunc(h.changes, after+1, func(c change, version uint64) int { return cmp.Compare(c.version, version) })
	if first == len(h.changes) {
		return page, nil
	}
	latest := make(map[string]int, len(h.changes)-first)
	for i, c := range h.changes[first:] {
		latest[c.Key] = i
	}
	for i, c := range h.changes[first:] {
		if latest[c.Key] == i {
			page.Objects = append(page.Objects, c.Object)
		}
	}
	return page, nil
}

// list returns all objects as one page, sorted by key.
func (h *history) list() store.Page {
	page := store.Page{Revision: h.revision, Objects: make([]store.Object, 0, len(h.objects))}
	for _, key := range slices.Sorted(maps.Keys(h.objects)) {
		page.Objects = append(page.Objects, h.objects[key])
	}
	return page
}
