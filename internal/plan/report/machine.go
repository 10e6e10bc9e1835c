package report

import (
	"encoding/json"
	"fmt"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	// earliestFix is the least time from the end of a window until its report is fixed, and
	// latestFix how long before the report is due it is fixed without the counts of processes
	// that have not sent them.
	earliestFix = time.Second
	latestFix   = 2 * time.Second
	// collectTime is how long a new holder waits for counts before it fixes a report that is
	// late already: processes send all counts that they have to a new collector.
	collectTime = 1500 * time.Millisecond
	// skipMargin is added to the present when windows are skipped, as the estimate of true
	// time of the process that may have reported them may be ahead.
	skipMargin = time.Second
	// maxAhead is the number of windows after the present one beyond which the next window
	// was chosen, or the present time is estimated, by a wrong clock.
	maxAhead = 2
	// maxWrong is how far clocks may be wrong without a second report of a window: a window
	// that is further ahead stops no reports.
	maxWrong = 2 * time.Minute
	// maxRefusals is how often the platform must refuse a report in a row for it to be
	// given up, so that it does not hold up the later ones.
	maxRefusals = 5
)

// Record is the value of the store's object. The report that was fixed last may not have been
// delivered; the earlier ones have, or were skipped.
type Record struct {
	// Era is that of the store when the record was written. If the store has a later one, it
	// was restored, and later records may be lost.
	Era uint64
	// Next is the number of the next window to report.
	Next int64
	// Report was fixed last; its Body is empty if there is none. It is a string, so that the
	// store keeps it byte for byte.
	Report Report
}

// Kind is what the holder has to do next.
type Kind int

// The kinds of actions.
const (
	// Wait means that nothing is to be done now.
	Wait Kind = iota
	// Read means to read the object of the store, and to call Machine.Read.
	Read
	// Fix means to write Record to the object, and to call Machine.Fixed or Unsettled.
	Fix
	// Send means to send the report, and to call Machine.Delivered, Refused or, after any
	// other error, Failed.
	Send
	// ReadSaved means to read the object with the counts that stopped processes have saved,
	// and to call Machine.ReadSaved.
	ReadSaved
	// RemoveSaved means to remove Version of that object, and to call Machine.RemovedSaved or
	// UnsettledSaved.
	RemoveSaved
)

// Action is the next thing to do.
type Action struct {
	Kind Kind
	// Record is what to write, and Version the version of the object to replace.
	Record  Record
	Version uint64
	// Report is what to send.
	Report Report
}

// Machine decides what the holder of the duties does for usage reports. The exported fields
// must be set before use. It is not safe for concurrent use.
type Machine struct {
	// Window is the length of the windows, ReportWithin the time after the end of a window
	// within which its report is due.
	Window, ReportWithin time.Duration
	// First is the window in which this process started.
	First int64

	// known is set if record and version are those of the store's object, as far as this
	// process knows. version is 0 if there is no object.
	known   bool
	record  Record
	version uint64
	// begun is when this process became the holder.
	begun time.Time
	// next is the next window to report. It does not decrease unless it is too far ahead.
	next int64
	// unreported is set while no window has been reported, as next was chosen by the counts.
	unreported bool
	// floor is the next window by the store's object. Those before may have been reported.
	floor int64
	// done is the window whose report is delivered or given up, refusals counts the
	// refusals in a row of the report that was fixed last.
	done     int64
	anyDone  bool
	refusals int
	// skipped counts the windows that are not reported.
	skipped int64
	// savedKnown is set once the object with saved counts was read. savedVersion is its
	// version, 0 if there is none, savedLast the last window in it.
	savedKnown bool
	// savedRead is set once it was read since Begin. A later read must not delay a report
	// beyond its time: the store may be slow.
	savedRead    bool
	savedVersion uint64
	savedLast    int64
	// savedAt is when the object was read. lacks is set while a process that may have saved
	// counts is waited for. unread is set when the last of them no longer is, until the object
	// is read once more: counts may have been saved since the read before.
	savedAt       time.Time
	lacks, unread bool
}

// Begin records that this process has become the holder. What other holders have done
// meanwhile has to be read first.
func (m *Machine) Begin(now time.Time) {
	m.known, m.savedKnown, m.savedRead, m.begun = false, false, false, now
}

// Skipped returns how many windows have been skipped in total.
func (m *Machine) Skipped() int64 { return m.skipped }

// Reported returns the window before which all are reported or skipped, as far as this process
// knows from the store's object.
func (m *Machine) Reported() int64 { return m.floor }

