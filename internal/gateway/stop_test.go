package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/stalled"
	"ibisline/internal/gateway"
	"ibisline/platform/platformtest"
)

// grace is the time from the begin of a planned stop to the end of the process.
const grace = 8 * time.Second

// beginStop begins a planned stop. When the grace has passed, all connections are closed, as at the
// end of the process.
func (h *harness) beginStop() {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	go func() {
		defer cancel()
		_ = h.server.Drain(ctx)
	}()
	time.AfterFunc(grace, h.endServer)
}

// connect opens a connection without sending anything.
func (h *harness) connect() net.Conn {
	near, far := net.Pipe()
	h.conns <- far
	return near
}

// notRead is the status of a request of which the connection was closed before it was read.
const notRead = -1

// sendOn sends a request on an open connection and returns the status of the response, 0 if the
// connection is closed without one after the request was read.
func (h *harness) sendOn(conn net.Conn, path, id string) (status int, closes bool) {
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
		path, platformtest.HeaderAttempt, id)
	if err != nil {
		return notRead, true
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, true
	}
	defer response.Body.Close()
	return response.StatusCode, response.Close
}

// Guards against passing on a request that comes so late in the grace of a planned stop that it may be
// cut off at its end, and against reading one without an answer, which a caller may not repeat.
func TestRequestThatMayOutlastTheGraceIsNotPassedOn(t *testing.T) {
	for name, path := range map[string]string{"at most once": "/redeem/1", "repeatable": "/look/1", "stream": "/turn/1"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				service := tills
				if path == "/turn/1" {
					service = engines
				}
				server := h.addServer(service, "server-1")
				server.Always(platformtest.Reply{Delay: 900 * time.Millisecond, Events: []string{"a"}})
				h.beginStop()
				const opened = 2400 * time.Millisecond
				time.Sleep(opened)
				for at := opened; at < grace; at += 200 * time.Millisecond {
					id, conn := fmt.Sprint("sent at ", at), h.connect()
					time.AfterFunc(at-opened, func() {
						status, closes := h.sendOn(conn, path, id)
						require.True(t, closes, "the caller reconnects to another daemon")
						h.recordStatus(id, status)
					})
				}
				time.Sleep(grace)
				ran := map[string]bool{}
				for _, run := range server.Runs() {
					ran[run.ID] = true
				}
				served := 0
				for id, status := range h.recordedStatuses() {
					switch {
					case ran[id]:
						require.Equal(t, http.StatusOK, status, "%s ran", id)
						served++
					default:
						require.Contains(t, []int{http.StatusServiceUnavailable, notRead}, status, "%s did not run", id)
					}
				}
				require.Positive(t, served, "requests that fit are served")
			})
		})
	}
}

// Guards against cutting off a request without an answer at the end of the grace, because it may take
// longer than that.
func TestLongRequestIsAnsweredBeforeTheEndOfTheGrace(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Delay: time.Minute, Body: "late"})
		h.allowLongCalls(30 * time.Second)
		statuses := make(chan int, 1)
		go func() {
			statuses <- h.call(http.MethodPost, "/redeem/1", "long", withHeader("Deadline-Ms", "30000")).status
		}()
		time.Sleep(time.Second)
		h.beginStop()
		time.Sleep(grace + time.Second)
		require.Equal(t, http.StatusBadGateway, <-statuses, "it may have run")
	})
}

// Guards against passing on a request that may be cut off at the end of the grace.
func TestRequestBeyondTheEndOfTheGraceIsRejected(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		h.allowLongCalls(30 * time.Second)
		h.beginStop()
		time.Sleep(time.Second)
		got := h.call(http.MethodPost, "/redeem/1", "long", withHeader("Deadline-Ms", "30000"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Empty(t, till.Runs())
		require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/redeem/1", "short").status, "3 s are left for it")
		time.Sleep(grace)
	})
}

// Guards against closing a kept connection of which a request is being read when the daemon ceases to
// accept connections: the request would be passed on and not answered.
func TestRequestThatIsBeingReadAsConnectionsCloseIsAnswered(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.addServer(tills, "till-1").Always(platformtest.Reply{Body: "done"})
		quiet, used := h.connect(), h.connect()
		responses := bufio.NewReader(used)
		post := func(id string) string {
			return fmt.Sprintf("POST /redeem/1 HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
				platformtest.HeaderAttempt, id)
		}
		for _, conn := range []net.Conn{quiet, used} {
			_, err := conn.Write([]byte(post("first")))
			require.NoError(t, err)
			reader := responses
			if conn == quiet {
				reader = bufio.NewReader(conn)
			}
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
		}
		h.beginStop()
		time.Sleep(balancerDelay - time.Millisecond)
		second := post("second")
		_, err := used.Write([]byte(second[:len(second)/2]))
		require.NoError(t, err)
		time.Sleep(2 * time.Millisecond)
		_, err = used.Write([]byte(second[len(second)/2:]))
		require.NoError(t, err)
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.True(t, response.Close)
		_, err = quiet.Write([]byte("x"))
		require.Error(t, err, "a connection without a request is closed")
		time.Sleep(grace)
	})
}

// Guards against closing a kept connection on which a request has arrived that the daemon, which was not
// scheduled for a while, has not read yet: its caller would get no answer.
func TestRequestUnreadAsConnectionsCloseIsAnswered(t *testing.T) {
	h := newHarness(t)
	defer h.stop()
	h.addServer(tills, "till-1").Always(platformtest.Reply{Body: "done"})
	listener := stalled.Listen(t)
	const delay = 1200 * time.Millisecond
	server := gateway.NewServer(listener, h.gateway, gateway.ServerConfig{BalancerDelay: delay})
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = server.Run(ctx) }()
	conn, err := net.Dial("tcp", server.Addr())
	require.NoError(t, err)
	defer conn.Close()
	responses := bufio.NewReader(conn)
	post := func(id string) {
		_, err := fmt.Fprintf(conn, "POST /redeem/1 HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
			platformtest.HeaderAttempt, id)
		require.NoError(t, err)
	}
	receive := func() *http.Response {
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	post("first")
	require.Equal(t, http.StatusOK, receive().StatusCode)
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		drained <- server.Drain(ctx)
	}()
	time.Sleep(delay / 2)
	listener.Stall()
	post("second")
	time.Sleep(delay)
	listener.Resume()
	response := receive()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close, "the caller reconnects to another daemon")
	require.NoError(t, <-drained)
}

// Guards against resetting connections that the kernel has completed and the daemon has not accepted when
// it stops listening: their callers have sent requests already.
func TestRequestsUnacceptedAsListenerClosesAreAnswered(t *testing.T) {
	h := newHarness(t)
	defer h.stop()
	h.addServer(tills, "till-1").Always(platformtest.Reply{Body: "done"})
	listener := stalled.Listen(t)
	const delay = 200 * time.Millisecond
	server := gateway.NewServer(listener, h.gateway, gateway.ServerConfig{BalancerDelay: delay})
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = server.Run(ctx) }()
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		drained <- server.Drain(ctx)
	}()
	time.Sleep(delay / 2)
	listener.Stall()
	const callers = 5
	statuses := make(chan int, callers)
	for i := range callers {
		conn, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		go func() {
			status, _ := h.sendOn(conn, "/redeem/1", fmt.Sprint("r", i))
			statuses <- status
		}()
	}
	time.Sleep(2 * delay)
	listener.Resume()
	for range callers {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.NoError(t, <-drained)
	_, err := net.Dial("tcp", server.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
