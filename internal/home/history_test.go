package home

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// answerDuringOutage gives turns 2 and 3 while the platform takes no writes and
// then loses the only home that has them.
func answerDuringOutage(t *testing.T, w *world) (id string, answers []*collect) {
	d := w.start("a")
	id = w.open(t, d, "p")
	answers = append(answers, runTurn(t, d, turnRequest(id, 1)))
	w.objects.SetFaults(objects.Faults{Outage: true})
	for turn := 2; turn <= 3; turn++ {
		answers = append(answers, runTurn(t, d, turnRequest(id, turn)))
	}
	w.crash("a")
	w.objects.SetFaults(objects.Faults{})
	return id, answers
}

func digestOf(c *collect) string { return c.events[len(c.events)-1].Digest }

// resendRequest is turn 4 with turns 2 and 3 before it.
func resendRequest(id string, answers []*collect) structs.TurnRequest {
	r := turnRequest(id, 4)
	var messages []structs.Message
	for turn := 2; turn <= 3; turn++ {
		messages = append(messages, turnRequest(id, turn).Messages...)
		messages = append(messages, structs.Message{Role: "assistant", Content: answers[turn-1].text()})
	}
	r.Messages = append(messages, r.Messages...)
	r.ResendFrom = 2
	r.Digest = digestOf(answers[2])
	return r
}

func TestHistoryLostInAnOutageIsResentAndVerified(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		id, answers := answerDuringOutage(t, w)
		b := w.start("b")
		next := turnRequest(id, 4)
		next.Digest = digestOf(answers[2])
		err := b.Turn(context.Background(), next, (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.HistoryGap), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Equal(t, 2, verdict.From(err).Turn)

		runTurn(t, b, resendRequest(id, answers))
		prompt := w.backends.promptsOf(id, 4)[0]
		for _, answer := range answers {
			require.Contains(t, prompt, answer.text())
		}
		require.Equal(t, 7, strings.Count(prompt, "|"))
		runTurn(t, b, resendRequest(id, answers))
		require.Len(t, w.backends.promptsOf(id, 4), 1)
	})
}

func TestResentHistoryThatDiffersIsRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		id, answers := answerDuringOutage(t, w)
		b := w.start("b")
		r := resendRequest(id, answers)
		r.Messages[1].Content += "x"
		err := b.Turn(context.Background(), r, (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.HistoryGap), "%v", err)
		require.Equal(t, 2, b.nextTurnOf(t, id))
	})
}

func (d *daemon) nextTurnOf(t require.TestingT, id string) int {
	state, err := d.State(context.Background(), id)
	require.NoError(t, err)
	return state.NextTurn
}

func TestLongHistorySurvivesInFewSegments(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cfg.Journal.TailBytes = 1 << 10
		w.cfg.Journal.MaxBlocks = 4
		d := w.start("a")
		id, other := w.open(t, d, "p"), w.open(t, d, "q")
		const turns = 120
		for turn := 1; turn <= turns; turn++ {
			runTurn(t, d, turnRequest(id, turn))
			runTurn(t, d, turnRequest(other, turn))
			time.Sleep(time.Second)
		}
		require.NoError(t, d.End(context.Background(), other))
		time.Sleep(2 * time.Minute)
		w.crash("a")
		before := w.objects.Counts().Gets
		b := w.start("b")
		runTurn(t, b, turnRequest(id, turns+1))
		require.Equal(t, 2*turns+1, strings.Count(w.backends.promptsOf(id, turns+1)[0], "|"))
		require.Less(t, w.objects.Counts().Gets-before, 12)
	})
}

func TestSegmentsOfEndedProgramsAreDeleted(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cfg.Journal.TailBytes = 1 << 10
		w.cfg.KeepEnded = time.Minute
		w.live.servers = engines
		d := w.start("a")
		id := w.open(t, d, "p")
		for turn := 1; turn <= 20; turn++ {
			runTurn(t, d, turnRequest(id, turn))
		}
		require.NotEmpty(t, w.segments(t))
		require.NoError(t, d.End(context.Background(), id))
		time.Sleep(2 * time.Minute)
		require.Empty(t, w.segments(t))
	})
}

func (w *world) segments(t require.TestingT) []objectapi.Object {
	list, _, err := w.objects.List(context.Background(), structs.SegmentPrefix)
	require.NoError(t, err)
	return list
}

func TestMissingSegmentIsAHistoryGap(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cfg.Journal.TailBytes = 1
		d := w.start("a")
		id := w.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		runTurn(t, d, turnRequest(id, 2))
		w.crash("a")
		for _, segment := range w.segments(t) {
			require.NoError(t, w.objects.Delete(context.Background(), segment.Key, segment.Version))
		}
		b := w.start("b")
		err := b.Turn(context.Background(), turnRequest(id, 3), (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.HistoryGap), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
	})
}

func TestLargeOutcomeSurvivesInASegment(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		large := callRequest(id, "k")
		w.backends.body = []byte(strings.Repeat("x", 100<<10))
		_, err := d.Call(context.Background(), large)
		require.NoError(t, err)
		w.crash("a")
		reply, err := w.start("b").Call(context.Background(), large)
		require.NoError(t, err)
		require.Equal(t, w.backends.body, reply.Body)
		require.Equal(t, 1, w.backends.sends(id+"/k"))
	})
}

func TestDumpIsJSON(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		d := w.start("a")
		id := w.open(t, d, "p")
		text, err := json.Marshal(d.Dump())
		require.NoError(t, err)
		require.Contains(t, string(text), id)
	})
}

func TestTurnOnAnotherAnswerThanTheStoredOneIsAConflict(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		id, answers := answerDuringOutage(t, w)
		b := w.start("b")
		again := runTurn(t, b, turnRequest(id, 2))
		require.NotEqual(t, answers[1].text(), again.text())
		next := turnRequest(id, 3)
		next.Digest = digestOf(answers[1])
		err := b.Turn(context.Background(), next, (&collect{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnConflict), "%v", err)
		next.Digest = digestOf(again)
		runTurn(t, b, next)
	})
}

func TestSegmentThatNoStateRefersToIsDeleted(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cfg.Journal.TailBytes = 1
		p := newProcess(w, "a")
		d := w.startWith("a", func(d *Deps) { d.Store = &faultyStore{Store: w.objects, process: p} })
		id := w.open(t, d, "p")
		// The home dies after it wrote the segment and before the shard object.
		p.arm(afterPut)
		go func() { _ = d.Turn(context.Background(), turnRequest(id, 1), (&collect{}).sink) }()
		<-p.dead
		w.crash("a")
		require.Len(t, w.segments(t), 1)
		w.start("b")
		time.Sleep(time.Minute)
		require.Empty(t, w.segments(t))
	})
}
