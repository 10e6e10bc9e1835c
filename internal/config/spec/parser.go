package spec

import (
	"errors"
	"sort"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/keys"
)

// errRole is the error of Role.UnmarshalText.
var errRole = errors.New("must be Mixed, Prefill or Decode")

// Defaults of absent keys. KvBytes is in bytes, rates are in tokens per second.
const (
	defaultFirstToken   = 540 * time.Millisecond
	defaultTokenGap     = 50 * time.Millisecond
	defaultDeadline     = 30 * time.Second
	defaultKeyRetention = 24 * time.Hour
	defaultRetryShare   = 0.1
	defaultLimit        = 10 * time.Second
	defaultMaxTokens    = 65536
	defaultKvBytes      = 131072
	defaultSlots        = 16
	defaultPrefillRate  = 8000
	defaultDecodeRate   = 600
)

// sectionKinds are the known kinds of sections.
var sectionKinds = []string{"Deployment", "Model", "BackendServer", "Service", "Account"}

// parser builds a Deployment from the sections of all files.
type parser struct {
	faults     *keys.Faults
	deployment Deployment
	// sections maps "KIND NAME" to the section, for duplicates and for faults
	// that finish finds.
	sections map[string]keys.Section
}

// addSection decodes a section into the deployment.
func (p *parser) addSection(s keys.Section) {
	if s.Name == "" {
		p.fault(s, "", "", "a section's title must be its kind and its name, such as [Model verdict-llm]")
		return
	}
	if strings.ContainsAny(s.Name, "/ \t") {
		p.fault(s, "", "", "a name must not contain spaces, tabs or slashes")
		return
	}
	title := s.Kind + " " + s.Name
	if first, ok := p.sections[title]; ok {
		p.fault(s, "", "", "this section is declared in "+first.File+" already")
		return
	}
	p.sections[title] = s
	switch s.Kind {
	case "Deployment":
		p.addDeployment(s)
	case "Model":
		m := newModel(s.Name)
		s.Decode(&m, p.faults)
		p.deployment.Models = append(p.deployment.Models, m)
	case "BackendServer":
		b := newServer(s.Name)
		s.Decode(&b, p.faults)
		p.deployment.Servers = append(p.deployment.Servers, b)
	case "Service":
		v := newService(s.Name)
		s.Decode(&v, p.faults)
		p.deployment.Services = append(p.deployment.Services, v)
	case "Account":
		a := newAccount(s.Name)
		s.Decode(&a, p.faults)
		p.deployment.Accounts = append(p.deployment.Accounts, a)
	default:
		p.fault(s, "", "", "this kind of section is not known; the nearest known kind is "+keys.Nearest(s.Kind, sectionKinds))
	}
}

// addDeployment decodes the [Deployment NAME] section.
func (p *parser) addDeployment(s keys.Section) {
	if p.deployment.Name != "" {
		p.fault(s, "", "", "a deployment directory must have only one [Deployment NAME] section; "+p.deployment.Name+" is declared already")
		return
	}
	p.deployment = withSections(newDeployment(s.Name), p.deployment)
	s.Decode(&p.deployment, p.faults)
}

// withSections returns d with the models, servers, services and accounts of
// parsed, whose sections came before the [Deployment NAME] section.
func withSections(d, parsed Deployment) Deployment {
	d.Models, d.Servers, d.Services, d.Accounts = parsed.Models, parsed.Servers, parsed.Services, parsed.Accounts
	return d
}

// Defaults returns a value of each kind of section with the defaults of absent
// keys.
func Defaults() []any {
	return []any{newDeployment(""), newModel(""), newServer(""), newService(""), newAccount("")}
}

func newDeployment(name string) Deployment {
	return Deployment{
		Name: name, GoodputWeight: 1, RoleChangeWeight: 1, FirstToken: defaultFirstToken, TokenGap: defaultTokenGap, Deadline: defaultDeadline,
		KeyRetention: defaultKeyRetention, KeyedWithoutPlatform: "Refuse", RetryShare: defaultRetryShare, Roles: "Declared",
	}
}

func newModel(name string) Model {
	return Model{Name: name, MaxTokens: defaultMaxTokens, KvBytes: defaultKvBytes}
}

func newServer(name string) BackendServer {
	return BackendServer{Name: name, VM: name, Slots: defaultSlots, PrefillRate: defaultPrefillRate, DecodeRate: defaultDecodeRate}
}

func newService(name string) Service { return Service{Name: name, Limit: defaultLimit} }

func newAccount(name string) Account { return Account{Name: name, Share: 1} }

// fault adds a fault of a section.
func (p *parser) fault(s keys.Section, key, value, want string) {
	p.faults.Add(keys.Fault{File: s.File, Section: s.Title(), Key: key, Value: value, Want: want})
}

// finish sorts the deployment's lists by name. It checks the references between
// sections, and that addresses and prefixes are unique.
func (p *parser) finish() {
	d := &p.deployment
	if d.Name == "" {
		p.faults.Add(keys.Fault{Want: "one file must have a section [Deployment NAME]"})
	}
	sort.Slice(d.Models, func(i, j int) bool { return d.Models[i].Name < d.Models[j].Name })
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].Name < d.Servers[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Accounts, func(i, j int) bool { return d.Accounts[i].Name < d.Accounts[j].Name })
	d.serverIndex = make(map[string]int, len(d.Servers))
	addresses := map[string]string{}
	for i, b := range d.Servers {
		d.serverIndex[b.Name] = i
		p.checkServer(b, addresses)
	}
	prefixes := map[string]string{}
	for _, v := range d.Services {
		p.checkService(v, prefixes)
	}
}

// checkServer checks a backend server. addresses maps the addresses seen so far to
// the names of their servers.
func (p *parser) checkServer(b BackendServer, addresses map[string]string) {
	s := p.sections["BackendServer "+b.Name]
	address := b.Address.String()
	if !b.Address.IsValid() {
		p.fault(s, "Address", "", "this key must be given, as an IP number and a port")
	} else if other, ok := addresses[address]; ok {
		p.fault(s, "Address", address, "this is "+other+"'s address already")
	}
	addresses[address] = b.Name
	if (b.Service == "") == (len(b.Models) == 0) {
		p.fault(s, "Models", strings.Join(b.Models, ", "), "exactly one of Models and Service must be given")
	}
	for _, name := range b.Models {
		if _, ok := p.deployment.Model(name); !ok {
			p.fault(s, "Models", name, "no file has a section [Model "+name+"]")
		}
	}
	if b.Service == "" {
		return
	}
	if _, ok := p.sections["Service "+b.Service]; !ok {
		p.fault(s, "Service", b.Service, "no file has a section [Service "+b.Service+"]")
	}
}

// checkService checks a service. prefixes maps the prefixes seen so far to the names
// of their services.
func (p *parser) checkService(v Service, prefixes map[string]string) {
	s := p.sections["Service "+v.Name]
	if other, ok := prefixes[v.Prefix]; ok {
		p.fault(s, "Prefix", v.Prefix, "this is "+other+"'s prefix already")
	}
	prefixes[v.Prefix] = v.Name
	if strings.HasPrefix(v.Prefix, "/v1/") || v.Prefix == "/" {
		p.fault(s, "Prefix", v.Prefix, "must not be / or begin with /v1/, the paths of the models")
	}
	for _, pattern := range v.Idempotent {
		method, path, ok := strings.Cut(pattern, " ")
		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, v.Prefix) {
			p.fault(s, "Idempotent", pattern, "must be a method and a path under the prefix, such as GET "+v.Prefix+"*")
		}
	}
}
