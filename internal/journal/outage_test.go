package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/objectapi"
)

func TestConflictEndsWriteOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s outageTimer
		s.record(objectapi.ErrUnknown)
		time.Sleep(time.Second)
		s.record(objectapi.ErrUnavailable)
		require.Equal(t, time.Second, s.duration())
		s.record(objectapi.ErrConflict)
		require.Zero(t, s.duration())
	})
}
