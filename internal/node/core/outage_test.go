package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// expiry is the time without a heartbeat after which an entry expires: in no shorter outage
// do any.
const expiry = 3600 * time.Millisecond

// outages are their lengths, in the mode, and the pause between two.
type outages struct {
	mode    outageMode
	lengths []time.Duration
	pause   time.Duration
}

// play plays the outages and returns the end of the last one. In the first that is long
// enough it has entries expire.
func (o outages) play(f *fleet, expire func()) time.Time {
	expired := false
	for i, length := range o.lengths {
		if i > 0 {
			time.Sleep(o.pause)
		}
		f.store.begin(o.mode)
		began := time.Now()
		if length >= expiry && !expired {
			time.Sleep(length/2 + rand.N(length/2))
			expire()
			expired = true
		}
		time.Sleep(time.Until(began.Add(length)))
		f.store.end()
	}
	return time.Now()
}

// outageCases returns outages of many lengths, alone and in twos.
func outageCases() []outages {
	var list []outages
	for _, mode := range []outageMode{silent, busy, refusing} {
		for _, length := range []time.Duration{0, 50, 300, 700, 1000, 1500, 2100, 2900, 3300, 4600, 4900, 8000, 15000} {
			list = append(list, outages{mode, []time.Duration{length * time.Millisecond}, 0})
		}
		list = append(list, outages{mode, []time.Duration{4600 * time.Millisecond, 3 * time.Second}, 700 * time.Millisecond},
			outages{mode, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}, 300 * time.Millisecond},
			outages{mode, []time.Duration{3 * time.Second, 4600 * time.Millisecond}, 2500 * time.Millisecond},
			outages{mode, []time.Duration{4600 * time.Millisecond, 8 * time.Second}, time.Second})
	}
	return list
}

// rounds is how often the tests play each case, with other moments.
var rounds = flag.Int("outage-rounds", 1, "how often each outage is played")

// settling is how long a system runs before a test begins, so that all its views are complete.
const settling = 5 * time.Second

// inFleet plays a test with a system in a bubble of its own, settling after its start.
func inFleet(t *testing.T, processes, servers int, do func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, processes, servers)
		defer f.close()
		time.Sleep(settling)
		do(t, f)
	})
}

// eachOutage plays all outages with so many processes, beside others in bubbles of their own.
func eachOutage(t *testing.T, sizes []int, servers int, do func(f *fleet, o outages, round int)) {
	round := 0
	for range *rounds {
		for _, processes := range sizes {
			for _, o := range outageCases() {
				if processes > smallSystem && o.mode != silent {
					// Larger systems differ in how long a poll may get no response.
					continue
				}
				round++
				inFleet(t, processes, servers, func(_ *testing.T, f *fleet) {
					time.Sleep(rand.N(3 * time.Second))
					do(f, o, round)
				})
			}
		}
	}
}

// TestServerThatLeftAfterAnOutageIsDroppedInTime guards against a backend server that left when
// the store was stable again, and that gets requests for longer than LeaveWithin, as its entry
// might have expired in the outage before.
func TestServerThatLeftAfterAnOutageIsDroppedInTime(t *testing.T) {
	afters := []time.Duration{0, 100 * time.Millisecond, time.Second, 0, 2500 * time.Millisecond}
	var late []string
	eachOutage(t, []int{1, 3, 6, 13, 23}, 4, func(f *fleet, o outages, round int) {
		after, leaving := settled+afters[round%len(afters)], 1+2*(round%2)
		ended := o.play(f, func() {})
		time.Sleep(time.Until(ended.Add(after)))
		f.leave(leaving)
		time.Sleep(f.bound)
		for i := range 4 {
			users := f.uses(fmt.Sprint("i-", i))
			if i < leaving && len(users) > 0 || i >= leaving && len(users) < len(f.nodes) {
				late = append(late, fmt.Sprintf("%v, %d processes, %d servers leave %v after it: i-%d is used by %v", o, len(f.nodes), leaving, after, i, users))
			}
		}
	})
	assert.Empty(t, late)
}

// configurationWithin is the promise on configurations that change.
const configurationWithin = 2 * time.Second

