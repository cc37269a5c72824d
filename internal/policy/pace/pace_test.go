package pace

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slow servers that get as many requests as others, and against others that get fewer
// because of slow phases, which all have.
func TestLastinglySlowServersAreFound(t *testing.T) {
	const servers, slow = 12, 3
	random := rand.New(rand.NewPCG(1, 2))
	paces, now := New(), time.Now()
	phaseUntil := make([]time.Time, servers)
	for range 20_000 {
		now = now.Add(2 * time.Millisecond)
		i := random.IntN(servers)
		pause := 35 * time.Millisecond
		if i < slow {
			pause = pause * 120 / 55
		}
		if now.Before(phaseUntil[i]) {
			pause = pause * 5 / 2
		} else if random.Float64() < 0.02 {
			phaseUntil[i] = now.Add(600 * time.Millisecond)
		}
		paces.Record(strconv.Itoa(i), pause, now)
	}
	for i := range servers {
		ratio := paces.Ratio(strconv.Itoa(i), now)
		if i < slow {
			require.Greater(t, ratio, slowRatio)
		} else {
			require.EqualValues(t, 1, ratio, i)
		}
	}
	require.EqualValues(t, 1, paces.Ratio("unknown", now))
}
