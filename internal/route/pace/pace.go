// Package pace estimates the time between two events of a stream at each engine of a
// service.
//
// A stream is late if one gap between its events exceeds the route's token gap target. How
// long gaps are depends on the engine: its speed, the requests beside the stream, the
// prompts that it prefills. All of these show in the gaps of the streams that it has
// already. One process sees too few streams to know them all, so that each tells its peers
// what it has measured.
//
// # Usage
//
//	var table pace.Table
//	table.Record(now, engine, gap) // of each gap of a stream of this process
//	table.Hear(now, reports)       // what a peer has measured
//	table.Sent(now, engine)        // of each stream that is sent to an engine
//	p, known := table.Predict(now)
//	if known {
//		gap := p.Gap(engine)
//	}
//	send(table.Take(28))
//
// The estimate of an engine is the mean of its samples, in which the weight of each halves
// every 10 s. It is blended with the mean of all engines of the service: an engine of which
// there are no samples, or none any more, is predicted to be like the others, and is tried.
//
// A Table is a state machine without a clock of its own. The caller guards it. The zero
// value has no samples.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which the weight of a sample halves.
	halfLife = 10 * time.Second
	// minSamples is the weight of an engine's samples from which they are used. The mean of
	// the service counts as so many samples of each engine.
	minSamples = 3
	// maxOwnWeight bounds the weight of an engine's samples against the mean of the service.
	// It is minSamples 10 s after the last sample, so that an engine that was slow is tried
	// again then however many samples it has.
	maxOwnWeight = 6
	// perSent is by how much each stream that was sent to an engine since its last sample
	// raises the prediction.
	perSent = 0.02
	// maxSent bounds the streams that raise it: an engine whose streams end without a gap
	// stays comparable.
	maxSent = 50
	// activeFor is how long after the last sample or stream the service counts as one with
	// paced streams. It is longer than reports of peers take with some hundred processes.
	activeFor = 5 * time.Second
	// busyFor is how long after the last sample or stream an engine counts as one with
	// streams. It is longer than the interval of status messages with some hundred
	// processes: streams begin at the same engines again before a peer tells of them.
	busyFor = time.Second
	// forgetAfter is how long an engine without samples and streams is kept.
	forgetAfter = time.Minute
)

const (
	// MaxHeard is the number of reports that Hear takes from one message.
	MaxHeard = 64
	// maxCount and maxGap bound the samples of a report and their mean.
	maxCount = 1000
	maxGap   = time.Minute
)

// Report is what a process has measured at an engine since its last report.
type Report struct {
	// Engine is the key of the engine's incarnation.
	Engine uint64
	// Count is the number of gaps, Mean their mean.
	Count int
	Mean  time.Duration
}

// Table has the estimates of the engines of one service.
type Table struct {
	engines map[uint64]*estimate
	// list has the same estimates in a fixed order, so that sums do not vary.
	list []*estimate
	// active is when the last sample came or the last stream was sent.
	active time.Time
}

// estimate is what is known of one engine.
type estimate struct {
	engine uint64
	// sum is that of the gaps in seconds, weight their number, both decayed until at.
	sum, weight float64
	at          time.Time
	// used is when the last sample came or the last stream was sent, sent the number of
	// streams sent since the last sample.
	used time.Time
	sent int
	// count and total are the samples of this process that its peers have not been told.
	count int
	total time.Duration
}

// Record adds a gap between two events of a stream of this process.
func (t *Table) Record(now time.Time, engine uint64, gap time.Duration) {
	gap = min(max(gap, 0), maxGap)
	e := t.estimate(now, engine)
	e.add(now, 1, gap)
	e.count++
	e.total += gap
}

// Hear adds what a peer has measured. Reports beyond the bounds count as far as these allow,
// those without a mean, or with one that no engine can have, are ignored.
func (t *Table) Hear(now time.Time, reports []Report) {
	for _, r := range reports[:min(len(reports), MaxHeard)] {
		if r.Count > 0 && r.Mean > 0 && r.Mean <= maxGap {
			t.estimate(now, r.Engine).add(now, min(r.Count, maxCount), r.Mean)
		}
	}
}

