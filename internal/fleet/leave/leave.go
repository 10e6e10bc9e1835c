// Package leave keeps who is leaving: VMs and backend servers that get no new
// work.
//
// Several sources have a say, and one that says so is enough: the platform's
// list of VMs, an operator's drain, the engine itself, and an order that needs
// an engine to be empty. What a source says of a name carries a sequence number
// of that source, and the higher number wins. Sets of different processes are
// therefore merged in any order and any number of times with the same result.
//
// # Usage
//
//	var set leave.Set
//	changed := set.Merge(leave.Entry{Name: "verdict-01", Source: leave.Operator, Sequence: 7, Leaving: true})
//	if set.Leaving("verdict-01") { ... }
package leave

import (
	"sort"
	"strconv"
)

// Source is who says that something is leaving.
type Source int

// The sources.
const (
	// VMList is the platform's list; its sequence is the list's revision.
	VMList Source = iota
	// Operator is a drain; its sequence is one over the highest known.
	Operator
	// Server is the backend server's own word; its sequence is made of its
	// incarnation and report number.
	Server
	// Order is the planner, which empties an engine before an order; its
	// sequence is made of the fencing number and a counter.
	Order
)

var sourceNames = [...]string{"VMList", "Operator", "Server", "Order"}

// String returns the source's name. A source may be one that only a newer
// release knows.
func (s Source) String() string {
	if s < 0 || int(s) >= len(sourceNames) {
		return "Source" + strconv.Itoa(int(s))
	}
	return sourceNames[s]
}

// Entry is what a source says of a name.
type Entry struct {
	Name     string
	Source   Source
	Sequence uint64
	Leaving  bool
}

type key struct {
	name   string
	source Source
}

// Set is what all sources say. The zero value is empty. A Set is not safe for
// concurrent use.
type Set struct {
	entries map[key]Entry
	// leaving counts the sources that say a name is leaving.
	leaving map[string]int
}

// Merge takes in an entry and reports whether it changed what the source says.
// A name of which nothing was known is not leaving.
func (s *Set) Merge(e Entry) bool {
	if s.entries == nil {
		s.entries = map[key]Entry{}
		s.leaving = map[string]int{}
	}
	k := key{e.Name, e.Source}
	old, known := s.entries[k]
	if known && old.Sequence >= e.Sequence {
		return false
	}
	s.entries[k] = e
	if old.Leaving {
		s.leaving[e.Name]--
	}
	if e.Leaving {
		s.leaving[e.Name]++
	}
	if s.leaving[e.Name] == 0 {
		delete(s.leaving, e.Name)
	}
	return old.Leaving != e.Leaving
}

// Leaving reports whether any source says that the name is leaving.
func (s *Set) Leaving(name string) bool { return s.leaving[name] > 0 }

// Empty reports whether nothing is leaving.
func (s *Set) Empty() bool { return len(s.leaving) == 0 }

// LeavingBy reports whether the source says that the name is leaving.
func (s *Set) LeavingBy(name string, source Source) bool { return s.entries[key{name, source}].Leaving }

// Sequence returns the sequence number of what a source says of a name.
func (s *Set) Sequence(name string, source Source) uint64 {
	return s.entries[key{name, source}].Sequence
}

// Entries returns every entry in a fixed order.
func (s *Set) Entries() []Entry {
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Name != list[j].Name {
			return list[i].Name < list[j].Name
		}
		return list[i].Source < list[j].Source
	})
	return list
}
