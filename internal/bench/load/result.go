package load

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// Result is the result of running a trace.
type Result struct {
	// Outcomes are in the order of the trace.
	Outcomes []Outcome
	// Took is the time from the start until the last response has ended. It is 0
	// if the run was canceled before the whole trace was sent.
	Took time.Duration
}

// Row summarizes the requests of one kind. Each request counts in exactly one of
// Whole, NotRun, Unknown, Lost and Cut.
type Row struct {
	Kind     string
	Requests int
	// Whole counts complete responses, and InTime those of them that were also
	// correct and met their deadline.
	Whole  int
	InTime int
	// NotRun counts error responses that reported that the request had not run,
	// Unknown the other error responses, and Lost failed connections.
	NotRun, Unknown, Lost int
	// Cut counts truncated responses. Crossed counts complete responses with
	// wrong content, such as the response to another request.
	Cut, Crossed int
	// First is the time to first token and Gap the time between the tokens of a
	// stream, of complete responses of models.
	First Quantiles
	Gap   Quantiles
}

// Quantiles are the quantiles of a latency.
type Quantiles struct{ P50, P95, P99 time.Duration }

// Range of the histograms, in microseconds, and their significant digits.
const (
	histogramMin    = 1
	histogramMax    = 3_600_000_000
	histogramDigits = 3
)

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{at(50), at(95), at(99)}
}

// Rows returns a row for each kind that was sent, and then one for all requests.
func (r *Result) Rows() []Row {
	var rows []Row
	for _, kind := range Kinds {
		row := r.row(kind.String(), func(o Outcome) bool { return o.Entry.Kind() == kind })
		if row.Requests > 0 {
			rows = append(rows, row)
		}
	}
	return append(rows, r.row("All", func(Outcome) bool { return true }))
}

// All returns the row of all requests.
func (r *Result) All() Row { return r.row("All", func(Outcome) bool { return true }) }

// row summarizes the outcomes that include selects.
func (r *Result) row(name string, include func(Outcome) bool) Row {
	row := Row{Kind: name}
	first := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	gap := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	for _, o := range r.Outcomes {
		if !include(o) {
			continue
		}
		row.count(o)
		if !o.Complete || o.Entry.PromptTokens == 0 {
			continue
		}
		_ = first.RecordValue(max(o.First.Microseconds(), 1))
		for _, g := range o.Gaps {
			_ = gap.RecordValue(max(g.Microseconds(), 1))
		}
	}
	row.First, row.Gap = quantiles(first), quantiles(gap)
	return row
}

func (row *Row) count(o Outcome) {
	row.Requests++
	switch {
	case o.Truncated:
		row.Cut++
	case o.Complete:
		row.Whole++
	case o.ConnectionLost:
		row.Lost++
	case o.Reported == retry.NotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
	if o.Complete && !o.Correct {
		row.Crossed++
	}
	if o.InTime() {
		row.InTime++
	}
}

// Table formats rows as a table with a header.
func Table(rows []Row) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Kind\tRequests\tWhole\tInTime\tNotRun\tUnknown\tLost\tCut\tCrossed\tFirst50\tFirst95\tFirst99\tGap50\tGap95\tGap99\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", r.Kind, r.Requests, r.Whole, r.InTime,
			r.NotRun, r.Unknown, r.Lost, r.Cut, r.Crossed,
			ms(r.First.P50), ms(r.First.P95), ms(r.First.P99), ms(r.Gap.P50), ms(r.Gap.P95), ms(r.Gap.P99))
	}
	w.Flush()
	return text.String()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond)) }
