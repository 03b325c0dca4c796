package fleet

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// ipLocalPortRange is the socket option IP_LOCAL_PORT_RANGE, which limits the ports that bind and connect choose from.
const ipLocalPortRange = 51

// takePort binds a new socket to any free port, with the choice limited to one port, and returns the error of bind.
func takePort(t *testing.T, port uint16) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(fd) }()
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, ipLocalPortRange, int(port)<<16|int(port)))
	return syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
}

// Guards against a port of the fleet that another program gets between its choice and the start of the daemon that
// listens on it: the daemon then exits with "address already in use".
func TestReservedPortIsGivenToNoOtherSocket(t *testing.T) {
	var ports portReservations
	addresses, err := ports.reserve(1)
	require.NoError(t, err)
	port := netip.MustParseAddrPort(addresses[0]).Port()
	require.ErrorIs(t, takePort(t, port), syscall.EADDRINUSE)

	_, err = net.Dial("tcp", addresses[0])
	require.ErrorIs(t, err, syscall.ECONNREFUSED, "no process listens on a reserved port yet")
	l, err := net.Listen("tcp", addresses[0])
	require.NoError(t, err, "the process that the port is reserved for must be able to listen on it")
	conn, err := net.Dial("tcp", addresses[0])
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, l.Close())
	require.ErrorIs(t, takePort(t, port), syscall.EADDRINUSE, "the port must stay reserved while its process is down")

	require.NoError(t, ports.release())
	require.NoError(t, takePort(t, port))
}
