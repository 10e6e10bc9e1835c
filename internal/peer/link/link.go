// Package link is the RPC client and server between the processes of the system,
// over drpc.
//
// Client keeps a few idle connections to each process that it calls; Serve serves
// the calls. Both count the bytes sent and received, because control traffic has a
// limited budget per process.
//
// # Usage
//
//	client := &link.Client{Meters: set}
//	response, err := client.Exchange(ctx, address, gossip)
//
// and in the called process:
//
//	err := link.Serve(ctx, listener, handler, set)
//
// A connection carries one call at a time. A call opens a new connection if no
// idle one is left, so that a long transfer of configuration files doesn't delay
// short calls.
package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Names of the metrics that count the bytes received and sent.
const (
	BytesIn  = "PeerBytesIn"
	BytesOut = "PeerBytesOut"
)

// callTimeout bounds a call, including the dial.
const callTimeout = 2 * time.Second

const (
	// maxIdlePerPeer is the number of idle connections kept to a process, maxIdleCarrying
	// that to one that serves requests for this one.
	maxIdlePerPeer  = 2
	maxIdleCarrying = 16
	// writeTimeout bounds each write, as a process that is lost reads no more.
	writeTimeout = 20 * time.Second
)

// Client calls other processes. Meters must be set before use. A call fails if it
// takes longer than 2 s, also if its context has no deadline. A Client is safe for
// concurrent use.
type Client struct {
	Meters *meter.Set
	// Cut, if set, reports whether the network partition of an experiment makes
	// an address unreachable.
	Cut func(address netip.AddrPort) bool

	mu   sync.Mutex
	idle map[netip.AddrPort][]*drpcconn.Conn
}

// invoke makes one call on a connection that no other call uses meanwhile. The
// connection is kept if the call succeeds, else closed.
func invoke[S, Q, A any](ctx context.Context, c *Client, address netip.AddrPort, query Q, service func(drpc.Conn) S, method func(S, context.Context, Q) (A, error)) (A, error) {
	var none A
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, _, err := c.acquire(ctx, address)
	if err != nil {
		return none, fmt.Errorf("call %s: %w", address, err)
	}
	response, err := method(service(conn), ctx, query)
	if err != nil {
		conn.Close()
		return none, fmt.Errorf("call %s: %w", address, err)
	}
	c.release(address, conn, maxIdlePerPeer)
	return response, nil
}

// acquire returns an idle connection, or a new one if there is none. reused is set if it has
// served a call before.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort) (conn *drpcconn.Conn, reused bool, err error) {
	if c.Cut != nil && c.Cut(address) {
		return nil, false, fmt.Errorf("connection to %s is cut by an experiment", address)
	}
	c.mu.Lock()
	list := c.idle[address]
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		select {
		case <-conn.Closed():
			continue
		default:
		}
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, false, fmt.Errorf("dial: %w", err)
	}
	return drpcconn.New(&countingConn{Conn: raw, meters: c.Meters}), false, nil
}

// release keeps the connection for further calls, or closes it if enough are
// idle.
func (c *Client) release(address netip.AddrPort, conn *drpcconn.Conn, maxIdle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[netip.AddrPort][]*drpcconn.Conn{}
	}
	if len(c.idle[address]) >= maxIdle {
		conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// Close closes the idle connections. The Client can still be used.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, conn := range list {
			conn.Close()
		}
	}
	c.idle = nil
}

func newPeerClient(conn drpc.Conn) wire.DRPCPeerClient   { return wire.NewDRPCPeerClient(conn) }
func newEntryClient(conn drpc.Conn) wire.DRPCEntryClient { return wire.NewDRPCEntryClient(conn) }

// Table fetches the configuration of an entry process if it is newer than the
// version q.Newer.
func (c *Client) Table(ctx context.Context, address netip.AddrPort, q *wire.TableQuery) (*wire.TableAnswer, error) {
	return invoke(ctx, c, address, q, newEntryClient, wire.DRPCEntryClient.Table)
}

