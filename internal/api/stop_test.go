package api_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/api"
	"ibisline/internal/fake/homes"
	"ibisline/internal/fake/stalled"
	"ibisline/internal/fake/testbed"
)

// Guards against closing a kept connection without a response when the server stops, on which a request
// has arrived that no handler counts yet: its caller cannot know that it did not run.
func TestRequestUnreadAsServerStopsIsAnswered(t *testing.T) {
	server, err := api.NewServer(api.RestConf("test"))
	require.NoError(t, err)
	a := api.Register(server.Rest(), &homes.Stub{}, api.Config{}, metrics.NewSet(), testbed.NoLog())
	require.NoError(t, server.Listen("127.0.0.1:0"))
	listener := stalled.Listen(t)
	require.NoError(t, server.SetListener(listener))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	conn, err := net.Dial("tcp", server.Addr())
	require.NoError(t, err)
	defer conn.Close()
	responses := bufio.NewReader(conn)
	get := func() {
		_, err := io.WriteString(conn, "GET /v1/programs/p HTTP/1.1\r\nHost: test\r\n\r\n")
		require.NoError(t, err)
	}
	receive := func() *http.Response {
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	get()
	require.Equal(t, http.StatusOK, receive().StatusCode)
	listener.Stall()
	get()
	require.NoError(t, a.Drain(context.Background()))
	stop()
	time.AfterFunc(50*time.Millisecond, listener.Resume)
	response := receive()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not_run", response.Header.Get(api.HeaderVerdict))
	require.True(t, response.Close, "the caller reconnects to another daemon")
	require.NoError(t, <-done)
}
