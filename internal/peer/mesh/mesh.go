// Package mesh exchanges status messages between the entry processes as UDP
// datagrams.
//
// A status message has the state of one process and is sent to every peer at
// short intervals. A lost datagram does not matter, since the next one has newer
// state, and there is no connection that could hang. SendTo sends a message to a
// single peer in the same way, without delivery guarantee. Package link is for
// messages that must arrive.
//
// # Usage
//
//	conn, err := mesh.Listen(address)
//	m := &mesh.Mesh{Conn: conn, Peers: table.Peers, Compose: compose, Handle: handle, Meters: set, Log: log}
//	go m.Send(ctx)
//	go m.Receive(ctx)
package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Names of the metrics that count the bytes received and sent.
const (
	BytesIn  = "NewsBytesIn"
	BytesOut = "NewsBytesOut"
)

const (
	// keepaliveInterval is the time after which a message is sent although the
	// state has not changed.
	keepaliveInterval = 200 * time.Millisecond
	// burst is the number of datagrams that are sent without a pause. A VM with a small share
	// of a core is busy for tens of milliseconds while it sends to a hundred peers, and
	// serves no request meanwhile.
	burst = peers.MaxFresh
	// spreadShare is the share of the interval over which the bursts of a status message are
	// spread. The status is composed once, so that the last peers get it older by that.
	spreadShare = 0.25
	// maxDatagram is the size of the receive buffer, in bytes. Longer datagrams
	// are truncated on receipt.
	maxDatagram = 8 << 10
)

// Mesh sends and receives status messages. All fields must be set before use.
// SendTo is safe for concurrent use with Send and Receive.
type Mesh struct {
	Conn *net.UDPConn
	// Peers returns the processes to send to, without this one.
	Peers func() []peers.Member
	// Compose returns the status message to send next and whether the state has
	// changed since the last one.
	Compose func() (*wire.News, bool)
	// Handle is called with each received message, from one goroutine. The message is valid
	// until it returns; what the message refers to stays.
	Handle func(*wire.News)
	Meters *meter.Set
	Log    *zap.Logger
}

// Listen opens the UDP socket for status messages.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for status messages on %s: %w", address, err)
	}
	return conn, nil
}

// Send sends status messages to all peers until ctx ends, and returns its error.
// The interval grows with the number of peers, see peers.HeartbeatInterval. An
// unchanged status is sent again only after keepaliveInterval.
func (m *Mesh) Send(ctx context.Context) error {
	var lastSent time.Time
	var buffer []byte
	spread := time.Duration(0)
	for {
		members := m.Peers()
		interval := peers.HeartbeatInterval(len(members))
		if !timer.Wait(ctx, interval-spread) {
			return ctx.Err()
		}
		spread = 0
		status, changed := m.Compose()
		now := time.Now()
		if !changed && now.Sub(lastSent) < keepaliveInterval {
			continue
		}
		lastSent = now
		var err error
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer[:0], status); err != nil {
			m.Log.Error("status message cannot be encoded", zap.Error(err))
			continue
		}
		if len(members) > burst {
			spread = time.Duration(spreadShare * float64(interval))
		}
		sendAll(ctx, members, spread, func(peer peers.Member) { m.send(buffer, peer) })
	}
}

// sendAll calls send for all peers, in bursts that are spread over a time, until ctx ends.
func sendAll(ctx context.Context, members []peers.Member, spread time.Duration, send func(peers.Member)) {
	pause := spread / time.Duration(max((len(members)+burst-1)/burst, 1))
	for chunk := range slices.Chunk(members, burst) {
		for _, peer := range chunk {
			send(peer)
		}
		if pause > 0 && !timer.Wait(ctx, pause) {
			return
		}
	}
}

// SendTo sends a message to one peer. Errors are logged and counted.
func (m *Mesh) SendTo(message *wire.News, to peers.Member) {
	data, err := proto.Marshal(message)
	if err != nil {
		m.Log.Error("message cannot be encoded", zap.Error(err))
		return
	}
	m.send(data, to)
}

func (m *Mesh) send(data []byte, to peers.Member) {
	n, err := m.Conn.WriteToUDPAddrPort(data, to.Address)
	m.Meters.Add(BytesOut, int64(n))
	if err != nil {
		m.Meters.Add("NewsNotSent", 1)
		m.Log.Debug("datagram was not sent", zap.String("To", to.Name), zap.Error(err))
	}
}

// Receive passes received messages to Handle until ctx ends, which closes Conn.
// Messages that cannot be decoded are logged and dropped.
func (m *Mesh) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.Conn.Close() })
	defer stop()
	buffer, message := make([]byte, maxDatagram), &wire.News{}
	for ctx.Err() == nil {
		n, from, err := m.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// The error may be of an earlier datagram that could not be delivered.
			m.Log.Debug("receiving a datagram failed", zap.Error(err))
			continue
		}
		m.Meters.Add(BytesIn, int64(n))
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			m.Log.Info("message cannot be decoded", zap.Stringer("From", from), zap.Error(err))
			continue
		}
		m.Handle(message)
	}
	return ctx.Err()
}
