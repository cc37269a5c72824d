package tokenbudget

import (
	"time"

	"github.com/apex/log"
)

// acquisition is one attempt of this daemon to become the home of a shard, with what led to
// it and how long its steps took. It is used by one goroutine.
type acquisition struct {
	// handed is the state received from the previous home in a planned handover, nil
	// otherwise.
	handed *handover
	// skipped lists the daemons that the first caller could not get a decision from.
	skipped  []string
	attempts int
	// incumbent is the home that the checkpoint or the journals name, incumbentState this
	// daemon's view of it, and incumbentAnswer its answer to whether it decides.
	incumbent       string
	incumbentState  string
	incumbentAnswer string
	// silent is the last activity of an incumbent that counts as dead.
	silent activity

	startedAt time.Time
	stepAt    time.Time
	// steps holds the duration of each step in milliseconds, by field name.
	steps log.Fields
}

func newAcquisition(handed *handover, skipped []string) *acquisition {
	now := time.Now()
	return &acquisition{handed: handed, skipped: skipped, startedAt: now, stepAt: now, steps: log.Fields{}}
}

// endStep records the time since the previous step under a name.
func (a *acquisition) endStep(name string) {
	now := time.Now()
	a.steps[name+"_ms"] = now.Sub(a.stepAt).Milliseconds()
	a.stepAt = now
}

// fields returns the fields of the log line about the outcome.
func (a *acquisition) fields() log.Fields {
	fields := log.Fields{
		"took_ms": time.Since(a.startedAt).Milliseconds(), "attempts": a.attempts, "skipped": a.skipped,
		"incumbent": a.incumbent, "incumbent_state": a.incumbentState, "incumbent_answer": a.incumbentAnswer,
	}
	for name, duration := range a.steps {
		fields[name] = duration
	}
	return fields
}
