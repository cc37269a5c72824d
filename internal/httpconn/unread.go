package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the kernel has received bytes on c that were not read. It is false for
// connections that are not sockets, which hold no bytes, and for those that this process has closed,
// the only cause of an error.
func hasUnread(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return controlErr == nil && err == nil && unread > 0
}

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
