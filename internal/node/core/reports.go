package core

import (
	"iter"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// ownReport is a report of this process, which is sent several times as datagrams may
// be lost.
type ownReport struct {
	crash.Report
	made, sent time.Time
	// pause is the time from sent to when it is sent again.
	pause time.Duration
	// told are the places of the parts that are sent, next is the index of the first one
	// that is still to be sent this time.
	told []int
	next int
}

const (
	// maxNewsBytes is the size of a message that fits one packet, in bytes. One part more
	// may be added.
	maxNewsBytes = 1200
	// messageOverhead, reportBytes and partOverhead are what a message, a report in it and
	// a part take at most beside the IDs of parts, in bytes.
	messageOverhead = 64
	reportBytes     = 40
	partOverhead    = 12
	// maxReportMessages bounds the messages with reports in quarantineInterval, so that the
	// reports of long prompts do not fill the link: 32 take 0.8 MB/s.
	maxReportMessages = 32
	// toldBySame is the number of requests of a crash that are reported with the same part.
	// One request would leave it open whether different ones with the part were there.
	toldBySame = 2
)

// partBytes returns what a part takes in a message, in bytes.
func partBytes(part string) int { return len(part) + partOverhead }

// batches splits a list so that each part of it fits one message.
func batches[T any](list []T, size func(T) int) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		for first := 0; first < len(list); {
			last, bytes := first, messageOverhead
			for last < len(list) && bytes < maxNewsBytes {
				bytes += size(list[last])
				last++
			}
			if !yield(list[first:last]) {
				return
			}
			first = last
		}
	}
}

// untold returns the places of the parts of a report that too few other reports on the same
// crash have. Prompts in progress at one server share most parts. q.mu must be held.
func (q *quarantine) untold(r crash.Report) []int {
	told := map[string]int{}
	for _, other := range q.reports {
		if other.Server != r.Server {
			continue
		}
		for _, place := range other.told {
			told[other.Suspects[place].Part]++
		}
	}
	var places []int
	for i, s := range r.Suspects {
		if told[s.Part] < toldBySame {
			places = append(places, i)
		}
	}
	return places
}

// sendReports sends the reports that are due to the collectors. q.mu must be held.
func (q *quarantine) sendReports(now time.Time) {
	kept := q.reports[:0]
	for _, r := range q.reports {
		if r.sent.IsZero() || now.Sub(r.made) < resendFor || r.next > 0 {
			kept = append(kept, r)
		}
	}
	clear(q.reports[len(kept):])
	q.reports = kept
	if now.Sub(q.sentAt) >= quarantineInterval {
		q.sentAt, q.sent = now, 0
	}
	batch, size := []*wire.CrashReport(nil), messageOverhead
	for _, r := range q.due(now) {
		for more := true; more; {
			if size+reportBytes >= maxNewsBytes {
				q.sendBatch(batch)
				batch, size = nil, messageOverhead
			}
			if q.sent >= maxReportMessages {
				return
			}
			var m *wire.CrashReport
			m, size, more = r.encode(now, size)
			batch = append(batch, m)
		}
		r.next, r.sent, r.pause = 0, now, max(2*r.pause, resendInterval)
	}
	q.sendBatch(batch)
}

// due returns the reports that are due, those first that were not sent before: repeats of long
// ones must not delay them. q.mu must be held.
func (q *quarantine) due(now time.Time) []*ownReport {
	var fresh, repeats []*ownReport
	for _, r := range q.reports {
		switch {
		case r.sent.IsZero():
			fresh = append(fresh, r)
		case r.next > 0 || now.Sub(r.sent) >= r.pause:
			repeats = append(repeats, r)
		}
	}
	return append(fresh, repeats...)
}

// sendBatch sends reports in one message to the collectors. q.mu must be held.
func (q *quarantine) sendBatch(batch []*wire.CrashReport) {
	if len(batch) == 0 {
		return
	}
	for _, name := range q.collectors() {
		if name != q.node.Name {
			q.node.coordination.push(name, &wire.News{Crashes: batch})
			q.sent++
		}
	}
}

// encode returns a report with the next parts in a row that fit a message of the size, its
// size then, and whether there are more.
func (r *ownReport) encode(now time.Time, size int) (m *wire.CrashReport, bytes int, more bool) {
	m = &wire.CrashReport{Server: r.Server, Request: r.Request, AgeMs: uint32(max(now.Sub(r.At).Milliseconds(), 0))}
	size += reportBytes
	for first := r.next; r.next < len(r.told) && size < maxNewsBytes; r.next++ {
		place := r.told[r.next]
		if r.next == first {
			m.First = uint32(place)
		} else if place != r.told[r.next-1]+1 {
			break
		}
		s := r.Suspects[place]
		m.Parts = append(m.Parts, encodePartTime(s.Part, now, s.Succeeded))
		size += partBytes(s.Part)
	}
	return m, size, r.next < len(r.told)
}

func decodeReport(now time.Time, m *wire.CrashReport) crash.Report {
	r := crash.Report{Server: m.Server, Request: m.Request, At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond), First: int(m.First)}
	for _, p := range m.Parts {
		r.Suspects = append(r.Suspects, crash.Suspect{Part: p.Part, Succeeded: decodePartTime(now, p)})
	}
	return r
}

// encodePartTime encodes a part and the time since at, which may be zero.
func encodePartTime(part string, now, at time.Time) *wire.PartTime {
	m := &wire.PartTime{Part: part}
	if !at.IsZero() {
		m.Ms = uint32(max(now.Sub(at).Milliseconds(), 0)) + 1
	}
	return m
}

// decodePartTime returns the time that encodePartTime has encoded.
func decodePartTime(now time.Time, m *wire.PartTime) time.Time {
	if m.Ms == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.Ms-1) * time.Millisecond)
}
