package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults says for each route where its streams begin if the store has no record of
// them. Streams that begin elsewhere are recorded before their clients get an event.
type Defaults struct {
	// Era is the era of the store in which the entry was written. Records may have been
	// lost since if it is not the current one.
	Era    uint64
	Routes []Default
}

// Default is where the streams of a route begin without a record.
type Default struct {
	// Route is a RouteKey.
	Route string
	Origin
	// Suspended is set after a change for as long as streams may go on that began at the
	// default before. All streams are recorded then.
	Suspended bool `json:",omitempty"`
	// Complete is set with Suspended if each stream that began elsewhere has a record, so
	// that one without has begun here. It is not if records may have been lost.
	Complete bool `json:",omitempty"`
}

// suspend returns the default as it is after a change. lossless is set if no record can have
// been lost.
func (d Default) suspend(lossless bool) Default {
	d.Complete = lossless && d.known()
	d.Suspended = true
	return d
}

// known reports whether streams without a record have begun here.
func (d Default) known() bool { return !d.Suspended || d.Complete }

// ErrInvalid means that an entry of the store can't be read.
var ErrInvalid = errors.New("entry says nothing of streams")

const (
	// maxRoutes bounds the routes of an entry, maxNameBytes the names in it, maxSlashes the
	// prefixes of a path that are looked up.
	maxRoutes    = 1 << 14
	maxNameBytes = 1 << 10
	maxSlashes   = 64
)

// RouteKey returns the key of the route with a host and a path prefix.
func RouteKey(host, prefix string) string {
	return strconv.FormatUint(xxhash.Sum64String(host+"\x00"+prefix), 36)
}

// Keys returns the keys of all routes that may match a path of a host, those with longer
// prefixes first.
func Keys(host, path string) []string {
	var keys []string
	for slash := strings.LastIndexByte(path, '/'); slash >= 0 && len(keys) < maxSlashes; slash = strings.LastIndexByte(path[:slash], '/') {
		keys = append(keys, RouteKey(host, path[:slash+1]))
	}
	return keys
}

