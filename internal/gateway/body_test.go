package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/gateway"
	"ibisline/platform/platformtest"
)

// Guards against a caller that holds the memory for its body for as long as it likes.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		conn, err := h.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
		require.NoError(t, err)
		defer conn.Close()
		started := time.Now()
		_, err = conn.Write(rawRequest("r1", "Content-Length: 50\r\n\r\nhalf"))
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, 1500*time.Millisecond, time.Since(started), "the route's timeout")
		require.Empty(t, till.Runs())
	})
}

// Guards against a refusal that its caller cannot read, as its connection is reset while it sends a long body,
// and against closing that connection.
func TestRefusedLongRequestGetsItsResponse(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		till := h.addServer(tills, "till-1")
		h.allowLongBodies()
		conn, err := h.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
		require.NoError(t, err)
		defer conn.Close()
		// The response is read while the body is sent, as the connection in memory has no buffer.
		responses := bufio.NewReader(conn)
		for i, framing := range []string{"Content-Length: 1000000\r\n\r\n%s", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n%s\r\n0\r\n\r\n"} {
			sent := make(chan error, 1)
			go func() {
				head := fmt.Sprintf("POST /nowhere HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r%d\r\n", i)
				_, err := fmt.Fprintf(conn, head+framing, strings.Repeat("x", 1_000_000))
				sent <- err
			}()
			response, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, response.StatusCode)
			require.NoError(t, response.Body.Close())
			require.NoError(t, <-sent)
		}
		require.Empty(t, till.Runs())
	})
}

// Guards against requests that are passed on although there is no memory for them, and then cut: what does not
// fit is refused at once, may come back when there is room, and the rest is answered.
func TestLargeRequestsBeyondTheMemoryAreRefused(t *testing.T) {
	const callers, size = 12, 500_000
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWith(t, gateway.ServerConfig{CallerBytes: 4 << 20})
		defer h.stop()
		h.allowLongBodies()
		till := h.addServer(tills, "till-1")
		till.Always(platformtest.Reply{Body: strings.Repeat("r", 300_000), Delay: 200 * time.Millisecond})
		var mu sync.Mutex
		served, refused := 0, 0
		var calls sync.WaitGroup
		for _, id := range requestIDs(callers) {
			calls.Go(func() {
				for attempt := 0; ; attempt++ {
					got := h.call(http.MethodPost, "/redeem/1", fmt.Sprint(id, attempt), withLength(size))
					mu.Lock()
					switch got.status {
					case http.StatusOK:
						served++
						mu.Unlock()
						return
					case http.StatusServiceUnavailable:
						refused++
					default:
						require.Fail(t, "no answer", "%+v", got)
					}
					mu.Unlock()
					require.Less(t, got.took, 10*time.Millisecond, "refused at once")
					after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
					require.NoError(t, err)
					require.Positive(t, after)
					time.Sleep(after)
				}
			})
		}
		calls.Wait()
		require.Equal(t, callers, served)
		require.Positive(t, refused)
		require.Len(t, till.Runs(), callers, "what was refused has not run")
	})
}

// withLength returns an edit for call that sends a body of a length.
func withLength(size int) func(*http.Request) {
	return func(r *http.Request) {
		replaced, err := http.NewRequest(r.Method, r.URL.String(), strings.NewReader(strings.Repeat("x", size)))
		if err == nil {
			r.Body, r.ContentLength, r.GetBody = replaced.Body, replaced.ContentLength, replaced.GetBody
		}
	}
}
