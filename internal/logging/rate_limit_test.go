package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/logging"
)

func TestLinesPerMessageAreRateLimitedAndDropsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, err := logging.New(&out, "info", "json")
		require.NoError(t, err)
		for i := range 1000 {
			logger.WithField("request", i).Info("budget spent")
		}
		logger.Info("something else")
		require.Equal(t, 401, strings.Count(out.String(), "\n"))
		time.Sleep(time.Second)
		out.Reset()
		logger.WithField("request", 1000).Info("budget spent")
		require.Contains(t, out.String(), `"dropped_before":600`)
		require.Contains(t, out.String(), `"request":1000`)
	})
}

// blockedWriter is an io.Writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.out.Write(p)
}

func TestSlowLogReaderDoesNotBlockWriters(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	a := logging.NewAsyncWriter(w, metrics.NewSet())
	for i := range 3000 {
		fmt.Fprintf(a, "line %d\n", i)
	}
	close(w.unblock)
	a.Close()
	require.Contains(t, w.out.String(), "line 0\n")
	require.Contains(t, w.out.String(), "log lines dropped")
	require.NotContains(t, w.out.String(), "line 2999\n")
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	a := logging.NewAsyncWriter(&out, metrics.NewSet())
	for range 100 {
		_, err := io.WriteString(a, "line\n")
		require.NoError(t, err)
	}
	a.Close()
	require.Equal(t, 100, strings.Count(out.String(), "line\n"))
}
