package quota

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var limit = Limit{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

func TestQuotaOfAnIdleProcess(t *testing.T) {
	q := Quota{Limit: limit}
	now := time.Unix(1000, 0)
	retries := 0
	for q.TryRetry(now, 6) {
		retries++
	}
	assert.Equal(t, 6, retries, "a share of 52 / 8, including two unknown processes")
	assert.False(t, q.TryRetry(now.Add(9*time.Second), 6))
	assert.True(t, q.TryRetry(now.Add(11*time.Second), 6), "the window has passed")
}

func TestQuotaZeroValue(t *testing.T) {
	var q Quota
	assert.False(t, q.TryRetry(time.Unix(1000, 0), 1))
}

// event is a request or a retry.
type event struct {
	at    time.Duration
	retry bool
}

// within counts the requests, or the retries, in (from, from+window].
func within(events []event, retry bool, from time.Duration) int {
	count := 0
	for _, e := range events {
		if e.retry == retry && e.at > from && e.at <= from+limit.Window {
			count++
		}
	}
	return count
}

// The retries of all processes must stay within the limit in every window. The
// requests that allow them may lie in that window, in the one before it, or in the
// one that starts half a window earlier.
func TestQuotaKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 8).Draw(t, "processes")
		// Up to unknownProcesses others may be unknown to a process.
		known := max(processes-rapid.IntRange(0, unknownProcesses).Draw(t, "unknown"), 1)
		start := time.Unix(1000, 0)
		var events []event
		for range processes {
			q := Quota{Limit: limit}
			at := time.Duration(0)
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
				for range rapid.IntRange(0, 30).Draw(t, "requests") {
					q.Request(start.Add(at))
					events = append(events, event{at, false})
				}
				for range rapid.IntRange(0, 20).Draw(t, "retries") {
					if q.TryRetry(start.Add(at), known) {
						events = append(events, event{at, true})
					}
				}
			}
		}
		sort.Slice(events, func(i, k int) bool { return events[i].at < events[k].at })
		for _, e := range events {
			from := e.at - limit.Window
			requests := max(within(events, false, from), within(events, false, from-limit.Window/2), within(events, false, from-limit.Window))
			if retries := within(events, true, from); float64(retries) > limit.Ratio*float64(requests)+limit.Slack {
				t.Fatalf("%d retries of %d requests in the window up to %v", retries, requests, e.at)
			}
		}
	})
}
