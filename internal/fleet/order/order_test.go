package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	prefill := Want{Role: spec.Prefill}
	idle := engine.Report{Role: spec.Mixed}
	since := now.Add(-PropagationDelay - MaxReportAge - time.Second)
	intended := Intent{ID: "i", Fence: 5, Want: prefill, State: Intended}
	sending := Intent{ID: "i", Fence: 5, Want: prefill, State: Sending}
	cases := []struct {
		name string
		in   Input
		want Action
	}{
		{"nothing wanted", Input{Report: idle, ReportAt: now}, Wait},
		{"wanted, no report read", Input{Wanted: true, Want: prefill}, Wait},
		{"wanted", Input{Wanted: true, Want: prefill, Report: idle, ReportAt: now}, Intend},
		{"wanted, engine already in that state", Input{Wanted: true, Want: Want{}, Report: idle, ReportAt: now}, Wait},
		{"wanted while changing", Input{Wanted: true, Want: prefill, Report: engine.Report{Changing: true}, ReportAt: now}, Wait},
		{"intended", Input{Intent: intended, Fence: 5, Report: idle, ReportAt: now}, Empty},
		{"intended by the lease holder before this one", Input{Intent: intended, Fence: 6, Report: idle, ReportAt: now}, Abandon},
		{"intended, plan changed", Input{Intent: intended, Fence: 5, Wanted: true, Want: Want{Role: spec.Decode}, ReportAt: now}, Abandon},
		{"draining, not yet known to all processes", Input{Intent: intended, Fence: 5, DrainingSince: now.Add(-time.Second), Report: idle, ReportAt: now}, Wait},
		{"draining, report too old", Input{Intent: intended, Fence: 5, DrainingSince: since, Report: idle, ReportAt: since.Add(time.Second)}, Wait},
		{"draining, streams run", Input{Intent: intended, Fence: 5, DrainingSince: since, Report: engine.Report{Running: 1}, ReportAt: now}, Wait},
		{"draining, calls wait", Input{Intent: intended, Fence: 5, DrainingSince: since, Report: engine.Report{Queued: 1}, ReportAt: now}, Wait},
		{"draining, no requests left", Input{Intent: intended, Fence: 5, DrainingSince: since, Report: idle, ReportAt: now}, Commit},
		{"draining for too long", Input{Intent: intended, Fence: 5, DrainingSince: now.Add(-DrainTimeout - time.Second), Report: engine.Report{Running: 1}, ReportAt: now}, Abandon},
		{"sending, not sent by this process", Input{Intent: sending, Fence: 5, Report: idle, ReportAt: now}, Send},
		{"sending, sent just now", Input{Intent: sending, Fence: 5, SentAt: now.Add(-time.Second), Report: idle, ReportAt: now}, Wait},
		{"sending, not accepted", Input{Intent: sending, Fence: 5, SentAt: now.Add(-2 * ResendAfter), Report: idle, ReportAt: now}, Send},
		{"sending, accepted", Input{Intent: sending, Fence: 5, Report: engine.Report{OrderID: "i", Changing: true}, ReportAt: now}, Wait},
		{"sending, done", Input{Intent: sending, Fence: 5, Report: engine.Report{OrderID: "i"}, ReportAt: now}, Confirm},
		{"sending by the lease holder before this one, done", Input{Intent: sending, Fence: 6, Report: engine.Report{OrderID: "i"}, ReportAt: now}, Confirm},
		{"sending by the lease holder before this one, not accepted", Input{Intent: sending, Fence: 6, Report: idle, ReportAt: now}, Adopt},
		{"sending, another change in progress", Input{Intent: sending, Fence: 6, Report: engine.Report{OrderID: "x", Changing: true}, ReportAt: now}, Wait},
		{"sending, no report read", Input{Intent: sending, Fence: 6}, Wait},
		{"sending, plan changed", Input{Intent: sending, Fence: 5, Wanted: true, Want: Want{Role: spec.Decode}, Report: engine.Report{OrderID: "i", Changing: true}, ReportAt: now}, Wait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Now = now
			assert.Equal(t, c.want.String(), Next(c.in).String())
		})
	}
}
