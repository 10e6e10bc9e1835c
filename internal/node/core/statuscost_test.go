package core

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/peer/mesh"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// reportCPU reports the processor time of an operation since began, which depends less than
// the elapsed time on what else the machine does.
func reportCPU(b *testing.B, began time.Duration) {
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchNode returns a process with so many members, and requests in progress at backend servers.
func benchNode(b *testing.B, processes, loads int) *Node {
	n := &Node{Name: "entry-0", Zone: "calicut", Log: zap.NewNop(), Peers: peerTables{}, Address: netip.MustParseAddrPort("10.0.0.1:7660")}
	n.Prepare()
	n.activate([]byte(fmt.Sprintf(promptTable, `,"CacheTokens":317000`)), "test")
	var members []peers.Member
	for i := range processes {
		members = append(members, peers.Member{Name: fmt.Sprint("entry-", i), AvailabilityZone: "calicut", Address: n.Address, Incarnation: 1, Cores: 0.134})
	}
	n.peers.Replace(members)
	for i := range loads {
		n.usage.Start(time.Now(), roster.Server{ID: fmt.Sprint("i-", i), Born: 1771089897728, Service: "model"}, usage.Long)
	}
	require.NotNil(b, n.table.Load())
	return n
}

// BenchmarkTick measures what a process does every tickInterval without load, with one service
// that has engines and live peers.
func BenchmarkTick(b *testing.B) {
	for _, processes := range []int{72, 117, 300} {
		b.Run(fmt.Sprint("processes=", processes), func(b *testing.B) {
			n := benchNode(b, processes, 0)
			for i, m := range n.peers.Peers() {
				n.peers.Apply(time.Now(), &wire.News{From: m.Name, Incarnation: 1, Sequence: uint64(1 + i)})
			}
			b.ReportAllocs()
			began := cpuTime(b)
			for b.Loop() {
				n.Broker.Tick(time.Now())
			}
			reportCPU(b, began)
		})
	}
}

// BenchmarkStatusCompose measures composing and encoding a status message, which is done once
// for all peers.
func BenchmarkStatusCompose(b *testing.B) {
	for _, loads := range []int{0, 8, 28} {
		b.Run(fmt.Sprint("loads=", loads), func(b *testing.B) {
			n := benchNode(b, 117, loads)
			var buffer []byte
			b.ReportAllocs()
			began := cpuTime(b)
			for b.Loop() {
				message, _ := n.composeStatus()
				buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], message)
			}
			reportCPU(b, began)
		})
	}
}

// BenchmarkStatusMessage measures sending one status message and receiving one over loopback, as
// a process does for each of its peers. Each message comes from the next peer.
func BenchmarkStatusMessage(b *testing.B) {
	for _, processes := range []int{72, 117, 300} {
		for _, loads := range []int{0, 8} {
			b.Run(fmt.Sprintf("processes=%d/loads=%d", processes, loads), func(b *testing.B) { benchmarkMessage(b, processes, loads) })
		}
	}
}

func benchmarkMessage(b *testing.B, processes, loads int) {
	n, sender := benchNode(b, processes, 0), benchNode(b, processes, loads)
	conn, err := mesh.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(b, err)
	n.StatusConn, sender.StatusConn = conn, conn
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	handled := make(chan struct{})
	receiver := n.mesh()
	receiver.Handle = func(m *wire.News) {
		n.handleStatus(m)
		handled <- struct{}{}
	}
	go receiver.Receive(ctx)
	to := peers.Member{Name: n.Name, Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	outgoing := sender.mesh()
	message, _ := sender.composeStatus()
	var names []string
	for _, m := range n.peers.Peers() {
		names = append(names, m.Name)
	}
	b.ReportAllocs()
	began := cpuTime(b)
	i := 0
	for b.Loop() {
		message.From = names[i%len(names)]
		message.Sequence = uint64(1 + i)
		outgoing.SendTo(message, to)
		<-handled
		i++
	}
	reportCPU(b, began)
	require.Equal(b, 1+min(i, processes-1), n.peers.Live())
}
