// Package keys decodes INI files into Go structs and reports every fault of
// a file at once.
//
// A section is decoded into a struct whose exported fields have the names of the
// section's keys. A field may be a string, a bool (Yes or No), an integer, a
// float, a time.Duration, a type that implements encoding.TextUnmarshaler, such
// as netip.AddrPort, or a comma-separated list of any of these. The decoded
// struct is checked against its `validate` tags.
//
// # Usage
//
//	var faults keys.Faults
//	file := keys.Load("node.ini", data, &faults)
//	for _, section := range file.Sections {
//		settings := Settings{Limit: 10}
//		section.Decode(&settings, &faults)
//	}
//	if err := faults.Err(); err != nil {
//		return err
//	}
//
// An unknown key is a fault whose text names the most similar known key. A
// duplicate key or section is a fault too, so that no line of a file is ignored
// silently.
package keys

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
	"github.com/go-playground/validator/v10"
	"gopkg.in/ini.v1"
)

// Fault is one error in a file.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	// Want describes what is wrong or what would be valid.
	Want string
}

// String formats the fault on one line.
func (f Fault) String() string {
	text := f.File
	if f.Section != "" {
		text += " [" + f.Section + "]"
	}
	if f.Key != "" {
		text += " " + f.Key + " = " + strconv.Quote(f.Value)
	}
	return text + ": " + f.Want
}

// Faults collects faults. The zero value is empty and ready to use.
type Faults struct{ List []Fault }

// Add appends a fault.
func (f *Faults) Add(fault Fault) { f.List = append(f.List, fault) }

// Err returns the faults as one error, or nil if there are none.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return &Error{Faults: f.List}
}

// Error is the error of files with faults.
type Error struct{ Faults []Fault }

// Error lists all faults, one per line.
func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d faults", len(e.Faults))
	if len(e.Faults) == 1 {
		text.Reset()
		text.WriteString("1 fault")
	}
	for _, f := range e.Faults {
		text.WriteString("\n  " + f.String())
	}
	return text.String()
}

// Section is one section of a file.
type Section struct {
	File string
	// Kind is the first word of the section's title, Name the rest.
	Kind, Name string

	section *ini.Section
}

// Title returns the text between the section's brackets, Kind and Name.
func (s Section) Title() string { return s.section.Name() }

// File is a parsed file.
type File struct {
	Name     string
	Sections []Section
}

// Load parses a file. Syntax errors, duplicate sections and keys outside of
// sections are added to faults. A file that can't be parsed has no sections.
func Load(name string, data []byte, faults *Faults) File {
	file := File{Name: name}
	if !utf8.Valid(data) {
		faults.Add(Fault{File: name, Want: "the file must be UTF-8 text"})
		return file
	}
	if bytes.IndexByte(data, 0) >= 0 {
		faults.Add(Fault{File: name, Want: "the file must not contain NUL bytes"})
		return file
	}
	options := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		SkipUnrecognizableLines:    false,
	}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		faults.Add(Fault{File: name, Want: "the file must be INI text: " + err.Error()})
		return file
	}
	seen := map[string]bool{}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.Keys() {
				faults.Add(Fault{File: name, Key: key.Name(), Value: key.String(), Want: "a key must stand in a section"})
			}
			continue
		}
		if seen[section.Name()] {
			faults.Add(Fault{File: name, Section: section.Name(), Want: "a section may be given once"})
			continue
		}
		seen[section.Name()] = true
		kind, rest, _ := strings.Cut(section.Name(), " ")
		file.Sections = append(file.Sections, Section{File: name, Kind: kind, Name: strings.TrimSpace(rest), section: section})
	}
	return file
}

