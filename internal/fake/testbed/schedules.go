package testbed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// DefaultSchedules is the default number of schedules per shard.
const DefaultSchedules = 100

// defaultSeed makes runs without -rapid.seed draw the same schedules.
const defaultSeed = "1"

// Main implements TestMain for a package with random schedules and exits. schedules is
// the number of schedules per shard. The flags -rapid.checks and -rapid.seed
// override that number and the default seed.
func Main(m *testing.M, schedules int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setDefaultFlag(given, "rapid.checks", strconv.Itoa(schedules))
	setDefaultFlag(given, "rapid.seed", defaultSeed)
	os.Exit(m.Run())
}

// setDefaultFlag sets a flag unless the command line contains it.
func setDefaultFlag(given map[string]bool, name, value string) {
	if given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Schedules configures the random schedules of a test. A schedule is a sequence of
// actions of type Step.
type Schedules[Step any] struct {
	// Shards is the number of subtests that run in parallel.
	Shards int
	// Steps generates one step. MaxSteps bounds the length of a schedule.
	Steps    *rapid.Generator[Step]
	MaxSteps int
	// Run runs a schedule in a synctest bubble, with a seed for its latencies. It
	// returns the first violated invariant, or "".
	Run func(t *testing.T, steps []Step, seed int64) string
}

// Check runs the schedules and fails with the shortest one that violates an invariant.
func (s Schedules[Step]) Check(t *testing.T) {
	for shard := range s.Shards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { s.checkSchedule(t, rt, shard) })
		})
	}
}

// checkSchedule draws one schedule and runs it. All shards use the same rapid seed.
// Each skips a different number of draws, so that their schedules differ.
func (s Schedules[Step]) checkSchedule(t *testing.T, rt *rapid.T, shard int) {
	for range shard {
		rapid.Uint64().Draw(rt, "skipped")
	}
	steps := rapid.SliceOfN(s.Steps, 1, s.MaxSteps).Draw(rt, "steps")
	seed := rapid.Int64().Draw(rt, "latencies")
	var failure string
	synctest.Test(t, func(t *testing.T) { failure = s.Run(t, steps, seed) })
	if failure != "" {
		rt.Fatal(failure)
	}
}
