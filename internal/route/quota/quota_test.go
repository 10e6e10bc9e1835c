package quota

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var rule = Rule{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

func TestQuotaOfAnIdleProcess(t *testing.T) {
	q := Quota{Rule: rule}
	now := time.Unix(1000, 0)
	taken := 0
	for q.Take(now, 6) {
		taken++
	}
	assert.Equal(t, 6, taken, "52 of 8 processes, the two that may be unknown included")
	assert.False(t, q.Take(now.Add(9*time.Second), 6))
	assert.True(t, q.Take(now.Add(11*time.Second), 6), "the window has passed")
}

func TestQuotaZeroValue(t *testing.T) {
	var q Quota
	assert.False(t, q.Take(time.Unix(1000, 0), 1))
}

// event is a request or a repeat at a moment.
type event struct {
	at     time.Duration
	repeat bool
}

// within counts the events of one kind in (from, from+window].
func within(events []event, repeat bool, from time.Duration) int {
	count := 0
	for _, e := range events {
		if e.repeat == repeat && e.at > from && e.at <= from+rule.Window {
			count++
		}
	}
	return count
}

// The repeats of all processes stay within the rule in every window, where the
// requests may be counted in that window, the one before it, or the one half a
// window before it.
func TestQuotaKeepsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 8).Draw(t, "processes")
		// A process may not know of up to spare others.
		known := max(processes-rapid.IntRange(0, unknownProcesses).Draw(t, "unknown"), 1)
		start := time.Unix(1000, 0)
		var events []event
		for range processes {
			q := Quota{Rule: rule}
			at := time.Duration(0)
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
				for range rapid.IntRange(0, 30).Draw(t, "requests") {
					q.Request(start.Add(at))
					events = append(events, event{at, false})
				}
				for range rapid.IntRange(0, 20).Draw(t, "repeats") {
					if q.Take(start.Add(at), known) {
						events = append(events, event{at, true})
					}
				}
			}
		}
		sort.Slice(events, func(i, k int) bool { return events[i].at < events[k].at })
		for _, e := range events {
			from := e.at - rule.Window
			requests := max(within(events, false, from), within(events, false, from-rule.Window/2), within(events, false, from-rule.Window))
			if repeats := within(events, true, from); float64(repeats) > rule.Ratio*float64(requests)+rule.Slack {
				t.Fatalf("%d repeats of %d requests in the window up to %v", repeats, requests, e.at)
			}
		}
	})
}
