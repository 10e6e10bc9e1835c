// Package spec defines a deployment: the models to serve, the backend servers
// that serve them, the plain services beside them, and the client accounts
// that call them.
//
// A deployment is written as a directory of INI files that are read as a
// whole. The name of a section is its kind and its own name:
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
// A parsed Deployment is immutable: processes share it by pointer.
package spec

import (
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// Role says which phase of a request an engine works on.
type Role int

// The roles of an engine.
const (
	Mixed Role = iota
	Prefill
	Decode
)

var roleNames = [...]string{"Mixed", "Prefill", "Decode"}

// String returns the role's name as the files spell it. A role may be one that
// only a newer release knows.
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

// Serves reports whether an engine in this role runs the prefill phase.
func (r Role) Serves() bool { return r != Decode }

// Decodes reports whether an engine in this role runs the decode phase.
func (r Role) Decodes() bool { return r != Prefill }

// Deployment is everything that one set of files declares.
type Deployment struct {
	Name string `ini:"-"`
	// GoodputWeight and RoleChangeWeight tell the planner what a request
	// within its deadline is worth against one role change.
	GoodputWeight    float64 `validate:"gte=0"`
	RoleChangeWeight float64 `validate:"gte=0"`
	// FirstToken and TokenGap are the targets for 95 in 100 answers.
	FirstToken time.Duration `validate:"gt=0"`
	TokenGap   time.Duration `validate:"gt=0"`
	// Deadline holds for requests that carry none.
	Deadline time.Duration `validate:"gt=0"`
	// KeyRetention is how long the outcome of a keyed call is kept.
	KeyRetention time.Duration `validate:"gt=0"`
	// KeyedWithoutPlatform says what happens to keyed calls during an outage
	// of the platform: Refuse or SendOnce.
	KeyedWithoutPlatform string `validate:"oneof=Refuse SendOnce"`
	// Roles says who decides on engines' roles: Declared keeps them as the files
	// say, Planned lets the planner change them as the mix shifts.
	Roles string `validate:"oneof=Declared Planned"`
	// RetryShare bounds retries as a share of first tries.
	RetryShare float64 `validate:"gte=0,lte=1"`

	Models   []Model         `ini:"-" validate:"-"`
	Servers  []BackendServer `ini:"-" validate:"-"`
	Services []Service       `ini:"-" validate:"-"`
	Accounts []Account       `ini:"-" validate:"-"`

	serverIndex map[string]int
}

// Model is a model with the adapters and the version to serve.
type Model struct {
	Name     string `ini:"-"`
	Version  int64  `validate:"gt=0"`
	Adapters []string
	// MaxTokens bounds the prompt and output tokens of one request together.
	MaxTokens int64 `validate:"gt=0"`
	// KvBytes is the size of the KV cache of one token, in bytes.
	KvBytes int64 `validate:"gt=0"`
}

// BackendServer is one process that serves requests: a model engine if Models
// is set, a server of a plain service if Service is set.
type BackendServer struct {
	Name             string `ini:"-"`
	Address          netip.AddrPort
	AvailabilityZone string `validate:"required"`
	// VM names the VM the backend server runs on; its own name if empty.
	VM      string
	Service string
	Models  []string
	Role    Role
	// ChecksFence says whether the engine refuses an old fencing number.
	ChecksFence bool
	// Slots is how many streams the engine batches at once.
	Slots int64 `validate:"gt=0"`
	// PrefillRate and DecodeRate are first guesses, in tokens per second,
	// that hold until rates have been learned from answers.
	PrefillRate float64 `validate:"gt=0"`
	DecodeRate  float64 `validate:"gt=0"`
}

// Engine reports whether the backend server is a model engine.
func (b BackendServer) Engine() bool { return len(b.Models) > 0 }

// Service is a plain service reached by a path prefix.
type Service struct {
	Name   string        `ini:"-"`
	Prefix string        `validate:"startswith=/"`
	Limit  time.Duration `validate:"gt=0"`
	// Idempotent lists the calls that may be repeated, each as a method and a
	// path pattern in which a last * stands for any rest.
	Idempotent []string
}

// Repeatable reports whether a call may be sent more than once.
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

// Account is a client account and its share of a contended fleet.
type Account struct {
	Name  string  `ini:"-"`
	Share float64 `validate:"gt=0"`
}

// Server returns the backend server with the name, or false.
func (d *Deployment) Server(name string) (BackendServer, bool) {
	i, ok := d.serverIndex[name]
	if !ok {
		return BackendServer{}, false
	}
	return d.Servers[i], true
}

// Index returns the place of a backend server in Servers, or false.
func (d *Deployment) Index(name string) (int, bool) {
	i, ok := d.serverIndex[name]
	return i, ok
}

// Model returns the model with the name, or false.
func (d *Deployment) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// ServiceFor returns the service with the longest prefix of path, or false.
func (d *Deployment) ServiceFor(path string) (Service, bool) {
	var best Service
	for _, s := range d.Services {
		if strings.HasPrefix(path, s.Prefix) && len(s.Prefix) > len(best.Prefix) {
			best = s
		}
	}
	return best, best.Prefix != ""
}

// Share returns the share of an account; accounts that are not declared have 1.
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

// Parse reads the files as a whole. Either every file is right, or the error
// is a *keys.Error with every fault.
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
