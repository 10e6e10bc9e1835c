package call

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// soundSilence is how long a server may fall silent and still be sound.
const soundSilence = 2 * time.Second

// TestSoundServerMayFallSilent checks the options of connections: neither keep-alive probes
// nor unacknowledged data may end one during a silence of soundSilence.
func TestSoundServerMayFallSilent(t *testing.T) {
	address := startServer(t, func(_ int, conn *net.TCPConn) { time.Sleep(time.Second); conn.Close() })
	client := &Client{}
	conn, err := client.pool.get(context.Background(), address, true, 0, time.Second)
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.Conn.(countingConn).Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(name int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			var err error
			value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			require.NoError(t, err)
		}))
		return value
	}
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	probes := time.Duration(option(unix.TCP_KEEPCNT)*option(unix.TCP_KEEPINTVL)) * time.Second
	// With a user timeout, Linux gives up a connection at the first probe after it, counted
	// from the last byte received, whatever the number of probes.
	silence := probes
	if userTimeout > 0 {
		silence = userTimeout - idle
		assert.Greater(t, userTimeout, soundSilence, "unacknowledged data")
	}
	assert.GreaterOrEqual(t, silence, soundSilence, "user timeout %v, idle %v, probes %v", userTimeout, idle, probes)
}
