package fleetcheck_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/fleetcheck"
)

// startCheck runs a check in the background and returns a channel with its result.
func startCheck(ctx context.Context, store *objects.Store, shards int) <-chan error {
	done := make(chan error, 1)
	check := fleetcheck.New(store, fleetcheck.Values{Shards: shards}, testbed.NoLog())
	go func() { done <- check.Run(ctx) }()
	return done
}

func TestDifferentValuesAreRefusedAfterFirstDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := objects.New()
		first := startCheck(ctx, store, 8)
		synctest.Wait()
		require.ErrorIs(t, <-startCheck(ctx, store, 16), fleetcheck.ErrDiffers)
		same := startCheck(ctx, store, 8)
		cancel()
		require.NoError(t, <-same)
		require.NoError(t, <-first)
	})
}

func TestCheckRetriesAfterOutageAndLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := objects.New()
		store.SetFaults(objects.Faults{Outage: true})
		first := startCheck(ctx, store, 8)
		synctest.Wait()
		store.SetFaults(objects.Faults{LoseReplies: 1})
		for store.Counts().Puts == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		require.NoError(t, <-first)
		require.ErrorIs(t, <-startCheck(t.Context(), store, 4), fleetcheck.ErrDiffers)
	})
}
