package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/platform"
)

func TestConflictEndsTheSilenceOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s silence
		s.note(platform.ErrUnknown)
		time.Sleep(time.Second)
		s.note(platform.ErrUnavailable)
		require.Equal(t, time.Second, s.length())
		s.note(platform.ErrConflict)
		require.Zero(t, s.length())
	})
}