// Decode sets the fields of the struct that target points to, and checks the
// struct against its `validate` tags. Fields without a key keep their values, which
// are the defaults. Fields with the tag `ini:"-"` cannot be set. Faults are added
// to faults.
func (s Section) Decode(target any, faults *Faults) {
	value := reflect.ValueOf(target).Elem()
	fields := map[string]reflect.Value{}
	var names []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Tag.Get("ini") == "-" || !field.IsExported() {
			continue
		}
		fields[field.Name] = value.Field(i)
		names = append(names, field.Name)
	}
	faulty := map[string]bool{}
	for _, key := range s.section.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			s.fault(faults, key.Name(), key.String(), "this key is not known; the nearest known key is "+Nearest(key.Name(), names))
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			faulty[key.Name()] = true
			s.fault(faults, key.Name(), strings.Join(key.ValueWithShadows(), " | "), "a key may be given once")
			continue
		}
		if want := set(field, key.String()); want != "" {
			faulty[key.Name()] = true
			s.fault(faults, key.Name(), key.String(), want)
		}
	}
	s.validate(target, faulty, faults)
}

// fault adds a fault of a key of the section.
func (s Section) fault(faults *Faults, key, value, want string) {
	faults.Add(Fault{File: s.File, Section: s.Title(), Key: key, Value: value, Want: want})
}

// checker caches the `validate` tags of each type and is safe for concurrent use.
var checker = validator.New(validator.WithRequiredStructEnabled())

// validate checks the struct against its `validate` tags. Fields that already
// have a fault are skipped.
func (s Section) validate(target any, faulty map[string]bool, faults *Faults) {
	err := checker.Struct(target)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return
	}
	for _, fault := range list {
		name, _, _ := strings.Cut(fault.Field(), "[")
		if faulty[name] {
			continue
		}
		s.fault(faults, name, fmt.Sprint(fault.Value()), wanted(fault.Tag(), fault.Param()))
	}
}

// wanted describes the values that a validation tag allows.
func wanted(tag, param string) string {
	switch tag {
	case "required":
		return "this key must be given"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(param, " ", ", ")
	case "gt":
		return "must be over " + param
	case "gte", "min":
		return "must be at least " + param
	case "lte", "max":
		return "must be at most " + param
	case "startswith":
		return "must start with " + param
	}
	return strings.TrimSpace("must satisfy " + tag + " " + param)
}

// set parses text into field. If that fails, it returns a description of valid
// text, else "".
func set(field reflect.Value, text string) string {
	if unmarshaler, ok := field.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
			return wantedType(field.Type().Name(), err)
		}
		return ""
	}
	if field.Type() == reflect.TypeFor[time.Duration]() {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return "must be a duration such as 540ms or 30s"
		}
		field.SetInt(int64(duration))
		return ""
	}
	return setBasic(field, text)
}

// wantedType describes valid text of a type.
func wantedType(name string, err error) string {
	switch name {
	case "AddrPort":
		return "must be an IP number and a port, such as 127.0.0.1:7100"
	case "Addr":
		return "must be an IP number, such as 127.0.0.1"
	}
	return err.Error()
}

// setBasic is set for types that don't implement encoding.TextUnmarshaler.
func setBasic(field reflect.Value, text string) string {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		switch text {
		case "Yes":
			field.SetBool(true)
		case "No":
			field.SetBool(false)
		default:
			return "must be Yes or No"
		}
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return "must be a whole number"
		}
		field.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || number != number || number > 1e300 || number < -1e300 {
			return "must be a number"
		}
		field.SetFloat(number)
	case reflect.Slice:
		list := reflect.MakeSlice(field.Type(), 0, 4)
		for _, word := range strings.Split(text, ",") {
			word = strings.TrimSpace(word)
			if word == "" {
				continue
			}
			item := reflect.New(field.Type().Elem()).Elem()
			if want := set(item, word); want != "" {
				return "in the list, " + strconv.Quote(word) + " " + want
			}
			list = reflect.Append(list, item)
		}
		field.Set(list)
	default:
		return "has a type that is not supported"
	}
	return ""
}

// Nearest returns the name with the smallest edit distance to word, ignoring case.
func Nearest(word string, names []string) string {
	best, distance := "", -1
	for _, name := range names {
		d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(name))
		if distance < 0 || d < distance {
			best, distance = name, d
		}
	}
	return best
}
