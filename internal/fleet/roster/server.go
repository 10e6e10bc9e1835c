package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a backend server reports in its entry.
type State string

// The states.
const (
	// Ready means that it gets requests.
	Ready State = "Ready"
	// Leaving means that it gets no new requests as it is about to stop.
	Leaving State = "Leaving"
)

// Role is the phase of requests that an LLM engine executes. It is empty for
// backend servers of plain services.
type Role string

// The roles.
const (
	Prefill Role = "Prefill"
	Decode  Role = "Decode"
)

// Server is one incarnation of a backend server.
type Server struct {
	// ID identifies the backend server; Born, the time of its start, identifies
	// the incarnation and grows with each start.
	ID      string
	Born    int64
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is that of its software, which entries may leave out. What two versions
	// generate for one request does not fit together.
	Version string
	// Slots is how many requests it works on concurrently.
	Slots int
	State State
	Role  Role
	// Spot is set if the platform may reclaim the VM at any time.
	Spot bool
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// Revision is the store's revision at which the entry was written.
	Revision uint64
}

// Key returns the hash that identifies the incarnation.
func (s Server) Key() uint64 { return Key(s.ID, s.Born) }

// Key returns the hash that identifies an incarnation of a backend server.
func Key(id string, born int64) uint64 {
	var buffer [keyBytes]byte
	text := append(append(buffer[:0], id...), '/')
	return xxhash.Sum64(strconv.AppendInt(text, born, 10))
}

// keyBytes is enough for most IDs with the start; longer ones are allocated.
const keyBytes = 96

// ErrInvalidEntry means that an entry does not describe a backend server.
var ErrInvalidEntry = errors.New("entry describes no backend server")

// Parse decodes the entry of the backend server with the ID. Revision is not set.
// Its errors wrap ErrInvalidEntry: whatever wrote the entry, it does not describe
// a usable backend server and is to be skipped.
func Parse(id string, data []byte) (Server, error) {
	var d struct {
		Service, Address, AvailabilityZone string
		Version                            string
		State                              State
		Role                               Role
		Spot                               bool
		Slots                              float64
		ColdLeftMs                         float64
		Sequence                           float64
		Born                               *float64
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return Server{}, fmt.Errorf("%w: %w", ErrInvalidEntry, err)
	}
	address, err := parseAddress(d.Address)
	switch {
	case err != nil:
		return Server{}, fmt.Errorf("%w: address: %w", ErrInvalidEntry, err)
	case id == "" || d.Service == "":
		return Server{}, fmt.Errorf("%w: ID or service is missing", ErrInvalidEntry)
	case max(len(id), len(d.Service), len(d.AvailabilityZone), len(d.Version)) > maxName:
		return Server{}, fmt.Errorf("%w: ID, service, availability zone or version is too long", ErrInvalidEntry)
	case d.State != Ready && d.State != Leaving:
		return Server{}, fmt.Errorf("%w: unknown state %q", ErrInvalidEntry, d.State)
	case d.Role != "" && d.Role != Prefill && d.Role != Decode:
		return Server{}, fmt.Errorf("%w: unknown role %q", ErrInvalidEntry, d.Role)
	case !isInteger(d.Slots) || d.Slots < 1 || d.Slots > maxSlots || !isInteger(d.Sequence):
		return Server{}, fmt.Errorf("%w: slots must be a positive whole number of at most %d and sequence a non-negative one", ErrInvalidEntry, maxSlots)
	case d.Born == nil || !isInteger(*d.Born) || *d.Born > maxBorn:
		return Server{}, fmt.Errorf("%w: born, the time of its start, is missing or not a non-negative whole number of milliseconds before %d", ErrInvalidEntry, maxBorn)
	case d.ColdLeftMs > maxWarmup:
		return Server{}, fmt.Errorf("%w: its slow start takes over a day", ErrInvalidEntry)
	}
	return Server{
		ID: id, Born: int64(*d.Born), Service: d.Service, Address: address, Zone: d.AvailabilityZone, Version: d.Version,
		Slots: int(d.Slots), State: d.State, Role: d.Role, Spot: d.Spot, Sequence: uint64(d.Sequence),
		WarmupLeft: time.Duration(max(d.ColdLeftMs, 0) * float64(time.Millisecond)),
	}, nil
}

// Limits of the values of an entry. Others are not those of a backend server.
const (
	// maxName bounds names, in bytes.
	maxName  = 256
	maxSlots = 1 << 16
	// maxBorn is the latest start, in milliseconds since 1970: the beginning of 2200. An
	// entry that claims a later start would hide those of the backend server itself.
	maxBorn = 7_258_118_400_000
	// maxWarmup is a day, in milliseconds.
	maxWarmup = 24 * 3600 * 1000
)

// errUnusable means that nothing can be sent to an address.
var errUnusable = errors.New("no address of version 4 with a port that a request can be sent to")

// parseAddress decodes the address of a backend server.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip := address.Addr().Unmap()
	if !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast || address.Port() == 0 {
		return netip.AddrPort{}, errUnusable
	}
	return netip.AddrPortFrom(ip, address.Port()), nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// isInteger reports whether n is a non-negative integer below 2^53, the range in
// which a float64 has every integer exactly.
func isInteger(n float64) bool { return n >= 0 && n < 1<<53 && n == math.Trunc(n) }

// newer reports whether s, an entry of the same backend server, is as new as o or
// newer.
func (s Server) newer(o Server) bool {
	if s.Born != o.Born {
		return s.Born > o.Born
	}
	return s.Sequence >= o.Sequence
}