// TestConfigurationThatChangesAfterAnOutageIsActiveInTime guards against an older configuration
// that stays in force as the poll that would bring the new one was lost in an outage. It is
// changed when the store is stable again, and in the moment in which one without a processor
// goes on.
func TestConfigurationThatChangesAfterAnOutageIsActiveInTime(t *testing.T) {
	var late []string
	change := func(f *fleet, what string) {
		f.store.write(configObject(4))
		time.Sleep(configurationWithin)
		for _, n := range f.nodes {
			if n.Version() != 4 {
				late = append(late, fmt.Sprintf("%s: %s of %d has %d", what, n.Name, len(f.nodes), n.Version()))
			}
		}
	}
	eachOutage(t, []int{1, 3, 6, 13, 23}, 2, func(f *fleet, o outages, round int) {
		after := settled + time.Duration(round%5)*250*time.Millisecond
		ended := o.play(f, func() {})
		time.Sleep(time.Until(ended.Add(after)))
		change(f, fmt.Sprintf("%v, %v after it", o, after))
	})
	for _, length := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4460 * time.Millisecond} {
		for _, processes := range []int{1, 3, 6} {
			inFleet(t, processes, 2, func(_ *testing.T, f *fleet) {
				time.Sleep(rand.N(3 * time.Second))
				f.store.begin(stalled)
				time.Sleep(length)
				f.store.end()
				change(f, fmt.Sprintf("%v without a processor", length))
			})
		}
	}
	assert.Empty(t, late)
}

// TestServersWhoseEntriesExpiredInAnOutageAreUsed guards against backend servers that get no
// requests after an outage of the store in which their entries expired, though they have
// written them again within two seconds.
func TestServersWhoseEntriesExpiredInAnOutageAreUsed(t *testing.T) {
	const servers = 4
	var missing []string
	eachOutage(t, []int{1, 3, 6}, servers, func(f *fleet, o outages, round int) {
		expired := 1 + 3*(round%2)
		ended := o.play(f, func() { f.leave(expired) })
		unused := map[string]bool{}
		for d := time.Duration(0); d < 5*time.Second; d += 20 * time.Millisecond {
			time.Sleep(time.Until(ended.Add(d)))
			for i := range servers {
				if d == time.Duration(i+1)*500*time.Millisecond {
					f.store.write(entryOf(i, 9))
				}
				name := fmt.Sprint("i-", i)
				if users := f.uses(name); len(users) < len(f.nodes) && !unused[name] {
					unused[name] = true
					missing = append(missing, fmt.Sprintf("%v, %d processes, %d entries: %s is used by %v only %v after the end", o, len(f.nodes), expired, name, users, d))
				}
			}
		}
	})
	assert.Empty(t, missing)
}

// TestServerThatLeavesAsTheStoreIsBackIsDroppedInTime guards against a server that leaves in the
// moment in which a store without a processor goes on, and gets requests for longer than
// LeaveWithin, as its entry might have expired meanwhile.
func TestServerThatLeavesAsTheStoreIsBackIsDroppedInTime(t *testing.T) {
	var late []string
	for _, length := range []time.Duration{500, 1500, 3100, 4460, 9060} {
		for _, processes := range []int{1, 3, 6} {
			for after := time.Duration(0); after < 2400*time.Millisecond; after += 200 * time.Millisecond {
				inFleet(t, processes, 5, func(_ *testing.T, f *fleet) {
					time.Sleep(rand.N(3 * time.Second))
					f.store.begin(stalled)
					time.Sleep(length * time.Millisecond)
					f.store.end()
					time.Sleep(after)
					f.leave(1)
					time.Sleep(f.bound)
					if users := f.uses("i-0"); len(users) > 0 || len(f.uses("i-1")) < processes {
						late = append(late, fmt.Sprintf("%v ms, left %v after it, %d processes: used by %v", int(length), after, processes, users))
					}
				})
			}
		}
	}
	assert.Empty(t, late)
}

// TestServersThatLeaveTogetherAsTheStoreIsBackAreDropped guards against the same for three
// servers of five, whose entries are as many as expire in an outage.
func TestServersThatLeaveTogetherAsTheStoreIsBackAreDropped(t *testing.T) {
	for _, processes := range []int{1, 3} {
		inFleet(t, processes, 5, func(t *testing.T, f *fleet) {
			f.store.begin(stalled)
			time.Sleep(4460 * time.Millisecond)
			f.store.end()
			f.leave(3)
			time.Sleep(f.bound)
			for i := range 3 {
				assert.Empty(t, f.uses(fmt.Sprint("i-", i)), processes)
			}
		})
	}
}

