package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Member is a process as described by its entry in the store.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          netip.AddrPort
	// Incarnation grows with each start.
	Incarnation uint64
	// Cores is the number of processor cores of the VM, which may be a
	// fraction; 0 if not known.
	Cores float64
	// Doubted is set by another process if this one seems to have ended. One that runs
	// writes its entry again.
	Doubted bool `json:",omitempty"`
}

// ErrInvalidEntry means that an entry does not describe a process.
var ErrInvalidEntry = errors.New("entry describes no process")

// Parse decodes a process's entry in the store. Its errors wrap ErrInvalidEntry.
func Parse(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrInvalidEntry, err)
	}
	switch ip := m.Address.Addr(); {
	case m.Name == "" || !m.Address.IsValid():
		return Member{}, fmt.Errorf("%w: name or address is missing", ErrInvalidEntry)
	case max(len(m.Name), len(m.AvailabilityZone)) > maxName:
		return Member{}, fmt.Errorf("%w: name or availability zone is too long", ErrInvalidEntry)
	case ip.IsUnspecified() || ip.IsMulticast() || m.Address.Port() == 0:
		return Member{}, fmt.Errorf("%w: nothing can be sent to its address", ErrInvalidEntry)
	case m.Cores < 0 || m.Cores > maxCores:
		return Member{}, fmt.Errorf("%w: cores out of range", ErrInvalidEntry)
	}
	return m, nil
}

// maxName bounds the names in an entry, in bytes, maxCores the cores of a VM.
const (
	maxName  = 256
	maxCores = 1 << 16
)
