// Package socket reads the state of connections from the kernel.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread returns the number of bytes that the kernel has received on c and that were not read.
func Unread(c net.Conn) int { return queued(c, unix.SIOCINQ) }

// Unacknowledged returns the number of bytes that were written to c and that the peer has not acknowledged.
func Unacknowledged(c net.Conn) int { return queued(c, unix.SIOCOUTQ) }

// queued returns the length of one of the queues of c. It is 0 for connections that are not sockets, which
// hold no bytes, and for those that this process has closed, the only cause of an error.
func queued(c net.Conn, request uint) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	controlErr := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), request) })
	if controlErr != nil || err != nil {
		return 0
	}
	return bytes
}
