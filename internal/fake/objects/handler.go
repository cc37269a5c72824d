package objects

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// maxRequestBytes is above the platform's limit on values, so that a value over that
// limit is answered with status 413 instead of being cut off.
const maxRequestBytes = 2 * objectapi.MaxValueBytes

// handler serves a Store over HTTP.
type handler struct {
	store *Store
}

// Handler serves store with the object API of docs/BACKENDS.md and with /faults (GET,
// PUT) and /counts (GET). When the outcome of a write is unknown to its caller, the
// connection is closed without a reply.
func Handler(store *Store) http.Handler {
	h := handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", h.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", h.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", h.remove)
	mux.HandleFunc("GET /v1/objects", h.list)
	mux.HandleFunc("GET /v1/watch", h.watch)
	mux.HandleFunc("GET /faults", h.faults)
	mux.HandleFunc("PUT /faults", h.setFaults)
	mux.HandleFunc("GET /counts", h.counts)
	return mux
}

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, object)
}

func (h handler) put(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		http.Error(w, "expected: "+err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := h.store.Put(r.Context(), r.PathValue("key"), value, expected)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, objectapi.PutReply{Version: version})
}

func (h handler) remove(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		http.Error(w, "expected: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.store.Delete(r.Context(), r.PathValue("key"), expected); err != nil {
		fail(w, err)
		return
	}
	reply(w, struct{}{})
}

func (h handler) list(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, objectapi.ListReply{Objects: objects, Revision: revision})
}

func (h handler) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	events, revision, err := h.store.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, objectapi.WatchReply{Events: events, Revision: revision})
}

func (h handler) faults(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Faults())
}

func (h handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.SetFaults(faults)
	reply(w, faults)
}

func (h handler) counts(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.store.Counts())
}

// reply writes body as JSON with status 200.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// fail writes the status of a store error. An unknown outcome closes the
// connection without a reply.
func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, objectapi.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), httpStatus(err))
}

// httpStatus maps the errors of objectapi.Store to HTTP status codes.
func httpStatus(err error) int {
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, objectapi.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, objectapi.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, objectapi.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, objectapi.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
