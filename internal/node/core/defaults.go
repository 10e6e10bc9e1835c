package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// defaults has where the streams of each route begin without a record. It implements
// follow.View and is safe for concurrent use.
type defaults struct {
	node *Node
	// keeper is used by the task only.
	keeper origin.Keeper

	// mu guards the fields below.
	mu      sync.Mutex
	current origin.Defaults
	// version is that of the entry, 0 if the store has none. era is the highest one of the
	// store, heard is when it was last heard of.
	version, era uint64
	heard        time.Time
}

const (
	// defaultsName is the name of the entry.
	defaultsName = "defaults"
	// defaultsInterval is the period at which the entry is compared with the backend
	// servers.
	defaultsInterval = 500 * time.Millisecond
	// defaultsTrust is for how long the entry is taken to be current if the store is not
	// heard of. It is longer than a long poll and shorter than minStreamLife.
	defaultsTrust = 40 * time.Second
	// minStreamLife is the least time for which the origin of a stream is needed.
	minStreamLife = time.Minute
	// streamLifePerTimeout is the ratio of that time to the longest timeout of a route.
	streamLifePerTimeout = 2
)

// originsKey is the key by which the process is chosen that keeps the entry.
var originsKey = xxhash.Sum64String("origins")

// keepsOrigins reports whether this process keeps the entries about streams for all.
func (n *Node) keepsOrigins() bool {
	return n.peers.Chosen(originsKey, n.stopping.Load()) == n.Name
}

// streamLife returns how long after its beginning a stream may be resumed.
func (n *Node) streamLife() time.Duration {
	life := minStreamLife
	if t := n.table.Load(); t != nil {
		for i := range t.Routes {
			if resumable(&t.Routes[i]) {
				life = max(life, streamLifePerTimeout*t.Routes[i].Timeout)
			}
		}
	}
	return min(life, origin.Retention)
}

// resumable reports whether clients may resume streams of the route.
func resumable(r *table.Route) bool { return r.Kind == table.Stream && r.Resumable }

// begin returns where streams of a path may begin without a record, false if all have to be
// recorded.
func (d *defaults) begin(now time.Time, host, path string) (origin.Origin, bool) {
	current, era := d.trusted(now)
	return current.Begin(era, host, path)
}

// find returns where the streams of a path have begun that have no record, false if that is
// not known.
func (d *defaults) find(now time.Time, host, path string) (origin.Origin, bool) {
	current, era := d.trusted(now)
	return current.Find(era, host, path)
}

// trusted returns the entry, which is empty if it may not be current, and the era of the
// store.
func (d *defaults) trusted(now time.Time) (origin.Defaults, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.heard) > defaultsTrust {
		return origin.Defaults{}, d.era
	}
	return d.current, d.era
}

// refresh reads the entry if a default is suspended: another one may be in force by now, as
// what is told of it comes late. An error means that the entry may not be current.
func (d *defaults) refresh(ctx context.Context) error {
	d.mu.Lock()
	stable := !slices.ContainsFunc(d.current.Routes, func(r origin.Default) bool { return r.Suspended })
	d.mu.Unlock()
	if stable {
		return nil
	}
	o, err := d.node.Store.Get(ctx, d.node.Keys.OriginsKind+"/"+defaultsName)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the defaults of streams: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case store.Era(o.Version) > d.era:
		return errStoreBack
	case o.Version > d.version:
		d.apply(o)
	}
	return nil
}

// Replace implements follow.View.
func (d *defaults) Replace(page store.Page, _ bool) {
	d.mu.Lock()
	d.version = 0
	d.mu.Unlock()
	d.Change(page)
	d.node.defaultsListed.Store(true)
}

// Change implements follow.View.
func (d *defaults) Change(page store.Page) {
	d.mu.Lock()
	lost := d.behind(page)
	d.heard, d.era = time.Now(), max(d.era, store.Era(page.Revision))
	for _, o := range page.Objects {
		if objectName(o) == defaultsName {
			d.apply(o)
		}
	}
	d.mu.Unlock()
	if lost {
		d.node.origins.recorder.rewrite(time.Now())
	}
}

