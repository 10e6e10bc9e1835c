package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestQuarantine(t *testing.T) {
	var q Quarantine
	_, found := q.Until(at(0), []string{"a"})
	assert.False(t, found)
	assert.True(t, q.Add("bad", at(1000)))
	assert.False(t, q.Add("bad", at(500)), "it is known, and not shortened")
	until, found := q.Until(at(999), []string{"a", "bad"})
	assert.True(t, found)
	assert.Equal(t, at(1000), until)
	_, found = q.Until(at(1000), []string{"a", "bad"})
	assert.False(t, found, "it has ended")
	assert.True(t, q.Remove("bad"))
	assert.False(t, q.Remove("bad"))
}

// TestSuccessesAreBounded checks the bound, and that those are forgotten first that were not
// served for longest.
func TestSuccessesAreBounded(t *testing.T) {
	var s Successes
	for i := range 5 * successesPerAge {
		s.Record(at(i), []string{fmt.Sprint(i), "shared"})
	}
	assert.LessOrEqual(t, len(s.young)+len(s.old), 2*(successesPerAge+1))
	last := 5*successesPerAge - 1
	assert.Equal(t, at(last), s.Last("shared"))
	for i := range successesPerAge / 2 {
		assert.Equal(t, at(last-i), s.Last(fmt.Sprint(last-i)))
	}
	assert.Zero(t, s.Last("0"))
	s.Record(at(0), []string{"x"})
	assert.Equal(t, at(0), s.Last("x"))
	assert.Zero(t, s.Last("y"))
}

// TestSuccessesExpire checks that they are forgotten some time after successRetention.
func TestSuccessesExpire(t *testing.T) {
	var s Successes
	s.Record(start, []string{"x"})
	for after := time.Duration(0); after <= 3*successRetention; after += time.Second {
		s.Record(start.Add(after), []string{"y"})
		if after <= successRetention {
			assert.Equal(t, start, s.Last("x"))
		}
	}
	assert.Zero(t, s.Last("x"))
}

// TestFullQuarantineDropsWhatEndsFirst checks which subject makes room.
func TestFullQuarantineDropsWhatEndsFirst(t *testing.T) {
	var q Quarantine
	for i := range maxSubjects {
		q.Add(RequestSubject(uint64(i)), at(1000+(i+5)%maxSubjects))
	}
	first := RequestSubject(maxSubjects - 5)
	assert.Contains(t, q.Subjects(), first)
	q.Add("bad", at(9_999_999))
	assert.Len(t, q.Subjects(), maxSubjects)
	assert.NotContains(t, q.Subjects(), first)
	assert.Contains(t, q.Subjects(), "bad")
}
