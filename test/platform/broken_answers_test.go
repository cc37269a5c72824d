package platform_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// Guards against broken responses that reach callers on real connections, whose resets a failed write may
// hide: the start of a response whose server broke off during the upload, and malformed heads.
func TestBrokenResponsesAreNotForwarded(t *testing.T) {
	const (
		head    = "Server-Stamp: stamp\r\nAttempt-Id: %ID%\r\n"
		uploads = 20
	)
	f := newTestFleetWith(t, 1, func(f *testFleet) { f.maxBodyBytes = 4 << 20 })
	eachTill := func(change func(*platformtest.Server)) {
		for name, server := range f.servers {
			if strings.HasPrefix(name, "till") {
				change(server)
			}
		}
	}
	withLongBody := func(r *http.Request) {
		const size = 3 << 20
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
	}
	answerEarly := func(rest string) {
		eachTill(func(server *platformtest.Server) {
			server.AnswerEarly(func(run platformtest.Run) string {
				return strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+head, "%ID%", run.ID) + rest
			})
		})
	}

	answerEarly("\r\npart")
	for range uploads {
		got := f.call(gateways[0], http.MethodPost, "/redeem/1", withLongBody)
		require.Equal(t, http.StatusBadGateway, got.status, got.body)
		require.Equal(t, 1, f.runsByAttempt()[got.id])
	}
	answerEarly("Content-Length: 5\r\n\r\nwhole")
	for range uploads {
		got := f.call(gateways[0], http.MethodPost, "/redeem/1", withLongBody)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "whole", got.body)
	}
	eachTill(func(server *platformtest.Server) { server.AnswerEarly(nil) })

	for _, start := range []string{
		"HTTP/1.1 000 \r\n", "HTTP/1.1 600 High\r\n", "HTTP/1.1 200 OK\r\nX Field: 1\r\n", "HTTP/1.1 200 OK\r\nX-Fi\x01eld: 1\r\n",
	} {
		eachTill(func(server *platformtest.Server) {
			server.Always(platformtest.Reply{Raw: start + head + "Content-Length: 6\r\n\r\nbroken"})
		})
		got := f.call(gateways[0], http.MethodPost, "/redeem/1")
		require.Equal(t, http.StatusBadGateway, got.status, start)
		require.Equal(t, 1, f.runsByAttempt()[got.id])
		f.scriptTills()
		next := f.call(gateways[0], http.MethodPost, "/redeem/1")
		require.Equal(t, "done "+next.id, next.body, "the next request gets its own response")
	}
}
