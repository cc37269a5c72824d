package dispatch

import (
	"maps"
	"sync"
)

// doubts counts the sweeps in a row that found a program unknown to its home.
type doubts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newDoubts() *doubts { return &doubts{counts: map[string]int{}} }

func (d *doubts) add(program string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[program]++
	return d.counts[program]
}

func (d *doubts) clear(program string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.counts, program)
}

// keep drops the programs that the engine no longer holds.
func (d *doubts) keep(held map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.counts, func(program string, _ int) bool {
		_, ok := held[program]
		return !ok
	})
}
