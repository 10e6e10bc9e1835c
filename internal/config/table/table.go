// Package table is the routing table of a configuration: which requests go to
// which service, how often and for how long.
//
// # Usage
//
//	parsed, err := table.Parse(data)
//	route, found := parsed.Match("app.example", "/jobs/17")
//	service := route.Service(random)
//
// A Table does not change once it was parsed; processes swap a pointer to it.
// A route is found by its host and the longest prefix that begins the path.
package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "Idempotent"
	// AtMostOnce requests may run once for each request of a caller.
	AtMostOnce Kind = "AtMostOnce"
	// Stream requests are answered with events. They run at most once unless
	// their route is resumable.
	Stream Kind = "Stream"
)

// Target is one service that a route goes to, with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route is one rule of the table.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time to the answer, or to its first event, that is wanted;
	// Gap is the longest pause between events that is wanted.
	Aim, Gap time.Duration
	// Attempts is how many backend servers one request may be sent to.
	Attempts int
	// Priority is the route's rank; 0 goes first.
	Priority int
	// Prompted is set if requests carry a prompt for a model.
	Prompted bool
	// Resumable is set if a stream may go on at another backend server.
	Resumable bool
	Targets   []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request with the random number. Requests
// are split by the targets' weights.
func (r *Route) Service(random uint64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := float64(random>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service. Sizes are in tokens and
// bytes.
type Engine struct {
	Slots       int
	CacheTokens int64
	TokenBytes  int64
	// HandleTTL is how long a prefilled prompt is kept for its decode engine.
	HandleTTL time.Duration
	// RoleChangeTime is how long an engine is away for a change of role.
	RoleChangeTime time.Duration
}

// Service is a group of backend servers that serve the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one backend server accepts from
	// all processes together; 0 means any number.
	MaxConnections int
	// Engine is set if the backend servers are model engines.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is a configuration. It is read only.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	routes map[string]*Route
}

// Match returns the route for a request, or false. The path begins with a
// slash and has no query.
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

// ErrInvalid is the error of a table that cannot be used.
var ErrInvalid = errors.New("routing table is not valid")

// document is the table's form in JSON. Durations are in milliseconds where
// the name says so.
type document struct {
	Version  uint64
	Routes   []documentRoute
	Services []documentService
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
}

// Parse reads a table. The errors are ErrInvalid.
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
	for _, s := range d.Services {
		t.Services[s.Name] = s.service()
	}
	for i, r := range d.Routes {
		route, err := r.route()
		if err != nil {
			return nil, err
		}
		t.Routes[i] = route
		t.routes[strings.ToLower(route.Host)+route.Prefix] = &t.Routes[i]
	}
	return t, nil
}

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

func (r documentRoute) route() (Route, error) {
	invalid := func(what string) (Route, error) {
		return Route{}, fmt.Errorf("%w: route %q: %s", ErrInvalid, r.Name, what)
	}
	route := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind,
		Timeout: milliseconds(r.TimeoutMs), Aim: milliseconds(r.AimMs), Gap: milliseconds(r.GapMs),
		Attempts: max(int(r.Attempts), 1), Priority: int(r.Priority),
		Prompted: r.Prompted, Resumable: r.Resumable, Targets: r.Split,
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
			return invalid("a weight is negative")
		}
		total += target.Weight
	}
	if total <= 0 {
		return invalid("it goes to no service")
	}
	return route, nil
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
