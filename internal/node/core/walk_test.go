//go:build !race

// The race detector of Go 1.26 has ended itself twice in the tests of this package, after over
// 1,000 bubbles (tsan_rtl.cpp:282, and a fault in its own code below a timer), suspected to be for
// their number, most of which these orders are. .ci/run plays all of them without it.

package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// walkStride is how many orders of TestServerThatLeftIsDroppedInAnyOrder are passed over; 1
// plays all.
var walkStride = flag.Int("walk-stride", 5, "which orders of calls, outages and removals are played: each nth")

// order is the order of the events around one or two outages: when the first begins after a
// poll for changes of the servers, how long they and the pause between them are, when the
// server leaves after the end of the last, and how long responses take to arrive.
type order struct {
	phase, length, pause, second, after, answering time.Duration
}

// allOrders returns all combinations.
func allOrders() []order {
	const ms = time.Millisecond
	var list []order
	for _, phase := range []time.Duration{0, 300 * ms, 900 * ms, 1500 * ms, 1950 * ms} {
		for _, length := range []time.Duration{20 * ms, 400 * ms, 1000 * ms, 1700 * ms, 2600 * ms, 3400 * ms, 4600 * ms} {
			for _, two := range [][2]time.Duration{{0, 0}, {100 * ms, 300 * ms}, {100 * ms, 1200 * ms}, {800 * ms, 300 * ms}, {800 * ms, 1200 * ms}, {800 * ms, 3200 * ms}, {2000 * ms, 300 * ms}, {2000 * ms, 1200 * ms}} {
				for _, after := range []time.Duration{0, 50 * ms, 500 * ms, 1000 * ms, 1800 * ms} {
					for _, answering := range []time.Duration{0, 200 * ms, 600 * ms} {
						list = append(list, order{phase, length, two[0], two[1], settled + after, answering})
					}
				}
			}
		}
	}
	return list
}

// TestServerThatLeftIsDroppedInAnyOrder guards against an order of polls, outages and the removal
// in which a server is used for too long, or another one is not. The bound counts from the store's
// own time of the removal.
func TestServerThatLeftIsDroppedInAnyOrder(t *testing.T) {
	var late []string
	list := allOrders()
	for i := rand.N(*walkStride); i < len(list); i += *walkStride {
		o := list[i]
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: newTroubledStore(), bound: 2 * time.Second, offset: func(n int) time.Duration { return time.Duration(n) * 170 * time.Millisecond }}
			f.start(t, 1, 3, o.answering)
			defer f.close()
			// The poll for changes of the servers begins anew with this one, after a pause.
			time.Sleep(5 * time.Second)
			f.store.write(entryOf(3, 1))
			time.Sleep(o.phase + o.answering + 300*time.Millisecond)
			lengths := []time.Duration{o.length}
			if o.second > 0 {
				lengths = append(lengths, o.second)
			}
			ended := outages{silent, lengths, o.pause}.play(f, func() {})
			time.Sleep(time.Until(ended.Add(o.after)))
			f.leave(1)
			time.Sleep(f.bound)
			if len(f.uses("i-0")) > 0 || len(f.uses("i-1")) == 0 {
				late = append(late, fmt.Sprintf("%+v", o))
			}
		})
	}
	assert.Empty(t, late)
}
