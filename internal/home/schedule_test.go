package home

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// opKind is the kind of an event in a schedule.
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

// op is one event: after wait, a fault or a change is applied to a home or to the
// platform. The meaning of amount depends on kind.
type op struct {
	wait   time.Duration
	kind   opKind
	home   string
	amount int
}

func (o op) String() string {
	return fmt.Sprintf("+%v %s %s %d", o.wait, opNames[o.kind], o.home, o.amount)
}

// homeNames are the names of the homes in a schedule.
var homeNames = []string{"a", "b", "c"}

// maxOps is the maximum number of events in a schedule.
const maxOps = 20

// schedule defines one run: its events, its number of callers and their seed.
type schedule struct {
	ops     []op
	callers int
	seed    int64
	pace    time.Duration
}

// drawSchedule draws a random schedule.
func drawSchedule(t *rapid.T) schedule {
	draw := rapid.Custom(func(t *rapid.T) op {
		return op{
			wait:   time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond,
			kind:   opKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")),
			home:   rapid.SampledFrom(homeNames).Draw(t, "home"),
			amount: rapid.IntRange(1, 3).Draw(t, "n"),
		}
	})
	return schedule{
		ops:     rapid.SliceOfN(draw, 4, maxOps).Draw(t, "ops"),
		callers: rapid.IntRange(1, 3).Draw(t, "callers"),
		seed:    rapid.Int64().Draw(t, "seed"),
		pace:    time.Duration(rapid.IntRange(0, 200).Draw(t, "pace")) * time.Millisecond,
	}
}