// TestServerThatLeavesWhileTheStoreAnswersIsDroppedInTime guards against a backend server that
// gets requests for as long as some calls to the store fail though it answers the others, or
// as it answers watches with lost history, as if that were an outage in which the server's
// entry may have expired.
func TestServerThatLeavesWhileTheStoreAnswersIsDroppedInTime(t *testing.T) {
	for _, mode := range []outageMode{forgetting, partial} {
		for _, processes := range []int{1, 3} {
			inFleet(t, processes, 2, func(t *testing.T, f *fleet) {
				f.store.begin(mode)
				time.Sleep(time.Minute)
				f.leave(1)
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), mode)
				assert.Len(t, f.uses("i-1"), processes, mode)
			})
		}
	}
}

// TestServersThatLeaveTogetherAreDroppedInTime guards against servers that leave together, as
// which their entries might have expired, and are used for too long as the store's answers take
// a time to arrive: the promise counts from the removal and not from when a process finds it.
func TestServersThatLeaveTogetherAreDroppedInTime(t *testing.T) {
	leaveTogether(t, []int{1, 3, 6})
}

// leaveTogether has three servers of four leave, with so many processes.
func leaveTogether(t *testing.T, sizes []int) {
	for _, answering := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		for _, processes := range sizes {
			for after := range 8 {
				synctest.Test(t, func(t *testing.T) {
					f := startSlowFleet(t, processes, 4, answering)
					defer f.close()
					time.Sleep(20*time.Second + rand.N(3*time.Second))
					// The removals come after another change, in the pause that follows it.
					f.store.write(entryOf(4, 1))
					time.Sleep(time.Duration(after) * 150 * time.Millisecond)
					f.leave(3)
					time.Sleep(f.bound)
					for i := range 3 {
						assert.Empty(t, f.uses(fmt.Sprint("i-", i)), "%v, %d processes, %d", answering, processes, after)
					}
					assert.Len(t, f.uses("i-3"), processes)
				})
			}
		}
	}
}

// TestServerThatLeavesWhileAWriteConflictsIsDroppedInTime guards against answers of the store to
// a write that count as failures: a process that could not announce itself for half a second took
// that for an outage, and used servers whose entries were removed meanwhile.
func TestServerThatLeavesWhileAWriteConflictsIsDroppedInTime(t *testing.T) {
	for after := 200 * time.Millisecond; after < 5*time.Second; after += 300 * time.Millisecond {
		for _, processes := range []int{1, 3} {
			inFleet(t, processes, 2, func(t *testing.T, f *fleet) {
				f.store.begin(conflicting)
				for _, n := range f.nodes {
					f.store.write(store.Object{Key: n.memberKey(n.Name)})
					n.announceAgain()
				}
				time.Sleep(after)
				f.leave(1)
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), "%d processes, removed %v after the conflicts began", processes, after)
				assert.Len(t, f.uses("i-1"), processes)
			})
		}
	}
}

// TestServerThatLeavesAsCallsOfOneKindBeginToFailIsDropped guards against a server that gets
// requests for too long as calls of one kind of objects have begun to be refused a moment ago,
// which counts as an outage until a later call of another kind has been answered.
func TestServerThatLeavesAsCallsOfOneKindBeginToFailIsDropped(t *testing.T) {
	for _, processes := range []int{1, 3} {
		for after := 200 * time.Millisecond; after < 8*time.Second; after += 300 * time.Millisecond {
			inFleet(t, processes, 2, func(t *testing.T, f *fleet) {
				f.store.begin(partial)
				// A change ends the open poll of that kind, so that the next one is refused.
				f.store.write(store.Object{Key: partlyFailing + "/q", Value: []byte("{}")})
				time.Sleep(after)
				f.leave(1)
				time.Sleep(f.bound)
				assert.Empty(t, f.uses("i-0"), "%d processes, removed %v after the first refusal", processes, after)
				assert.Len(t, f.uses("i-1"), processes)
			})
		}
	}
}
