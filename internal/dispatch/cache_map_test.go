package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/backend"
)

// A release that another daemon ordered looks like an eviction. Taken for one, it
// made daemons believe that engines with free memory evict within seconds.
func TestReleaseElsewhereTellsNoCacheAge(t *testing.T) {
	c := newCacheMap()
	start := time.Unix(0, 0)
	later := start.Add(5 * time.Second)
	gone := backend.KVEvents{Events: []backend.KVEvent{{Program: "p", Kind: backend.KVEvicted}}}

	c.stored("p", 100, start)
	c.apply(gone, later, false)
	require.Zero(t, c.meanAge())
	require.Empty(t, c.programs.items)

	c.stored("p", 100, start)
	c.apply(gone, later, true)
	require.Equal(t, 5*time.Second, c.meanAge())
}
