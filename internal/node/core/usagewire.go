package core

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
)

// encodeEarly returns the form of early counts in messages.
func encodeEarly(counts []report.EarlyCount) []*wire.EarlyUsage {
	list := make([]*wire.EarlyUsage, 0, len(counts))
	for _, c := range counts {
		list = append(list, &wire.EarlyUsage{Account: c.Account, AgeMs: uint32(c.Age.Milliseconds()), Requests: c.Requests, Tick: c.Tick})
	}
	return list
}

// decodeEarly returns the early counts of a message.
func decodeEarly(list []*wire.EarlyUsage) []report.EarlyCount {
	counts := make([]report.EarlyCount, 0, len(list))
	for _, c := range list {
		counts = append(counts, report.EarlyCount{
			Account: c.GetAccount(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond, Requests: c.GetRequests(), Tick: c.GetTick(),
		})
	}
	return counts
}

// encodeUsage returns the form of a Part in messages.
func encodeUsage(p report.Part) *wire.WindowUsage {
	m := &wire.WindowUsage{Window: p.Window, Final: p.Final, Parts: uint32(p.Parts)}
	for _, c := range p.Counts {
		m.Accounts = append(m.Accounts, &wire.AccountUsage{Account: c.Account, Requests: c.Requests})
	}
	return m
}

// decodeUsage returns the Part of a message.
func decodeUsage(m *wire.WindowUsage) report.Part {
	p := report.Part{Window: m.Window, Final: m.Final, Parts: int(m.Parts)}
	for _, c := range m.Accounts {
		p.Counts = append(p.Counts, report.Count{Account: c.GetAccount(), Requests: c.GetRequests()})
	}
	return p
}

// encodeForwarded returns the form of forwarded counts in messages.
func encodeForwarded(f report.Forwarded) *wire.WindowUsage {
	u := encodeUsage(f.Part)
	u.Process, u.Incarnation, u.Closed = f.Process.Name, f.Process.Incarnation, f.Closed
	u.Number, u.Total, u.Round = uint32(f.Number), uint32(f.Total), f.Round
	return u
}

// decodeForwarded returns the forwarded counts of a message.
func decodeForwarded(u *wire.WindowUsage) report.Forwarded {
	return report.Forwarded{
		Process: report.Process{Name: u.Process, Incarnation: u.Incarnation}, Part: decodeUsage(u), Closed: u.Closed,
		Number: int(u.Number), Total: int(u.Total), Round: u.Round,
	}
}
