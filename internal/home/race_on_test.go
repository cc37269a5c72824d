//go:build race

package home

// defaultSchedules is the default number of random schedules. It is lower under the
// race detector, which makes each schedule several times slower; the full number runs
// without it.
const defaultSchedules = 300
