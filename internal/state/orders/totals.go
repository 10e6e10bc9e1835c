package orders

import (
	"sync/atomic"

	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/plan/scale"
)

// totals has the gauges of each service. They are 0 in a process that does not hold the
// duty.
type totals struct{ services map[string]*total }

// total has the numbers of servers of one service.
type total struct{ desired, ready atomic.Int64 }

// set updates the gauges, and adds those of services that are observed for the first time.
func (t *totals) set(meters *meter.Set, state *scale.State, observations []scale.Observation) {
	for _, o := range observations {
		if _, ok := t.services[o.Service]; ok {
			continue
		}
		if t.services == nil {
			t.services = map[string]*total{}
		}
		v := &total{}
		t.services[o.Service] = v
		meters.Gauge("ScaleDesired."+o.Service, v.desired.Load)
		meters.Gauge("ScaleReady."+o.Service, v.ready.Load)
	}
	for name, v := range t.services {
		// The numbers of a service that is not observed any more are 0.
		desired, ready := state.Totals(name)
		v.desired.Store(int64(desired))
		v.ready.Store(int64(ready))
	}
}

// clear sets all gauges to 0.
func (t *totals) clear() {
	for _, v := range t.services {
		v.desired.Store(0)
		v.ready.Store(0)
	}
}
