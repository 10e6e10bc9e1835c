package table

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func scalingTable(t *testing.T, scaling string) *Table {
	t.Helper()
	parsed, err := Parse([]byte(fmt.Sprintf(`{"Version":1,"Services":[{"Name":"s","MaxConnections":9,"Scaling":%s},{"Name":"o"}],
		"Routes":[{"Name":"r","Host":"h","Prefix":"/","Kind":"Idempotent","Service":"s"}]}`, scaling)))
	require.NoError(t, err)
	return parsed
}

func TestScaling(t *testing.T) {
	parsed := scalingTable(t, `{"Min":1,"Max":22.0,"BootSeconds":4.5,"SpotPrice":0.15,"ZonePrices":{"a":1,"b":0.8},"New":[]}`)
	assert.Empty(t, parsed.Faults)
	assert.Equal(t, &Scaling{
		Min: 1, Max: 22, BootTime: 4500 * time.Millisecond, SpotPrice: 0.15, ZonePrices: map[string]float64{"a": 1, "b": 0.8},
	}, parsed.Services["s"].Scaling)
	assert.Nil(t, parsed.Services["o"].Scaling)
	assert.Nil(t, scalingTable(t, "null").Services["s"].Scaling)
}

// TestFaultyScalingLosesNothingElse guards against a configuration that is rejected, or
// servers that are ordered, because of a fault in Scaling.
func TestFaultyScalingLosesNothingElse(t *testing.T) {
	base := `"Max":2,"BootSeconds":4,"SpotPrice":0.1,"ZonePrices":{"a":1}`
	for scaling, key := range map[string]string{
		`7`:                                       "Scaling",
		`{}`:                                      "Scaling.Max",
		`{"Min":3,` + base + `}`:                  "Scaling.Min",
		`{"Min":-1,` + base + `}`:                 "Scaling.Min",
		`{"Min":0.5,` + base + `}`:                "Scaling.Min",
		`{"Min":"1",` + base + `}`:                "Scaling.Min",
		`{"Min":null,` + base + `}`:               "Scaling.Min",
		`{` + base + `,"Max":1e99}`:               "Scaling.Max",
		`{` + base + `,"SpotPrice":-0.1}`:         "Scaling.SpotPrice",
		`{` + base + `,"BootSeconds":-4}`:         "Scaling.BootSeconds",
		`{` + base + `,"BootSeconds":true}`:       "Scaling.BootSeconds",
		`{` + base + `,"ZonePrices":{}}`:          "Scaling.ZonePrices",
		`{` + base + `,"ZonePrices":[1]}`:         "Scaling.ZonePrices",
		`{` + base + `,"ZonePrices":{"a":-1}}`:    "Scaling.ZonePrices.a",
		`{` + base + `,"ZonePrices":{"a":"low"}}`: "Scaling.ZonePrices.a",
	} {
		parsed := scalingTable(t, scaling)
		assert.Nil(t, parsed.Services["s"].Scaling, scaling)
		assert.Equal(t, 9, parsed.Services["s"].MaxConnections, scaling)
		require.NotEmpty(t, parsed.Faults, scaling)
		assert.Equal(t, "s", parsed.Faults[0].Service, scaling)
		assert.Equal(t, key, parsed.Faults[0].Key, scaling)
		assert.Contains(t, parsed.Faults[0].String(), `service "s": `+key, scaling)
	}
}
