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

// orders is the state that orders change.
type orders struct {
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

// Handler returns the engine's HTTP interface, with /faults and /counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/kv", e.listKV)
	mux.HandleFunc("DELETE /v1/kv/{program}", e.releaseKV)
	mux.HandleFunc("GET /v1/kv/events", e.listEvents)
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.takeOrder)
	mux.HandleFunc("GET /v1/orders", e.showOrders)
	mux.HandleFunc("GET /faults", e.showFaults)
	mux.HandleFunc("PUT /faults", e.changeFaults)
	mux.HandleFunc("GET /counts", e.showCounts)
	return mux
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// failure is the body of an error.
type failure struct {
	Error string `json:"error"`
}

func refuse(w http.ResponseWriter, status int, format string, args ...any) {
	reply(w, status, failure{Error: fmt.Sprintf(format, args...)})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, "malformed request: %v", err)
		return
	}
	if !e.arrive(w, r, request) {
		return
	}
	s := e.submit(request.User, request.Messages, request.MaxTokens)
	defer e.cancel(s)
	e.stream(w, r, s)
}

// arrive counts a request and refuses those that the engine can't run.
func (e *Engine) arrive(w http.ResponseWriter, r *http.Request, request chatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests[r.Header.Get("X-Request-Id")]++
	if e.faults.Leaving && !e.arriveLeaving() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return false
	}
	if !slices.Contains(e.orders.Models, request.Model) {
		refuse(w, http.StatusNotFound, "unknown model %q", request.Model)
		return false
	}
	need := PromptTokens(request.Messages) + request.MaxTokens
	if request.MaxTokens < 1 || need > e.settings.KVTokens {
		refuse(w, http.StatusBadRequest, "%d tokens needed, from 1 to %d allowed", need, e.settings.KVTokens)
		return false
	}
	return true
}

// arriveLeaving counts a request that came to a leaving engine and reports
// whether it may run. The caller holds mu.
func (e *Engine) arriveLeaving() bool {
	if time.Since(e.leftAt) > LeavingGrace {
		e.counts.LeavingLate++
	}
	if !e.faults.AcceptLeaving {
		e.counts.LeavingRefused++
		return false
	}
	e.counts.LeavingRun++
	return true
}

// stream writes the answer as it is generated.
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

// closeStream ends an answer, or breaks the connection after a crash.
func (e *Engine) closeStream(w http.ResponseWriter, s *sequence) {
	e.mu.Lock()
	crashed := s.crashed || s.sent < len(s.text)
	usage := chatUsage{
		PromptTokens:     s.prompted,
		CompletionTokens: s.sent / BytesPerToken,
		Details:          chatDetails{CachedTokens: s.cached},
	}
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	writeChunk(w, chatChunk{Choices: []chatChoice{{FinishReason: &s.finish}}})
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

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load, ok := e.reports.shown()
	e.mu.Unlock()
	if !ok {
		e.observe()
		e.mu.Lock()
		load, _ = e.reports.shown()
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
	list := kvListing{Programs: e.cache.listing()}
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
		refuse(w, http.StatusInternalServerError, "release failed")
		return
	}
	tokens, ok := e.cache.release(r.PathValue("program"))
	if !ok {
		refuse(w, http.StatusNotFound, "nothing held")
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

func (e *Engine) listEvents(w http.ResponseWriter, r *http.Request) {
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

// fenced is the answer to an order with an old fencing number.
type fenced struct {
	Fence int64 `json:"fence"`
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "malformed order: %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.Fences && !e.faults.IgnoreFence && o.Fence < e.orders.Fence {
		e.counts.OrdersRefused++
		reply(w, http.StatusConflict, fenced{Fence: e.orders.Fence})
		return
	}
	if !e.orders.apply(o) {
		refuse(w, http.StatusBadRequest, "unknown kind %q", o.Kind)
		return
	}
	e.counts.OrdersTaken++
	reply(w, http.StatusOK, e.orders)
}

// apply changes the state by an order. It returns false for an unknown kind.
func (s *orders) apply(o order) bool {
	switch o.Kind {
	case "load_model":
		s.Models = addOnce(s.Models, o.Name)
	case "load_adapter":
		s.Adapters = addOnce(s.Adapters, o.Name)
	case "set_role":
		s.Role = o.Name
	default:
		return false
	}
	s.Fence = o.Fence
	return true
}

func addOnce(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func (e *Engine) showOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.orders)
}

func (e *Engine) showFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Faults())
}

func (e *Engine) changeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, "malformed faults: %v", err)
		return
	}
	e.SetFaults(f)
	reply(w, http.StatusOK, e.Faults())
}

func (e *Engine) showCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Counts())
}
