// Package shed decides which requests wait and which are rejected while there is too
// little capacity, so that this costs callers least.
//
// Requests are ordered by Rank, highest first. From the most to the least important:
//
//   - A request that can't be served before its deadline has rank 0 and is rejected
//     immediately.
//   - Floors: a kind of request, or a client account, that is served much less often than
//     all others precedes them until it is not (see Floors).
//   - The priority of the route or the account. No amount of work, no share and no
//     retry makes up for a difference in priority.
//   - Requests that can still meet their latency target precede those that can't.
//   - A size of requests that is served less often than others of its kind precedes
//     them.
//   - Fair shares: accounts with the lowest ratio of recent use to share come first.
//   - Less work per request comes first. A request that returns after a rejection
//     counts twice, so that it may be twice as large. It is one that can't meet its
//     latency target any more: if those that return came before all others of their
//     priority, then nobody would be served at the first attempt in an overload.
//
// Ratios and work are compared by powers of two, so that small differences don't
// matter, and equal requests are served in the order of the time at which they must
// start, which for one route is the order of their arrival.
//
// Choose predicts when each waiting request starts and returns those that start too
// late to be of use.
//
// # Usage
//
//	stage := &shed.Stage{}
//	member := stage.Arrive(now, &work)
//	stage.Assess(now, &work, member)
//	rank := shed.Rank(&work, now)
//	refuse := shed.Choose(now, waiting, stage.Room(now, rate, ahead), nil)
//	stage.Serve(now, &work, member)
//
// Rank and Choose are pure functions. A Stage is the state of one queue; it is not safe
// for concurrent use.
package shed

import (
	"math"
	"time"
)

// Policy selects what is delayed and rejected if there is too little capacity.
type Policy string

// The policies. The zero value has the meaning of Arrival.
const (
	// Arrival rejects arrivals whose predicted wait is too long.
	Arrival Policy = "Arrival"
	// CostToCallers delays and rejects first what costs callers least.
	CostToCallers Policy = "CostToCallers"
)

// Work is a request that needs capacity.
type Work struct {
	// Account is the client account, empty if there is none.
	Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Target is the latency target of the route.
	Target time.Duration
	// Tokens is the work that the request needs, from Tokens(), or 0 for a request
	// without a prompt.
	Tokens float64
	// Units is what the request takes of the capacity, in the unit of Room.Rate.
	Units float64
	// StartBy is when the request must start to meet its latency target, Latest when
	// it must start to be of any use, or when waiting ceases to be better than a retry.
	StartBy, Latest time.Time
	// Returning is set if the request has been rejected before.
	Returning bool
	// Begun is set if a part of the work has been done. The request is not rejected
	// before Latest.
	Begun bool

	// Late is set by Choose if the request is predicted to miss its latency target.
	Late bool
	// Over is the account's ratio of use to share, Floor the floor under which the
	// request's group is. Both are set by Stage.Assess.
	Over  float64
	Floor Floor
}

// Floor says whether the requests of a group are served so rarely that they go first.
type Floor int

// The floors.
const (
	// NoFloor means that the group is served often enough.
	NoFloor Floor = iota
	// AmongEquals means that the size of the request is served too rarely, compared
	// with others of its priority and latency target.
	AmongEquals
	// AboveAll means that the kind of request or the account is served too rarely,
	// compared with all.
	AboveAll
)

const (
	// outputTokens is the work of one output token in prompt tokens. By the data
	// sheets of the engines (docs/DECISIONS.md) it is 4.5 to 5.
	outputTokens = 5
	// plainTokens is the work of a request without a prompt in the accounts' use.
	plainTokens = 50
	// typicalTokens is the work at which the value of less work is one half.
	typicalTokens = 1000
	// lateShare is the part of the ranks of one priority that is left to requests
	// that can't meet their latency target.
	lateShare = 0.1
	// shareLevels is the number of ratios of use to share that are distinguished:
	// up to 1, 2, 4, and so on.
	shareLevels = 8
	// maxPriority bounds priorities, so that a rank has enough digits left.
	maxPriority = 20
)

// Tokens returns the work of a request: the prompt tokens that no KV cache holds, and the
// output tokens by their share.
func Tokens(uncached, output int) float64 {
	return float64(max(uncached, 0)) + outputTokens*float64(max(output, 0))
}

// Rank returns the cost to callers of rejecting or delaying the request, per unit of
// work. It is 0 if the request can't be of use any more, in (1, 2] under the floor
// AboveAll, and else in (0, 1]. A lower priority has at most half the rank.
func Rank(w *Work, now time.Time) float64 {
	if now.After(w.Latest) {
		return 0
	}
	value := share(w)
	if w.Floor == AmongEquals {
		value++
	}
	value /= 2
	if w.late(now) {
		value *= lateShare
	} else {
		value = lateShare + (1-lateShare)*value
	}
	rank := math.Ldexp(1+value, -1-min(max(w.Priority, 0), maxPriority))
	if w.Floor == AboveAll {
		rank++
	}
	return rank
}

// late reports whether the request can't meet its latency target any more. For its caller
// the time of a request that returns counts from when it was sent first. A request that
// has begun is never counted as late, since little work is left.
func (w *Work) late(now time.Time) bool {
	return !w.Begun && (w.Late || w.Returning || now.After(w.StartBy))
}

// share returns a value in [0, 1) that decreases first with the account's use and then
// with the work.
func share(w *Work) float64 {
	level := 0.0
	if w.Over > 1 {
		level = min(math.Ceil(math.Log2(w.Over)), shareLevels-1)
	}
	value := 1.0
	if w.Tokens > 0 {
		value = typicalTokens / math.Exp2(float64(sizeClass(w.Tokens)))
	}
	if w.Returning {
		value *= 2
	}
	return (shareLevels - 1 - level + value/(1+value)) / shareLevels
}

// sizeClass returns the power of two of the work, rounded down.
func sizeClass(tokens float64) int {
	if tokens < 1 {
		return 0
	}
	return math.Ilogb(tokens)
}

// Before reports whether a request with the rank is served before another.
func Before(a *Work, rank float64, b *Work, other float64) bool {
	if rank != other {
		return rank > other
	}
	return a.StartBy.Before(b.StartBy)
}
