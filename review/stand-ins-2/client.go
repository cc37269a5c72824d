package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// clientConn is a connection of a client, which it keeps open for many requests.
type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
	used int
	// abandon, if positive, is the time after which the client gives an attempt up of whose answer nothing
	// has come.
	abandon time.Duration
}

// answer is what a client has seen of one attempt.
type answer struct {
	attempt string
	status  int
	stamp   string
	body    int
	// events is the number of whole events that came, also of a stream that broke off.
	events int
	// kept is set if the request was sent on a connection that had carried one before.
	kept bool
	// whole is set if a whole answer came. Otherwise cut tells whether the connection ended, and if it
	// did not, the client gave up waiting.
	whole, cut bool
	took       time.Duration
	err        error
}

var attempts atomic.Int64

func newAttempt() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1))
}

// connectTimeout is the second that clients allow for a new connection.
const connectTimeout = time.Second

func connect(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// send sends one request and waits for its whole answer, for at most wait.
func (c *clientConn) send(method, host, path string, header []string, body []byte, deadline, wait time.Duration) answer {
	a := answer{attempt: newAttempt(), kept: c.used > 0}
	started := time.Now()
	defer func() { a.took = time.Since(started) }()
	c.used++
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, a.attempt, deadline.Milliseconds())
	for _, line := range header {
		head.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	begin := wait
	if c.abandon > 0 {
		begin = min(wait, c.abandon)
	}
	_ = c.conn.SetDeadline(started.Add(begin))
	if _, err := c.conn.Write(append([]byte(head.String()), body...)); err != nil {
		return a.ended(err, started)
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return a.ended(err, started)
	}
	_ = c.conn.SetDeadline(started.Add(wait))
	text, err := io.ReadAll(response.Body)
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("Server-Stamp"), len(text)
	a.events = bytes.Count(text, []byte("\n\n"))
	if err != nil {
		return a.ended(err, started)
	}
	a.whole, a.took = true, time.Since(started)
	if response.Close {
		c.close()
		a.err = io.EOF
	}
	return a
}

func (a answer) ended(err error, started time.Time) answer {
	a.err, a.took = err, time.Since(started)
	t, ok := err.(net.Error)
	a.cut = !ok || !t.Timeout()
	return a
}

func (a answer) String() string {
	switch {
	case a.whole && a.stamp != "":
		return fmt.Sprintf("%d of a runner (%s) after %d ms", a.status, a.stamp, a.took.Milliseconds())
	case a.whole:
		return fmt.Sprintf("%d of the gateway after %d ms", a.status, a.took.Milliseconds())
	case a.cut:
		return fmt.Sprintf("connection ended without an answer after %d ms: %v", a.took.Milliseconds(), a.err)
	default:
		return fmt.Sprintf("no answer within %d ms", a.took.Milliseconds())
	}
}
