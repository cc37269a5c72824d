package home

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/dispatch"
	"ibisline/internal/fake/objects"
	"ibisline/internal/journal"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// refusal is a request that a home with the open program "p" must refuse.
type refusal struct {
	name    string
	reason  verdict.Reason
	request func(ctx context.Context, cl *cluster, d *daemon) error
}

// turnWith returns a request for turn 1 of "p", modified by change.
func turnWith(change func(r *structs.TurnRequest)) func(context.Context, *cluster, *daemon) error {
	return func(ctx context.Context, _ *cluster, d *daemon) error {
		r := turnRequest(programID("p"), 1)
		change(&r)
		return d.Turn(ctx, r, (&eventCollector{}).sink)
	}
}

// openWith returns a request to open a program.
func openWith(entry, program, parent string) func(context.Context, *cluster, *daemon) error {
	return func(ctx context.Context, _ *cluster, d *daemon) error {
		_, err := d.Open(ctx, structs.OpenRequest{Entry: entry, Program: program, Parent: parent})
		return err
	}
}

// afterEnd returns a request that ends "p" first.
func afterEnd(ask func(context.Context, *cluster, *daemon) error) func(context.Context, *cluster, *daemon) error {
	return func(ctx context.Context, cl *cluster, d *daemon) error {
		if err := d.End(ctx, programID("p")); err != nil {
			return err
		}
		return ask(ctx, cl, d)
	}
}

// openNested opens sub-agents of sub-agents until one is refused.
func openNested(ctx context.Context, cl *cluster, d *daemon) error {
	parent := programID("p")
	for i := 0; ; i++ {
		child := programID(fmt.Sprintf("c%d", i))
		if err := openWith("desk", child, parent)(ctx, cl, d); err != nil {
			return err
		}
		parent = child
	}
}

// endWhileWaiting ends a program while its call waits for a slot.
func endWhileWaiting(ctx context.Context, cl *cluster, d *daemon) error {
	d.deps.Router = slotHook{Router: cl.backends, before: func() { _ = d.End(ctx, programID("p")) }}
	_, err := d.Call(ctx, callRequest(programID("p"), "k"))
	return err
}

var refusals = []refusal{
	{"program identifier", verdict.BadRequest, func(ctx context.Context, _ *cluster, d *daemon) error { return d.End(ctx, "x") }},
	{"unknown program", verdict.UnknownProgram, func(ctx context.Context, _ *cluster, d *daemon) error { return d.End(ctx, programID("x")) }},
	{"identifier to open", verdict.BadRequest, openWith("desk", "x", "")},
	{"unknown entry", verdict.UnknownEntry, openWith("shelf", programID("q"), "")},
	{"opened under another entry", verdict.BadRequest, openWith("other", programID("p"), "")},
	{"opened after its end", verdict.ProgramEnded, afterEnd(openWith("desk", programID("p"), ""))},
	{"unknown parent", verdict.UnknownProgram, openWith("desk", programID("q"), programID("x"))},
	{"ended parent", verdict.ProgramEnded, afterEnd(openWith("desk", programID("q"), programID("p")))},
	{"nested too deep", verdict.BadRequest, openNested},
	{"turn without number", verdict.BadRequest, turnWith(func(r *structs.TurnRequest) { r.Turn = 0 })},
	{"turn too large", verdict.BadRequest, turnWith(func(r *structs.TurnRequest) {
		r.Messages[0].Content = strings.Repeat("x", maxTurnBytes)
	})},
	{"resend from later", verdict.BadRequest, turnWith(func(r *structs.TurnRequest) { r.ResendFrom = 1 })},
	{"resend without answers", verdict.BadRequest, turnWith(func(r *structs.TurnRequest) {
		r.Turn, r.ResendFrom, r.Digest = 2, 1, "00"
	})},
	{"turn of an ended program", verdict.ProgramEnded, afterEnd(turnWith(func(*structs.TurnRequest) {}))},
	{"copy for an ended program", verdict.ProgramEnded, afterEnd(func(_ context.Context, _ *cluster, d *daemon) error {
		return d.RecordHolder(programID("p"), engines[0].Name)
	})},
	{"unknown turn resumed", verdict.TurnOutOfOrder, func(ctx context.Context, _ *cluster, d *daemon) error {
		return d.Resume(ctx, structs.ResumeRequest{Program: programID("p"), Turn: 7}, (&eventCollector{}).sink)
	}},
	{"caller left early", verdict.Canceled, func(ctx context.Context, _ *cluster, d *daemon) error {
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		return d.Turn(ctx, turnRequest(programID("p"), 2), (&eventCollector{}).sink)
	}},
	{"call without service", verdict.BadRequest, func(ctx context.Context, _ *cluster, d *daemon) error {
		_, err := d.Call(ctx, structs.CallRequest{Program: programID("p"), Key: "k"})
		return err
	}},
	{"ended while the call waited", verdict.ProgramEnded, endWhileWaiting},
	{"shard object malformed", verdict.Internal, func(ctx context.Context, cl *cluster, d *daemon) error {
		key := journal.Key(structs.ShardID(testRegion + ".1"))
		if _, err := cl.objects.Put(ctx, key, []byte("x"), objectapi.NoVersion); err != nil {
			return err
		}
		return openWith("desk", testRegion+".1.q", "")(ctx, cl, d)
	}},
}

// slotHook calls before ahead of each slot acquisition.
type slotHook struct {
	dispatch.Router
	before func()
}

func (h slotHook) AcquireSlot(ctx context.Context, r structs.SlotRequest) (structs.Slot, error) {
	h.before()
	return h.Router.AcquireSlot(ctx, r)
}

// Each request is made at a new home.
func TestRefusalsOfTheHomeRunNothing(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				cl.entries.put(structs.Entry{Name: "other", Owner: "weavers", Share: 1})
				d := cl.start("a")
				cl.open(t, d, "p")
				err := r.request(context.Background(), cl, d)
				require.True(t, verdict.HasReason(err, r.reason), "%v", err)
				require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
				require.Zero(t, cl.backends.runs)
				require.Empty(t, cl.backends.sent)
			})
		})
	}
}

func TestFullShardRefusesNewPrograms(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		const programs = 2000
		d := cl.start("a")
		cl.open(t, d, "p")
		cl.objects.SetFaults(objects.Faults{Slow: 100 * time.Millisecond})
		results := make(chan error, programs)
		for i := range programs {
			go func() { results <- openWith("desk", programID(fmt.Sprint("q", i)), "")(context.Background(), cl, d) }()
		}
		refused := 0
		for range programs {
			if err := <-results; err != nil {
				require.True(t, verdict.HasReason(err, verdict.QueueFull), "%v", err)
				require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
				refused++
			}
		}
		require.NotZero(t, refused)
		require.Less(t, refused, programs)
	})
}

func TestOtherContentUnderTheSameKeyIsAConflict(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.entries.put(structs.Entry{Name: "desk", Owner: "weavers", BudgetCalls: 1, Share: 1})
		d := cl.start("a")
		id := cl.open(t, d, "p")
		_, err := d.Call(context.Background(), callRequest(id, "k"))
		require.NoError(t, err)
		other := callRequest(id, "k")
		other.Body = []byte("other")
		_, err = d.Call(context.Background(), other)
		require.True(t, verdict.HasReason(err, verdict.TurnConflict), "%v", err)
		_, err = d.Call(context.Background(), callRequest(id, "second"))
		require.True(t, verdict.HasReason(err, verdict.BudgetSpent), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
		require.Zero(t, cl.backends.sends(id+"/second"))
	})
}
