package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether everything that was received on c is read, and the other side has closed or
// reset it. It is false for connections that are not sockets.
func closedByPeer(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n <= 0 && err != unix.EAGAIN && err != unix.EINTR
	})
	return controlErr == nil && closed
}
