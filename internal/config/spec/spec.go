// Package spec parses the files of a deployment: the models to serve, the
// backend servers that serve them, plain services (which have no model), and the
// client accounts that use them.
//
// A deployment is a directory of INI files that are parsed together. A section's
// title consists of its kind and its name:
//
//	[Deployment malabar]
//	GoodputWeight = 1
//	RoleChangeWeight = 0.2
//	FirstToken = 540ms
//
//	[Model verdict-llm]
//	Version = 3
//
//	[BackendServer verdict-01]
//	Address = 127.0.0.1:7101
//	AvailabilityZone = ernakulam
//	Models = verdict-llm
//	Role = Mixed
//
//	[Service bay-jobs]
//	Prefix = /jobs/
//	Idempotent = GET /jobs/records/*
//
//	[Account workshop-kochi]
//	Share = 2
//
// # Usage
//
//	deployment, err := spec.Parse(files)
//
// The error of Parse is a *keys.Error that lists every fault of every file.
// A parsed Deployment is immutable, and safe for concurrent use.
package spec

import (
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Role selects the phases of a request that an engine runs.
type Role int

// The roles of an engine. A Mixed engine runs both phases.
const (
	Mixed Role = iota
	Prefill
	Decode
)

var roleNames = [...]string{"Mixed", "Prefill", "Decode"}

// String returns the role's name as in the files. A role without a name in this
// release, which a process of a newer release may report, is "Role" and its
// number.
func (r Role) String() string {
	if r < 0 || int(r) >= len(roleNames) {
		return "Role" + strconv.Itoa(int(r))
	}
	return roleNames[r]
}

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(text []byte) error {
	for i, name := range roleNames {
		if name == string(text) {
			*r = Role(i)
			return nil
		}
	}
	return errRole
}

// Prefills reports whether an engine in this role runs the prefill phase.
func (r Role) Prefills() bool { return r != Decode }

// Decodes reports whether an engine in this role runs the decode phase.
func (r Role) Decodes() bool { return r != Prefill }

// Deployment is the parsed content of a deployment's files. Parse sorts its
// lists by name.
type Deployment struct {
	Name string `ini:"-"`
	// GoodputWeight and RoleChangeWeight are the planner's weights of a request
	// that meets its deadline and of a role change.
	GoodputWeight    float64 `validate:"gte=0"`
	RoleChangeWeight float64 `validate:"gte=0"`
	// FirstToken and TokenGap are the targets that 95 of 100 responses should
	// meet, for the time to the first token and the time between two tokens.
	FirstToken time.Duration `validate:"gt=0"`
	TokenGap   time.Duration `validate:"gt=0"`
	// Deadline is the deadline of requests that carry none.
	Deadline time.Duration `validate:"gt=0"`
	// KeyRetention is how long the outcome of a call with an idempotency key is
	// kept.
	KeyRetention time.Duration `validate:"gt=0"`
	// KeyedWithoutPlatform is the handling of calls with an idempotency key during
	// an outage of the platform: Refuse rejects them, SendOnce runs them without
	// protection against duplicates.
	KeyedWithoutPlatform string `validate:"oneof=Refuse SendOnce"`
	// Roles selects how engines' roles are set: Declared keeps those of the
	// files, Planned lets the planner change them as the demand changes.
	Roles string `validate:"oneof=Declared Planned"`
	// RetryShare bounds the number of retries, as a share of the number of first
	// attempts.
	RetryShare float64 `validate:"gte=0,lte=1"`

	Models   []Model         `ini:"-" validate:"-"`
	Servers  []BackendServer `ini:"-" validate:"-"`
	Services []Service       `ini:"-" validate:"-"`
	Accounts []Account       `ini:"-" validate:"-"`

	serverIndex map[string]int
}

// Model is a model with the version and the adapters to serve.
type Model struct {
	Name string `ini:"-"`
	// Version is the version of the model to load.
	Version int64 `validate:"gt=0"`
	// Adapters are the names of the adapters to load.
	Adapters []string
	// MaxTokens bounds the sum of the prompt and output tokens of one request.
	MaxTokens int64 `validate:"gt=0"`
	// KvBytes is the size of the KV cache of one token, in bytes.
	KvBytes int64 `validate:"gt=0"`
}

// BackendServer is one process that serves requests: a model engine if Models
// is set, a server of a plain service if Service is set. Exactly one of the two
// is set.
type BackendServer struct {
	Name string `ini:"-"`
	// Address is the backend server's IP address and port.
	Address netip.AddrPort
	// AvailabilityZone is the backend server's availability zone.
	AvailabilityZone string `validate:"required"`
	// VM is the name of the VM that the backend server runs on, by default the
	// backend server's own name.
	VM string
	// Service is the name of the plain service.
	Service string
	// Models are the names of the models that the engine serves.
	Models []string
	// Role is Mixed, Prefill or Decode: the phases that the engine runs.
	Role Role
	// ChecksFence is set if the engine rejects orders with a stale fencing token.
	ChecksFence bool
	// Slots is the number of streams that the engine batches at once.
	Slots int64 `validate:"gt=0"`
	// PrefillRate and DecodeRate are initial estimates, in tokens per second,
	// used until the rates have been estimated from responses.
	PrefillRate float64 `validate:"gt=0"`
	DecodeRate  float64 `validate:"gt=0"`
}

// Engine reports whether the backend server is a model engine.
func (b BackendServer) Engine() bool { return len(b.Models) > 0 }

// Service is a plain service, which gets the requests with a path prefix.
type Service struct {
	Name string `ini:"-"`
	// Prefix is the path prefix of the service's requests.
	Prefix string `validate:"startswith=/"`
	// Limit is the longest time that a call may take.
	Limit time.Duration `validate:"gt=0"`
	// Idempotent lists the calls that may be retried, each as a method and a path
	// pattern. A * at the end of a pattern matches any suffix.
	Idempotent []string
}

// Repeatable reports whether a call with the method and path may run more than
// once.
func (s Service) Repeatable(method, path string) bool {
	for _, pattern := range s.Idempotent {
		m, p, _ := strings.Cut(pattern, " ")
		if m != method {
			continue
		}
		if rest, ok := strings.CutSuffix(p, "*"); ok && strings.HasPrefix(path, rest) || p == path {
			return true
		}
	}
	return false
}

// Account is a client account.
type Account struct {
	Name string `ini:"-"`
	// Share is the account's weight when accounts compete for backend servers.
	Share float64 `validate:"gt=0"`
}

// Server returns the backend server with the name, or false if there is none.
func (d *Deployment) Server(name string) (BackendServer, bool) {
	i, ok := d.serverIndex[name]
	if !ok {
		return BackendServer{}, false
	}
	return d.Servers[i], true
}

// Index returns the index in Servers of the backend server with the name, or false
// if there is none.
func (d *Deployment) Index(name string) (int, bool) {
	i, ok := d.serverIndex[name]
	return i, ok
}

// Model returns the model with the name, or false if there is none.
func (d *Deployment) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// ServiceFor returns the service with the longest prefix of the path, or false if
// there is none.
func (d *Deployment) ServiceFor(path string) (Service, bool) {
	var best Service
	for _, s := range d.Services {
		if strings.HasPrefix(path, s.Prefix) && len(s.Prefix) > len(best.Prefix) {
			best = s
		}
	}
	return best, best.Prefix != ""
}

// Share returns the share of the account with the name, 1 if it is not declared.
func (d *Deployment) Share(account string) float64 {
	i := sort.Search(len(d.Accounts), func(i int) bool { return d.Accounts[i].Name >= account })
	if i < len(d.Accounts) && d.Accounts[i].Name == account {
		return d.Accounts[i].Share
	}
	return 1
}

// File is one file of a deployment directory.
type File struct {
	Name string
	Data []byte
}

// Parse parses all files of a deployment. If any has a fault, the error is a
// *keys.Error with every fault of every file.
func Parse(files []File) (*Deployment, error) {
	var faults keys.Faults
	p := parser{faults: &faults, sections: map[string]keys.Section{}}
	for _, file := range files {
		for _, section := range keys.Load(file.Name, file.Data, &faults).Sections {
			p.addSection(section)
		}
	}
	p.finish()
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &p.deployment, nil
}
