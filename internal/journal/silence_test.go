package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/objectapi"
)

func TestConflictEndsTheSilenceOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s silence
		s.note(objectapi.ErrUnknown)
		time.Sleep(time.Second)
		s.note(objectapi.ErrUnavailable)
		require.Equal(t, time.Second, s.length())
		s.note(objectapi.ErrConflict)
		require.Zero(t, s.length())
	})
}
