package scenarios

import (
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// link is a TCP proxy that can be cut. While it is cut, connections stay open and
// new ones are accepted, but no byte is forwarded, as on a network that drops
// packets. Healing it closes the connections that were open.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    bool
	open   map[net.Conn]bool
	closed bool
}

// newLink listens on a free loopback port and forwards connections to target.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for link")
	}
	l := &link{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.add(conn) {
			continue
		}
		go l.connect(conn)
	}
}

// add registers a connection so that healing and closing can end it.
func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return false
	}
	l.open[conn] = true
	return true
}

func (l *link) drop(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// connect forwards one connection in both directions. A connection accepted while
// the link is cut hangs until the link is healed.
func (l *link) connect(near net.Conn) {
	if l.isCut() {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		l.drop(near)
		return
	}
	if !l.add(far) {
		l.drop(near)
		return
	}
	go l.copy(near, far)
	l.copy(far, near)
}

// copy forwards one direction until either side closes.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.isCut() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.finish(to, from, err)
			return
		}
	}
}

// finish ends one direction of a connection. After EOF it half-closes the other side;
// after any other error it closes both.
func (l *link) finish(to, from net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if errors.Is(err, io.EOF) && ok && tcp.CloseWrite() == nil {
		return
	}
	l.drop(to)
	l.drop(from)
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// set cuts or heals the link.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		l.closeAll()
	}
	l.cut = cut
}

// closeAll closes all connections. The caller holds mu.
func (l *link) closeAll() {
	for conn := range l.open {
		conn.Close()
	}
	clear(l.open)
}

// close stops listening and closes all connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.listener.Close()
	l.closeAll()
}
