package core

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

func encodeReport(now time.Time, r crash.Report) *wire.CrashReport {
	m := &wire.CrashReport{Server: r.Server, Request: r.Request, AgeMs: uint32(max(now.Sub(r.At).Milliseconds(), 0))}
	for _, s := range r.Suspects {
		m.Parts = append(m.Parts, encodePartTime(s.Part, now, s.Succeeded))
	}
	return m
}

func decodeReport(now time.Time, m *wire.CrashReport) crash.Report {
	r := crash.Report{Server: m.Server, Request: m.Request, At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond)}
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
