// Package report decides on the usage reports of windows of time: how many requests of
// each client account began to run in a window.
//
// Each process counts with a Counter, which says what to send to the processes that may
// have to report, the collectors, as Parts. These add the Parts to a Collector. One of
// them, the holder of the lease of the duties, runs a Machine. It fixes the report of one
// window after the other: it writes the report to the store before it sends it, and sends
// it until the outcome is known, so that no window is ever reported with two contents.
//
// A process that stops when no collector is left saves the counts that it holds to the store.
// The next holder adds them to its own.
//
// A process that has counts of others which have ended forwards them, with a Forwarder, to those
// that become collectors.
//
// A process that does not know true time yet counts with an Early instead, by the age of the
// requests. A Collector adds these counts to windows until the process has sent its own.
//
// All of them are pure: they take the present true time and do no I/O.
//
// # Usage
//
//	counter := &report.Counter{Window: 5 * time.Second}
//	counter.Count(at, "huka270")
//	for _, message := range counter.Due(now, collectors, false) {
//		send(message.To, message.Part)
//	}
//
//	early := &report.Early{Started: started}
//	early.Count(at, "huka270")
//	for _, counts := range early.Due(now, false) {
//		send(collectors, counts)
//	}
//
//	collector := &report.Collector{Window: 5 * time.Second}
//	collector.AddEarly(now, arrived, "entry-2", incarnation, counts)
//	collector.Add(now, "entry-2", incarnation, part)
//
//	forwarder := &report.Forwarder{}
//	collector.Observe(now, collecting, otherCollectors)
//	for _, message := range forwarder.Due(now, collector, collectors, machine.Reported(), live) {
//		send(message.To, message.Forwarded)
//	}
//	collector.AddForwarded(now, "entry-3", forwarded)
//
//	machine := &report.Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second}
//	machine.Begin(now)
//	machine.RereadSaved(now, collector, silent, incarnations)
//	switch a := machine.Decide(now, era, collector, processes); a.Kind {
//	case report.Read:
//		object, err := store.Get(ctx, key)
//		err = machine.Read(now, object.Version, object.Value, collector)
//	case report.Fix:
//		version, err := store.Put(ctx, object(a)) // after an unknown outcome: machine.Unsettled()
//		machine.Fixed(version, a)
//	case report.Send:
//		err := send(a.Report) // after an error: machine.Refused(a.Report) or machine.Failed()
//		machine.Delivered(a.Report)
//	case report.ReadSaved:
//		object, err := store.Get(ctx, savedKey)
//		err = machine.ReadSaved(now, object.Version, object.Value, collector)
//	case report.RemoveSaved:
//		_, err := store.Put(ctx, empty(a)) // after an unknown outcome: machine.UnsettledSaved()
//		machine.RemovedSaved()
//	}
//
//	// At the end of a process:
//	value, omitted := collector.Save(era).Encode()
//	_, err := store.Put(ctx, object(value))
//	log(err, omitted) // the windows whose counts are lost
package report

import (
	"encoding/json"
	"time"
)

// kept is the number of windows, the present one included, of which counts are kept.
const kept = 6

// Report is the usage report of a window. Its bytes are fixed before it is first sent.
type Report struct {
	// Window is the number of the window, Body what is sent.
	Window int64
	Body   string
}

// New returns the report of a window with the number of requests of each account. Equal
// counts give equal bytes.
func New(window int64, counts map[string]uint64) Report {
	if counts == nil {
		counts = map[string]uint64{}
	}
	// Marshal sorts the keys of a map and cannot fail for this type.
	body, _ := json.Marshal(struct {
		Window int64
		Counts map[string]uint64
	}{window, counts})
	return Report{Window: window, Body: string(body)}
}

// WindowAt returns the number of the window of the given length in which a time is.
func WindowAt(at time.Time, length time.Duration) int64 {
	since := at.UnixNano()
	number := since / int64(length)
	if since < 0 && since%int64(length) != 0 {
		number--
	}
	return number
}

// EndOf returns the end of a window.
func EndOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, 0).Add(time.Duration(window+1) * length)
}

// Part has counts of one process and window, or a part of them if there are many.
type Part struct {
	Window int64
	// Final is set if the process will count no further request in the window. Parts is
	// then in how many Parts it sends its counts, none of which has an account of another.
	Final bool
	Parts int
	// Replaces is set if the process has sent early counts, which hold no longer in the window.
	Replaces bool
	// Counts are sorted by account.
	Counts []Count
}

// Count is the number of requests of an account since the start of the window.
type Count struct {
	Account  string
	Requests uint32
}
