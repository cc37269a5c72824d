package api_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"ibisline/internal/api"
	"ibisline/internal/fake/homes"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/home"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// waitLimit bounds the wait for a condition that must become true.
const waitLimit = 20 * time.Second

// testServer is a running API.
type testServer struct {
	t   *testing.T
	api *api.API
	url string
}

// serve runs an API in front of service until the test ends.
func serve(t *testing.T, service home.Service, config api.Config) *testServer {
	t.Helper()
	server, err := api.NewServer(api.RestConf("test"))
	require.NoError(t, err)
	a := api.Register(server.Rest(), service, config, metrics.NewSet(), testbed.NoLog())
	require.NoError(t, server.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return &testServer{t: t, api: a, url: "http://" + server.Addr()}
}

// answer is a response with its complete body.
type answer struct {
	status int
	header http.Header
	body   string
}

// failure is the JSON body of a failed request.
type failure struct {
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
}

func (a answer) failure(t *testing.T) failure {
	t.Helper()
	var f failure
	require.NoError(t, json.Unmarshal([]byte(a.body), &f), a.body)
	return f
}

func (s *testServer) do(method, path, body string) answer {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.url+path, strings.NewReader(body))
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return answer{response.StatusCode, response.Header, string(text)}
}

// event is a server-sent event as a caller receives it.
type event struct {
	id string
	structs.Event
}

// readEvents reads all events of a stream.
func readEvents(t *testing.T, body io.Reader) []event {
	t.Helper()
	var events []event
	for e, err := range sse.Read(body, nil) {
		require.NoError(t, err)
		got := event{id: e.LastEventID}
		require.NoError(t, json.Unmarshal([]byte(e.Data), &got.Event), e.Data)
		events = append(events, got)
	}
	return events
}

const turnBody = `{"turn":1,"model":"m","max_tokens":9,"messages":[{"role":"user","content":"hi"}]}`

// sendAnswer sends a complete answer in three events.
func sendAnswer(sink structs.Sink) error {
	for i, text := range []string{"one ", "two\n"} {
		if err := sink(structs.Event{Seq: i + 1, Text: text}); err != nil {
			return err
		}
	}
	return sink(structs.Event{Seq: 3, Done: true, Engine: "e1"})
}

func TestTurnIsStreamedAsEvents(t *testing.T) {
	s := serve(t, &homes.Stub{OnTurn: func(_ context.Context, r structs.TurnRequest, sink structs.Sink) error {
		require.Equal(t, "r.1.p", r.Program)
		return sendAnswer(sink)
	}}, api.Config{})
	got := s.do(http.MethodPost, "/v1/programs/r.1.p/turns", turnBody)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "text/event-stream", got.header.Get("Content-Type"))
	require.Equal(t, "ran", got.header.Get(api.HeaderVerdict))
	require.NotEmpty(t, got.header.Get(api.HeaderRequestID))
	events := readEvents(t, strings.NewReader(got.body))
	require.Len(t, events, 3)
	require.Equal(t, "two\n", events[1].Text)
	require.True(t, strings.HasPrefix(events[1].id, "2-8-"), events[1].id)
	require.True(t, events[2].Done)
	require.Equal(t, "e1", events[2].Engine)
}

func TestResumePassesPosition(t *testing.T) {
	var received structs.ResumeRequest
	s := serve(t, &homes.Stub{
		OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error { return sendAnswer(sink) },
		OnResume: func(_ context.Context, r structs.ResumeRequest, sink structs.Sink) error {
			received = r
			return sink(structs.Event{Seq: 3, Done: true})
		},
	}, api.Config{})
	whole := readEvents(t, strings.NewReader(s.do(http.MethodPost, "/v1/programs/r.1.p/turns", turnBody).body))
	rest := readEvents(t, strings.NewReader(s.do(http.MethodGet, "/v1/programs/r.1.p/turns/1?after="+whole[1].id, "").body))
	require.Equal(t, 2, received.After)
	require.Equal(t, len("one two\n"), received.From.Bytes)
	require.True(t, received.From.HasChecksum())
	require.Equal(t, whole[2].id, rest[0].id)

	s.do(http.MethodGet, "/v1/programs/r.1.p/turns/1?after=2", "")
	require.Equal(t, 2, received.After)
	require.False(t, received.From.HasChecksum())

	got := s.do(http.MethodGet, "/v1/programs/r.1.p/turns/1?after=x-y", "")
	require.Equal(t, http.StatusBadRequest, got.status)
}

