// Package load sends callers' requests to the system and measures the answers.
//
// The load is open: each request is sent at its time, whether or not earlier
// ones were answered, so that a slow system cannot slow the load down. What to
// send is a trace, read from a CSV file or made from a seed.
//
// # Usage
//
//	trace := load.Mix(deployment, load.Plan{Seed: 1, Length: 20 * time.Second, Rate: 30})
//	runner := &load.Runner{Deployment: deployment, Targets: addresses}
//	result := runner.Run(ctx, trace)
//	fmt.Print(result.Table())
//
// The runner knows what the stand-in engines answer to a prompt and so can tell
// whether an answer is whole and is the right one.
package load

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// Entry is one request of a trace.
type Entry struct {
	At         time.Duration
	Deployment string
	// Service names a model or a plain service.
	Service string
	Account string
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens, OutputTokens int
	// PrefixID names a beginning of PrefixTokens that prompts share; 0 for none.
	PrefixID     uint64
	PrefixTokens int
	Priority     int
	Deadline     time.Duration
	// Idempotent is for plain services.
	Idempotent bool
}

// Kind groups requests for reports.
type Kind int

// The kinds.
const (
	LongPrompt Kind = iota
	LongOutput
	Read
	Write
)

// Kinds are all kinds.
var Kinds = []Kind{LongPrompt, LongOutput, Read, Write}

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"LongPrompt", "LongOutput", "Read", "Write"}[k] }

// Kind returns the entry's kind.
func (e Entry) Kind() Kind {
	switch {
	case e.PromptTokens == 0 && e.Idempotent:
		return Read
	case e.PromptTokens == 0:
		return Write
	case e.PromptTokens >= 4*e.OutputTokens:
		return LongPrompt
	}
	return LongOutput
}

// Columns are the columns of a trace file, in order.
var Columns = []string{
	"AtMs", "Deployment", "Service", "Account", "PromptTokens", "OutputTokens",
	"PrefixId", "PrefixTokens", "Priority", "DeadlineMs", "Idempotent",
}

// FileError is a fault of a trace file.
type FileError struct {
	Line   int
	Column string
	Value  string
	Want   string
}

// Error tells the line, the column and what would be right.
func (e *FileError) Error() string {
	return fmt.Sprintf("line %d, column %s = %q: %s", e.Line, e.Column, e.Value, e.Want)
}

// ReadTrace reads a trace file. The error is a *FileError for a wrong value.
func ReadTrace(r io.Reader) ([]Entry, error) {
	reader := csv.NewReader(r)
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("read header: %w", err)
	}
	if !slices.Equal(header, Columns) {
		return nil, &FileError{Line: 1, Column: "header", Value: strings.Join(header, ","), Want: "must be " + strings.Join(Columns, ",")}
	}
	var trace []Entry
	var last time.Duration
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read trace: %w", err)
		}
		line, _ := reader.FieldPos(0)
		e, err := parseEntry(line, record)
		if err != nil {
			return nil, err
		}
		if e.At < last {
			return nil, &FileError{line, "AtMs", record[0], "must not be before the line above"}
		}
		last = e.At
		trace = append(trace, e)
	}
}

// row reads the columns of a line one after the other and keeps the first
// fault.
type row struct {
	line   int
	record []string
	column int
	err    error
}

func (r *row) text() string {
	value := r.record[r.column]
	r.column++
	return value
}

func (r *row) number(least, most int64) int64 {
	value := r.text()
	n, err := strconv.ParseInt(value, 10, 64)
	if (err != nil || n < least || n > most) && r.err == nil {
		r.err = &FileError{r.line, Columns[r.column-1], value, fmt.Sprintf("must be a whole number from %d to %d", least, most)}
	}
	return n
}

