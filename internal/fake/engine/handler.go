package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"ibisline/internal/structs"
)

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []structs.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	User      string            `json:"user"`
}

// chatChunk is one server-sent event of an answer.
type chatChunk struct {
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	Details          chatDetails `json:"prompt_tokens_details"`
}

type chatDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// orderState is the state that orders change, as GET /v1/orders returns it.
type orderState struct {
	Fence    int64    `json:"fence"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// order is the body of POST /v1/orders.
type order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

// Handler returns the engine's HTTP API, including /faults and /counts for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/load", e.getLoad)
	mux.HandleFunc("GET /v1/kv", e.listKV)
	mux.HandleFunc("DELETE /v1/kv/{program}", e.releaseKV)
	mux.HandleFunc("GET /v1/kv/events", e.listKVEvents)
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.postOrder)
	mux.HandleFunc("GET /v1/orders", e.getOrders)
	mux.HandleFunc("GET /faults", e.getFaults)
	mux.HandleFunc("PUT /faults", e.putFaults)
	mux.HandleFunc("GET /counts", e.getCounts)
	return mux
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func replyError(w http.ResponseWriter, status int, format string, args ...any) {
	reply(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		replyError(w, http.StatusBadRequest, "malformed request: %v", err)
		return
	}
	if !e.acceptRequest(w, r, request) {
		return
	}
	s := e.submit(request.User, request.Messages, request.MaxTokens)
	defer e.cancel(s)
	e.stream(w, r, s)
}

// acceptRequest counts a request. It answers with an error and returns false when
// the engine can't run it.
func (e *Engine) acceptRequest(w http.ResponseWriter, r *http.Request, request chatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests[r.Header.Get("X-Request-Id")]++
	if e.faults.Leaving && !e.acceptWhileLeaving() {
		replyError(w, http.StatusServiceUnavailable, "leaving")
		return false
	}
	if !slices.Contains(e.orders.Models, request.Model) {
		replyError(w, http.StatusNotFound, "unknown model %q", request.Model)
		return false
	}
	need := PromptTokens(request.Messages) + request.MaxTokens
	if request.MaxTokens < 1 || need > e.settings.KVTokens {
		replyError(w, http.StatusBadRequest, "%d tokens needed, from 1 to %d allowed", need, e.settings.KVTokens)
		return false
	}
	return true
}

// acceptWhileLeaving counts a request that arrived while the engine is leaving
// and reports whether it may run. The caller holds mu.
func (e *Engine) acceptWhileLeaving() bool {
	if time.Since(e.leavingSince) > LeavingGrace {
		e.counts.LeavingLate++
	}
	if !e.faults.AcceptLeaving {
		e.counts.LeavingRefused++
		return false
	}
	e.counts.LeavingRun++
	return true
}

// stream writes the answer as server-sent events while it is generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case piece, more := <-s.pieces:
			if !more {
				e.closeStream(w, s)
				return
			}
			writeChunk(w, chatChunk{Choices: []chatChoice{{Delta: chatDelta{Content: piece}}}})
		}
	}
}

// closeStream writes the last events of an answer, or aborts the connection when
// the engine crashed.
func (e *Engine) closeStream(w http.ResponseWriter, s *sequence) {
	e.mu.Lock()
	crashed := s.crashed || s.sentBytes < len(s.text)
	usage := chatUsage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: s.sentBytes / BytesPerToken,
		Details:          chatDetails{CachedTokens: s.cachedTokens},
	}
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	writeChunk(w, chatChunk{Choices: []chatChoice{{FinishReason: &s.finishReason}}})
	writeChunk(w, chatChunk{Choices: []chatChoice{}, Usage: &usage})
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

func writeChunk(w http.ResponseWriter, chunk chatChunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	flush(w)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load, ok := e.reports.visible()
	e.mu.Unlock()
	if !ok {
		e.reportWhileIdle()
		e.mu.Lock()
		load, _ = e.reports.visible()
		e.mu.Unlock()
	}
	reply(w, http.StatusOK, load)
}

// kvListing is the body of GET /v1/kv.
type kvListing struct {
	Programs map[string]int `json:"programs"`
}

func (e *Engine) listKV(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := kvListing{Programs: e.cache.tokensByProgram()}
	e.mu.Unlock()
	reply(w, http.StatusOK, list)
}

// kvReleased is the answer to DELETE /v1/kv/{program}.
type kvReleased struct {
	Released int `json:"released"`
}

func (e *Engine) releaseKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RefuseRelease > 0 {
		e.faults.RefuseRelease--
		replyError(w, http.StatusInternalServerError, "release failed")
		return
	}
	tokens, ok := e.cache.release(r.PathValue("program"))
	if !ok {
		replyError(w, http.StatusNotFound, "nothing held")
		return
	}
	e.counts.Released++
	reply(w, http.StatusOK, kvReleased{Released: tokens})
}

// kvEvents is the answer to GET /v1/kv/events.
type kvEvents struct {
	Next   int64   `json:"next"`
	Events []Event `json:"events"`
}

func (e *Engine) listKVEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	found := e.events.after(after)
	e.mu.Unlock()
	next := after
	if len(found) > 0 {
		next = found[len(found)-1].Seq
	}
	reply(w, http.StatusOK, kvEvents{Next: next, Events: found})
}

// fenceConflict is the answer to an order with an old fencing number; Fence is the
// engine's number.
type fenceConflict struct {
	Fence int64 `json:"fence"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		replyError(w, http.StatusBadRequest, "malformed order: %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.Fences && !e.faults.IgnoreFence && o.Fence < e.orders.Fence {
		e.counts.OrdersRefused++
		reply(w, http.StatusConflict, fenceConflict{Fence: e.orders.Fence})
		return
	}
	if !e.orders.apply(o) {
		replyError(w, http.StatusBadRequest, "unknown kind %q", o.Kind)
		return
	}
	e.counts.OrdersTaken++
	reply(w, http.StatusOK, e.orders)
}

// apply applies an order to the state. It returns false for an unknown kind.
func (s *orderState) apply(o order) bool {
	switch o.Kind {
	case "load_model":
		s.Models = appendUnique(s.Models, o.Name)
	case "load_adapter":
		s.Adapters = appendUnique(s.Adapters, o.Name)
	case "set_role":
		s.Role = o.Name
	default:
		return false
	}
	s.Fence = o.Fence
	return true
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.orders)
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Faults())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		replyError(w, http.StatusBadRequest, "malformed faults: %v", err)
		return
	}
	e.SetFaults(f)
	reply(w, http.StatusOK, e.Faults())
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Counts())
}
