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

// UsualSchedules is the number of draws of a test that needs no other one.
const UsualSchedules = 100

// fixedSeed makes a run without -rapid.seed draw the same schedules each time.
const fixedSeed = "1"

// Main runs the tests of a package, in TestMain's place, with so many random
// schedules in each shard. The flags -rapid.checks and -rapid.seed override
// their number and the fixed seed.
func Main(m *testing.M, schedules int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setUnlessGiven(given, "rapid.checks", strconv.Itoa(schedules))
	setUnlessGiven(given, "rapid.seed", fixedSeed)
	os.Exit(m.Run())
}

// setUnlessGiven sets a flag that the command line does not name.
func setUnlessGiven(given map[string]bool, name, value string) {
	if given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Schedules describes the random schedules of a test. Step is one action of a
// schedule.
type Schedules[Step any] struct {
	// Shards is the number of parts that run in parallel.
	Shards int
	// Steps draws one step, and MaxSteps bounds the steps of a schedule.
	Steps    *rapid.Generator[Step]
	MaxSteps int
	// Run runs a schedule in a bubble of virtual time, with a seed for its
	// latencies. It returns the first broken promise, or "".
	Run func(t *testing.T, steps []Step, seed int64) string
}

// Check runs the schedules, and fails with the shortest one that breaks a promise.
func (s Schedules[Step]) Check(t *testing.T) {
	for shard := range s.Shards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { s.checkOne(t, rt, shard) })
		})
	}
}

// checkOne draws one schedule and runs it. Shards share rapid's seed; each skips
// another number of draws, so that their schedules differ.
func (s Schedules[Step]) checkOne(t *testing.T, rt *rapid.T, shard int) {
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
