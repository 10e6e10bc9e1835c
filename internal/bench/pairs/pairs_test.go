package pairs

import (
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDaysCoverAllPairs(t *testing.T) {
	for _, joined := range []bool{false, true} {
		kinds, err := Kinds(joined)
		require.NoError(t, err)
		days := Days(kinds, 7)
		assert.Less(t, len(days), 60, "a few at a moment")
		met := map[[2]string]bool{}
		for _, d := range days {
			for _, a := range d.Entries {
				for _, b := range d.Entries {
					if a.At-b.At <= together && b.At-a.At <= together && (a.At != b.At || a.Kind.Name != b.Kind.Name) {
						met[[2]string{a.Kind.Name, b.Kind.Name}] = true
					}
				}
			}
		}
		for _, a := range kinds {
			for _, b := range kinds {
				assert.True(t, met[[2]string{a.Name, b.Name}], "%s and %s", a.Name, b.Name)
			}
		}
	}
}

func TestDaysRepeat(t *testing.T) {
	kinds, err := Kinds(true)
	require.NoError(t, err)
	assert.Equal(t, Days(kinds, 3), Days(kinds, 3))
	assert.NotEqual(t, Days(kinds, 3)[0].Text(), Days(kinds, 4)[0].Text())
}

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
		assert.Len(t, append(file.Plan, file.Faults...), len(d.Entries))
		for _, e := range append(file.Plan, file.Faults...) {
			assert.LessOrEqual(t, e["at"].(float64), file.Length)
			assert.NotEmpty(t, e["kind"])
		}
	}
}

func TestKindsAreChecked(t *testing.T) {
	whole := table
	defer func() { table = whole }()
	for _, wrong := range []string{"[a]\nx = [1.0]", "[a]\nx = [2.0, 1.0]", "[a]\nx = 1", "[a]\nhow = [\"b\", 1.0]", "[a]\nhow = []", "a"} {
		table = wrong
		_, err := Kinds(true)
		assert.ErrorContains(t, err, "kinds of trouble", wrong)
	}
}
