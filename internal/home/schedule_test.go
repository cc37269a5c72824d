package home

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// opKind is one kind of event in a schedule.
type opKind int

const (
	opCrash opKind = iota
	opStart
	opPause
	opResume
	opDrain
	opAlone
	opOutage
	opSlow
	opHeal
	opLoseReplies
	opLateWrites
	opCrashAtPut
	opCrashAfterPut
	opCrashAtSend
	opCrashAfterSend
	opCrashAtGenerate
	opFailGenerate
	opFailSend
	opFailForget
	opKinds
)

var opNames = [opKinds]string{
	"crash", "start", "pause", "resume", "drain", "alone", "outage", "slow", "heal", "lose-replies", "late-writes",
	"crash-at-put", "crash-after-put", "crash-at-send", "crash-after-send", "crash-at-generate",
	"fail-generate", "fail-send", "fail-forget",
}

// op is one event: after a wait, something happens to a home or to the world.
type op struct {
	wait time.Duration
	kind opKind
	home string
	n    int
}

func (o op) String() string { return fmt.Sprintf("+%v %s %s %d", o.wait, opNames[o.kind], o.home, o.n) }

// homeNames are the homes of a schedule.
var homeNames = []string{"a", "b", "c"}

// maxOps bounds the events of a schedule.
const maxOps = 20

// schedule is what a run does: its events and the seed of its callers.
type schedule struct {
	ops     []op
	callers int
	seed    int64
	pace    time.Duration
}

// drawSchedule draws a schedule.
func drawSchedule(t *rapid.T) schedule {
	draw := rapid.Custom(func(t *rapid.T) op {
		return op{
			wait: time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond,
			kind: opKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")),
			home: rapid.SampledFrom(homeNames).Draw(t, "home"),
			n:    rapid.IntRange(1, 3).Draw(t, "n"),
		}
	})
	return schedule{
		ops:     rapid.SliceOfN(draw, 4, maxOps).Draw(t, "ops"),
		callers: rapid.IntRange(1, 3).Draw(t, "callers"),
		seed:    rapid.Int64().Draw(t, "seed"),
		pace:    time.Duration(rapid.IntRange(0, 200).Draw(t, "pace")) * time.Millisecond,
	}
}
