// Package load is an open-loop load generator: it sends client requests to the
// system and measures the responses.
//
// Each request is sent at the time that its trace entry gives, whether or not
// earlier requests have finished, so that a slow system doesn't lower the
// offered load. A trace is read from a CSV file (ReadTrace) or generated from a
// seed (Mix).
//
// # Usage
//
//	trace := load.Mix(deployment, load.Plan{Seed: 1, Length: 20 * time.Second, Rate: 30})
//	client := &load.HTTP{Targets: addresses}
//	runner := &load.Runner{Deployment: deployment, Client: client, Targets: len(addresses)}
//	result := runner.Run(ctx, trace)
//	fmt.Print(load.Table(result.Rows()))
//
// The text that a stand-in engine generates is a function of the prompt (see
// model.Text), so the runner can check that a response is complete and belongs
// to its request.
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
	// At is the send time, relative to the start of the trace.
	At         time.Duration
	Deployment string
	// Service names a model or a plain service.
	Service string
	// Account is the client account; empty for none.
	Account string
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens, OutputTokens int
	// PrefixID identifies the common prompt prefix, of PrefixTokens tokens.
	// Entries with the same PrefixID share the prefix. Both are 0 for none.
	PrefixID     uint64
	PrefixTokens int
	// Priority is from -9 to 9.
	Priority int
	// Deadline is the time from sending to the end of the response.
	Deadline time.Duration
	// Idempotent marks a call that may safely run more than once. It is used for
	// plain services only.
	Idempotent bool
}

// Kind is the class under which a request is reported.
type Kind int

// The kinds: model requests by which of prompt and output dominates, and calls
// of plain services. A Write is not idempotent and carries an idempotency key.
const (
	LongPrompt Kind = iota
	LongOutput
	Read
	Write
)

// Kinds lists all kinds in the order of reports.
var Kinds = []Kind{LongPrompt, LongOutput, Read, Write}

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"LongPrompt", "LongOutput", "Read", "Write"}[k] }

// Kind returns the entry's kind. A model request whose prompt has at least four
// times the tokens of its output is a LongPrompt.
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

// Columns is the header of a trace file. Times are in milliseconds, sizes in
// tokens, and Idempotent is Yes or No.
var Columns = []string{
	"AtMs", "Deployment", "Service", "Account", "PromptTokens", "OutputTokens",
	"PrefixId", "PrefixTokens", "Priority", "DeadlineMs", "Idempotent",
}

// FileError is an invalid value in a trace file.
type FileError struct {
	// Line counts from 1.
	Line   int
	Column string
	Value  string
	// Want is the rule that Value violates.
	Want string
}

// Error returns the line, the column, the value and the violated rule.
func (e *FileError) Error() string {
	return fmt.Sprintf("line %d, column %s = %q: %s", e.Line, e.Column, e.Value, e.Want)
}

// ReadTrace reads a trace in CSV form, with the header Columns and entries
// sorted by time. The error is a *FileError for an invalid value.
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

// lineParser parses the columns of a line from left to right and keeps the
// first error.
type lineParser struct {
	line   int
	record []string
	column int
	err    error
}

func (p *lineParser) text() string {
	value := p.record[p.column]
	p.column++
	return value
}

func (p *lineParser) number(low, high int64) int64 {
	value := p.text()
	n, err := strconv.ParseInt(value, 10, 64)
	if (err != nil || n < low || n > high) && p.err == nil {
		p.err = &FileError{p.line, Columns[p.column-1], value, fmt.Sprintf("must be a whole number from %d to %d", low, high)}
	}
	return n
}

func parseEntry(line int, record []string) (Entry, error) {
	p := &lineParser{line: line, record: record}
	ms := func(low int64) time.Duration {
		return time.Duration(p.number(low, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	var e Entry
	e.At = ms(0)
	e.Deployment, e.Service, e.Account = p.text(), p.text(), p.text()
	e.PromptTokens = int(p.number(0, 1<<24))
	e.OutputTokens = int(p.number(0, 1<<24))
	e.PrefixID = uint64(p.number(0, math.MaxInt64))
	e.PrefixTokens = int(p.number(0, 1<<24))
	e.Priority = int(p.number(-9, 9))
	e.Deadline = ms(1)
	switch value := p.text(); value {
	case "Yes":
		e.Idempotent = true
	case "No":
	default:
		if p.err == nil {
			p.err = &FileError{line, "Idempotent", value, "must be Yes or No"}
		}
	}
	return e, p.err
}

// WriteTrace writes a trace in the form that ReadTrace reads. Times are
// truncated to milliseconds.
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

// Plan configures Mix.
type Plan struct {
	Seed   uint64
	Length time.Duration
	// Rate is the mean rate of all requests, per second.
	Rate float64
	// LongPromptShare returns the share of model requests that have long prompts,
	// from 0 to 1, at a time of the trace. Nil means 0.5.
	LongPromptShare func(at time.Duration) float64
	// RateFactor returns the factor by which Rate is multiplied at a time of the
	// trace. Nil means 1.
	RateFactor func(at time.Duration) float64
	// PlainShare is the share of calls of plain services, from 0 to 1.
	PlainShare float64
}

// Bounds of the request sizes of a mix, in tokens, and its common prompt
// prefixes.
const (
	minLongPrompt, maxLongPrompt   = 1200, 5000
	minShortOutput, maxShortOutput = 16, 60
	minShortPrompt, maxShortPrompt = 60, 300
	minLongOutput, maxLongOutput   = 120, 400
	prefixTokens                   = 1024
	prefixCount                    = 12
)

// Deadlines of the requests of a mix.
const (
	longPromptDeadline = 6 * time.Second
	longOutputDeadline = 30 * time.Second
	plainDeadline      = 3 * time.Second
)

// Mix generates a trace with exponentially distributed times between requests
// (Poisson arrivals). The same deployment and plan give the same trace.
func Mix(d *spec.Deployment, p Plan) []Entry {
	random := rand.New(rand.NewPCG(p.Seed, 4))
	var trace []Entry
	var at time.Duration
	for {
		rate := p.Rate
		if p.RateFactor != nil {
			rate *= p.RateFactor(at)
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
	if p.LongPromptShare != nil {
		share = p.LongPromptShare(at)
	}
	if random.Float64() < share {
		e.PromptTokens = uniform(random, minLongPrompt, maxLongPrompt)
		e.OutputTokens = uniform(random, minShortOutput, maxShortOutput)
		e.PrefixID, e.PrefixTokens = uint64(1+random.IntN(prefixCount)), prefixTokens
		e.Deadline = longPromptDeadline
		return e
	}
	e.PromptTokens = uniform(random, minShortPrompt, maxShortPrompt)
	e.OutputTokens = uniform(random, minLongOutput, maxLongOutput)
	e.Deadline = longOutputDeadline
	return e
}

// uniform returns a random integer from low to high, both included.
func uniform(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }
