package logging_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"ibisline/internal/logging"
)

func TestGoZeroRecordsAreRedirected(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(&out, "debug", "json")
	require.NoError(t, err)
	logging.CaptureLogx(logger)
	t.Cleanup(func() { logx.Reset() })

	logx.Errorw("call failed", logx.Field("url", "/v1/objects"))
	require.Contains(t, out.String(), `"source":"go-zero"`)
	require.Contains(t, out.String(), `"url":"/v1/objects"`)
}

func TestGoZeroErrorsAreLoggedAtDebugLevel(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(&out, "info", "json")
	require.NoError(t, err)
	logging.CaptureLogx(logger)
	t.Cleanup(func() { logx.Reset() })

	logx.Error("[HTTP] 404")
	require.Empty(t, out.String())
	logx.ErrorStack("panic")
	require.Contains(t, out.String(), "panic")
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := logging.New(&bytes.Buffer{}, "loud", "json")
	require.ErrorContains(t, err, "loud")
}
