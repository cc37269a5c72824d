//go:build !race

package home

// defaultSchedules is the default number of random schedules.
const defaultSchedules = 2000