// Sent counts a stream that this process has sent to the engine.
func (t *Table) Sent(now time.Time, engine uint64) { t.estimate(now, engine).sent++ }

// estimate returns the estimate of an engine that is used now.
func (t *Table) estimate(now time.Time, engine uint64) *estimate {
	e, ok := t.engines[engine]
	if !ok {
		if t.engines == nil {
			t.engines = map[uint64]*estimate{}
		}
		e = &estimate{engine: engine, at: now}
		t.engines[engine] = e
		t.list = append(t.list, e)
	}
	t.active, e.used = now, now
	return e
}

// add adds samples with a mean.
func (e *estimate) add(now time.Time, count int, mean time.Duration) {
	d := e.decay(now)
	e.sum = e.sum*d + float64(count)*mean.Seconds()
	e.weight = e.weight*d + float64(count)
	e.at, e.sent = now, 0
}

// decay returns what is left at a time of a weight of 1.
func (e *estimate) decay(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(e.at), 0).Seconds() / halfLife.Seconds())
}

// own returns the mean of the engine's samples in seconds, and its weight against the mean of
// the service, which is below minSamples if there are too few.
func (e *estimate) own(now time.Time) (mean, weight float64) {
	if e.weight < minSamples {
		return 0, 0
	}
	return e.sum / e.weight, min(e.weight, maxOwnWeight) * e.decay(now)
}

// Active reports whether a stream was sent, or a sample came, a short time ago.
func (t *Table) Active(now time.Time) bool {
	return t != nil && !t.active.IsZero() && now.Sub(t.active) <= activeFor
}

// Busy reports whether the engine had a stream a moment ago.
func (t *Table) Busy(now time.Time, engine uint64) bool {
	e, ok := t.engines[engine]
	return ok && now.Sub(e.used) <= busyFor
}

// Prediction predicts gaps at one moment.
type Prediction struct {
	table *Table
	now   time.Time
	// mean is the mean of the service's engines, in seconds: that of all samples.
	mean float64
}

// Predict returns the prediction for a time, false if no engine has enough samples.
func (t *Table) Predict(now time.Time) (Prediction, bool) {
	if t == nil {
		return Prediction{}, false
	}
	sum, weights := 0.0, 0.0
	for _, e := range t.list {
		d := e.decay(now)
		sum += d * e.sum
		weights += d * e.weight
	}
	if weights < minSamples {
		return Prediction{}, false
	}
	return Prediction{t, now, sum / weights}, true
}

// Gap returns the predicted gap between two events of a stream at the engine.
func (p Prediction) Gap(engine uint64) time.Duration {
	gap, sent := p.mean, 0
	if e, ok := p.table.engines[engine]; ok {
		sent = e.sent
		if mean, weight := e.own(p.now); weight >= minSamples {
			gap = (mean*weight + p.mean*minSamples) / (weight + minSamples)
		}
	}
	gap *= 1 + perSent*float64(min(sent, maxSent))
	return time.Duration(gap * float64(time.Second))
}

// Take returns what this process has measured and not told yet, for at most so many engines,
// those with the most samples first. The others are left for the next call.
func (t *Table) Take(most int) []Report {
	var list []Report
	for _, e := range t.list {
		if e.count > 0 {
			list = append(list, Report{e.engine, e.count, e.total / time.Duration(e.count)})
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Engine, b.Engine))
	})
	list = list[:min(len(list), max(most, 0))]
	for _, r := range list {
		e := t.engines[r.Engine]
		e.count, e.total = 0, 0
	}
	return list
}

// Sweep forgets the engines that have had no samples and streams for some time.
func (t *Table) Sweep(now time.Time) {
	t.list = slices.DeleteFunc(t.list, func(e *estimate) bool {
		if now.Sub(e.used) <= forgetAfter {
			return false
		}
		delete(t.engines, e.engine)
		return true
	})
}
