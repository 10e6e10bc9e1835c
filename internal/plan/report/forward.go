package report

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forwardInterval is the least time between two forwards to the same incarnation of a
	// receiver.
	forwardInterval = 10 * time.Second
	// forwardBytes is the most that the fields of a Forwarded take in a message beside the name
	// of the process and the counts.
	forwardBytes = 32
	// maxForwarders bounds the processes whose forwards are followed: collectors, and those that
	// were collectors before.
	maxForwarders = 16
	// maxForwarded bounds the messages of a forward.
	maxForwarded = 4096
)

// forwardDelays are the times after its begin at which a forward is sent, as datagrams may be
// lost.
var forwardDelays = []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond}

// Forwarded is a part of the counts of a process that has ended, from one that has them.
type Forwarded struct {
	// Process has no name if there are no such counts.
	Process Process
	Part    Part
	// Closed is set if final counts came after the end of the window.
	Closed bool
	// Number is that of the message, from 1, among the Total ones with all such counts of the
	// sender. Both are 0 if the sender may lack some itself.
	Number, Total int
	// Round tells the messages of one round from those of others, as the counts may change
	// between them: the true time of the sender at its begin, in milliseconds.
	Round int64
}

// ForwardMessage is a Forwarded for a process.
type ForwardMessage struct {
	To        string
	Forwarded Forwarded
}

// Forwarder decides which counts of processes that have ended this process sends to those that
// have become collectors. The zero value is ready to use. It is not safe for concurrent use.
type Forwarder struct {
	receivers map[string]*receiver
}

// receiver is a process that is or was a collector.
type receiver struct {
	incarnation uint64
	// listed is when the process was last a collector.
	listed time.Time
	// due is set while a forward has to begin. began is when the last one began, zero if none
	// has, and rounds how often it was sent.
	due    bool
	began  time.Time
	rounds int
	queue  []Forwarded
}

// Due returns what is to be sent now to the other collectors that handle forwarded counts. A
// process that becomes one, also after it was cut off, gets the counts that c has of processes
// which do not live, in the windows from the given one on. A round of messages is limited to
// maxDueParts in a call.
func (f *Forwarder) Due(now time.Time, c *Collector, to []Process, from int64, live func(Process) bool) []ForwardMessage {
	if f.receivers == nil {
		f.receivers = map[string]*receiver{}
	}
	var list []ForwardMessage
	for _, p := range to {
		r := f.receivers[p.Name]
		if r == nil || r.incarnation != p.Incarnation {
			r = &receiver{incarnation: p.Incarnation, due: true}
			f.receivers[p.Name] = r
		}
		r.listed = now
		if len(r.queue) == 0 && r.next(now) {
			r.queue = c.forwarded(now, from, live)
		}
		sent := min(len(r.queue), maxDueParts)
		for _, part := range r.queue[:sent] {
			list = append(list, ForwardMessage{p.Name, part})
		}
		r.queue = r.queue[sent:]
	}
	f.unlist(now)
	return list
}

// next reports whether a round of messages begins now.
func (r *receiver) next(now time.Time) bool {
	if r.due && (r.began.IsZero() || now.Sub(r.began) >= forwardInterval) {
		r.due, r.began, r.rounds = false, now, 0
	}
	if r.began.IsZero() || r.rounds >= len(forwardDelays) || now.Sub(r.began) < forwardDelays[r.rounds] {
		return false
	}
	r.rounds++
	return true
}

// unlist handles the processes that are no collectors now: they get the counts again when they
// are, as they may have been cut off.
func (f *Forwarder) unlist(now time.Time) {
	for name, r := range f.receivers {
		if r.listed.Equal(now) {
			continue
		}
		r.due, r.rounds, r.queue = true, len(forwardDelays), nil
		if now.Sub(r.began) >= forwardInterval {
			delete(f.receivers, name)
		}
	}
}

