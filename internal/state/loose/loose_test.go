package loose

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// deep is nested more deeply than package encoding/json reads.
var deep = strings.Repeat(`[{"a":`, 100_000) + `1` + strings.Repeat(`}]`, 100_000)

func items(text string) []string {
	var got []string
	for item := range Items([]byte(text)) {
		got = append(got, string(item))
	}
	return got
}

func fields(text string) map[string]string {
	got := map[string]string{}
	for name, value := range Fields([]byte(text)) {
		got[name] = string(value)
	}
	return got
}

func TestItems(t *testing.T) {
	for text, want := range map[string][]string{
		``: nil, `null`: nil, `{}`: nil, `[]`: nil, ` [ ] `: nil, `[1]`: {`1`}, "[ 1 ,\n\t\"a,]\\\"\" , {\"b\":[]} ]": {`1`, `"a,]\""`, `{"b":[]}`},
		`[` + deep + `,2]`: {deep, `2`}, `[NaN,2]`: {`NaN`, `2`}, `[1 2,3]`: {`1 2,3]`}, `[{"a":[1},2]`: {`{"a":[1},2]`}, `["a,2]`: {`"a,2]`}, `[1`: {`1`}, `[1,`: {`1`},
	} {
		got := items(text)
		assert.Equal(t, len(want), len(got), "%.40s", text)
		assert.Equal(t, want == nil, len(got) == 0, "%.40s", text)
		for i := range want {
			assert.True(t, want[i] == got[i], "%.40s", text)
		}
	}
}

func TestFields(t *testing.T) {
	for text, want := range map[string]map[string]string{
		``: {}, `[]`: {}, `{}`: {}, `{"a":1}`: {"a": "1"}, ` { "a" : "}" , "b\"" : {"c":[]} } `: {"a": `"}"`, `b"`: `{"c":[]}`},
		`{"a":1,"a":2}`: {"a": "2"}, `{"a":1,b:2,"c":3}`: {"a": "1"}, `{"a":[1},"b":2}`: {"a": `[1},"b":2}`}, `{"a"}`: {}, `{"a`: {},
	} {
		assert.Equal(t, want, fields(text), text)
	}
	assert.True(t, fields(`{"a":` + deep + `,"b":2}`)["b"] == "2")
}

func TestEnds(t *testing.T) {
	for text, want := range map[string]bool{
		``: false, ` `: false, `1`: true, `"a"`: true, `[1]`: true, ` {"a":[1]} `: true, `[1`: false, `[1}`: false, `"a`: false, `1 2`: false, `[]]`: false, deep: true,
	} {
		assert.Equal(t, want, Ends([]byte(text)), "%.40s", text)
	}
}

// FuzzItems checks that the parts of valid JSON are those that package encoding/json finds,
// and that no text makes the functions panic or give parts that are not of the text.
func FuzzItems(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[null]}]`, `{"a":1,"b":{"c":"}"}}`, `[{"a":[1},2]`, `["\"",2]`, `[1 2]`, deep[:200]} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		length := 0
		for item := range Items(text) {
			length += len(item)
		}
		for _, value := range Fields(text) {
			length += len(value)
		}
		if length > len(text) {
			t.Fatalf("%d bytes of %d", length, len(text))
		}
		var array []json.RawMessage
		if json.Unmarshal(text, &array) == nil {
			got := items(string(text))
			assert.Equal(t, len(array), len(got))
			for i, item := range array {
				assert.Equal(t, string(item), got[i])
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil {
			got := fields(string(text))
			for name, value := range object {
				assert.Equal(t, string(value), got[name])
			}
		}
		if json.Valid(text) {
			assert.True(t, Ends(text))
		}
	})
}
