//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*storedObject
	events   []storeEvent
	changed  chan struct{}
	// trouble, if set, may answer a call instead of the store. It reports whether it did.
	trouble func(w http.ResponseWriter, r *http.Request) bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision int64
	object   storedObject
	removed  bool
	at       time.Time
}

const (
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// historyTime is the time for which it keeps its history.
	historyTime = 20 * time.Second
	pageItems   = 500
	maxWait     = 30 * time.Second
)

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]*storedObject{}, changed: make(chan struct{})}
}

// record adds an event. The caller holds mu.
func (s *store) record(kind string, object storedObject, removed bool) {
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, object: object, removed: removed, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object as an operator or a server does.
func (s *store) put(kind, name string, spec any) int64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, encoded)
}

// set stores a spec. The caller holds mu.
func (s *store) set(kind, name string, spec json.RawMessage) int64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	held := s.objects[kind][name]
	if held != nil && string(held.Spec) == string(spec) {
		return held.Metadata.Revision
	}
	s.revision++
	if held == nil {
		held = &storedObject{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = held
	}
	held.Spec, held.Metadata.Revision = spec, s.revision
	s.record(kind, *held, false)
	return s.revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.objects[kind][name]; held != nil {
		s.revision++
		gone := *held
		gone.Metadata.Revision = s.revision
		delete(s.objects[kind], name)
		s.record(kind, gone, true)
	}
}

// status returns the status of an object as text.
func (s *store) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.objects[kind][name]; held != nil {
		return string(held.Status)
	}
	return ""
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if s.trouble != nil && s.trouble(w, r) {
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(path) == 1 && query.Has("watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, path[0], query.Get("after"))
	case r.Method == http.MethodGet && len(path) == 2:
		s.mu.Lock()
		defer s.mu.Unlock()
		if held := s.objects[path[0]][path[1]]; held != nil {
			answer(w, http.StatusOK, held)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	default:
		s.write(w, r, path)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedObject{}
	for name, held := range s.objects[kind] {
		if name > after {
			items = append(items, *held)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
			s.events = s.events[1:]
		}
		gone := after < s.revision && (len(s.events) == 0 || s.events[0].revision > after+1)
		found := []map[string]any{}
		for _, e := range s.events {
			if e.revision > after && e.kind == kind {
				found = append(found, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > 0:
			answer(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, path []string) {
	body, err := io.ReadAll(r.Body)
	var sent storedObject
	if err != nil || r.Method != http.MethodDelete && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := path[0], sent.Metadata.Name
	expected := sent.Metadata.Revision
	if len(path) > 1 {
		name = path[1]
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	held := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && held != nil:
		answer(w, http.StatusConflict, held)
		return
	case r.Method != http.MethodPost && held == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method != http.MethodPost && expected != 0 && expected != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		s.revision++
		gone := *held
		gone.Metadata.Revision = s.revision
		delete(s.objects[kind], name)
		s.record(kind, gone, true)
		answer(w, http.StatusOK, gone)
		return
	case len(path) == 3:
		s.revision++
		held.Status, held.Metadata.Revision = sent.Status, s.revision
		s.record(kind, *held, false)
	default:
		s.set(kind, name, sent.Spec)
	}
	answer(w, http.StatusOK, s.objects[kind][name])
}
