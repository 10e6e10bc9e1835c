package pairs

import (
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDaysCoverAllPairs checks that each two kinds, and each kind twice, begin
// within groupSpread of each other in some day.
func TestDaysCoverAllPairs(t *testing.T) {
	for _, joined := range []bool{false, true} {
		kinds, err := Kinds(joined)
		require.NoError(t, err)
		days := Days(kinds, 7)
		assert.Less(t, len(days), 60, "three kinds in a group cover several pairs at once")
		covered := map[[2]string]bool{}
		for _, d := range days {
			for _, a := range d.Events {
				for _, b := range d.Events {
					if a.At-b.At <= groupSpread && b.At-a.At <= groupSpread && (a.At != b.At || a.Kind.Name != b.Kind.Name) {
						covered[[2]string{a.Kind.Name, b.Kind.Name}] = true
					}
				}
			}
		}
		for _, a := range kinds {
			for _, b := range kinds {
				assert.True(t, covered[[2]string{a.Name, b.Name}], "%s and %s", a.Name, b.Name)
			}
		}
	}
}

// TestDaysRepeat checks that a seed determines the days.
func TestDaysRepeat(t *testing.T) {
	kinds, err := Kinds(true)
	require.NoError(t, err)
	assert.Equal(t, Days(kinds, 3), Days(kinds, 3))
	assert.NotEqual(t, Days(kinds, 3)[0].Text(), Days(kinds, 4)[0].Text())
}

// TestDayFilesCanBeRead checks that day files are valid TOML with all events.
func TestDayFilesCanBeRead(t *testing.T) {
	kinds, err := Kinds(true)
	require.NoError(t, err)
	for _, d := range Days(kinds, 1) {
		var file struct {
			Name   string
			Length float64 `toml:"length_s"`
			Plan   []map[string]any
			Faults []map[string]any
		}
		require.NoError(t, toml.Unmarshal(d.Text(), &file))
		assert.Equal(t, d.Name, file.Name)
		assert.Len(t, append(file.Plan, file.Faults...), len(d.Events))
		for _, e := range append(file.Plan, file.Faults...) {
			assert.LessOrEqual(t, e["at"].(float64), file.Length)
			assert.NotEmpty(t, e["kind"])
		}
	}
}

// TestKindsAreChecked checks that invalid tables of kinds are rejected.
func TestKindsAreChecked(t *testing.T) {
	original := kindsTOML
	defer func() { kindsTOML = original }()
	for _, invalid := range []string{"[a]\nx = [1.0]", "[a]\nx = [2.0, 1.0]", "[a]\nx = 1", "[a]\nhow = [\"b\", 1.0]", "[a]\nhow = []", "a"} {
		kindsTOML = invalid
		_, err := Kinds(true)
		assert.ErrorContains(t, err, "event kinds", invalid)
	}
}
