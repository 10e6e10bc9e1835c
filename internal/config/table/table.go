// Package table parses the routing table of a configuration. The table maps
// requests to services and sets the requests' timeouts, attempts and priorities. It
// also lists the client accounts whose requests may run.
//
// # Usage
//
//	parsed, err := table.Parse(data)
//	route, found := parsed.Match("app.example", "/jobs/17")
//	service := route.PickService(random)
//
// A request matches the route with its host and the longest prefix of its path.
// A Table is immutable once parsed; a process changes its configuration by
// replacing its pointer to the Table.
package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/route/auth"
)

// Kind determines whether the requests of a route may be retried after they may
// have run.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "Idempotent"
	// AtMostOnce requests run at most once for each request of a client.
	AtMostOnce Kind = "AtMostOnce"
	// Stream requests get a stream of events as response. They run at most once
	// unless their route is resumable.
	Stream Kind = "Stream"
)

// Target is one service of a route. The service gets the share Weight of the
// requests, relative to the sum of the route's weights.
type Target struct {
	Service string
	Weight  float64
}

// Route is one rule of the table: how the requests with a host and a path prefix
// are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout bounds the time from the request's arrival to the end of its
	// response.
	Timeout time.Duration
	// LatencyTarget is the target for the time from the request's arrival to its
	// response, or to the first event of a stream. TokenGapTarget is the target for
	// the longest time between two events.
	LatencyTarget, TokenGapTarget time.Duration
	// Attempts is the number of backend servers that a request may be sent to, at
	// least 1.
	Attempts int
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Prompted is set if requests have a prompt for a model.
	Prompted bool
	// Resumable is set if a stream may be resumed at another backend server.
	Resumable bool
	// Public is set if requests need no key of a client account.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the name of the service for a request. If random is uniform
// over all uint64, requests are split by the targets' weights.
func (r *Route) PickService(random uint64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := float64(random>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens.
	CacheTokens int64
	// TokenBytes is the size of one token's KV cache, in bytes.
	TokenBytes int64
	// HandleTTL is how long a prefill engine keeps a prompt's KV cache for the
	// decode engine.
	HandleTTL time.Duration
	// RoleChangeTime is how long an engine is unavailable while it changes its
	// role.
	RoleChangeTime time.Duration
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the backend servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one backend server
	// accepts from all processes together; 0 means no limit.
	MaxConnections int
	// TokenGapTarget is the smallest TokenGapTarget of the routes to the service;
	// 0 if none has one.
	TokenGapTarget time.Duration
	// Engine is set if the backend servers are model engines.
	Engine *Engine
	// Scaling is set if backend servers of the service may be ordered.
	Scaling *Scaling
}

// Limits bound what a client may send: sizes in bytes, the time until the header
// has arrived, and the time that a connection may be idle.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is the parsed routing table of one configuration version. It is
// immutable and safe for concurrent use.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. AccountFaults has what is wrong with the list;
	// nothing else of the table is affected by it.
	Accounts      auth.Accounts
	AccountFaults []auth.Fault
	// Faults are the other parts of the configuration that are not used because they are
	// invalid. The rest of the table is valid without them.
	Faults []Fault

	// routes maps host and prefix to the route.
	routes map[string]*Route
}

// Match returns the route for a request, or false if there is none. The path
// must begin with a slash and have no query. Hosts match regardless of case.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if route, ok := t.routes[host+path[:slash+1]]; ok {
			return route, true
		}
		end = slash
	}
	return nil, false
}

// ErrInvalid is the error of a table that can't be parsed or has an invalid route.
var ErrInvalid = errors.New("routing table is not valid")

// document is the JSON form of a table. A suffix Ms or Seconds is the unit of a
// duration. Numbers are floats because some writers encode them with a fraction,
// such as 1500.0.
type document struct {
	Version  uint64
	Routes   []documentRoute
	Services []documentService
	// Accounts is nil if the list is absent or null, so that no accounts are configured.
	Accounts *[]json.RawMessage
	Limits   struct {
		HeaderBytes, BodyBytes         float64
		HeaderTimeoutMs, IdleTimeoutMs float64
	}
}

