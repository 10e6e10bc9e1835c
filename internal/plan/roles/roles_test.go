package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
)

// fleet returns engines with the given roles and equal rates.
func fleet(roles ...spec.Role) []Engine {
	var list []Engine
	for i, r := range roles {
		list = append(list, Engine{Name: fmt.Sprint("e", i), Role: r, Prefill: 6000, Decode: 1200, Gap: 30 * time.Millisecond})
	}
	return list
}

func input(engines []Engine, prompt, output float64) Input {
	return Input{
		Engines: engines, Demand: demand.Demand{Prompt: prompt, Output: output, Requests: 10}, TokenGap: 50 * time.Millisecond,
		Horizon: 2 * time.Minute, ChangeDuration: 15 * time.Second, GoodputWeight: 1, RoleChangeWeight: 0.2, MaxChanges: 2, SinceChange: time.Hour,
	}
}

func TestDecide(t *testing.T) {
	const m, p, d = spec.Mixed, spec.Prefill, spec.Decode
	cases := []struct {
		name   string
		in     Input
		change func(in *Input)
		// least and most bound the number of changes.
		least, most int
	}{
		{"idle", input(fleet(m, m, m, m), 100, 100), nil, 0, 0},
		{"no demand", input(fleet(m, m, m, m), 0, 0), nil, 0, 0},
		{"mixed engines meet the target gap", input(fleet(m, m, m, m), 6000, 1000), nil, 0, 0},
		{"gap over the target, horizon too short", input(fleet(m, m, m, m), 14000, 1200), nil, 0, 0},
		{"prefill delays the streams, longer horizon", input(fleet(m, m, m, m), 14000, 1200), func(in *Input) { in.Horizon = 10 * time.Minute }, 1, 2},
		{"too few prefill engines", input(fleet(p, d, d, d), 12000, 600), nil, 1, 2},
		{"too few decode engines", input(fleet(p, p, p, d), 3000, 2500), nil, 1, 2},
		{"high weight of changes", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.RoleChangeWeight = 100 }, 0, 0},
		{"recent change", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.SinceChange = time.Minute }, 0, 0},
		{"error as large as the forecast", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.Error = in.Demand }, 0, 0},
		{"no changes allowed", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.MaxChanges = 0 }, 0, 0},
		{"horizon shorter than a change", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.Horizon = 5 * time.Second }, 0, 0},
		{"never", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.Policy = Never }, 0, 0},
		{"threshold", input(fleet(p, d, d, d), 12000, 600), func(in *Input) { in.Policy = Threshold }, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.change != nil {
				c.change(&c.in)
			}
			decision := Decide(c.in)
			assert.GreaterOrEqual(t, len(decision.Changes), c.least, "%v", decision)
			assert.LessOrEqual(t, len(decision.Changes), c.most, "%v", decision)
			after := map[string]spec.Role{}
			for _, change := range decision.Changes {
				assert.NotEqual(t, change.From, change.To)
				after[change.Engine] = change.To
			}
			a := allocationOf(c.in.Engines, after)
			assert.Positive(t, a.n[m]+a.n[p], "an engine prefills")
			assert.Positive(t, a.n[m]+a.n[d], "an engine decodes")
			if len(decision.Changes) > 0 && c.in.Policy == CostBenefit {
				assert.Greater(t, decision.Planned, decision.Current)
				assert.Greater(t, decision.Gain, decision.Cost)
			}
		})
	}
}

func TestFixedEnginesKeepTheirRole(t *testing.T) {
	engines := fleet(spec.Prefill, spec.Decode, spec.Decode, spec.Decode)
	for i := range engines[1:] {
		engines[i+1].Fixed = true
	}
	assert.Empty(t, Decide(input(engines, 12000, 600)).Changes)
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 488, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var roles []spec.Role
			for i := range n {
				roles = append(roles, spec.Role(i%3))
			}
			in := input(fleet(roles...), 3000*float64(n), 400*float64(n))
			in.MaxChanges = n / 4
			b.ReportAllocs()
			for b.Loop() {
				Decide(in)
			}
		})
	}
}
