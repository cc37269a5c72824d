package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/httpconn"
)

// drainLimit is the time that a drain may take in the tests.
const drainLimit = 8 * time.Second

// slowPath is handled in slowTime, other paths at once.
const (
	slowPath = "/slow"
	slowTime = 3 * time.Second
)

// pipeListener accepts connections that connect makes in memory, after the time acceptDelay.
type pipeListener struct {
	conns       chan net.Conn
	closed      chan struct{}
	close       sync.Once
	acceptDelay time.Duration
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		time.Sleep(l.acceptDelay)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// connect opens a connection on which text is sent.
func (l *pipeListener) connect(t *testing.T, text string) net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	send(t, near, text)
	return near
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// withServer runs test in virtual time with a server, which drain drains. It returns the error of the drain.
func withServer(t *testing.T, acceptDelay time.Duration, test func(t *testing.T, l *pipeListener, drain func() error)) {
	synctest.Test(t, func(t *testing.T) {
		server := &http.Server{ReadHeaderTimeout: drainLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == slowPath {
				select {
				case <-time.After(slowTime):
				case <-r.Context().Done():
					w.WriteHeader(http.StatusInternalServerError)
				}
			}
		})}
		tracker := httpconn.Track(server, nil)
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{}), acceptDelay: acceptDelay}
		listener := httpconn.NewListener(l)
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = tracker.Serve(listener) // net.ErrClosed
		}()
		test(t, l, func() error {
			ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
			defer cancel()
			require.NoError(t, listener.Stop(ctx))
			return tracker.Drain(ctx)
		})
		require.NoError(t, server.Close())
		<-served
	})
}

func requireOK(t *testing.T, responses *bufio.Reader) {
	response, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n" }

// Guards against cancelling a request in progress that was read together with the one before it.
func TestPipelinedRequestIsNotCancelledByDrain(t *testing.T) {
	withServer(t, 0, func(t *testing.T, l *pipeListener, drain func() error) {
		conn := l.connect(t, get("/")+get(slowPath))
		responses := bufio.NewReader(conn)
		requireOK(t, responses)
		time.Sleep(slowTime / 2)
		drained := make(chan error, 1)
		go func() { drained <- drain() }()
		requireOK(t, responses)
		require.NoError(t, <-drained)
	})
}

// Guards against ending the drain before a connection that was just accepted is known.
func TestDrainWaitsForConnectionThatWasJustAccepted(t *testing.T) {
	const acceptDelay = 500 * time.Millisecond
	withServer(t, acceptDelay, func(t *testing.T, l *pipeListener, drain func() error) {
		status := make(chan int, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(l.connect(t, get("/"))), nil)
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
		synctest.Wait()
		require.NoError(t, drain())
		synctest.Wait()
		require.Len(t, status, 1, "answered when the drain ends")
		require.Equal(t, http.StatusOK, <-status)
	})
}

// Guards against a drain that lasts until its limit because of a caller that has sent part of a header, or
// a line feed after a request.
func TestDrainEndsConnectionWithPartOfHeader(t *testing.T) {
	for _, part := range []string{"\r\n", "GET / HTTP/1.1\r\nHo"} {
		withServer(t, 0, func(t *testing.T, l *pipeListener, drain func() error) {
			conn := l.connect(t, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n")
			responses := bufio.NewReader(conn)
			requireOK(t, responses)
			send(t, conn, part)
			begin := time.Now()
			drained := make(chan error, 1)
			go func() { drained <- drain() }()
			_, err := responses.ReadByte()
			require.ErrorIs(t, err, io.EOF, "a request that did not arrive has no response")
			require.NoError(t, <-drained)
			require.Less(t, time.Since(begin), drainLimit/4)
		})
	}
}

// Guards against ending a connection later than needed after a response to a request whose body was not
// read: its caller waits for that end.
func TestResponseBeforeBodyEndsConnectionAtOnce(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = httpconn.Track(server, nil).Serve(httpconn.NewListener(l)) }() // http.ErrServerClosed
	defer server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	send(t, conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\npart")
	// net/http closes both directions 500 ms after the one in which it sends.
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(400*time.Millisecond)))
	_, err = io.Copy(io.Discard, conn)
	require.NoError(t, err)
}