// Changes reads objects of the store, or their changes, from an entry process. It waits for
// changes as long as q says.
func (c *Client) Changes(ctx context.Context, address netip.AddrPort, q *wire.FeedQuery) (*wire.FeedAnswer, error) {
	return invoke(ctx, c, address, q, newEntryClient, wire.DRPCEntryClient.Changes)
}

// Carry opens a call that has a request served by another entry process. It lasts as long
// as ctx. done must be called; clean says that the call is complete, so that its connection
// is kept.
func (c *Client) Carry(ctx context.Context, address netip.AddrPort) (call wire.DRPCEntry_CarryClient, done func(clean bool), err error) {
	dialCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, reused, err := c.acquire(dialCtx, address)
	if err != nil {
		return nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	call, err = newEntryClient(conn).Carry(ctx)
	if err != nil {
		conn.Close()
		if reused && ctx.Err() == nil {
			// The connection may end with the context of the call before, which was just
			// finishing. Nothing runs at the other process before it has got the whole
			// request, and each turn takes an idle connection away.
			return c.Carry(ctx, address)
		}
		return nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	return call, func(clean bool) {
		if clean {
			c.release(address, conn, maxIdleCarrying)
			return
		}
		conn.Close()
	}, nil
}

// Exchange exchanges gossip with a process.
func (c *Client) Exchange(ctx context.Context, address netip.AddrPort, g *wire.Gossip) (*wire.Gossip, error) {
	return invoke(ctx, c, address, g, newPeerClient, wire.DRPCPeerClient.Exchange)
}

// Probe makes a process exchange gossip with another one, to find out whether
// that one can be reached.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort, q *wire.ProbeQuery) (*wire.ProbeAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Probe)
}

// Demand reads a process's counts of requests and tokens.
func (c *Client) Demand(ctx context.Context, address netip.AddrPort, q *wire.DemandQuery) (*wire.DemandAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Demand)
}

// Pieces fetches the manifest of a process's active configuration and those of
// its files that are not listed in q.Have.
func (c *Client) Pieces(ctx context.Context, address netip.AddrPort, q *wire.PieceQuery) (*wire.PieceAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Pieces)
}

// Status reads a process's status.
func (c *Client) Status(ctx context.Context, address netip.AddrPort, q *wire.StatusQuery) (*wire.StatusAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Status)
}

// Events reads a process's timeline of events.
func (c *Client) Events(ctx context.Context, address netip.AddrPort, q *wire.EventQuery) (*wire.EventAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Events)
}

// Drain marks a VM or a backend server as leaving or not leaving.
func (c *Client) Drain(ctx context.Context, address netip.AddrPort, q *wire.DrainQuery) (*wire.DrainAnswer, error) {
	return invoke(ctx, c, address, q, newPeerClient, wire.DRPCPeerClient.Drain)
}

// Serve serves the Peer service on the listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler wire.DRPCPeerServer, meters *meter.Set) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, handler); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	return serve(ctx, listener, mux, meters)
}

// ServeEntry serves the Entry service on the listener until ctx ends.
func ServeEntry(ctx context.Context, listener net.Listener, handler wire.DRPCEntryServer, meters *meter.Set) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, handler); err != nil {
		return fmt.Errorf("register entry service: %w", err)
	}
	return serve(ctx, listener, mux, meters)
}

// serve serves the services of mux on the listener until ctx ends.
func serve(ctx context.Context, listener net.Listener, mux *drpcmux.Mux, meters *meter.Set) error {
	err := drpcserver.New(mux).Serve(ctx, &countingListener{Listener: listener, meters: meters})
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// countingConn counts the bytes read and written in the metrics.
type countingConn struct {
	net.Conn
	meters *meter.Set
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meters.Add(BytesIn, int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	// A connection that does not accept a deadline fails the write that follows.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.meters.Add(BytesOut, int64(n))
	return n, err
}

// countingListener wraps accepted connections in countingConn.
type countingListener struct {
	net.Listener
	meters *meter.Set
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, meters: l.meters}, nil
}
