package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ebonyscale.example/ebonyscale/internal/base/timer"
)

// Listen opens the listener of a Server. Multipath TCP is off: its sockets take no filter,
// which Refuse needs.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// handshakeTime is how long a connection may take from its first packet until it is
// accepted.
const handshakeTime = 50 * time.Millisecond

// acceptPoll is how often Refuse looks whether connections wait to be accepted.
const acceptPoll = 5 * time.Millisecond

// Refuse closes the listener, so that new connections are refused, and returns once those
// that were accepted are known. They are served. The kernel resets connections that wait to be
// accepted at that moment; therefore it takes no new ones for handshakeTime before, and then
// until none waits, or until ctx ends: their clients try again and are refused.
func (s *Server) Refuse(ctx context.Context) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if err := dropHandshakes(listener); err != nil {
		s.logger().Info("connections that wait to be accepted may be reset", zap.Error(err))
	}
	timer.Wait(ctx, handshakeTime)
	for hasWaiting(listener) && timer.Wait(ctx, acceptPoll) {
	}
	listener.Close()
	s.accepting.Wait()
}

// hasWaiting reports whether connections wait to be accepted.
func hasWaiting(listener net.Listener) bool {
	raw, err := rawSocket(listener)
	if err != nil {
		return false
	}
	var ready int
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// errNoSocket means that a listener is no socket.
var errNoSocket = errors.New("listener is no socket")

// rawSocket returns the socket of a listener.
func rawSocket(listener net.Listener) (syscall.RawConn, error) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("socket of the listener: %w", err)
	}
	return raw, nil
}

// dropHandshakes makes the kernel drop the first packets of new connections.
func dropHandshakes(listener net.Listener) error {
	raw, err := rawSocket(listener)
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, withoutSYN())
	})
	if err = errors.Join(err, optionErr); err != nil {
		return fmt.Errorf("attach a filter: %w", err)
	}
	return nil
}

const (
	// flagsOffset is that of the flags in a TCP header, in bytes; synFlag is set in the
	// first packet of a connection.
	flagsOffset = 13
	synFlag     = 0x02
	// wholePacket is the length that a filter returns for a packet that passes.
	wholePacket = 1<<32 - 1
)

// withoutSYN returns a filter that drops packets with the flag SYN.
func withoutSYN() *unix.SockFprog {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
}
