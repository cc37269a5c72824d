package front_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ibisline/internal/fake/homes"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/front"
	"ibisline/internal/home"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

func TestMain(m *testing.M) {
	// go-zero starts goroutines of its own when it is imported.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// viewOf returns the view of a daemon that takes the given ones to be live.
func viewOf(self string, live ...string) member.View {
	network := peers.New(nil)
	for _, name := range live {
		network.Join(structs.Instance{Name: name, Region: "r", State: structs.StateLive})
	}
	node := network.Join(structs.Instance{Name: self, Region: "r", State: structs.StateLive})
	node.SetLive(live...)
	return node
}

// shortRetry keeps the tests of exhausted retries short.
var shortRetry = front.Config{Shards: 4, RetryLimit: 200 * time.Millisecond, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond}

// patient retries for longer than any test waits.
var patient = front.Config{Shards: 4, RetryLimit: time.Minute, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond}

// newLocal returns a front whose only daemon is itself.
func newLocal(config front.Config, local home.Service) *front.Front {
	return front.New(config, viewOf("a", "a"), nil, local, metrics.NewSet(), testbed.NoLog())
}

const program = "r.1.p"

// emit sends the texts as events and then the last event.
func emit(sink structs.Sink, texts ...string) error {
	for i, text := range texts {
		if err := sink(structs.Event{Seq: i + 1, Text: text}); err != nil {
			return err
		}
	}
	return sink(structs.Event{Seq: len(texts) + 1, Done: true})
}

// collect is a sink that checks the numbering and keeps the text.
type collect struct {
	t    *testing.T
	seq  int
	text string
	done bool
}

func (c *collect) sink(e structs.Event) error {
	c.seq++
	require.Equal(c.t, c.seq, e.Seq)
	require.False(c.t, c.done, "event after the last one")
	c.text += e.Text
	c.done = e.Done
	return nil
}

// startPeer runs a transport that serves the given home until the test ends.
func startPeer(t *testing.T, name string, local home.Service) *peer.Transport {
	t.Helper()
	tr := peer.NewTransport(peer.Config{Listen: "127.0.0.1:0"}, name, nil, metrics.NewSet(), testbed.NoLog())
	front.Serve(tr, local)
	require.NoError(t, tr.Listen())
	t.Cleanup(testbed.Start(tr.Run).Stop)
	return tr
}

func TestRequestsReachTheHomeOfAnotherDaemon(t *testing.T) {
	remote := &homes.Stub{
		OnTurn: func(_ context.Context, r structs.TurnRequest, sink structs.Sink) error {
			return emit(sink, "turn ", fmt.Sprint(r.Turn), " of ", r.Program)
		},
		OnCall: func(_ context.Context, r structs.CallRequest) (structs.CallReply, error) {
			if r.Service == "down" {
				return structs.CallReply{}, verdict.Refuse(verdict.NoServer, "no server for %s", r.Service)
			}
			return structs.CallReply{Status: 200, Body: r.Body, Verdict: verdict.Ran}, nil
		},
	}
	b := startPeer(t, "b", remote)
	a := startPeer(t, "a", &homes.Stub{})
	a.SetResolver(func(string) (string, bool) { return b.Addr(), true })
	f := front.New(shortRetry, viewOf("a", "b"), a, &homes.Stub{}, metrics.NewSet(), testbed.NoLog())

	opened, err := f.Open(t.Context(), structs.OpenRequest{Entry: "e"})
	require.NoError(t, err)
	got := &collect{t: t}
	require.NoError(t, f.Turn(t.Context(), structs.TurnRequest{Program: opened.Program, Turn: 3}, got.sink))
	require.Equal(t, "turn 3 of "+opened.Program, got.text)
	require.True(t, got.done)

	reply, err := f.Call(t.Context(), structs.CallRequest{Program: program, Service: "s", Body: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, "x", string(reply.Body))
	require.Equal(t, verdict.Ran, reply.Verdict)

	_, err = f.Call(t.Context(), structs.CallRequest{Program: program, Service: "down"})
	require.True(t, verdict.Is(err, verdict.NotRun))
	require.True(t, verdict.HasReason(err, verdict.NoServer))

	state, err := f.State(t.Context(), program)
	require.NoError(t, err)
	require.Equal(t, program, state.Program)
	require.NoError(t, f.End(t.Context(), program))
}

// errLost is how the loss of a home shows after the request was sent.
func errLost() error { return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "lost") }

func TestAnswerGoesOnAfterTheHomeIsLost(t *testing.T) {
	attempt := 0
	f := newLocal(patient, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
		attempt++
		switch attempt {
		case 1:
			_ = sink(structs.Event{Seq: 1, Text: "one "})
			_ = sink(structs.Event{Seq: 2, Text: "two "})
			return errLost()
		case 2:
			// Stops inside the text that the caller has.
			_ = sink(structs.Event{Seq: 1, Text: "o"})
			return errLost()
		default:
			// The same text, cut into other events.
			return emit(sink, "one t", "wo thr", "ee")
		}
	}})
	got := &collect{t: t}
	require.NoError(t, f.Turn(t.Context(), structs.TurnRequest{Program: program, Turn: 1}, got.sink))
	require.Equal(t, "one two three", got.text)
	require.True(t, got.done)
	require.Equal(t, 3, attempt)
}

