package scene

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Settings are the settings of the stand-ins of an experiment, read from an INI
// file:
//
//	[Stand]
//	Deployment = examples/malabar
//	Platform = 127.0.20.250:7000
//
//	[EntryVM entry-1]
//	Address = 127.0.20.200
//	AvailabilityZone = ernakulam
type Settings struct {
	Stand   Stand
	Entries []store.VM
}

// Stand is the section Stand.
type Stand struct {
	// Deployment is the directory of the deployment whose backend servers are
	// simulated.
	Deployment string `validate:"required"`
	// Platform is the address of the platform.
	Platform netip.AddrPort
	// Writes and Reads are the platform's rate limits in calls per second.
	Writes float64 `validate:"gte=0"`
	Reads  float64 `validate:"gte=0"`
	// ListLag is the age of the list of VMs that the platform returns.
	ListLag time.Duration `validate:"gte=0"`
	// ReportLag is the age of the engines' status reports.
	ReportLag time.Duration `validate:"gte=0"`
	// Vendor is the vendor of every engine. If empty, each engine's vendor
	// follows from its declared speed.
	Vendor string `validate:"omitempty,oneof=Kestrel Heron Osprey Instant"`
	Seed   int64
}

// entryVM is a section EntryVM: a VM of the system in the platform's list of VMs.
type entryVM struct {
	Address          netip.Addr
	AvailabilityZone string `validate:"required"`
}

var standSections = []string{"Stand", "EntryVM NAME"}

// ParseSettings parses the settings in data. Name is the file name that errors
// show. The error is a *keys.Error.
func ParseSettings(name string, data []byte) (Settings, error) {
	var faults keys.Faults
	s := Settings{Stand: Stand{Writes: 300, Reads: 2000, ListLag: time.Second, ReportLag: 200 * time.Millisecond}}
	for _, section := range keys.Load(name, data, &faults).Sections {
		switch section.Kind {
		case "Stand":
			section.Decode(&s.Stand, &faults)
		case "EntryVM":
			var vm entryVM
			section.Decode(&vm, &faults)
			s.Entries = append(s.Entries, store.VM{Name: section.Name, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone, Entry: true})
		default:
			faults.Add(keys.Fault{File: name, Section: section.Title(), Want: "this section is not known; the nearest known section is " + keys.Nearest(section.Title(), standSections)})
		}
	}
	if !s.Stand.Platform.IsValid() {
		faults.Add(keys.Fault{File: name, Section: "Stand", Key: "Platform", Want: "must be an IP number and a port"})
	}
	return s, faults.Err()
}