func parseEntry(line int, record []string) (Entry, error) {
	r := &row{line: line, record: record}
	ms := func(least int64) time.Duration {
		return time.Duration(r.number(least, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	var e Entry
	e.At = ms(0)
	e.Deployment, e.Service, e.Account = r.text(), r.text(), r.text()
	e.PromptTokens = int(r.number(0, 1<<24))
	e.OutputTokens = int(r.number(0, 1<<24))
	e.PrefixID = uint64(r.number(0, math.MaxInt64))
	e.PrefixTokens = int(r.number(0, 1<<24))
	e.Priority = int(r.number(-9, 9))
	e.Deadline = ms(1)
	switch value := r.text(); value {
	case "Yes":
		e.Idempotent = true
	case "No":
	default:
		if r.err == nil {
			r.err = &FileError{line, "Idempotent", value, "must be Yes or No"}
		}
	}
	return e, r.err
}

// WriteTrace writes a trace file.
func WriteTrace(w io.Writer, trace []Entry) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(Columns); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	for _, e := range trace {
		idempotent := "No"
		if e.Idempotent {
			idempotent = "Yes"
		}
		record := []string{
			strconv.FormatInt(e.At.Milliseconds(), 10), e.Deployment, e.Service, e.Account,
			strconv.Itoa(e.PromptTokens), strconv.Itoa(e.OutputTokens), strconv.FormatUint(e.PrefixID, 10),
			strconv.Itoa(e.PrefixTokens), strconv.Itoa(e.Priority), strconv.FormatInt(e.Deadline.Milliseconds(), 10), idempotent,
		}
		if err := writer.Write(record); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	writer.Flush()
	return writer.Error()
}

// Plan describes a mix.
type Plan struct {
	Seed   uint64
	Length time.Duration
	// Rate is the requests per second of all kinds.
	Rate float64
	// Prompts gives the part of model requests with long prompts at a time,
	// between 0 and 1. Nil stands for an even mix.
	Prompts func(at time.Duration) float64
	// Surge multiplies the rate at a time. Nil stands for 1.
	Surge func(at time.Duration) float64
	// PlainShare is the part of plain calls.
	PlainShare float64
}

// Sizes of the requests of a mix, in tokens.
const (
	longPromptLeast, longPromptMost   = 1200, 5000
	shortOutputLeast, shortOutputMost = 16, 60
	shortPromptLeast, shortPromptMost = 60, 300
	longOutputLeast, longOutputMost   = 120, 400
	sharedPrefix                      = 1024
	prefixes                          = 12
)

// Deadlines of the requests of a mix.
const (
	promptDeadline = 6 * time.Second
	outputDeadline = 30 * time.Second
	plainDeadline  = 3 * time.Second
)

// Mix makes a trace from a seed.
func Mix(d *spec.Deployment, p Plan) []Entry {
	random := rand.New(rand.NewPCG(p.Seed, 4))
	var trace []Entry
	var at time.Duration
	for {
		rate := p.Rate
		if p.Surge != nil {
			rate *= p.Surge(at)
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Length {
			return trace
		}
		trace = append(trace, p.entry(d, random, at))
	}
}

func (p Plan) entry(d *spec.Deployment, random *rand.Rand, at time.Duration) Entry {
	e := Entry{At: at.Truncate(time.Millisecond), Deployment: d.Name}
	if len(d.Accounts) > 0 {
		e.Account = d.Accounts[random.IntN(len(d.Accounts))].Name
	}
	if len(d.Services) > 0 && random.Float64() < p.PlainShare {
		e.Service = d.Services[random.IntN(len(d.Services))].Name
		e.Idempotent = random.IntN(2) == 0
		e.Deadline = plainDeadline
		return e
	}
	e.Service = d.Models[random.IntN(len(d.Models))].Name
	share := 0.5
	if p.Prompts != nil {
		share = p.Prompts(at)
	}
	if random.Float64() < share {
		e.PromptTokens = between(random, longPromptLeast, longPromptMost)
		e.OutputTokens = between(random, shortOutputLeast, shortOutputMost)
		e.PrefixID, e.PrefixTokens = uint64(1+random.IntN(prefixes)), sharedPrefix
		e.Deadline = promptDeadline
		return e
	}
	e.PromptTokens = between(random, shortPromptLeast, shortPromptMost)
	e.OutputTokens = between(random, longOutputLeast, longOutputMost)
	e.Deadline = outputDeadline
	return e
}

func between(random *rand.Rand, least, most int) int { return least + random.IntN(most-least+1) }
