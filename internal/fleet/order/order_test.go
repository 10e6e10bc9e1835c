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
	emptied := now.Add(-SpreadFor - ReportLag - time.Second)
	intended := Intent{ID: "i", Fence: 5, Want: prefill, State: Intended}
	sending := Intent{ID: "i", Fence: 5, Want: prefill, State: Sending}
	cases := []struct {
		name string
		s    Situation
		want Kind
	}{
		{"nothing wanted", Situation{Report: idle, ReportAt: now}, Wait},
		{"wanted, engine not read", Situation{Wanted: true, Want: prefill}, Wait},
		{"wanted", Situation{Wanted: true, Want: prefill, Report: idle, ReportAt: now}, Intend},
		{"wanted and so already", Situation{Wanted: true, Want: Want{}, Report: idle, ReportAt: now}, Wait},
		{"wanted while changing", Situation{Wanted: true, Want: prefill, Report: engine.Report{Changing: true}, ReportAt: now}, Wait},
		{"intended", Situation{Intent: intended, Fence: 5, Report: idle, ReportAt: now}, Empty},
		{"intended by the holder before", Situation{Intent: intended, Fence: 6, Report: idle, ReportAt: now}, Abandon},
		{"intended, wish changed", Situation{Intent: intended, Fence: 5, Wanted: true, Want: Want{Role: spec.Decode}, ReportAt: now}, Abandon},
		{"emptied too short", Situation{Intent: intended, Fence: 5, EmptiedSince: now.Add(-time.Second), Report: idle, ReportAt: now}, Wait},
		{"emptied, report too old", Situation{Intent: intended, Fence: 5, EmptiedSince: emptied, Report: idle, ReportAt: emptied.Add(time.Second)}, Wait},
		{"emptied, streams run", Situation{Intent: intended, Fence: 5, EmptiedSince: emptied, Report: engine.Report{Running: 1}, ReportAt: now}, Wait},
		{"emptied, calls wait", Situation{Intent: intended, Fence: 5, EmptiedSince: emptied, Report: engine.Report{Queued: 1}, ReportAt: now}, Wait},
		{"emptied", Situation{Intent: intended, Fence: 5, EmptiedSince: emptied, Report: idle, ReportAt: now}, Commit},
		{"never becomes empty", Situation{Intent: intended, Fence: 5, EmptiedSince: now.Add(-EmptyFor - time.Second), Report: engine.Report{Running: 1}, ReportAt: now}, Abandon},
		{"sending, not sent by this process", Situation{Intent: sending, Fence: 5, Report: idle, ReportAt: now}, Send},
		{"sending, sent just now", Situation{Intent: sending, Fence: 5, SentAt: now.Add(-time.Second), Report: idle, ReportAt: now}, Wait},
		{"sending, not taken", Situation{Intent: sending, Fence: 5, SentAt: now.Add(-2 * ResendAfter), Report: idle, ReportAt: now}, Send},
		{"sending, taken", Situation{Intent: sending, Fence: 5, Report: engine.Report{OrderID: "i", Changing: true}, ReportAt: now}, Wait},
		{"sending, done", Situation{Intent: sending, Fence: 5, Report: engine.Report{OrderID: "i"}, ReportAt: now}, Confirm},
		{"sending by the holder before, taken", Situation{Intent: sending, Fence: 6, Report: engine.Report{OrderID: "i"}, ReportAt: now}, Confirm},
		{"sending by the holder before, not taken", Situation{Intent: sending, Fence: 6, Report: idle, ReportAt: now}, Adopt},
		{"sending, another change under way", Situation{Intent: sending, Fence: 6, Report: engine.Report{OrderID: "x", Changing: true}, ReportAt: now}, Wait},
		{"sending, engine not read", Situation{Intent: sending, Fence: 6}, Wait},
		{"sending, wish changed", Situation{Intent: sending, Fence: 5, Wanted: true, Want: Want{Role: spec.Decode}, Report: engine.Report{OrderID: "i", Changing: true}, ReportAt: now}, Wait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.s.Now = now
			assert.Equal(t, c.want.String(), Next(c.s).String())
		})
	}
}
