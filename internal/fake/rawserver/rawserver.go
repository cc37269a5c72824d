// Package rawserver provides an HTTP server on a TCP socket that sends the bytes of a test as they are.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// receiveBufferBytes is small, so that a long request is still being written when its response arrives.
const receiveBufferBytes = 16 << 10

// Answer is what the server does with one request.
type Answer struct {
	// Bytes are sent as they are.
	Bytes string
	// Unread leaves the body of the request unread.
	Unread bool
	// Reset resets the connection after Bytes. HalfClose ends only what the server sends, and leaves the
	// connection to the client. KeepOpen waits for the next request. Otherwise the connection is closed.
	Reset     bool
	HalfClose bool
	KeepOpen  bool
}

// Start starts a server that ends with the test and returns its address, IP:port. answer is called
// for each request, whose body it must not read.
func Start(t testing.TB, answer func(*http.Request) Answer) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), answer)
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests on one connection until an answer ends it.
func serve(conn *net.TCPConn, answer func(*http.Request) Answer) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a := answer(request)
		if !a.Unread {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if _, err := io.Copy(conn, strings.NewReader(a.Bytes)); err != nil {
			return
		}
		switch {
		case a.Reset:
			_ = conn.SetLinger(0)
			return
		case a.HalfClose:
			_ = conn.CloseWrite()
			awaitReset(conn)
			return
		case !a.KeepOpen:
			return
		}
	}
}

// awaitReset waits until the client has closed the connection. It reads nothing.
func awaitReset(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Without requested events poll reports only errors and the end of both directions.
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd)}}, int(halfCloseLimit.Milliseconds()))
	})
}

// halfCloseLimit bounds the time for which a connection that is half closed stays open.
const halfCloseLimit = 5 * time.Second
