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

// answerDuringOutage runs turns 2 and 3 while the platform accepts no writes, and then
// crashes the only home that has their answers.
func answerDuringOutage(t *testing.T, cl *cluster) (id string, answers []*eventCollector) {
	d := cl.start("a")
	id = cl.open(t, d, "p")
	answers = append(answers, runTurn(t, d, turnRequest(id, 1)))
	cl.objects.SetFaults(objects.Faults{Outage: true})
	for turn := 2; turn <= 3; turn++ {
		answers = append(answers, runTurn(t, d, turnRequest(id, turn)))
	}
	cl.crash("a")
	cl.objects.SetFaults(objects.Faults{})
	return id, answers
}

func digestOf(c *eventCollector) string { return c.events[len(c.events)-1].Digest }

// resendRequest returns turn 4 with the resent turns 2 and 3.
func resendRequest(id string, answers []*eventCollector) structs.TurnRequest {
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
	withCluster(t, func(t *testing.T, cl *cluster) {
		id, answers := answerDuringOutage(t, cl)
		b := cl.start("b")
		next := turnRequest(id, 4)
		next.Digest = digestOf(answers[2])
		err := b.Turn(context.Background(), next, (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.HistoryGap), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
		require.Equal(t, 2, verdict.From(err).Turn)

		runTurn(t, b, resendRequest(id, answers))
		prompt := cl.backends.promptsOf(id, 4)[0]
		for _, answer := range answers {
			require.Contains(t, prompt, answer.text())
		}
		require.Equal(t, 7, strings.Count(prompt, "|"))
		runTurn(t, b, resendRequest(id, answers))
		require.Len(t, cl.backends.promptsOf(id, 4), 1)
	})
}

func TestResentHistoryThatDiffersIsRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		id, answers := answerDuringOutage(t, cl)
		b := cl.start("b")
		r := resendRequest(id, answers)
		r.Messages[1].Content += "x"
		err := b.Turn(context.Background(), r, (&eventCollector{}).sink)
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
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.cfg.Journal.TailBytes = 1 << 10
		cl.cfg.Journal.MaxBlocks = 4
		d := cl.start("a")
		id, other := cl.open(t, d, "p"), cl.open(t, d, "q")
		const turns = 120
		for turn := 1; turn <= turns; turn++ {
			runTurn(t, d, turnRequest(id, turn))
			runTurn(t, d, turnRequest(other, turn))
			time.Sleep(time.Second)
		}
		require.NoError(t, d.End(context.Background(), other))
		time.Sleep(2 * time.Minute)
		cl.crash("a")
		before := cl.objects.Counts().Gets
		b := cl.start("b")
		runTurn(t, b, turnRequest(id, turns+1))
		require.Equal(t, 2*turns+1, strings.Count(cl.backends.promptsOf(id, turns+1)[0], "|"))
		require.Less(t, cl.objects.Counts().Gets-before, 12)
	})
}

func TestSegmentsOfEndedProgramsAreDeleted(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.cfg.Journal.TailBytes = 1 << 10
		cl.cfg.EndedRetention = time.Minute
		cl.membership.servers = engines
		d := cl.start("a")
		id := cl.open(t, d, "p")
		for turn := 1; turn <= 20; turn++ {
			runTurn(t, d, turnRequest(id, turn))
		}
		require.NotEmpty(t, cl.segments(t))
		require.NoError(t, d.End(context.Background(), id))
		time.Sleep(2 * time.Minute)
		require.Empty(t, cl.segments(t))
	})
}

func (cl *cluster) segments(t require.TestingT) []objectapi.Object {
	list, _, err := cl.objects.List(context.Background(), structs.SegmentPrefix)
	require.NoError(t, err)
	return list
}

func TestMissingSegmentIsAHistoryGap(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.cfg.Journal.TailBytes = 1
		d := cl.start("a")
		id := cl.open(t, d, "p")
		runTurn(t, d, turnRequest(id, 1))
		runTurn(t, d, turnRequest(id, 2))
		cl.crash("a")
		for _, segment := range cl.segments(t) {
			require.NoError(t, cl.objects.Delete(context.Background(), segment.Key, segment.Version))
		}
		b := cl.start("b")
		err := b.Turn(context.Background(), turnRequest(id, 3), (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.HistoryGap), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun))
	})
}

func TestLargeOutcomeSurvivesInASegment(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		large := callRequest(id, "k")
		cl.backends.body = []byte(strings.Repeat("x", 100<<10))
		_, err := d.Call(context.Background(), large)
		require.NoError(t, err)
		cl.crash("a")
		reply, err := cl.start("b").Call(context.Background(), large)
		require.NoError(t, err)
		require.Equal(t, cl.backends.body, reply.Body)
		require.Equal(t, 1, cl.backends.sends(id+"/k"))
	})
}

func TestDumpIsJSON(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		d := cl.start("a")
		id := cl.open(t, d, "p")
		text, err := json.Marshal(d.Dump())
		require.NoError(t, err)
		require.Contains(t, string(text), id)
	})
}

func TestTurnWithAnotherDigestThanTheStoredOneIsAConflict(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		id, answers := answerDuringOutage(t, cl)
		b := cl.start("b")
		again := runTurn(t, b, turnRequest(id, 2))
		require.NotEqual(t, answers[1].text(), again.text())
		next := turnRequest(id, 3)
		next.Digest = digestOf(answers[1])
		err := b.Turn(context.Background(), next, (&eventCollector{}).sink)
		require.True(t, verdict.HasReason(err, verdict.TurnConflict), "%v", err)
		next.Digest = digestOf(again)
		runTurn(t, b, next)
	})
}

func TestSegmentThatNoStateRefersToIsDeleted(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.cfg.Journal.TailBytes = 1
		p := newProcess(cl, "a")
		d := cl.startWith("a", func(d *Deps) { d.Store = &faultyStore{Store: cl.objects, process: p} })
		id := cl.open(t, d, "p")
		// The home dies after writing the segment and before writing the shard
		// object.
		p.arm(afterPut)
		go func() { _ = d.Turn(context.Background(), turnRequest(id, 1), (&eventCollector{}).sink) }()
		<-p.dead
		cl.crash("a")
		require.Len(t, cl.segments(t), 1)
		cl.start("b")
		time.Sleep(time.Minute)
		require.Empty(t, cl.segments(t))
	})
}