// precedes reports whether the page is of a later era of the store than the defaults.
func (d *defaults) precedes(page store.Page) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behind(page)
}

// behind reports whether the page is of a later era of the store than the defaults. d.mu
// must be held.
func (d *defaults) behind(page store.Page) bool {
	return !d.heard.IsZero() && store.Era(page.Revision) > d.era
}

// apply takes over the entry. An invalid one, or none, leaves nothing assumed. d.mu must
// be held.
func (d *defaults) apply(o store.Object) {
	d.version = o.Version
	if o.Removed {
		d.version = 0
		return
	}
	current, err := origin.ParseDefaults(o.Value)
	if err != nil {
		d.node.logInvalid(o, err)
		current = suspended(d.current)
	}
	d.current = current
}

// suspended returns the defaults with none in force and nothing known.
func suspended(d origin.Defaults) origin.Defaults {
	next := origin.Defaults{Era: d.Era, Routes: make([]origin.Default, len(d.Routes))}
	for i, r := range d.Routes {
		r.Suspended, r.Complete = true, false
		next.Routes[i] = r
	}
	return next
}

// unknownDefaults returns the defaults after an entry that was lost or says nothing: streams
// may go on that began without a record.
func unknownDefaults(era uint64, routes []origin.Route) origin.Defaults {
	d := origin.Defaults{Era: era}
	for _, r := range routes {
		d.Routes = append(d.Routes, origin.Default{Route: r.Keys[0], Suspended: true})
	}
	return d
}

// Run keeps the entry in the store until ctx ends and returns its error.
func (d *defaults) Run(ctx context.Context) error {
	for timer.Wait(ctx, defaultsInterval) {
		if !d.node.Ready() || !d.node.keepsOrigins() {
			// What others do with the entry meanwhile isn't seen.
			d.keeper = origin.Keeper{}
			continue
		}
		d.keep(ctx, time.Now())
	}
	return ctx.Err()
}

// keep writes the entry if it has to change.
func (d *defaults) keep(ctx context.Context, now time.Time) {
	d.mu.Lock()
	current, version, era, heard := d.current, d.version, d.era, d.heard
	d.mu.Unlock()
	if now.Sub(heard) > defaultsTrust {
		d.keeper = origin.Keeper{}
		return
	}
	if len(current.Routes) == 0 && (version != 0 || era != 0) {
		current = unknownDefaults(era, d.routes())
	}
	// A process that is told late begins streams at the default before for defaultsTrust.
	next, changed := d.keeper.Next(now, era, current, d.routes(), defaultsTrust+d.node.streamLife())
	if !changed && version != 0 || len(next.Routes) == 0 {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		d.node.Log.Error("defaults of streams can't be encoded", zap.Error(err))
		return
	}
	object := store.Object{Key: d.node.Keys.OriginsKind + "/" + defaultsName, Value: value, Version: version}
	if _, err := d.node.Store.Put(ctx, object); err != nil {
		d.node.Log.Info("defaults of streams can't be written", zap.Error(err))
		return
	}
	for _, r := range next.Routes {
		if !slices.Contains(current.Routes, r) {
			d.node.Log.Info("default of streams changed", zap.String("Route", r.Route), zap.String("Service", r.Service), zap.String("Software", r.Version), zap.Bool("Suspended", r.Suspended), zap.Bool("Complete", r.Complete))
		}
	}
	// The watch brings the entry with its version; until then nothing is written.
	timer.Wait(ctx, defaultsInterval)
}

// routes returns the routes whose streams can be resumed.
func (d *defaults) routes() []origin.Route {
	t := d.node.table.Load()
	if t == nil {
		return nil
	}
	versions := map[string]map[string]int{}
	var routes []origin.Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if !resumable(r) {
			continue
		}
		route := origin.Route{Keys: origin.Keys(r.Host, r.Prefix)}
		if len(r.Targets) == 1 {
			route.Service = r.Targets[0].Service
			if versions[route.Service] == nil {
				versions[route.Service] = d.node.roster.Versions(route.Service)
			}
			route.Versions = versions[route.Service]
		}
		routes = append(routes, route)
	}
	return routes
}
