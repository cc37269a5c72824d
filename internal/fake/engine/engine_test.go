package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/structs"
)

func user(content string) structs.Message {
	return structs.Message{Role: "user", Content: content}
}

// prompt returns one message of exactly so many tokens that asks for an answer
// of out tokens.
func prompt(tokens, out int) []structs.Message {
	mark := fmt.Sprintf("[out=%d]", out)
	return []structs.Message{user(mark + strings.Repeat("x", tokens*BytesPerToken-len(mark)))}
}

// run starts the engine's batch inside a synctest bubble.
func run(t *testing.T, settings Settings) *Engine {
	t.Helper()
	e := New(settings)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

// read collects an answer and returns it with the time of its first token and
// the time of its end.
func read(s *sequence) (text string, first, whole time.Duration) {
	start := time.Now()
	for piece := range s.pieces {
		if text == "" {
			first = time.Since(start)
		}
		text += piece
	}
	return text, first, time.Since(start)
}

func TestStepsSlowDownAsTheBatchGrows(t *testing.T) {
	alone := timeOfBatch(t, 1)
	crowded := timeOfBatch(t, 40)
	require.Greater(t, crowded, alone*3/2)
}

func timeOfBatch(t *testing.T, size int) (whole time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		e := run(t, DefaultSettings())
		var all []*sequence
		for i := range size {
			all = append(all, e.submit(fmt.Sprint(i), prompt(8, 100), 100))
		}
		for _, s := range all {
			_, _, took := read(s)
			whole += took
		}
	})
	return whole
}

func TestCachedPrefixSavesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := run(t, DefaultSettings())
		history := prompt(8000, 10)
		first := e.submit("p", history, 10)
		text, cold, _ := read(first)
		history = append(history, structs.Message{Role: "assistant", Content: text}, user("next"))

		_, warm, _ := read(e.submit("p", history, 10))
		require.Less(t, warm, cold/10)
		require.Equal(t, 8010, e.Counts().CachedTokens)

		_, other, _ := read(e.submit("q", history, 10))
		require.GreaterOrEqual(t, other, cold, "another program must not find the cache")
	})
}

func TestPrefillDelaysTheWholeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := run(t, settings)
		short := e.submit("short", prompt(8, 20), 20)
		e.submit("long", prompt(10_000, 1), 1)
		_, _, whole := read(short)
		require.Greater(t, whole, 20*settings.StepBase+10_000*settings.PrefillPerToken/2)
	})
}

func TestShortMemoryEvictsIdleProgramsAndKeepsArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.KVTokens = 1000
		e := run(t, settings)
		read(e.submit("old", prompt(300, 10), 10))
		read(e.submit("new", prompt(300, 10), 10))

		big := e.submit("big", prompt(500, 100), 100)
		synctest.Wait()
		require.NotContains(t, shownPrograms(t, e), "old")
		require.Contains(t, shownPrograms(t, e), "new")

		blocked := e.submit("blocked", prompt(600, 10), 10)
		behind := e.submit("behind", prompt(8, 1), 1)
		time.Sleep(time.Second)
		require.Equal(t, 2, e.Counts().Waiting, "the first that does not fit holds up those behind it")
		read(big)
		read(blocked)
		read(behind)
		require.LessOrEqual(t, e.Counts().KVUsed, settings.KVTokens)
	})
}

func TestCancelFreesMemoryAndReleaseDropsTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := run(t, DefaultSettings())
		s := e.submit("p", prompt(100, 1000), 1000)
		time.Sleep(time.Second)
		e.cancel(s)
		read(s)
		counts := e.Counts()
		require.Equal(t, 1, counts.Canceled)
		require.Less(t, counts.KVUsed, 300)

		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/kv/p", nil))
		require.Equal(t, http.StatusOK, w.Code)
		require.Zero(t, e.Counts().KVUsed)
	})
}

func TestReleaseDuringAStreamDropsTheCacheAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := run(t, DefaultSettings())
		s := e.submit("p", prompt(100, 50), 50)
		time.Sleep(100 * time.Millisecond)
		e.mu.Lock()
		_, ok := e.cache.release("p")
		e.mu.Unlock()
		require.True(t, ok)
		read(s)
		require.Empty(t, shownPrograms(t, e))
		require.Zero(t, e.Counts().KVUsed)
	})
}

func TestMarkedRequestCrashesAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := run(t, settings)
		innocent := e.submit("p", prompt(100, 1000), 1000)
		time.Sleep(time.Second)
		killer := e.submit("q", []structs.Message{user(settings.CrashMarker)}, 10)
		text, _, _ := read(innocent)
		read(killer)
		require.Less(t, len(text), 1000*BytesPerToken)
		require.True(t, innocent.crashed)
		require.Equal(t, 1, e.Counts().Crashes)
		require.True(t, e.submit("r", prompt(8, 1), 1).crashed, "a crashed engine runs nothing")

		e.Restart()
		_, cold, _ := read(e.submit("p", prompt(100, 1), 1))
		require.NotZero(t, cold)
		require.Zero(t, e.Counts().CachedTokens, "a crash loses the cache")
	})
}

func TestSpeedFaultSlowsOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := run(t, DefaultSettings())
		_, _, usual := read(e.submit("p", prompt(8, 100), 100))
		e.SetFaults(Faults{Speed: 0.25})
		_, _, slow := read(e.submit("q", prompt(8, 100), 100))
		require.InEpsilon(t, 4*usual, slow, 0.05)
	})
}

func TestLoadReportsAndCacheEventsAreLateWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := run(t, settings)
		time.Sleep(10 * time.Second)
		e.submit("p", prompt(8, 1000), 1000)
		time.Sleep(settings.LoadLag / 2)
		require.Zero(t, shownLoad(t, e).Running, "the report is older than the request")
		time.Sleep(settings.LoadLag)
		require.Equal(t, 1, shownLoad(t, e).Running)

		for i := range 20 {
			read(e.submit(fmt.Sprint(i), prompt(8, 1), 1))
		}
		time.Sleep(settings.EventLag)
		var seen kvEvents
		get(t, e, "/v1/kv/events?after=0", &seen)
		require.NotEmpty(t, seen.Events)
		require.Less(t, len(seen.Events), int(seen.Next))
	})
}

// get decodes the answer to a GET request.
func get(t *testing.T, e *Engine, path string, into any) {
	t.Helper()
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), into))
}

func shownLoad(t *testing.T, e *Engine) Load {
	t.Helper()
	var load Load
	get(t, e, "/v1/load", &load)
	return load
}

func shownPrograms(t *testing.T, e *Engine) map[string]int {
	t.Helper()
	var list kvListing
	get(t, e, "/v1/kv", &list)
	return list.Programs
}

func TestOldFencingNumberIsRefusedUnlessIgnored(t *testing.T) {
	e := New(DefaultSettings())
	require.Equal(t, http.StatusOK, sendOrder(e, 5))
	require.Equal(t, http.StatusConflict, sendOrder(e, 4))
	e.SetFaults(Faults{IgnoreFence: true})
	require.Equal(t, http.StatusOK, sendOrder(e, 4))
}

func sendOrder(e *Engine, fence int) int {
	body := strings.NewReader(fmt.Sprintf(`{"kind":"load_model","name":"m%d","fence":%d}`, fence, fence))
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/orders", body))
	return w.Code
}

func TestAnswerShowsLostAndMixedHistory(t *testing.T) {
	whole := []structs.Message{user("a"), user("b [out=8]")}
	text, finish := Answer(whole, 100)
	require.Equal(t, "stop", finish)
	require.Equal(t, 8, CountTokens(text))
	again, _ := Answer(whole, 100)
	require.Equal(t, text, again)
	lost, _ := Answer(whole[1:], 100)
	require.NotEqual(t, text, lost)
	cut, finish := Answer(whole, 5)
	require.Equal(t, "length", finish)
	require.True(t, strings.HasPrefix(text, cut))
}

func TestServeStreamsAndComesBackAfterACrash(t *testing.T) {
	settings := DefaultSettings()
	settings.Scale = 0.01
	e := New(settings)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, e, listener) }()
	url := "http://" + listener.Addr().String() + "/v1/chat/completions"

	body, err := post(url, "hello [out=3]")
	require.NoError(t, err)
	want, _ := Answer([]structs.Message{user("hello [out=3]")}, 50)
	require.Contains(t, body, want[:BytesPerToken])
	require.Contains(t, body, `"completion_tokens":3`)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))

	_, err = post(url, settings.CrashMarker)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		body, err := post(url, "again")
		return err == nil && strings.HasSuffix(body, "data: [DONE]\n\n")
	}, 30*time.Second, time.Millisecond)

	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

func post(url, content string) (string, error) {
	request := chatRequest{Model: "base", Messages: []structs.Message{user(content)}, MaxTokens: 50, User: "p"}
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	response, err := http.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}
