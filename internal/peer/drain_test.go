package peer_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/peer"
)

// TestDrainIgnoresBackgroundStreams checks that Drain waits only for streams of
// regular methods. Heartbeat streams never end, so a drain that waited for them
// would always run into its time limit.
func TestDrainIgnoresBackgroundStreams(t *testing.T) {
	release := make(chan struct{})
	p := connect(t, peer.Config{}, func(mux peer.Mux) {
		echoAndBlock := func(ctx context.Context, s peer.Stream) error {
			var n note
			if err := s.Recv(&n); err != nil {
				return err
			}
			if err := s.Send(n); err != nil {
				return err
			}
			select {
			case <-release:
				return s.Send(note{ID: 2})
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		peer.HandleBackground(mux, "heartbeat", echoAndBlock)
		mux.Handle("work", echoAndBlock)
	})
	open := func(method string) peer.Stream {
		s, err := p.a.Open(t.Context(), "b", method)
		require.NoError(t, err)
		require.NoError(t, s.Send(note{ID: 1}))
		require.NoError(t, s.Recv(&note{}))
		return s
	}
	open("heartbeat")
	require.NoError(t, p.b.Drain(t.Context()))

	work := open("work")
	require.Equal(t, 1, p.b.ActiveStreams())
	drained := make(chan error, 1)
	go func() { drained <- p.b.Drain(context.Background()) }()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, p.b.Drain(canceled), "the work stream is still being served")

	close(release)
	var last note
	require.NoError(t, work.Recv(&last))
	require.Equal(t, 2, last.ID)
	require.NoError(t, <-drained)
}