func TestAnswersWithOtherTextAreNotSpliced(t *testing.T) {
	for name, second := range map[string][]string{
		"other text":  {"one ", "TWO ", "three"},
		"shorter":     {"one "},
		"other start": {"One two three"},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := 0
			f := newLocal(patient, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
				attempt++
				if attempt == 1 {
					_ = sink(structs.Event{Seq: 1, Text: "one "})
					_ = sink(structs.Event{Seq: 2, Text: "two "})
					return errLost()
				}
				return emit(sink, second...)
			}})
			got := &collect{t: t}
			err := f.Turn(t.Context(), structs.TurnRequest{Program: program, Turn: 1}, got.sink)
			require.True(t, verdict.HasReason(err, verdict.AnswerRestarted), "%v", err)
			require.True(t, verdict.Is(err, verdict.MayHaveRun))
			require.Equal(t, "one two ", got.text)
			require.False(t, got.done)
		})
	}
}

func TestResumeChecksTheTextBeforeThePosition(t *testing.T) {
	text := []string{"one ", "two ", "three"}
	f := newLocal(shortRetry, &homes.Stub{OnResume: func(_ context.Context, r structs.ResumeRequest, sink structs.Sink) error {
		require.Zero(t, r.After)
		return emit(sink, text...)
	}})
	from := structs.Start()
	from.Advance("one two ")
	from.Seq = 2
	got := &collect{t: t, seq: 2}
	require.NoError(t, f.Resume(t.Context(), structs.ResumeRequest{Program: program, Turn: 1, From: from}, got.sink))
	require.Equal(t, "three", got.text)

	text = []string{"one ", "2 ", "three"}
	err := f.Resume(t.Context(), structs.ResumeRequest{Program: program, Turn: 1, From: from}, got.sink)
	require.True(t, verdict.HasReason(err, verdict.AnswerRestarted))
}

func TestRepeatsKeepTurnAndKey(t *testing.T) {
	var keys []string
	f := newLocal(patient, &homes.Stub{OnCall: func(_ context.Context, r structs.CallRequest) (structs.CallReply, error) {
		keys = append(keys, r.Key)
		if len(keys) < 3 {
			return structs.CallReply{}, verdict.Refuse(verdict.NotHome, "moved")
		}
		return structs.CallReply{Verdict: verdict.Ran}, nil
	}})
	request := structs.CallRequest{Program: program, Turn: 1, Service: "s", Path: "/p", Body: []byte("b")}
	_, err := f.Call(t.Context(), request)
	require.NoError(t, err)
	require.Len(t, keys, 3)
	require.Equal(t, keys[0], keys[1])
	require.Equal(t, keys[0], keys[2])

	// The border between the fields is part of the key.
	request.Path, request.Body = "/pb", nil
	_, err = f.Call(t.Context(), request)
	require.NoError(t, err)
	require.NotEqual(t, keys[0], keys[3])
}

// TestVerdictOfAllAttempts: not_run is said only when every attempt was refused.
func TestVerdictOfAllAttempts(t *testing.T) {
	refused := verdict.Refuse(verdict.NotHome, "moved")
	full := verdict.Refuse(verdict.QueueFull, "full")
	cases := map[string]struct {
		failures []error
		want     verdict.Verdict
		reason   verdict.Reason
	}{
		"refused until the limit":  {[]error{refused}, verdict.NotRun, verdict.NotHome},
		"lost until the limit":     {[]error{errLost()}, verdict.MayHaveRun, verdict.PeerLost},
		"lost, then refused":       {[]error{errLost(), refused}, verdict.MayHaveRun, verdict.NotHome},
		"lost, then full":          {[]error{errLost(), full}, verdict.MayHaveRun, verdict.QueueFull},
		"moved, then full":         {[]error{refused, full}, verdict.NotRun, verdict.QueueFull},
		"stopping until the limit": {[]error{verdict.Refuse(verdict.Stopping, "bye")}, verdict.NotRun, verdict.Stopping},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			attempt := 0
			f := newLocal(shortRetry, &homes.Stub{OnCall: func(context.Context, structs.CallRequest) (structs.CallReply, error) {
				err := c.failures[min(attempt, len(c.failures)-1)]
				attempt++
				return structs.CallReply{}, err
			}})
			_, err := f.Call(t.Context(), structs.CallRequest{Program: program})
			require.Equal(t, c.want, verdict.From(err).Verdict)
			require.Equal(t, c.reason, verdict.From(err).Reason)
		})
	}
}

func TestSubAgentLiesInItsParentsShard(t *testing.T) {
	f := newLocal(shortRetry, &homes.Stub{})
	first, err := f.Open(t.Context(), structs.OpenRequest{Entry: "e", Parent: "r.3.p", Key: "k"})
	require.NoError(t, err)
	shard, ok := structs.ShardOf(first.Program)
	require.True(t, ok)
	require.Equal(t, structs.ShardID("r.3"), shard)

	again, err := f.Open(t.Context(), structs.OpenRequest{Entry: "e", Parent: "r.3.p", Key: "k"})
	require.NoError(t, err)
	require.Equal(t, first, again)
	other, err := f.Open(t.Context(), structs.OpenRequest{Entry: "e", Parent: "r.3.q", Key: "k"})
	require.NoError(t, err)
	require.NotEqual(t, first, other)

	_, err = f.Open(t.Context(), structs.OpenRequest{Entry: "e", Parent: "nonsense"})
	require.True(t, verdict.HasReason(err, verdict.BadRequest))
}

func TestRequestWithoutAHomeIsNotRun(t *testing.T) {
	f := front.New(shortRetry, viewOf("a"), nil, &homes.Stub{}, metrics.NewSet(), testbed.NoLog())
	for program, reason := range map[string]verdict.Reason{"nonsense": verdict.BadRequest, program: verdict.NotHome} {
		_, err := f.Call(t.Context(), structs.CallRequest{Program: program})
		require.True(t, verdict.HasReason(err, reason), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
	}
}
