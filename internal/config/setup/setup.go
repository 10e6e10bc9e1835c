// Package setup parses the settings file of one process.
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
// The error is a *keys.Error that lists every fault. Keys that are absent have
// the values of Default. ParseEntry does the same for the settings of an entry
// process on a platform that stores the configuration and the list of backend
// servers itself.
package setup

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Settings has the settings of one process.
type Settings struct {
	Node      Node
	Addresses Addresses
	Platform  Platform
	Limits    Limits
	Log       Log
	// Experiment is for experiments only.
	Experiment Experiment
}

// Experiment has switches for experiments. Leave them off in production.
type Experiment struct {
	// Cuts enables PUT /experiment/cuts on the operators' address, which makes
	// addresses unreachable for this process as in a network partition.
	Cuts bool
}

// Node identifies the process.
type Node struct {
	// Name is the name of the entry VM, unique in the deployment.
	Name string `validate:"required"`
	// AvailabilityZone is the entry VM's availability zone.
	AvailabilityZone string `validate:"required"`
	// Deployment is the name of the deployment to serve.
	Deployment string `validate:"required"`
	// Seeds are addresses of peers to contact first, besides those in the list
	// of VMs.
	Seeds []netip.AddrPort
}

// Addresses are the addresses that the process listens on.
type Addresses struct {
	// Callers is the address for clients' requests.
	Callers netip.AddrPort
	// Operators is the address for health, readiness and metrics.
	Operators netip.AddrPort
	// Peers is the address for the other processes of the system. All processes
	// use the same port.
	Peers netip.AddrPort
}

// Platform is how to reach the platform.
type Platform struct {
	// Address is the address of the object API and of the list of VMs.
	Address netip.AddrPort
	// Timeout bounds a call of the platform, excluding the time that a watch
	// waits.
	Timeout time.Duration `validate:"gt=0"`
	// WatchFor is the long-poll timeout of one watch.
	WatchFor time.Duration `validate:"gt=0"`
	// ListEvery is the time between two reads of the list of VMs.
	ListEvery time.Duration `validate:"gt=0"`
}

// Limits bound the resources that clients can use.
type Limits struct {
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64 `validate:"gte=1024"`
	// MaxBodies bounds the bodies of all requests in progress together, in
	// bytes. A request beyond it is rejected with status 503. Their responses that
	// are not streamed have the same bound, beyond which an attempt fails.
	MaxBodies int64 `validate:"gte=1024"`
	// MaxHeader is the largest header of a request, in bytes.
	MaxHeader int64 `validate:"gte=1024"`
	// MaxRequests is the number of requests that the process handles at once.
	MaxRequests int64 `validate:"gt=0"`
	// HeaderTimeout is how long a client may take to send a request, body
	// included.
	HeaderTimeout time.Duration `validate:"gt=0"`
	// IdleTimeout is how long a client's connection may be idle.
	IdleTimeout time.Duration `validate:"gt=0"`
	// MaxDeadline is the longest deadline that a client can set, from the
	// arrival of its request.
	MaxDeadline time.Duration `validate:"gt=0"`
	// StallTimeout is the longest pause of an engine within a response.
	StallTimeout time.Duration `validate:"gt=0"`
	// StopWait is how long a planned stop waits for the load balancer to notice
	// that the process is not ready.
	StopWait time.Duration `validate:"gte=0"`
}

// Log selects what is logged.
type Log struct {
	// Level is the lowest level that is logged: Debug, Info, Warn or Error.
	Level string `validate:"oneof=Debug Info Warn Error"`
}

// Default returns the settings with the defaults of absent keys.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 12 * time.Second, WatchFor: 30 * time.Second, ListEvery: 5 * time.Second},
		Limits: Limits{
			MaxBody: 8 << 20, MaxBodies: 256 << 20, MaxHeader: 16 << 10, MaxRequests: 4096,
			HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
			MaxDeadline: 6 * time.Hour, StallTimeout: 10 * time.Second, StopWait: time.Second,
		},
		Log: Log{Level: "Info"},
	}
}

// Parse parses a settings file. The name is used in the error, a *keys.Error.
func Parse(name string, data []byte) (Settings, error) {
	var faults keys.Faults
	settings := Default()
	present := decode(name, data, settings.sections(), sectionNames, &faults)
	settings.check(name, present, &faults)
	return settings, faults.Err()
}

// decode decodes each section into its target and returns the titles of the
// sections that are present. names lists the known titles.
func decode(name string, data []byte, targets map[string]any, names []string, faults *keys.Faults) map[string]bool {
	present := map[string]bool{}
	for _, section := range keys.Load(name, data, faults).Sections {
		target, ok := targets[section.Title()]
		if !ok {
			faults.Add(keys.Fault{File: name, Section: section.Title(), Want: "this section is not known; the nearest known section is " + keys.Nearest(section.Title(), names)})
			continue
		}
		present[section.Title()] = true
		section.Decode(target, faults)
	}
	return present
}

// sectionNames are the titles of the sections, for the nearest one to an unknown
// title.
var sectionNames = []string{"Node", "Addresses", "Platform", "Limits", "Log", "Experiment"}

// sections returns the structs to decode the sections into, by title.
func (s *Settings) sections() map[string]any {
	return map[string]any{
		"Node": &s.Node, "Addresses": &s.Addresses, "Platform": &s.Platform, "Limits": &s.Limits, "Log": &s.Log,
		"Experiment": &s.Experiment,
	}
}

// check adds a fault for each missing section or address.
func (s *Settings) check(name string, present map[string]bool, faults *keys.Faults) {
	requireSections(name, present, []string{"Node", "Addresses", "Platform"}, faults)
	requireAddresses(name, present, []requiredAddress{
		{"Addresses", "Callers", s.Addresses.Callers},
		{"Addresses", "Operators", s.Addresses.Operators},
		{"Addresses", "Peers", s.Addresses.Peers},
		{"Platform", "Address", s.Platform.Address},
	}, faults)
}

// requireSections adds a fault for each of the sections that is missing.
func requireSections(name string, present map[string]bool, sections []string, faults *keys.Faults) {
	for _, section := range sections {
		if !present[section] {
			faults.Add(keys.Fault{File: name, Section: section, Want: "this section must be given"})
		}
	}
}

// requiredAddress is the value of a key that must be an address.
type requiredAddress struct {
	section, key string
	address      netip.AddrPort
}

// requireAddresses adds a fault for each address that is missing in a section that
// is present.
func requireAddresses(name string, present map[string]bool, addresses []requiredAddress, faults *keys.Faults) {
	for _, a := range addresses {
		if present[a.section] && !a.address.IsValid() {
			faults.Add(keys.Fault{File: name, Section: a.section, Key: a.key, Want: "must be an IP number and a port, such as 127.0.0.1:8080"})
		}
	}
}