func TestFailureBeforeAndAfterFirstEvent(t *testing.T) {
	s := serve(t, &homes.Stub{OnTurn: func(_ context.Context, r structs.TurnRequest, sink structs.Sink) error {
		if r.Model == "full" {
			return verdict.Refuse(verdict.QueueFull, "full").RetryIn(2500 * time.Millisecond)
		}
		_ = sink(structs.Event{Seq: 1, Text: "half"})
		return verdict.New(verdict.MayHaveRun, verdict.AnswerRestarted, "again")
	}}, api.Config{})
	got := s.do(http.MethodPost, "/v1/programs/p/turns", strings.Replace(turnBody, `"m"`, `"full"`, 1))
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, "not_run", got.header.Get(api.HeaderVerdict))
	require.Equal(t, "3", got.header.Get("Retry-After"))
	require.Equal(t, "queue_full", got.failure(t).Reason)
	require.Equal(t, got.header.Get(api.HeaderRequestID), got.failure(t).RequestID)

	got = s.do(http.MethodPost, "/v1/programs/p/turns", turnBody)
	events := readEvents(t, strings.NewReader(got.body))
	require.Len(t, events, 2)
	require.Equal(t, 2, events[1].Seq)
	require.True(t, events[1].Done)
	require.Equal(t, verdict.AnswerRestarted, events[1].Err.Reason)
}

// TestBadRequestNamesFieldOrCause checks that an invalid request is refused with a
// message that names the invalid field or the cause.
func TestBadRequestNamesFieldOrCause(t *testing.T) {
	s := serve(t, &homes.Stub{}, api.Config{MaxBodyBytes: 300})
	open, turns, calls := "/v1/programs", "/v1/programs/p/turns", "/v1/programs/p/calls"
	cases := []struct {
		method, path, body string
		status             int
		message            string
	}{
		{"POST", open, ``, 400, "body: empty"},
		{"POST", open, `{`, 400, "body: unexpected EOF"},
		{"POST", open, `{"entry":"e"} {}`, 400, "more than one"},
		{"POST", open, `{"entri":"e"}`, 400, `unknown field "entri"`},
		{"POST", open, `{"entry":3}`, 400, "entry: number where string"},
		{"POST", open, `{}`, 400, "entry: missing"},
		{"POST", open, `{"entry":"` + strings.Repeat("e", 400) + `"}`, 413, "larger than 300 bytes"},
		{"POST", turns, `{"turn":0,"model":"m","max_tokens":1,"messages":[]}`, 400, "turn: 0"},
		{"POST", turns, `{"turn":1,"max_tokens":1,"messages":[]}`, 400, "model: missing"},
		{"POST", turns, `{"turn":1,"model":"m","max_tokens":1,"messages":[]}`, 400, "messages: missing"},
		{"POST", turns, `{"turn":1,"model":"m","messages":[{"role":"user"}]}`, 400, "max_tokens: 0"},
		{"POST", turns, `{"turn":1,"model":"m","max_tokens":1,"messages":[{"role":"boss"}]}`, 400, "messages[0].role"},
		{"POST", turns, `{"turn":1,"model":"m","max_tokens":1,"deadline_ms":-1,"messages":[{"role":"user"}]}`, 400, "deadline_ms: -1"},
		{"POST", calls, `{"turn":1,"path":"/x"}`, 400, "service: missing"},
		{"POST", calls, `{"turn":1,"service":"s","path":"x"}`, 400, "path:"},
		{"POST", calls, `{"turn":1,"service":"s","path":"/x","timeout_ms":-1}`, 400, "timeout_ms: -1"},
		{"GET", "/v1/programs/p/turns/zero", ``, 400, "turn:"},
		{"GET", "/v1/nothing", ``, 404, "no route"},
		{"PUT", open, ``, 405, "PUT"},
	}
	for _, c := range cases {
		got := s.do(c.method, c.path, c.body)
		require.Equal(t, c.status, got.status, "%s %s", c.path, c.body)
		require.Contains(t, got.failure(t).Message, c.message)
		require.Equal(t, "not_run", got.failure(t).Verdict)
		require.Equal(t, "not_run", got.header.Get(api.HeaderVerdict))
		require.NotEmpty(t, got.header.Get(api.HeaderRequestID))
	}
}