// Decide returns the next action. era is the latest known era of the store, processes are
// those whose counts are waited for.
func (m *Machine) Decide(now time.Time, era uint64, c *Collector, processes []Process) Action {
	if !m.known {
		return Action{Kind: Read}
	}
	if m.next > WindowAt(now, m.Window)+maxAhead && (m.next > m.floor || m.next > m.latest(now)) {
		// True time was not known as the window was chosen.
		m.known, m.next = false, 0
		return Action{Kind: Read}
	}
	if m.pending() {
		return Action{Kind: Send, Report: m.record.Report}
	}
	if !m.savedKnown && (!m.savedRead || now.Before(m.latestFix())) {
		return Action{Kind: ReadSaved}
	}
	if m.savedVersion != 0 && m.next > m.savedLast {
		return Action{Kind: RemoveSaved, Version: m.savedVersion}
	}
	if oldest := WindowAt(now, m.Window) - kept + 1; m.next < oldest {
		// The counts are no longer kept. A missing report costs less than a wrong one.
		m.skipTo(oldest)
	}
	end := EndOf(m.next, m.Window)
	if now.Before(end.Add(earliestFix)) {
		return Action{}
	}
	if now.Before(m.latestFix()) && (!c.Complete(m.next, processes) || c.awaitsForwarded(now, m.next) || m.unread) {
		return Action{}
	}
	record := Record{Era: era, Next: m.next + 1, Report: New(m.next, c.Totals(m.next))}
	return Action{Kind: Fix, Record: record, Version: m.version}
}

// latestFix returns when the next window is fixed whatever is missing: 2 s before it is due, but
// not right after this process has become the holder.
func (m *Machine) latestFix() time.Time {
	latest := EndOf(m.next, m.Window).Add(m.ReportWithin - latestFix)
	if collected := m.begun.Add(collectTime); latest.Before(collected) {
		return collected
	}
	return latest
}

// latest returns the last window that the next one of a record may be.
func (m *Machine) latest(now time.Time) int64 {
	return WindowAt(now.Add(skipMargin), m.Window) + max(int64(maxWrong/m.Window), maxAhead)
}

// pending reports whether the report that was fixed last has to be sent.
func (m *Machine) pending() bool {
	r := m.record.Report
	return r.Body != "" && !(m.anyDone && r.Window == m.done)
}

// Read records the object as read at now. version is that of the object, or consists of the
// store's era and revision 0 if there is none. The error says that the value is not a record
// of this package; it is then replaced.
func (m *Machine) Read(now time.Time, version uint64, value []byte, c *Collector) error {
	m.version, m.record, m.floor, m.refusals, m.unreported = version, Record{}, 0, 0, false
	present := WindowAt(now.Add(skipMargin), m.Window)
	if store.Revision(version) == 0 {
		m.version, m.known = 0, true
		if store.Era(version) > 0 {
			// The store may have lost the object.
			m.skipTo(present)
			return nil
		}
		if m.next == 0 {
			m.unreported = true
			m.next = min(c.Earliest(m.First), present)
		}
		return nil
	}
	var r Record
	err := json.Unmarshal(value, &r)
	if err == nil && (r.Next > m.latest(now) || r.Report.Body != "" && r.Report.Window >= r.Next) {
		err = fmt.Errorf("next window %d, report of %d, now is %d", r.Next, r.Report.Window, present)
	}
	m.known = true
	if err == nil {
		m.floor = r.Next
	}
	switch {
	case err != nil:
		m.skipTo(present)
		return fmt.Errorf("record of usage reports: %w", err)
	case r.Era < store.Era(version):
		m.next = max(m.next, r.Next)
		m.skipTo(present)
	default:
		m.record, m.next = r, max(m.next, r.Next)
	}
	return nil
}

// skipTo skips the windows before the given one.
func (m *Machine) skipTo(window int64) {
	if window <= m.next {
		return
	}
	if m.next > 0 {
		m.skipped += window - m.next
	}
	m.next = window
}

// Fixed records that the record of the action was written as the given version.
func (m *Machine) Fixed(version uint64, a Action) {
	if store.Era(version) != a.Record.Era {
		// The store was restored before the write took effect. No other process takes the
		// report as fixed either.
		m.known = false
		return
	}
	m.version, m.record, m.floor, m.refusals, m.unreported = version, a.Record, a.Record.Next, 0, false
	m.next = max(m.next, a.Record.Next)
}

// Unsettled records that the object may have another content than is known: a write
// conflicted or its outcome is unknown. The object is read again before anything else.
func (m *Machine) Unsettled() { m.known = false }

// Delivered records that the platform has accepted a report.
func (m *Machine) Delivered(r Report) {
	m.done, m.anyDone = r.Window, true
}

// Refused records that the platform has refused a report for certain, and returns true if it
// is given up.
func (m *Machine) Refused(r Report) bool {
	m.refusals++
	if m.refusals < maxRefusals {
		return false
	}
	m.refusals = 0
	m.Delivered(r)
	return true
}

// Failed records that a report was sent with an unknown outcome, or that the platform was too
// busy to decide on it. It is sent again, and refusals are counted anew.
func (m *Machine) Failed() { m.refusals = 0 }

// Encode returns the value of the store's object for a record.
func (r Record) Encode() []byte {
	// Marshal cannot fail for this type.
	value, _ := json.Marshal(r)
	return value
}