// forwarded returns the counts of processes that do not live, or have ended as planned, in the
// windows from the given one on.
func (c *Collector) forwarded(now time.Time, from int64, live func(Process) bool) []Forwarded {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Forwarded
	for window, processes := range c.windows {
		if window < from || window <= WindowAt(now, c.Window)-kept {
			continue
		}
		for name, t := range processes {
			for incarnation, s := range t.shares {
				p := Process{name, incarnation}
				if last, ended := c.ended[name]; (ended && incarnation <= last.incarnation) || !live(p) {
					list = append(list, s.forwarded(window, p)...)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b Forwarded) int {
		return cmp.Or(cmp.Compare(a.Part.Window, b.Part.Window), cmp.Compare(a.Process.Name, b.Process.Name),
			cmp.Compare(a.Process.Incarnation, b.Process.Incarnation), compareFirst(a.Part.Counts, b.Part.Counts))
	})
	if !c.intake.informed(now) {
		return list
	}
	if len(list) == 0 {
		list = []Forwarded{{}}
	}
	for i := range list {
		list[i].Number, list[i].Total, list[i].Round = i+1, len(list), now.UnixMilli()
	}
	return list
}

// compareFirst compares the first accounts of two parts, which have no account in common.
func compareFirst(a, b []Count) int {
	if len(a) == 0 || len(b) == 0 {
		return cmp.Compare(len(a), len(b))
	}
	return cmp.Compare(a[0].Account, b[0].Account)
}

// forwarded returns the counts of an incarnation in parts, none if it has none and may still
// have some.
func (s *share) forwarded(window int64, p Process) []Forwarded {
	totals := s.totals()
	if len(totals) == 0 && !s.final() {
		return nil
	}
	var list []Forwarded
	for _, part := range split(window, s.final(), totals, partBytes-forwardBytes-len(p.Name)) {
		part.Replaces = s.replaced
		list = append(list, Forwarded{Process: p, Part: part, Closed: s.closed})
	}
	return list
}

// AddForwarded adds what a process has forwarded. As with Add, it may arrive several times and in
// any order.
func (c *Collector) AddForwarded(now time.Time, from string, f Forwarded) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intake.receive(now, from, f)
	if f.Process.Name == "" {
		return
	}
	s := c.addCounts(now, f.Process.Name, f.Process.Incarnation, f.Part)
	if s == nil || !f.Part.finals() {
		return
	}
	if !s.final() {
		s.addFinal(f.Part)
	}
	s.closed = s.closed || f.Closed
	c.addKnownEnding(f.Process, f.Part.Window, s)
}

// addKnownEnding records the planned end of a process whose final counts another process had
// before the end of their window. Unlike counts of the process itself, they may come after
// counts of a later window. The caller must hold mu.
func (c *Collector) addKnownEnding(p Process, window int64, s *share) {
	if s.closed || !s.final() || c.ended[p.Name].incarnation > p.Incarnation {
		return
	}
	for number, processes := range c.windows {
		if t, ok := processes[p.Name]; ok && (t.newest > p.Incarnation || number > window && t.shares[p.Incarnation] != nil) {
			return
		}
	}
	c.addEnding(p.Name, ending{p.Incarnation, window})
}

// intake follows what other processes forward to this one.
type intake struct {
	// joined is when this process became a collector, zero if it is none. others are the live
	// collectors beside it.
	joined time.Time
	others []Process
	// forwards has what has arrived, by sender.
	forwards map[string]*forward
}

// forward is what has arrived of a forward: the numbers of the messages of the present round, and
// when a round was last complete.
type forward struct {
	round    int64
	total    int
	numbers  map[int]bool
	complete time.Time
}

// Observe records whether this process is a collector now, and the other live ones.
func (c *Collector) Observe(now time.Time, collecting bool, others []Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := &c.intake
	i.others = others
	switch {
	case !collecting:
		i.joined = time.Time{}
	case i.joined.IsZero():
		i.joined = now
	}
}

// informed reports whether this process is a collector that has got what others have, or the time
// for it. A former collector may lack the counts sent since it stopped collecting, also those of
// windows that were open then.
func (i *intake) informed(now time.Time) bool {
	return !i.joined.IsZero() && now.Sub(i.joined) >= collectTime
}

// receive records that a message of a forward has arrived. Those without a round are from
// processes of a previous build, of which the messages of different rounds can't be told apart.
func (i *intake) receive(now time.Time, from string, f Forwarded) {
	if f.Round == 0 || f.Number <= 0 || f.Number > f.Total || f.Total > maxForwarded || len(from) > maxName {
		return
	}
	known := i.forwards[from]
	if known == nil {
		if i.forwards == nil || len(i.forwards) >= maxForwarders {
			i.forwards = map[string]*forward{}
		}
		known = &forward{}
		i.forwards[from] = known
	}
	if known.round != f.Round || known.total != f.Total {
		known.round, known.total, known.numbers = f.Round, f.Total, map[int]bool{}
	}
	known.numbers[f.Number] = true
	if len(known.numbers) == known.total {
		known.complete = now
	}
}

// awaitsForwarded reports whether the report of a window has to wait for counts that another
// collector may forward: this process has just become one, and the window began before that.
func (c *Collector) awaitsForwarded(now time.Time, window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := &c.intake
	if len(i.others) == 0 || i.joined.IsZero() || i.informed(now) || !EndOf(window-1, c.Window).Before(i.joined) {
		return false
	}
	for _, p := range i.others {
		f := i.forwards[p.Name]
		if f != nil && !f.complete.IsZero() && now.Sub(f.complete) < forwardInterval {
			return false
		}
	}
	return true
}
