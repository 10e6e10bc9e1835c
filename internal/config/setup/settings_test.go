package setup

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/keys"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

// documented returns the doc comments of the fields of a Go file's structs, by
// struct and field.
func documented(t *testing.T, path string) map[string]map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	require.NoError(t, err)
	structs := map[string]map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		named, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		body, ok := named.Type.(*ast.StructType)
		if !ok {
			return true
		}
		fields := map[string]string{}
		for _, f := range body.Fields.List {
			for _, name := range f.Names {
				fields[name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
			}
		}
		structs[named.Name.Name] = fields
		return true
	})
	return structs
}

// section writes a Markdown table of the keys of a section, which are the fields
// of the struct value, with the values as defaults. A field without a comment gets
// that of the field before it.
func section(out *strings.Builder, title string, value any, comments map[string]string) {
	previous := ""
	fmt.Fprintf(out, "\n## %s\n\n| Key | Type | Default | Meaning |\n|---|---|---|---|\n", title)
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() || f.Tag.Get("ini") == "-" {
			continue
		}
		standard := fmt.Sprint(v.Field(i).Interface())
		if v.Field(i).IsZero() || strings.HasPrefix(standard, "invalid") {
			standard = "none"
		}
		comment := comments[f.Name]
		if comment == "" {
			comment = previous
		}
		previous = comment
		kind := f.Type.String()
		if f.Tag.Get("validate") != "" {
			kind += " (" + f.Tag.Get("validate") + ")"
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", f.Name, strings.ReplaceAll(kind, "|", "/"), standard, comment)
	}
}

// TestSettingsPage checks that docs/SETTINGS.md agrees with the code.
func TestSettingsPage(t *testing.T) {
	var out strings.Builder
	out.WriteString("# Settings\n\nThis page is generated from the code by `go test ./internal/config/setup -update`.\n\n# The settings of one process\n")
	comments := documented(t, "setup.go")
	v := reflect.ValueOf(Default())
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		section(&out, "["+name+"]", v.Field(i).Interface(), comments[name])
	}
	out.WriteString("\n# The settings of an entry process on the users' platform\n")
	comments = documented(t, "entry.go")
	comments["Log"] = documented(t, "setup.go")["Log"]
	v = reflect.ValueOf(DefaultEntry())
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		section(&out, "["+name+"]", v.Field(i).Interface(), comments[v.Field(i).Type().Name()])
	}
	out.WriteString("\n# The files of a deployment\n")
	comments = documented(t, "../spec/spec.go")
	for _, value := range spec.Defaults() {
		name := reflect.TypeOf(value).Name()
		section(&out, "["+name+" NAME]", value, comments[name])
	}
	const path = "../../../docs/SETTINGS.md"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(out.String()), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), out.String(), "run go test ./internal/config/setup -update")
}

const validSettings = `
[Node]
Name = entry-1
AvailabilityZone = z
Deployment = d
Seeds = 127.0.0.1:3, 127.0.0.1:4
[Addresses]
Callers = 127.0.0.1:1
Operators = 127.0.0.1:2
Peers = 127.0.0.1:3
[Platform]
Address = 127.0.0.1:4
`

// TestParse checks that Parse applies the defaults and reports every fault.
func TestParse(t *testing.T) {
	s, err := Parse("node.ini", []byte(validSettings))
	require.NoError(t, err)
	assert.Len(t, s.Node.Seeds, 2)
	assert.Equal(t, Default().Limits, s.Limits)
	_, err = Parse("node.ini", []byte(`
[Node]
Nmae = x
[Addresses]
Callers = localhost:80
[Limits]
MaxBody = 1
[Log]
Level = Loud
[Lmits]
`))
	var faults *keys.Error
	require.ErrorAs(t, err, &faults)
	for _, part := range []string{
		"nearest known key is Name", "Name = \"\": this key must be given", "must be an IP number and a port", "must be at least 1024",
		"must be one of Debug, Info, Warn, Error", "nearest known section is Limits", "[Platform]: this section must be given",
	} {
		assert.Contains(t, err.Error(), part)
	}
}

// FuzzParse checks that Parse doesn't panic and that its errors are *keys.Error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[Node]\nName = \xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f.ini", data)
		if err != nil {
			var faults *keys.Error
			assert.ErrorAs(t, err, &faults)
		}
	})
}

const validEntry = `
[Node]
Name = entry-1
AvailabilityZone = z
[Addresses]
Callers = 127.0.0.1:1
Readiness = 127.0.0.1:2
Peers = 127.0.0.1:3
Metrics = 127.0.0.1:4
[Store]
Address = 127.0.0.1:5
[Bounds]
StopGrace = 8.0s
RetryShare = 0.2
`

// TestParseEntry checks that ParseEntry applies the defaults and reports every
// fault.
func TestParseEntry(t *testing.T) {
	s, err := ParseEntry("entry.ini", []byte(validEntry))
	require.NoError(t, err)
	assert.Equal(t, DefaultEntry().Machine, s.Machine)
	assert.InDelta(t, 0.2, s.Bounds.RetryShare, 0)
	_, err = ParseEntry("entry.ini", []byte(`
[Node]
Name =
[Addresses]
Callers = here
Readiness = 127.0.0.1:2
[Machine]
MemoryMB = 3
Descriptor = 9
[Bounds]
RetryShare = 2
StopGrace = 8
[Stroe]
`))
	var faults *keys.Error
	require.ErrorAs(t, err, &faults)
	text := err.Error()
	for _, want := range []string{
		`entry.ini [Node] Name`, `[Node] AvailabilityZone`, `[Addresses] Callers = "here"`, `[Addresses] Peers`, `[Addresses] Metrics`,
		`[Machine] MemoryMB = "3"`, `[Machine] Descriptor`, `[Bounds] RetryShare = "2"`, `[Bounds] StopGrace = "8"`, `[Stroe]`, `[Store]`,
	} {
		assert.Contains(t, text, want)
	}
}
