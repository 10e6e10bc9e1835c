package setup

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Entry has the settings of an entry process on a platform whose store has the
// configuration and the list of backend servers.
type Entry struct {
	Node      EntryNode
	Addresses EntryAddresses
	Store     EntryStore
	Machine   Machine
	Bounds    Bounds
	Admission Admission
	Duties    Duties
	Log       Log
}

// EntryNode identifies the process.
type EntryNode struct {
	// Name is the name of the entry VM, unique in the system.
	Name string `validate:"required"`
	// AvailabilityZone is the entry VM's availability zone.
	AvailabilityZone string `validate:"required"`
}

// EntryAddresses are the addresses that the process listens on.
type EntryAddresses struct {
	// Callers is the address for clients' requests.
	Callers netip.AddrPort
	// Readiness is the address for the load balancer's readiness probes.
	Readiness netip.AddrPort
	// Peers is the address for the other processes of the system, by UDP and
	// TCP.
	Peers netip.AddrPort
	// Metrics is the address for metrics.
	Metrics netip.AddrPort
}

// EntryStore is how to reach the platform's store.
type EntryStore struct {
	// Address is the store's address.
	Address netip.AddrPort
	// Timeout bounds a call, excluding the time that it waits for changes.
	Timeout time.Duration `validate:"gt=0"`
	// WatchFor is the long-poll timeout of one watch in a small system. With more
	// processes each watch waits longer.
	WatchFor time.Duration `validate:"gt=0"`
	// WritesPerSecond is the number of writing calls per second that the store takes from
	// all processes together.
	WritesPerSecond float64 `validate:"gt=0"`
	// Relays is the number of processes of each availability zone that read lists and
	// changes from the store, from which the others get them; 0 if all do. It takes
	// effect in systems of at least 24 processes.
	Relays int64 `validate:"gte=0"`
}

// Machine is the share of the VM that the process may use.
type Machine struct {
	// MemoryMB is the memory of the process, in MB of 1,000,000 bytes.
	MemoryMB int64 `validate:"gte=32"`
	// Descriptors is the limit of open files and sockets.
	Descriptors int64 `validate:"gte=300"`
	// Cores is the number of processor cores; it may be a fraction.
	Cores float64 `validate:"gt=0"`
}

// Bounds are guarantees that the processes of the system keep together.
type Bounds struct {
	// StopGrace is the time from the order to stop until the process is killed.
	StopGrace time.Duration `validate:"gt=0"`
	// RetryShare and RetrySlack bound the retries of a service's requests within
	// RetryWindow: RetryShare times the number of requests, plus RetrySlack.
	RetryShare  float64       `validate:"gte=0,lte=1"`
	RetryWindow time.Duration `validate:"gt=0"`
	RetrySlack  float64       `validate:"gte=0"`
	// LeaveWithin is the time within which a leaving backend server must stop
	// getting new requests.
	LeaveWithin time.Duration `validate:"gt=0"`
	// SettledAfter is the time after an outage of the store from which on that holds for
	// backend servers whose entries are removed. Entries that expired in the outage have been
	// written again by then.
	SettledAfter time.Duration `validate:"gt=0"`
	// RevokeWithin is the time within which a key that was removed from the
	// configuration must no longer be accepted.
	RevokeWithin time.Duration `validate:"gt=0"`
	// StrictRevoke is set if a process that could not confirm its configuration for
	// RevokeWithin must accept no key. Otherwise it goes on with the keys that it knows.
	StrictRevoke bool
}

// The policies of admission.
const (
	// PolicyArrival rejects arrivals whose predicted wait is too long.
	PolicyArrival = "Arrival"
	// PolicyCostToCallers delays and rejects first what costs callers least.
	PolicyCostToCallers = "CostToCallers"
)

// Admission selects what is delayed and rejected if there is too little capacity.
type Admission struct {
	// Policy is Arrival or CostToCallers.
	Policy string `validate:"oneof=Arrival CostToCallers"`
}

// Duties are calls to the platform that one process at a time makes for all.
type Duties struct {
	// Address is where the platform takes these calls. Without it there are none.
	Address netip.AddrPort
	// Perform lists the duties: UsageReports and ScalingOrders. Others are ignored.
	Perform []string
	// PerSecond is how many calls the platform takes per second from all processes.
	PerSecond float64 `validate:"gt=0"`
	// Lease is the time after a call within which no two other holders may follow each
	// other.
	Lease time.Duration `validate:"gt=0"`
	// Window is the length of the windows of usage reports, ReportWithin the time after
	// the end of a window within which its report is due.
	Window       time.Duration `validate:"gt=0"`
	ReportWithin time.Duration `validate:"gt=0"`
}

// DefaultEntry returns the settings with the defaults of absent keys.
func DefaultEntry() Entry {
	return Entry{
		Store:     EntryStore{Timeout: time.Second, WatchFor: 2 * time.Second, WritesPerSecond: 200},
		Machine:   Machine{MemoryMB: 256, Descriptors: 4096, Cores: 1},
		Bounds:    Bounds{StopGrace: 8 * time.Second, RetryShare: 0.1, RetryWindow: 10 * time.Second, RetrySlack: 10, LeaveWithin: 2 * time.Second, SettledAfter: 3 * time.Second, RevokeWithin: 5 * time.Second},
		Admission: Admission{Policy: PolicyArrival},
		Duties:    Duties{PerSecond: 10, Lease: 3 * time.Second, Window: 5 * time.Second, ReportWithin: 10 * time.Second},
		Log:       Log{Level: "Info"},
	}
}

// entrySections are the titles of the sections, for the nearest one to an unknown
// title.
var entrySections = []string{"Node", "Addresses", "Store", "Machine", "Bounds", "Admission", "Duties", "Log"}

// ParseEntry parses the settings file of an entry process. The name is used in
// the error, a *keys.Error.
func ParseEntry(name string, data []byte) (Entry, error) {
	var faults keys.Faults
	s := DefaultEntry()
	targets := map[string]any{
		"Node": &s.Node, "Addresses": &s.Addresses, "Store": &s.Store, "Machine": &s.Machine, "Bounds": &s.Bounds, "Admission": &s.Admission, "Duties": &s.Duties, "Log": &s.Log,
	}
	present := decode(name, data, targets, entrySections, &faults)
	requireSections(name, present, []string{"Node", "Addresses", "Store"}, &faults)
	requireAddresses(name, present, []requiredAddress{
		{"Addresses", "Callers", s.Addresses.Callers},
		{"Addresses", "Readiness", s.Addresses.Readiness},
		{"Addresses", "Peers", s.Addresses.Peers},
		{"Addresses", "Metrics", s.Addresses.Metrics},
		{"Store", "Address", s.Store.Address},
	}, &faults)
	return s, faults.Err()
}