func TestDisconnectCancelsRequest(t *testing.T) {
	canceled := make(chan error, 1)
	s := serve(t, &homes.Stub{OnTurn: func(ctx context.Context, _ structs.TurnRequest, sink structs.Sink) error {
		if err := sink(structs.Event{Seq: 1, Text: "x"}); err != nil {
			return err
		}
		<-ctx.Done()
		canceled <- ctx.Err()
		return ctx.Err()
	}}, api.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/v1/programs/p/turns", strings.NewReader(turnBody))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	select {
	case <-canceled:
	case <-time.After(waitLimit):
		t.Fatal("the request context was not cancelled when the caller disconnected")
	}
}

// TestSlowCallerIsDropped checks that a caller that does not read is dropped and
// does not affect other requests.
func TestSlowCallerIsDropped(t *testing.T) {
	dropped := make(chan error, 1)
	s := serve(t, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
		text := strings.Repeat("x", 1<<20)
		for seq := 1; ; seq++ {
			if err := sink(structs.Event{Seq: seq, Text: text}); err != nil {
				dropped <- err
				return err
			}
		}
	}}, api.Config{WriteTimeout: 50 * time.Millisecond})
	response, err := http.Post(s.url+"/v1/programs/p/turns", "application/json", strings.NewReader(turnBody))
	require.NoError(t, err)
	defer response.Body.Close()
	select {
	case err := <-dropped:
		require.Error(t, err)
	case <-time.After(waitLimit):
		t.Fatal("the slow caller was not dropped")
	}
	require.Equal(t, http.StatusOK, s.do(http.MethodGet, "/healthz", "").status)
}

func TestDrainWaitsForStreams(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	s := serve(t, &homes.Stub{OnTurn: func(_ context.Context, _ structs.TurnRequest, sink structs.Sink) error {
		if err := sink(structs.Event{Seq: 1, Text: "a"}); err != nil {
			return err
		}
		close(started)
		<-release
		return sink(structs.Event{Seq: 2, Done: true})
	}}, api.Config{})
	got := make(chan answer, 1)
	go func() { got <- s.do(http.MethodPost, "/v1/programs/p/turns", turnBody) }()
	<-started

	// During the balancer delay, requests are still served.
	s.api.Leave()
	health := s.do(http.MethodGet, "/healthz", "")
	require.Equal(t, http.StatusServiceUnavailable, health.status)
	require.Contains(t, health.body, "leaving")
	require.Equal(t, http.StatusOK, s.do(http.MethodGet, "/v1/programs/p", "").status)

	drained := make(chan int, 1)
	go func() {
		assert.NoError(t, s.api.Drain(context.Background()))
		drained <- s.api.Active()
	}()
	require.Eventually(t, func() bool {
		return s.do(http.MethodGet, "/v1/programs/p", "").status == http.StatusServiceUnavailable
	}, waitLimit, time.Millisecond)
	refused := s.do(http.MethodGet, "/v1/programs/p", "")
	require.Equal(t, "stopping", refused.failure(t).Reason)
	require.Equal(t, "not_run", refused.failure(t).Verdict)
	require.Equal(t, 1, s.api.Active())

	close(release)
	require.Zero(t, <-drained)
	events := readEvents(t, strings.NewReader((<-got).body))
	require.True(t, events[len(events)-1].Done)
}
