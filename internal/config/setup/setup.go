// Package setup reads the settings of one process.
//
// The settings are an INI file:
//
//	[Node]
//	Name = entry-1
//	AvailabilityZone = calicut
//	Deployment = malabar
//
//	[Addresses]
//	Callers = 127.0.0.1:8080
//	Operators = 127.0.0.1:8081
//	Peers = 127.0.0.1:8082
//
//	[Platform]
//	Address = 127.0.0.1:7000
//
// # Usage
//
//	settings, err := setup.Parse("node.ini", data)
//
// The error is a *keys.Error that lists every fault. Keys that are left out
// have the values of Default.
package setup

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Settings are the settings of one process.
type Settings struct {
	Node      Node
	Addresses Addresses
	Platform  Platform
	Limits    Limits
	Log       Log
	// Experiment is for experiments only.
	Experiment Experiment
}

// Experiment has switches that no deployment in use needs.
type Experiment struct {
	// Cuts lets PUT /experiment/cuts on the operators' address make addresses
	// unreachable for this process.
	Cuts bool
}

// Node says who the process is.
type Node struct {
	// Name is the name of the entry VM, unique in the deployment.
	Name string `validate:"required"`
	// AvailabilityZone is where the entry VM is.
	AvailabilityZone string `validate:"required"`
	// Deployment is the deployment to serve.
	Deployment string `validate:"required"`
	// Seeds are addresses of peers to start from, besides the list of VMs.
	Seeds []netip.AddrPort
}

// Addresses are where the process listens.
type Addresses struct {
	// Callers is the address for callers' requests.
	Callers netip.AddrPort
	// Operators is the address for health, readiness and metrics.
	Operators netip.AddrPort
	// Peers is the address for the other processes of the system. Its port is
	// that of every process.
	Peers netip.AddrPort
}

// Platform says where the platform is.
type Platform struct {
	// Address is that of the object API and of the list of VMs.
	Address netip.AddrPort
	// Timeout bounds a call of the platform, waiting not counted.
	Timeout time.Duration `validate:"gt=0"`
	// WatchFor is how long one watch waits.
	WatchFor time.Duration `validate:"gt=0"`
	// ListEvery is the time between two reads of the list of VMs.
	ListEvery time.Duration `validate:"gt=0"`
}

// Limits bound what one caller can use.
type Limits struct {
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64 `validate:"gte=1024"`
	// MaxHeader is the largest header of a request, in bytes.
	MaxHeader int64 `validate:"gte=1024"`
	// MaxRequests is how many requests the process carries at once.
	MaxRequests int64 `validate:"gt=0"`
	// HeaderTimeout is how long a caller may take to send a request.
	HeaderTimeout time.Duration `validate:"gt=0"`
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration `validate:"gt=0"`
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration `validate:"gt=0"`
	// StallTimeout is how long an engine may be silent within an answer.
	StallTimeout time.Duration `validate:"gt=0"`
	// StopWait is how long a planned stop waits for the balancer to notice.
	StopWait time.Duration `validate:"gte=0"`
}

// Log says what is logged.
type Log struct {
	// Level is Debug, Info, Warn or Error.
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// Default returns the settings that hold for keys that are left out.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 12 * time.Second, WatchFor: 30 * time.Second, ListEvery: 5 * time.Second},
		Limits: Limits{
			MaxBody: 8 << 20, MaxHeader: 16 << 10, MaxRequests: 4096,
			HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
			MaxDeadline: 6 * time.Hour, StallTimeout: 10 * time.Second, StopWait: time.Second,
		},
		Log: Log{Level: "Info"},
	}
}

// Parse reads settings. The error is a *keys.Error.
func Parse(name string, data []byte) (Settings, error) {
	var faults keys.Faults
	settings := Default()
	seen := decode(name, data, settings.sections(), sectionNames, &faults)
	settings.check(name, seen, &faults)
	return settings, faults.Err()
}

// decode decodes each section into its target and returns which were given.
func decode(name string, data []byte, targets map[string]any, names []string, faults *keys.Faults) map[string]bool {
	seen := map[string]bool{}
	for _, section := range keys.Load(name, data, faults).Sections {
		target, ok := targets[section.Title()]
		if !ok {
			faults.Add(keys.Fault{File: name, Section: section.Title(), Want: "this section is not known; the nearest known section is " + keys.Nearest(section.Title(), names)})
			continue
		}
		seen[section.Title()] = true
		section.Decode(target, faults)
	}
	return seen
}

var sectionNames = []string{"Node", "Addresses", "Platform", "Limits", "Log", "Experiment"}

func (s *Settings) sections() map[string]any {
	return map[string]any{
		"Node": &s.Node, "Addresses": &s.Addresses, "Platform": &s.Platform, "Limits": &s.Limits, "Log": &s.Log,
		"Experiment": &s.Experiment,
	}
}

// check finds sections and addresses that are missing.
func (s *Settings) check(name string, seen map[string]bool, faults *keys.Faults) {
	requireSections(name, seen, []string{"Node", "Addresses", "Platform"}, faults)
	requireAddresses(name, seen, []requiredAddress{
		{"Addresses", "Callers", s.Addresses.Callers},
		{"Addresses", "Operators", s.Addresses.Operators},
		{"Addresses", "Peers", s.Addresses.Peers},
		{"Platform", "Address", s.Platform.Address},
	}, faults)
}

// requireSections finds sections that are missing.
func requireSections(name string, seen map[string]bool, sections []string, faults *keys.Faults) {
	for _, section := range sections {
		if !seen[section] {
			faults.Add(keys.Fault{File: name, Section: section, Want: "this section must be given"})
		}
	}
}

// requiredAddress is an address that must be given.
type requiredAddress struct {
	section, key string
	address      netip.AddrPort
}

// requireAddresses finds addresses that are missing in the sections that were given.
func requireAddresses(name string, seen map[string]bool, addresses []requiredAddress, faults *keys.Faults) {
	for _, a := range addresses {
		if seen[a.section] && !a.address.IsValid() {
			faults.Add(keys.Fault{File: name, Section: a.section, Key: a.key, Want: "must be an IP number and a port, such as 127.0.0.1:8080"})
		}
	}
}
