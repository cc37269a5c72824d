//go:build !race

package home

// defaultSchedules is the number of schedules of a run without flags.
const defaultSchedules = 2000
