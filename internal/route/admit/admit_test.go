package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	typical := Request{FirstToken: 500 * time.Millisecond, Left: 10 * time.Second}
	idle := Estimate{Found: true, Finish: time.Second}
	busy := Estimate{Found: true, Wait: 400 * time.Millisecond, Finish: 2 * time.Second}
	cases := []struct {
		name     string
		request  Request
		estimate Estimate
		reason   Reason
	}{
		{"idle", typical, idle, Admitted},
		{"no engine", typical, Estimate{}, NoEngine},
		{"deadline passed", Request{Left: -time.Second}, idle, DeadlinePassed},
		{"ends after the deadline", typical, Estimate{Found: true, Finish: 11 * time.Second}, DeadlineUnmeetable},
		{"ends within the margin of the deadline", typical, Estimate{Found: true, Finish: 9800 * time.Millisecond}, DeadlineUnmeetable},
		{"busy, under its share", Request{FirstToken: typical.FirstToken, Left: typical.Left, Ratio: 0.9}, busy, Admitted},
		{"busy, over its share", Request{FirstToken: typical.FirstToken, Left: typical.Left, Ratio: 2}, busy, OverShare},
		{"busy, over its share, high priority", Request{FirstToken: typical.FirstToken, Left: typical.Left, Ratio: 2, Priority: 3}, busy, Admitted},
		{"not busy, over its share", Request{FirstToken: typical.FirstToken, Left: typical.Left, Ratio: 9}, idle, Admitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.request, c.estimate)
			assert.Equal(t, c.reason.String(), d.Reason.String())
			assert.Equal(t, c.reason == Admitted, d.Admit)
			if !d.Admit {
				assert.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
			}
		})
	}
}

func TestLedger(t *testing.T) {
	var l Ledger
	now := time.Unix(0, 0)
	l.Charge("a", 1, 300, now)
	l.Charge("b", 3, 300, now)
	assert.InDelta(t, 2, l.Ratio("a", now), 1e-9, "half of the usage with a quarter of the shares")
	assert.InDelta(t, 2.0/3, l.Ratio("b", now), 1e-9)
	assert.Zero(t, l.Ratio("c", now))
	later := now.Add(halfLife)
	l.Charge("b", 3, 150, later)
	assert.InDelta(t, 150.0/450*4, l.Ratio("a", later), 1e-9, "usage is halved after the half-life")
	l.Sweep(now.Add(time.Hour))
	assert.Zero(t, l.Accounts())
}

func BenchmarkLedger(b *testing.B) {
	var l Ledger
	names := make([]string, 810)
	for i := range names {
		names[i] = string(rune('a'+i%26)) + time.Duration(i).String()
	}
	now := time.Unix(0, 0)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		name := names[i%len(names)]
		i++
		now = now.Add(time.Millisecond)
		_ = l.Ratio(name, now)
		l.Charge(name, 1, 100, now)
	}
}
