// Package mesh carries the news between processes in datagrams.
//
// News is only of use while it is fresh: it is sent again within a moment, so
// that a datagram that is lost does not matter, and there is no connection that
// could go silent. What must arrive goes over package link instead.
//
// # Usage
//
//	m := &mesh.Mesh{Conn: conn, Others: known.Others, Tell: tell, Take: take, Meters: set, Log: log}
//	go m.Send(ctx)
//	go m.Receive(ctx)
package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Names of the metrics.
const (
	BytesIn  = "NewsBytesIn"
	BytesOut = "NewsBytesOut"
)

const (
	// quietEvery is how often a message is sent that tells nothing new.
	quietEvery = 200 * time.Millisecond
	// maxMessage is the largest datagram.
	maxMessage = 8 << 10
)

// Mesh sends and receives news. The fields are set before use.
type Mesh struct {
	Conn   *net.UDPConn
	Others func() []peers.Member
	// Tell returns this process's news, and whether there is anything new.
	Tell   func() (*wire.News, bool)
	Take   func(*wire.News)
	Meters *meter.Set
	Log    *zap.Logger
}

// Listen opens the socket for news.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for news on %s: %w", address, err)
	}
	return conn, nil
}

// Send sends news until ctx ends.
func (m *Mesh) Send(ctx context.Context) error {
	var sent time.Time
	var buffer []byte
	for {
		others := m.Others()
		if !timer.Wait(ctx, peers.HeartbeatInterval(len(others))) {
			return ctx.Err()
		}
		news, fresh := m.Tell()
		now := time.Now()
		if !fresh && now.Sub(sent) < quietEvery {
			continue
		}
		sent = now
		var err error
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer[:0], news); err != nil {
			m.Log.Error("news cannot be encoded", zap.Error(err))
			continue
		}
		for _, o := range others {
			m.send(buffer, o)
		}
	}
}

// Post sends a message to one other process.
func (m *Mesh) Post(news *wire.News, to peers.Member) {
	message, err := proto.Marshal(news)
	if err != nil {
		m.Log.Error("message cannot be encoded", zap.Error(err))
		return
	}
	m.send(message, to)
}

func (m *Mesh) send(message []byte, to peers.Member) {
	n, err := m.Conn.WriteToUDPAddrPort(message, to.Address)
	m.Meters.Add(BytesOut, int64(n))
	if err != nil {
		m.Meters.Add("NewsNotSent", 1)
		m.Log.Debug("news was not sent", zap.String("To", to.Name), zap.Error(err))
	}
}

// Receive takes in news until ctx ends.
func (m *Mesh) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxMessage)
	for ctx.Err() == nil {
		n, from, err := m.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// A datagram that could not be delivered is reported here, too.
			m.Log.Debug("news was not received", zap.Error(err))
			continue
		}
		m.Meters.Add(BytesIn, int64(n))
		news := &wire.News{}
		if err := proto.Unmarshal(buffer[:n], news); err != nil {
			m.Log.Info("news cannot be read", zap.Stringer("From", from), zap.Error(err))
			continue
		}
		m.Take(news)
	}
	return ctx.Err()
}
