package setup

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Entry are the settings of an entry process on a platform that keeps the
// configuration and the list of backend servers in its store.
type Entry struct {
	Node      EntryNode
	Addresses EntryAddresses
	Store     EntryStore
	Machine   Machine
	Bounds    Bounds
	Log       Log
}

// EntryNode says who the process is.
type EntryNode struct {
	// Name is the name of the entry VM, unique in the system.
	Name string `validate:"required"`
	// AvailabilityZone is where the entry VM is.
	AvailabilityZone string `validate:"required"`
}

// EntryAddresses are where the process listens.
type EntryAddresses struct {
	// Callers is the address for callers' requests.
	Callers netip.AddrPort
	// Readiness is the address at which the balancer asks.
	Readiness netip.AddrPort
	// Peers is the address for the other processes of the system.
	Peers netip.AddrPort
	// Metrics is the address of the metrics.
	Metrics netip.AddrPort
}

// EntryStore says where the platform's store is.
type EntryStore struct {
	// Address is the store's address.
	Address netip.AddrPort
	// Timeout bounds a call, waiting for changes not counted.
	Timeout time.Duration `validate:"gt=0"`
	// WatchFor is how long one call waits for changes.
	WatchFor time.Duration `validate:"gt=0"`
}

// Machine is what the process may use.
type Machine struct {
	// MemoryMB is the memory of the process, in MB of 1,000,000 bytes.
	MemoryMB int64 `validate:"gte=32"`
	// Descriptors is how many files and sockets may be open.
	Descriptors int64 `validate:"gte=300"`
	// Cores is what the process may use of a processor.
	Cores float64 `validate:"gt=0"`
}

// Bounds are the bounds that all processes keep together.
type Bounds struct {
	// StopGrace is the time between the order to stop and the end by force.
	StopGrace time.Duration `validate:"gt=0"`
	// RetryShare is the share of the requests of a service that may be sent
	// again within RetryWindow, RetrySlack how many may be besides.
	RetryShare  float64       `validate:"gte=0,lte=1"`
	RetryWindow time.Duration `validate:"gt=0"`
	RetrySlack  float64       `validate:"gte=0"`
	// LeaveWithin is the time within which a backend server that leaves must get
	// no more requests.
	LeaveWithin time.Duration `validate:"gt=0"`
}

// DefaultEntry returns the settings that hold for keys that are left out.
func DefaultEntry() Entry {
	return Entry{
		Store:   EntryStore{Timeout: time.Second, WatchFor: 2 * time.Second},
		Machine: Machine{MemoryMB: 256, Descriptors: 4096, Cores: 1},
		Bounds:  Bounds{StopGrace: 8 * time.Second, RetryShare: 0.1, RetryWindow: 10 * time.Second, RetrySlack: 10, LeaveWithin: 2 * time.Second},
		Log:     Log{Level: "Info"},
	}
}

var entrySections = []string{"Node", "Addresses", "Store", "Machine", "Bounds", "Log"}

// ParseEntry reads the settings of an entry process. The error is a
// *keys.Error.
func ParseEntry(name string, data []byte) (Entry, error) {
	var faults keys.Faults
	s := DefaultEntry()
	targets := map[string]any{
		"Node": &s.Node, "Addresses": &s.Addresses, "Store": &s.Store, "Machine": &s.Machine, "Bounds": &s.Bounds, "Log": &s.Log,
	}
	seen := decode(name, data, targets, entrySections, &faults)
	requireSections(name, seen, []string{"Node", "Addresses", "Store"}, &faults)
	requireAddresses(name, seen, []requiredAddress{
		{"Addresses", "Callers", s.Addresses.Callers},
		{"Addresses", "Readiness", s.Addresses.Readiness},
		{"Addresses", "Peers", s.Addresses.Peers},
		{"Addresses", "Metrics", s.Addresses.Metrics},
		{"Store", "Address", s.Store.Address},
	}, &faults)
	return s, faults.Err()
}
