// Package drain keeps the set of VMs and backend servers that are leaving, which
// means that they are being drained and get no new requests.
//
// A name is leaving if at least one source marks it so: the platform's list of
// VMs, an operator's drain, the engine itself, or an order that needs the engine
// to be drained. Each source's entry for a name carries a sequence number of that
// source, and the entry with the higher number wins. Entries can therefore be
// merged in any order and any number of times with the same result, in every
// process.
//
// # Usage
//
//	var set drain.Set
//	changed := set.Merge(drain.Entry{Name: "verdict-01", Source: drain.Operator, Sequence: 7, Leaving: true})
//	if set.Leaving("verdict-01") { ... }
package drain

import (
	"sort"
	"strconv"
)

// Source is what marks a name as leaving.
type Source int

// The sources.
const (
	// VMList is the platform's list of VMs. Its sequence number is the list's
	// revision.
	VMList Source = iota
	// Operator is an operator's drain command. Its sequence number is one more
	// than that of the operator's entry in the process that received the command.
	Operator
	// Server is the backend server's report. Its sequence number has the report's
	// incarnation in the high bits and the report's sequence in the low ones.
	Server
	// Order is the planner, which drains an engine before an order. Its sequence
	// number has the fencing token in the high bits and a counter in the low ones.
	Order
)

var sourceNames = [...]string{"VMList", "Operator", "Server", "Order"}

// String returns the source's name. For a source that only a newer release
// defines, it returns "Source" and the number.
func (s Source) String() string {
	if s < 0 || int(s) >= len(sourceNames) {
		return "Source" + strconv.Itoa(int(s))
	}
	return sourceNames[s]
}

// Entry states whether a source marks a name as leaving.
type Entry struct {
	// Name is that of a VM or a backend server.
	Name   string
	Source Source
	// Sequence orders the entries of the source for the name.
	Sequence uint64
	Leaving  bool
}

type key struct {
	name   string
	source Source
}

// Set holds the latest entry of each source for each name. The zero value is
// empty. A Set is not safe for concurrent use.
type Set struct {
	entries map[key]Entry
	// leaving counts the sources that mark a name as leaving.
	leaving map[string]int
}

// Merge merges an entry, unless the set has one of the same source and name with
// the same or a higher sequence number, and reports whether LeavingBy changed for
// that source and name.
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

// Leaving reports whether any source marks the name as leaving.
func (s *Set) Leaving(name string) bool { return s.leaving[name] > 0 }

// Empty reports whether nothing is leaving.
func (s *Set) Empty() bool { return len(s.leaving) == 0 }

// LeavingBy reports whether the source marks the name as leaving. Without an entry
// it does not.
func (s *Set) LeavingBy(name string, source Source) bool { return s.entries[key{name, source}].Leaving }

// Sequence returns the sequence number of the source's entry for the name, 0 if
// there is none.
func (s *Set) Sequence(name string, source Source) uint64 {
	return s.entries[key{name, source}].Sequence
}

// Entries returns all entries, ordered by name and source.
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
