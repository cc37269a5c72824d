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

// prompt returns one message of the given number of tokens that requests an
// answer of out tokens.
func prompt(tokens, out int) []structs.Message {
	mark := fmt.Sprintf("[out=%d]", out)
	return []structs.Message{user(mark + strings.Repeat("x", tokens*BytesPerToken-len(mark)))}
}

// startEngine starts an engine's batch inside a synctest bubble.
func startEngine(t *testing.T, settings Settings) *Engine {
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

// readAnswer reads an answer to its end and returns it with the time to its first
// token and to its end.
func readAnswer(s *sequence) (text string, first, whole time.Duration) {
	start := time.Now()
	for piece := range s.pieces {
		if text == "" {
			first = time.Since(start)
		}
		text += piece
	}
	return text, first, time.Since(start)
}

func TestStepTimeGrowsWithBatchSize(t *testing.T) {
	alone := batchDuration(t, 1)
	crowded := batchDuration(t, 40)
	require.Greater(t, crowded, alone*3/2)
}

func batchDuration(t *testing.T, size int) (whole time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, DefaultSettings())
		var all []*sequence
		for i := range size {
			all = append(all, e.submit(fmt.Sprint(i), prompt(8, 100), 100))
		}
		for _, s := range all {
			_, _, took := readAnswer(s)
			whole += took
		}
	})
	return whole
}

func TestCachedPrefixSavesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, DefaultSettings())
		history := prompt(8000, 10)
		first := e.submit("p", history, 10)
		text, cold, _ := readAnswer(first)
		history = append(history, structs.Message{Role: "assistant", Content: text}, user("next"))

		_, warm, _ := readAnswer(e.submit("p", history, 10))
		require.Less(t, warm, cold/10)
		require.Equal(t, 8010, e.Counts().CachedTokens)

		_, other, _ := readAnswer(e.submit("q", history, 10))
		require.GreaterOrEqual(t, other, cold, "another program must not use the cache")
	})
}

func TestPrefillDelaysTheWholeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := startEngine(t, settings)
		short := e.submit("short", prompt(8, 20), 20)
		e.submit("long", prompt(10_000, 1), 1)
		_, _, whole := readAnswer(short)
		require.Greater(t, whole, 20*settings.StepBase+10_000*settings.PrefillPerToken/2)
	})
}

func TestFullMemoryEvictsIdleProgramsAndKeepsArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.KVTokens = 1000
		e := startEngine(t, settings)
		readAnswer(e.submit("old", prompt(300, 10), 10))
		readAnswer(e.submit("new", prompt(300, 10), 10))

		big := e.submit("big", prompt(500, 100), 100)
		synctest.Wait()
		require.NotContains(t, cachedPrograms(t, e), "old")
		require.Contains(t, cachedPrograms(t, e), "new")

		blocked := e.submit("blocked", prompt(600, 10), 10)
		behind := e.submit("behind", prompt(8, 1), 1)
		time.Sleep(time.Second)
		require.Equal(t, 2, e.Counts().Waiting, "a request that does not fit blocks those behind it")
		readAnswer(big)
		readAnswer(blocked)
		readAnswer(behind)
		require.LessOrEqual(t, e.Counts().KVUsed, settings.KVTokens)
	})
}

func TestCancelFreesMemoryAndReleaseDropsTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, DefaultSettings())
		s := e.submit("p", prompt(100, 1000), 1000)
		time.Sleep(time.Second)
		e.cancel(s)
		readAnswer(s)
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
		e := startEngine(t, DefaultSettings())
		s := e.submit("p", prompt(100, 50), 50)
		time.Sleep(100 * time.Millisecond)
		e.mu.Lock()
		_, ok := e.cache.release("p")
		e.mu.Unlock()
		require.True(t, ok)
		readAnswer(s)
		require.Empty(t, cachedPrograms(t, e))
		require.Zero(t, e.Counts().KVUsed)
	})
}

func TestCrashMarkerBreaksAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := startEngine(t, settings)
		bystander := e.submit("p", prompt(100, 1000), 1000)
		time.Sleep(time.Second)
		crashing := e.submit("q", []structs.Message{user(settings.CrashMarker)}, 10)
		text, _, _ := readAnswer(bystander)
		readAnswer(crashing)
		require.Less(t, len(text), 1000*BytesPerToken)
		require.True(t, bystander.crashed)
		require.Equal(t, 1, e.Counts().Crashes)
		require.True(t, e.submit("r", prompt(8, 1), 1).crashed, "a crashed engine runs nothing")

		e.Restart()
		_, cold, _ := readAnswer(e.submit("p", prompt(100, 1), 1))
		require.NotZero(t, cold)
		require.Zero(t, e.Counts().CachedTokens, "a crash loses the cache")
	})
}

func TestSpeedFaultScalesStepTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, DefaultSettings())
		_, _, usual := readAnswer(e.submit("p", prompt(8, 100), 100))
		e.SetFaults(Faults{Speed: 0.25})
		_, _, slow := readAnswer(e.submit("q", prompt(8, 100), 100))
		require.InEpsilon(t, 4*usual, slow, 0.05)
	})
}

func TestLoadReportsAndCacheEventsLagAndSomeEventsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		e := startEngine(t, settings)
		time.Sleep(10 * time.Second)
		e.submit("p", prompt(8, 1000), 1000)
		time.Sleep(settings.LoadLag / 2)
		require.Zero(t, visibleLoad(t, e).Running, "the report is older than the request")
		time.Sleep(settings.LoadLag)
		require.Equal(t, 1, visibleLoad(t, e).Running)

		for i := range 20 {
			readAnswer(e.submit(fmt.Sprint(i), prompt(8, 1), 1))
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

func visibleLoad(t *testing.T, e *Engine) Load {
	t.Helper()
	var load Load
	get(t, e, "/v1/load", &load)
	return load
}

func cachedPrograms(t *testing.T, e *Engine) map[string]int {
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

func TestAnswerDependsOnTheWholeHistory(t *testing.T) {
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

func TestServeStreamsAndRestartsAfterACrash(t *testing.T) {
	settings := DefaultSettings()
	settings.Scale = 0.01
	e := New(settings)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, e, listener) }()
	url := "http://" + listener.Addr().String() + "/v1/chat/completions"

	body, err := postChat(url, "hello [out=3]")
	require.NoError(t, err)
	want, _ := Answer([]structs.Message{user("hello [out=3]")}, 50)
	require.Contains(t, body, want[:BytesPerToken])
	require.Contains(t, body, `"completion_tokens":3`)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))

	_, err = postChat(url, settings.CrashMarker)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		body, err := postChat(url, "again")
		return err == nil && strings.HasSuffix(body, "data: [DONE]\n\n")
	}, 30*time.Second, time.Millisecond)

	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

func postChat(url, content string) (string, error) {
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