// ParseDefaults decodes an entry of the store. Its errors wrap ErrInvalid.
func ParseDefaults(data []byte) (Defaults, error) {
	var d Defaults
	if err := json.Unmarshal(data, &d); err != nil {
		return Defaults{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(d.Routes) > maxRoutes {
		return Defaults{}, fmt.Errorf("%w: %d routes", ErrInvalid, len(d.Routes))
	}
	for _, r := range d.Routes {
		if r.Route == "" || !r.Valid() {
			return Defaults{}, fmt.Errorf("%w: a route or a name in it", ErrInvalid)
		}
	}
	return d, nil
}

// Valid reports whether the names can be those of a service and a version.
func (o Origin) Valid() bool { return len(o.Service) <= maxNameBytes && len(o.Version) <= maxNameBytes }

// Begin returns where streams of a path of a host may begin without a record now, false if
// all have to be recorded in an era of the store.
func (d Defaults) Begin(era uint64, host, path string) (Origin, bool) {
	found, ok := d.first(Keys(host, path))
	return found.Origin, ok && d.Era == era && !found.Suspended
}

// Find returns where the streams of a path of a host have begun that have no record, false
// if that is not known in an era of the store. The configuration is not asked, as another
// one may have been active when a stream began: of the routes here, which are kept for as
// long as their streams may go on, that with the longest prefix counts.
func (d Defaults) Find(era uint64, host, path string) (Origin, bool) {
	found, ok := d.first(Keys(host, path))
	return found.Origin, ok && d.Era == era && found.known()
}

// first returns the default of the first of the routes that has one.
func (d Defaults) first(routes []string) (Default, bool) {
	for _, route := range routes {
		if found, ok := d.entry(route); ok {
			return found, true
		}
	}
	return Default{}, false
}

func (d Defaults) entry(route string) (Default, bool) {
	i := slices.IndexFunc(d.Routes, func(r Default) bool { return r.Route == route })
	if i < 0 {
		return Default{}, false
	}
	return d.Routes[i], true
}

// Route is a route whose streams can be resumed.
type Route struct {
	// Keys are the Keys of its prefix: its own, then those of the routes that match its
	// requests where it isn't configured.
	Keys []string
	// Service is empty if the route leads to several.
	Service string
	// Versions has the number of the service's backend servers by version.
	Versions map[string]int
}

// usual returns the version that most backend servers have; false if there is none.
func (r Route) usual() (string, bool) {
	best, found := "", false
	for _, version := range slices.Sorted(maps.Keys(r.Versions)) {
		if !found || r.Versions[version] > r.Versions[best] {
			best, found = version, true
		}
	}
	return best, found && r.Service != ""
}

// mostly reports whether at least half of the backend servers have a version.
func (r Route) mostly(version string) bool {
	all := 0
	for _, count := range r.Versions {
		all += count
	}
	return r.Versions[version] > 0 && 2*r.Versions[version] >= all
}

// Keeper decides how the defaults change. The zero value has seen nothing. A Keeper is
// used by one goroutine.
type Keeper struct {
	// suspended has since when the defaults of routes have been seen suspended.
	suspended map[string]time.Time
}

// Next returns the defaults that follow the current ones, and whether they differ. hold is
// how long a stream may be resumed after it has begun, or after it has been resumed.
//
// A default is suspended when less than half of the servers have its version, or the route
// leads there no more, and for hold before another one takes its place: until then streams
// may be resumed that have begun at it and have no record. The default of a new route begins
// as suspended, unless the system is new: its requests may have had another route, with
// another default, or streams that could not be resumed.
//
// A reader may see an entry late. For the last completeGap of hold a suspended default is not
// complete any more, so that no reader takes the streams of the next one for its own.
func (k *Keeper) Next(now time.Time, era uint64, current Defaults, routes []Route, hold time.Duration) (Defaults, bool) {
	if k.suspended == nil {
		k.suspended = map[string]time.Time{}
	}
	if era != current.Era {
		// Records of streams that may go on for hold from now may have been lost.
		clear(k.suspended)
	}
	next := Defaults{Era: era}
	configured := make(map[string]bool, len(routes))
	for _, r := range routes {
		configured[r.Keys[0]] = true
		if d, ok := k.next(now, current, current.Era == era, r, hold); ok {
			next.Routes = append(next.Routes, d)
		}
	}
	for _, d := range current.Routes {
		if configured[d.Route] {
			continue
		}
		if d, kept := k.hold(now, d.suspend(current.Era == era), hold); kept {
			next.Routes = append(next.Routes, d)
		}
	}
	k.forget(next)
	return next, era != current.Era || !slices.Equal(next.Routes, current.Routes)
}

// next returns the next default of a route; false if there is none yet.
func (k *Keeper) next(now time.Time, current Defaults, sameEra bool, r Route, hold time.Duration) (Default, bool) {
	key := r.Keys[0]
	d, known := current.entry(key)
	usual, ok := r.usual()
	fresh := Default{Route: key, Origin: Origin{Service: r.Service, Version: usual}}
	switch {
	case len(current.Routes) == 0:
		return fresh, ok
	case !known:
		d, known = current.first(r.Keys)
		d.Route, d.Suspended = key, d.Suspended || !known
	case !d.Suspended && sameEra && d.Service == r.Service && r.mostly(d.Version):
		return d, true
	}
	d, kept := k.hold(now, d.suspend(sameEra), hold)
	if !kept && ok && sameEra {
		return fresh, true
	}
	return d, true
}

// completeGap is how old an entry may be that is read together with the records.
const completeGap = 10 * time.Second

// hold returns a suspended default as it is after the time for which it has been seen
// suspended, and whether that is less than hold.
func (k *Keeper) hold(now time.Time, d Default, hold time.Duration) (Default, bool) {
	first, seen := k.suspended[d.Route]
	if !seen {
		first = now
		k.suspended[d.Route] = now
	}
	d.Complete = d.Complete && now.Sub(first) < hold-completeGap
	return d, now.Sub(first) < hold
}

// forget forgets what was seen of the routes that are not so any more.
func (k *Keeper) forget(next Defaults) {
	state := make(map[string]bool, len(next.Routes))
	for _, d := range next.Routes {
		state[d.Route] = d.Suspended
	}
	maps.DeleteFunc(k.suspended, func(route string, _ time.Time) bool { return !state[route] })
}
