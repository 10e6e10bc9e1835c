package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

func deployment(t testing.TB) *spec.Deployment {
	d, err := spec.Parse([]spec.File{{Name: "d.ini", Data: []byte("[Deployment d]\n[Model m]\nVersion = 1\n")}})
	require.NoError(t, err)
	return d
}

func TestParse(t *testing.T) {
	d := deployment(t)
	cases := []struct {
		name, body, code string
		prompt, output   int
	}{
		{"prompt", `{"model":"m","prompt":"12345678","max_tokens":5}`, "", 2, 5},
		{"content parts", `{"model":"m","messages":[{"content":[{"type":"text","text":"1234"},{"type":"image"}]},{"content":null}]}`, "", 1, defaultOutput},
		{"max_completion_tokens", `{"model":"m","prompt":"x","max_completion_tokens":9}`, "", 1, 9},
		{"no messages", `{"model":"m"}`, "BadField", 0, 0},
		{"messages of another type", `{"model":"m","messages":7}`, "BadField", 0, 0},
		{"message without content", `{"model":"m","messages":[{}]}`, "BadField", 0, 0},
		{"message that is no object", `{"model":"m","messages":[1]}`, "BadField", 0, 0},
		{"content of another type", `{"model":"m","messages":[{"content":{}}]}`, "BadField", 0, 0},
		{"zero tokens", `{"model":"m","prompt":"x","max_tokens":0}`, "BadField", 0, 0},
		{"fractional tokens", `{"model":"m","prompt":"x","max_tokens":0.5}`, "BadField", 0, 0},
		{"prompt of another type", `{"model":"m","prompt":[1]}`, "BadField", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := parse(d, []byte(c.body))
			if e, ok := asRequestError(err); ok || c.code != "" {
				require.True(t, ok, "%v", err)
				assert.Equal(t, c.code, e.code)
				return
			}
			assert.Equal(t, c.prompt, r.prompt)
			assert.Equal(t, c.output, r.output)
		})
	}
}

func FuzzParseBody(f *testing.F) {
	d := deployment(f)
	f.Add([]byte(`{"model":"m","messages":[{"content":"x"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m"}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"text":1}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := parse(d, body)
		if err != nil {
			_, ok := asRequestError(err)
			assert.True(t, ok, "%v", err)
			return
		}
		assert.Positive(t, r.prompt)
		assert.Positive(t, r.output)
	})
}
