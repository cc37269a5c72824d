package dispatch

import (
	"maps"
	"sync"
)

// unknownCounts counts, per program, the consecutive sweeps in which the home did
// not know the program.
type unknownCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newUnknownCounts() *unknownCounts { return &unknownCounts{counts: map[string]int{}} }

func (u *unknownCounts) increment(program string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[program]++
	return u.counts[program]
}

func (u *unknownCounts) reset(program string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.counts, program)
}

// retain removes the programs that the engine no longer holds.
func (u *unknownCounts) retain(held map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.counts, func(program string, _ int) bool {
		_, ok := held[program]
		return !ok
	})
}