type documentRoute struct {
	Name, Host, Prefix  string
	Kind                Kind
	TimeoutMs           float64
	AimMs, GapMs        float64
	Attempts, Priority  float64
	Prompted, Resumable bool
	Public              bool
	Service             string
	Split               []Target
}

type documentService struct {
	Name           string
	HealthPath     string
	MaxConnections float64
	Engine         *struct {
		Slots, CacheTokens, TokenBytes float64
		HandleSeconds, SwitchSeconds   float64
	}
	// Scaling is parsed by itself, so that a fault in it loses nothing else.
	Scaling json.RawMessage
}

// Parse parses the JSON form of a table. Errors wrap ErrInvalid.
func Parse(data []byte) (*Table, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if d.Version == 0 {
		return nil, fmt.Errorf("%w: Version is missing", ErrInvalid)
	}
	t := &Table{
		Version: d.Version, Routes: make([]Route, len(d.Routes)), Services: make(map[string]Service, len(d.Services)),
		Limits: Limits{
			HeaderBytes: int(d.Limits.HeaderBytes), BodyBytes: int(d.Limits.BodyBytes),
			HeaderTimeout: milliseconds(d.Limits.HeaderTimeoutMs), IdleTimeout: milliseconds(d.Limits.IdleTimeoutMs),
		},
		routes: make(map[string]*Route, len(d.Routes)),
	}
	if d.Accounts != nil {
		t.Accounts, t.AccountFaults = parseAccounts(*d.Accounts)
	}
	for _, s := range d.Services {
		service := s.service()
		scaling, faults := parseScaling(s.Name, s.Scaling)
		service.Scaling, t.Faults = scaling, append(t.Faults, faults...)
		t.Services[s.Name] = service
	}
	for i, r := range d.Routes {
		route, err := r.route()
		if err != nil {
			return nil, err
		}
		t.Routes[i] = route
		t.routes[strings.ToLower(route.Host)+route.Prefix] = &t.Routes[i]
		t.tightenGap(route)
	}
	return t, nil
}

// tightenGap lowers the TokenGapTarget of the route's services to that of the
// route.
func (t *Table) tightenGap(r Route) {
	if r.TokenGapTarget <= 0 {
		return
	}
	for _, target := range r.Targets {
		s, ok := t.Services[target.Service]
		if ok && (s.TokenGapTarget == 0 || r.TokenGapTarget < s.TokenGapTarget) {
			s.TokenGapTarget = r.TokenGapTarget
			t.Services[target.Service] = s
		}
	}
}

// service converts the JSON form of a service.
func (s documentService) service() Service {
	service := Service{Name: s.Name, HealthPath: s.HealthPath, MaxConnections: int(s.MaxConnections)}
	if e := s.Engine; e != nil {
		service.Engine = &Engine{
			Slots: int(e.Slots), CacheTokens: int64(e.CacheTokens), TokenBytes: int64(e.TokenBytes),
			HandleTTL: milliseconds(e.HandleSeconds * 1000), RoleChangeTime: milliseconds(e.SwitchSeconds * 1000),
		}
	}
	return service
}

// route converts and checks the JSON form of a route. Errors wrap ErrInvalid.
func (r documentRoute) route() (Route, error) {
	invalid := func(reason string) (Route, error) {
		return Route{}, fmt.Errorf("%w: route %q: %s", ErrInvalid, r.Name, reason)
	}
	route := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind,
		Timeout: milliseconds(r.TimeoutMs), LatencyTarget: milliseconds(r.AimMs), TokenGapTarget: milliseconds(r.GapMs),
		Attempts: max(int(r.Attempts), 1), Priority: int(r.Priority),
		Prompted: r.Prompted, Resumable: r.Resumable, Public: r.Public, Targets: r.Split,
	}
	if r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Stream {
		return invalid(fmt.Sprintf("kind %q is not known", r.Kind))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("the prefix must begin and end with a slash")
	}
	if len(route.Targets) == 0 && r.Service != "" {
		route.Targets = []Target{{Service: r.Service, Weight: 1}}
	}
	total := 0.0
	for _, target := range route.Targets {
		if target.Weight < 0 || math.IsNaN(target.Weight) {
			return invalid("a weight is negative or not a number")
		}
		total += target.Weight
	}
	if total <= 0 {
		return invalid("no service has a weight above 0")
	}
	return route, nil
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
