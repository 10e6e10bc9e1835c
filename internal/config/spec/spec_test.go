package spec_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/config/keys"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// TestExamplesAreValid checks that the example deployments parse.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range sample.Names {
		files, err := sample.Files(name)
		require.NoError(t, err)
		d, err := spec.Parse(files)
		require.NoError(t, err)
		assert.NotEmpty(t, d.Models)
		assert.GreaterOrEqual(t, len(d.Servers), 10)
	}
}

const validFiles = `
[Deployment d]
[Model m]
Version = 1
[Service s]
Prefix = /s/
Idempotent = GET /s/read/*, HEAD /s/one
[BackendServer e]
Address = 127.0.0.1:1
AvailabilityZone = z
Models = m
[BackendServer p]
Address = 127.0.0.1:2
AvailabilityZone = z
Service = s
`

// TestEveryFaultIsReportedAtOnce checks that one error has every fault of the
// files, each with its file, section and key.
func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	files := []spec.File{
		{Name: "a.ini", Data: []byte(validFiles)},
		{Name: "b.ini", Data: []byte(`
[BackendServer q]
Address = here
AvailabilityZone = z
Modles = m
Role = Both
Slots = 0
Models = absent
[Model m]
Version = 2
[Servise x]
Prefix = /x/
[Account a]
Share = -1
Share = 2
`)},
	}
	_, err := spec.Parse(files)
	var faults *keys.Error
	require.ErrorAs(t, err, &faults)
	want := []struct{ section, key, text string }{
		{"BackendServer q", "Address", "must be an IP number and a port"},
		{"BackendServer q", "Modles", "nearest known key is Models"},
		{"BackendServer q", "Role", "must be Mixed, Prefill or Decode"},
		{"BackendServer q", "Slots", "must be over 0"},
		{"BackendServer q", "Models", "no file has a section [Model absent]"},
		{"Model m", "", "this section is declared in a.ini already"},
		{"Servise x", "", "nearest known kind is Service"},
		{"Account a", "Share", "may be given once"},
	}
	for _, w := range want {
		found := false
		for _, f := range faults.Faults {
			found = found || f.Section == w.section && f.Key == w.key && f.File == "b.ini" && strings.Contains(f.Want, w.text)
		}
		assert.True(t, found, "%+v is missing in\n%v", w, err)
	}
}

// TestRepeatable checks which calls of a service may run more than once.
func TestRepeatable(t *testing.T) {
	d, err := spec.Parse([]spec.File{{Name: "a.ini", Data: []byte(validFiles)}})
	require.NoError(t, err)
	s, ok := d.ServiceFor("/s/read/7")
	require.True(t, ok)
	assert.True(t, s.Repeatable("GET", "/s/read/7"))
	assert.True(t, s.Repeatable("HEAD", "/s/one"))
	assert.False(t, s.Repeatable("POST", "/s/read/7"))
	assert.False(t, s.Repeatable("GET", "/s/one"))
	_, ok = d.ServiceFor("/other")
	assert.False(t, ok)
}

// FuzzParse checks that Parse doesn't panic, and returns either a deployment with
// a name or a *keys.Error with faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFiles))
	f.Add([]byte("[Deployment d]\nFirstToken = 1e9s\n"))
	f.Add([]byte("[BackendServer]\nAddress\n"))
	f.Add([]byte("key = value\n[Model \x00]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := spec.Parse([]spec.File{{Name: "f.ini", Data: data}})
		if err == nil {
			assert.NotEmpty(t, d.Name)
			return
		}
		var faults *keys.Error
		assert.True(t, errors.As(err, &faults) && len(faults.Faults) > 0)
	})
}

// BenchmarkParse parses deployments of up to 7,800 backend servers, the size of
// the whole fleet; 488 is the size of one zone.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 488, 7800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("[Deployment d]\n[Model m]\nVersion = 1\n")
			for i := range n {
				fmt.Fprintf(&text, "[BackendServer e%d]\nAddress = 127.%d.%d.%d:1\nAvailabilityZone = z%d\nModels = m\n", i, i/60000, i/250%250, i%250, i%16)
			}
			files := []spec.File{{Name: "a.ini", Data: []byte(text.String())}}
			b.SetBytes(int64(text.Len()))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := spec.Parse(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
