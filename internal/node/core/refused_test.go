package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
)

// failingReporter is a platform that responds with the errors in turn.
type failingReporter struct{ errors []error }

func (f *failingReporter) ReportUsage(context.Context, lease.Grant, report.Report) error {
	err := f.errors[0]
	f.errors = f.errors[1:]
	return err
}

// TestRefusalsWithOtherErrorsBetween guards against a report that is given up although the
// platform did not refuse it five times in a row: an overloaded platform may accept it later.
func TestRefusalsWithOtherErrorsBetween(t *testing.T) {
	refused := fmt.Errorf("%w: status 400", duty.ErrRefused)
	for _, other := range []error{errLost, duty.ErrRateLimited} {
		platform := &failingReporter{errors: []error{refused, refused, other, refused, refused, refused, refused, refused}}
		n := newNode(t)
		n.Duties.Window, n.Duties.ReportWithin, n.Duties.Reports = 5*time.Second, 10*time.Second, platform
		a := newAccounting(n)
		now := time.Now()
		window := report.WindowAt(now, n.Duties.Window) - 1
		a.machine.Begin(now)
		require.NoError(t, a.machine.Read(now, 0, nil, &a.collector))
		a.machine.Fixed(1, report.Action{Record: report.Record{Next: window + 1, Report: report.New(window, nil)}})
		for len(platform.errors) > 0 {
			action := a.machine.Decide(now, 0, &a.collector, nil)
			require.Equal(t, report.Send, action.Kind, "%d responses are left after %v", len(platform.errors), other)
			require.Error(t, a.deliver(t.Context(), lease.Grant{}, action.Report))
		}
		assert.NotEqual(t, report.Send, a.machine.Decide(now, 0, &a.collector, nil).Kind, "given up")
	}
}
