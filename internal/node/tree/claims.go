package tree

import (
	"math"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// addClaims adds claims to a gossip message, with times that count from its sending.
func addClaims(g *wire.Gossip, now time.Time, list []entry.Claim) {
	for _, c := range list {
		subject := crash.RequestSubject(c.Content)
		switch c.Kind {
		case entry.Ended:
			g.Crashes = append(g.Crashes, &wire.CrashReport{Server: c.Server, Request: c.Content, AgeMs: toMs(now.Sub(c.At))})
		case entry.Served:
			g.Served = append(g.Served, &wire.PartTime{Part: subject, Ms: toMs(now.Sub(c.At))})
		case entry.Quarantined:
			g.Quarantined = append(g.Quarantined, &wire.PartTime{Part: subject, Ms: toMs(c.At.Sub(now))})
		}
	}
}

// claims returns the claims of a gossip message. Those of subjects that are no requests
// are left out.
func claims(g *wire.Gossip, now time.Time) []entry.Claim {
	var list []entry.Claim
	for _, r := range g.Crashes {
		list = append(list, entry.Claim{Kind: entry.Ended, Server: r.GetServer(), Content: r.GetRequest(), At: now.Add(-fromMs(r.GetAgeMs()))})
	}
	for _, p := range g.Served {
		if content, err := crash.RequestContent(p.GetPart()); err == nil {
			list = append(list, entry.Claim{Kind: entry.Served, Content: content, At: now.Add(-fromMs(p.GetMs()))})
		}
	}
	for _, p := range g.Quarantined {
		if content, err := crash.RequestContent(p.GetPart()); err == nil {
			list = append(list, entry.Claim{Kind: entry.Quarantined, Content: content, At: now.Add(fromMs(p.GetMs()))})
		}
	}
	return list
}

// toMs returns a duration in milliseconds, 0 for a negative one.
func toMs(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// fromMs returns the duration of so many milliseconds.
func fromMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
