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
	// Importing go-zero starts background goroutines.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// newView returns the membership view of daemon self, with the given daemons live.
func newView(self string, live ...string) member.View {
	network := peers.New(nil)
	for _, name := range live {
		network.Join(structs.Instance{Name: name, Region: "r", State: structs.StateLive})
	}
	node := network.Join(structs.Instance{Name: self, Region: "r", State: structs.StateLive})
	node.SetLive(live...)
	return node
}

// shortRetry keeps tests that exhaust the retries short.
var shortRetry = front.Config{
	Shards: 4, RetryLimit: 200 * time.Millisecond, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond,
}

// longRetry retries for longer than any test runs.
var longRetry = front.Config{
	Shards: 4, RetryLimit: time.Minute, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond,
}

// newLocal returns a front of a fleet with one daemon.
func newLocal(config front.Config, local home.Service) *front.Front {
	return front.New(config, newView("a", "a"), nil, local, metrics.NewSet(), testbed.NoLog())
}

const program = "r.1.p"

// emit sends one event per text, followed by the final event.
func emit(sink structs.Sink, texts ...string) error {
	for i, text := range texts {
		if err := sink(structs.Event{Seq: i + 1, Text: text}); err != nil {
			return err
		}
	}
	return sink(structs.Event{Seq: len(texts) + 1, Done: true})
}

// collector is a sink that checks the event numbers and concatenates the text.
type collector struct {
	t    *testing.T
	seq  int
	text string
	done bool
}

func (c *collector) sink(e structs.Event) error {
	c.seq++
	require.Equal(c.t, c.seq, e.Seq)
	require.False(c.t, c.done, "event after the final one")
	c.text += e.Text
	c.done = e.Done
	return nil
}

// startPeer runs a transport that serves local until the test ends.
func startPeer(t *testing.T, name string, local home.Service) *peer.Transport {
	t.Helper()
	tr := peer.NewTransport(peer.Config{Listen: "127.0.0.1:0"}, name, nil, metrics.NewSet(), testbed.NoLog())
	front.Serve(tr, local)
	require.NoError(t, tr.Listen())
	t.Cleanup(testbed.Start(tr.Run).Stop)
	return tr
}

func TestRequestsAreForwardedToRemoteHome(t *testing.T) {
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
	f := front.New(shortRetry, newView("a", "b"), a, &homes.Stub{}, metrics.NewSet(), testbed.NoLog())

	opened, err := f.Open(t.Context(), structs.OpenRequest{Entry: "e"})
	require.NoError(t, err)
	got := &collector{t: t}
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

// errPeerLost returns the failure seen when a home is lost after the request was sent.
func errPeerLost() error { return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "lost") }

func TestAnswerContinuesAfterHomeIsLost(t *testing.T) {
	attempt := 0
	f := newLocal(longRetry, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
		attempt++
		switch attempt {
		case 1:
			_ = sink(structs.Event{Seq: 1, Text: "one "})
			_ = sink(structs.Event{Seq: 2, Text: "two "})
			return errPeerLost()
		case 2:
			// Fails within the text that the caller already has.
			_ = sink(structs.Event{Seq: 1, Text: "o"})
			return errPeerLost()
		default:
			// The same text, split into different events.
			return emit(sink, "one t", "wo thr", "ee")
		}
	}})
	got := &collector{t: t}
	require.NoError(t, f.Turn(t.Context(), structs.TurnRequest{Program: program, Turn: 1}, got.sink))
	require.Equal(t, "one two three", got.text)
	require.True(t, got.done)
	require.Equal(t, 3, attempt)
}

func TestAnswersWithDifferentTextAreNotCombined(t *testing.T) {
	for name, second := range map[string][]string{
		"different text":  {"one ", "TWO ", "three"},
		"shorter":         {"one "},
		"different start": {"One two three"},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := 0
			f := newLocal(longRetry, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
				attempt++
				if attempt == 1 {
					_ = sink(structs.Event{Seq: 1, Text: "one "})
					_ = sink(structs.Event{Seq: 2, Text: "two "})
					return errPeerLost()
				}
				return emit(sink, second...)
			}})
			got := &collector{t: t}
			err := f.Turn(t.Context(), structs.TurnRequest{Program: program, Turn: 1}, got.sink)
			require.True(t, verdict.HasReason(err, verdict.AnswerRestarted), "%v", err)
			require.True(t, verdict.Is(err, verdict.MayHaveRun))
			require.Equal(t, "one two ", got.text)
			require.False(t, got.done)
		})
	}
}

func TestResumeVerifiesTextBeforePosition(t *testing.T) {
	text := []string{"one ", "two ", "three"}
	f := newLocal(shortRetry, &homes.Stub{OnResume: func(_ context.Context, r structs.ResumeRequest, sink structs.Sink) error {
		require.Zero(t, r.After)
		return emit(sink, text...)
	}})
	from := structs.StartPosition()
	from.Advance("one two ")
	from.Seq = 2
	got := &collector{t: t, seq: 2}
	require.NoError(t, f.Resume(t.Context(), structs.ResumeRequest{Program: program, Turn: 1, From: from}, got.sink))
	require.Equal(t, "three", got.text)

	text = []string{"one ", "2 ", "three"}
	err := f.Resume(t.Context(), structs.ResumeRequest{Program: program, Turn: 1, From: from}, got.sink)
	require.True(t, verdict.HasReason(err, verdict.AnswerRestarted))
}

func TestRetriesReuseCallKey(t *testing.T) {
	var keys []string
	f := newLocal(longRetry, &homes.Stub{OnCall: func(_ context.Context, r structs.CallRequest) (structs.CallReply, error) {
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

	// The key depends on the field boundaries.
	request.Path, request.Body = "/pb", nil
	_, err = f.Call(t.Context(), request)
	require.NoError(t, err)
	require.NotEqual(t, keys[0], keys[3])
}

// TestVerdictOfAllAttempts checks that not_run is returned only when every attempt
// was refused.
func TestVerdictOfAllAttempts(t *testing.T) {
	refused := verdict.Refuse(verdict.NotHome, "moved")
	full := verdict.Refuse(verdict.QueueFull, "full")
	cases := map[string]struct {
		failures []error
		want     verdict.Verdict
		reason   verdict.Reason
	}{
		"refused until the limit":  {[]error{refused}, verdict.NotRun, verdict.NotHome},
		"lost until the limit":     {[]error{errPeerLost()}, verdict.MayHaveRun, verdict.PeerLost},
		"lost, then refused":       {[]error{errPeerLost(), refused}, verdict.MayHaveRun, verdict.NotHome},
		"lost, then full":          {[]error{errPeerLost(), full}, verdict.MayHaveRun, verdict.QueueFull},
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

func TestSubAgentIsPlacedInParentShard(t *testing.T) {
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

func TestRequestWithoutLiveHomeIsNotRun(t *testing.T) {
	f := front.New(shortRetry, newView("a"), nil, &homes.Stub{}, metrics.NewSet(), testbed.NoLog())
	for program, reason := range map[string]verdict.Reason{"nonsense": verdict.BadRequest, program: verdict.NotHome} {
		_, err := f.Call(t.Context(), structs.CallRequest{Program: program})
		require.True(t, verdict.HasReason(err, reason), "%v", err)
		require.True(t, verdict.Is(err, verdict.NotRun), "%v", err)
	}
}
