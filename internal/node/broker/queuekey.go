package broker

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// queueKey identifies the queue for one kind of backend server and one kind of
// work. Kinds of work are separate because their permits are held for different
// times.
type queueKey struct {
	service string
	role    roster.Role
	work    usage.Work
}

// prefills reports whether the queue is for prefills. Their unit is prompt tokens,
// as prompts differ in length; that of other work is requests.
func (k queueKey) prefills() bool { return k.role == roster.Prefill || k.work == usage.LocalPrefill }

// hash identifies the queue in messages between processes.
func (k queueKey) hash() uint64 {
	var buffer [queueKeyBytes]byte
	text := append(append(append(append(buffer[:0], k.service...), '/'), k.role...), '/')
	return xxhash.Sum64(strconv.AppendInt(text, int64(k.work), 10))
}

// queueKeyBytes is enough for most names of services; longer ones are allocated.
const queueKeyBytes = 96

// QueueHash returns the hash that identifies the queue for a kind of work at the backend
// servers of a service with a role, in Queues and in messages between processes.
func QueueHash(service string, role roster.Role, work usage.Work) uint64 {
	return queueKey{service, role, work}.hash()
}
