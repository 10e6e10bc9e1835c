package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTable(t *testing.T) {
	var table Table
	start := time.Unix(1000, 0)
	v1, v2 := Origin{"chat", "v1"}, Origin{"chat", "v2"}
	_, known := table.Find(start, 1)
	assert.False(t, known)
	table.Record(start, 1, v1)
	table.Record(start, 1, v2)
	table.Record(start, 2, v2)
	for _, age := range []time.Duration{0, Retention - 1, Retention} {
		o, known := table.Find(start.Add(age), 1)
		assert.True(t, known, age)
		assert.Equal(t, v1, o, "the first one stays")
	}
	_, known = table.Find(start.Add(2*Retention), 1)
	assert.False(t, known)
}

func TestTableIsBounded(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	for i := range uint64(3 * maxStreams) {
		table.Record(now, i, Origin{})
	}
	assert.LessOrEqual(t, len(table.current.streams)+len(table.previous.streams), maxStreams)
	_, known := table.Find(now, 3*maxStreams-1)
	assert.True(t, known, "the latest ones are kept")
}

func TestOnly(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	v1 := Origin{"chat", "v1"}
	assert.True(t, table.Only(now, v1), "nothing is known")
	table.Record(now, 1, v1)
	table.Record(now, 2, Origin{"other", "v2"})
	assert.True(t, table.Only(now, v1))
	table.Record(now, 3, Origin{"chat", "v2"})
	assert.False(t, table.Only(now, v1))
	assert.True(t, table.Only(now.Add(2*Retention), v1))
}
