package detail

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

const (
	// maxColumns bounds the lines of the text, in characters.
	maxColumns = 100
	// maxID and maxZone bound the names of backend servers and zones in the table, so that
	// the reasons behind them fit.
	maxID, maxZone = 20, 13
	// maxName bounds names elsewhere.
	maxName = 32
)

// String formats the explanation as a table of at most 100 columns. Long names are cut.
func (e Explanation) String() string {
	var table strings.Builder
	w := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%s in %s, configuration %d\n", clip(e.Process, maxName), clip(e.AvailabilityZone, maxName), e.Version)
	fmt.Fprintf(w, "route\t%s, %s, target %s, %s left\n", clip(e.Route, maxName), e.Kind, short(e.LatencyTargetMs), short(e.TimeLeftMs))
	account := "none"
	if e.Account != "" {
		account = clip(e.Account, maxName)
	}
	fmt.Fprintf(w, "account\t%s, priority %d\n", account, e.Priority)
	fmt.Fprintf(w, "service\t%s\n", e.serviceText())
	fmt.Fprintf(w, "work\t%s\n", e.Work)
	for _, q := range e.Queues {
		fmt.Fprintf(w, "queue\t%s\n", q)
		if q.Coordinator != "" {
			fmt.Fprintf(w, "\tgranted by the coordinator %s, which may decide otherwise\n", clip(q.Coordinator, maxName))
		}
	}
	_ = w.Flush()
	fmt.Fprintln(&table)
	gaps := slices.ContainsFunc(e.Servers, func(s Server) bool { return s.GapMs > 0 })
	heading := "SERVER\tZONE\tROLE\tRUNNING\tLIMIT\tCACHED\tWAIT\tFINISH\t"
	if gaps {
		heading += "GAP\t"
	}
	fmt.Fprintln(w, heading+"NOT USED")
	for _, s := range e.Servers {
		fmt.Fprintln(w, s.row(gaps))
	}
	_ = w.Flush()
	fmt.Fprintf(&table, "\ndecision: %s\n", e.Decision)
	lines := strings.Split(table.String(), "\n")
	for i, line := range lines {
		lines[i] = clip(strings.TrimRight(line, " "), maxColumns)
	}
	return strings.Join(lines, "\n")
}

// serviceText names the service, its share of the route's requests and the version.
func (e Explanation) serviceText() string {
	text := clip(e.Service, maxName)
	total, weight := 0.0, 0.0
	for _, t := range e.Targets {
		total += t.Weight
		if t.Service == e.Service {
			weight += t.Weight
		}
	}
	if len(e.Targets) > 1 && total > 0 {
		text += fmt.Sprintf(" (%.0f %% of the route's requests)", 100*weight/total)
	}
	if e.Software != "" {
		text += ", begins at version " + clip(e.Software, maxName)
	}
	return text
}

// String describes the queue.
func (q Queue) String() string {
	return fmt.Sprintf("%s by %s: %d of %d ahead (%d units), wait %s of at most %s", q.Work, q.Order, q.Ahead, q.Waiting, q.UnitsAhead,
		short(q.WaitMs), short(q.LongestWaitMs))
}

// row returns the cells of the table, that of the predicted gap only if gap is set.
func (s Server) row(gap bool) string {
	role, notUsed := s.Role, string(s.NotUsed)
	if role == "" {
		role = "-"
	}
	if notUsed == "" {
		notUsed = "(used)"
	}
	if gap {
		notUsed = short(s.GapMs) + "\t" + notUsed
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s", clip(s.ID, maxID), clip(s.AvailabilityZone, maxZone), role, s.Running, s.Limit, s.CachedTokens,
		short(s.WaitMs), short(s.FinishMs), notUsed)
}

// String describes the decision.
func (d Decision) String() string {
	switch d.Action {
	case Send:
		return "Send to " + clip(d.Server, maxColumns)
	case HandOver:
		return "HandOver to the process " + clip(d.Peer, maxColumns)
	case Wait:
		return fmt.Sprintf("Wait (%s)", d.Reason)
	}
	text := fmt.Sprintf("Reject with status %d (%s)", d.Status, d.Reason)
	if d.RetryAfterMaxMs > 0 {
		text += fmt.Sprintf(", Retry-After %s to %s", short(d.RetryAfterMinMs), short(d.RetryAfterMaxMs))
	}
	return text
}

// short formats a duration with at most six characters, "-" for 0.
func short(m Milliseconds) string {
	switch d := m.Duration(); {
	case d == 0:
		return "-"
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.1fms", float64(m))
	case d < 10*time.Second:
		return fmt.Sprintf("%.0fms", float64(m))
	default:
		return fmt.Sprintf("%.0fs", d.Seconds())
	}
}

// clip cuts a text to at most so many characters. Control characters, which would break the
// table, become question marks.
func clip(text string, most int) string {
	runes := []rune(text)
	for i, r := range runes {
		if unicode.IsControl(r) {
			runes[i] = '?'
		}
	}
	if len(runes) > most {
		runes = append(runes[:most-1], '…')
	}
	return string(runes)
}
