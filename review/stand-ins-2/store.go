package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound stand-in of the platform's metadata store: linearizable objects with
// revisions, conditional writes, listings in pages and watches.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	history  []storeEvent
	changed  chan struct{}
}

type object struct {
	Name, Kind string
	Revision   int64
	Created    int64
	Spec       json.RawMessage
	Status     json.RawMessage
}

type storeEvent struct {
	kind     string
	revision int64
	removed  bool
	object   wireObject
}

type wireMetadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
}

func (o *object) wire() wireObject {
	w := wireObject{
		Metadata: wireMetadata{Name: o.Name, Revision: o.Revision, Created: o.Created, Finalizers: []string{}},
		Spec:     o.Spec, Status: o.Status,
	}
	if len(w.Spec) == 0 {
		w.Spec = json.RawMessage("null")
	}
	if len(w.Status) == 0 {
		w.Status = json.RawMessage("null")
	}
	return w
}

// commit records a change. The caller holds mu.
func (s *store) commit(o *object, removed bool) {
	s.revision++
	o.Revision = s.revision
	s.history = append(s.history, storeEvent{kind: o.Kind, revision: s.revision, removed: removed, object: o.wire()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object without a condition, as operators and servers do.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{Name: name, Kind: kind, Created: s.revision + 1}
		if s.kinds[kind] == nil {
			s.kinds[kind] = map[string]*object{}
		}
		s.kinds[kind][name] = o
	} else if string(o.Spec) == spec {
		return
	}
	o.Spec = json.RawMessage(spec)
	s.commit(o, false)
}

// remove removes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		delete(s.kinds[kind], name)
		s.commit(o, true)
	}
}

const storePath = "/-/objects/"

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, found := strings.CutPrefix(r.URL.Path, storePath)
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(key, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name, status)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		reply(w, http.StatusOK, o.wire())
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := []wireObject{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name].wire())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var sent wireObject
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && condition != 0 && condition != o.Revision:
		reply(w, http.StatusConflict, o.wire())
		return
	case r.Method != http.MethodPost && o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPost:
		if s.kinds[kind] == nil {
			s.kinds[kind] = map[string]*object{}
		}
		o = &object{Name: name, Kind: kind, Created: s.revision + 1, Spec: sent.Spec}
		s.kinds[kind][name] = o
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.commit(o, true)
		reply(w, http.StatusOK, o.wire())
		return
	case status:
		if string(o.Status) == string(sent.Status) {
			reply(w, http.StatusOK, o.wire())
			return
		}
		o.Status = sent.Status
	default:
		if string(o.Spec) == string(sent.Spec) {
			reply(w, http.StatusOK, o.wire())
			return
		}
		o.Spec = sent.Spec
	}
	s.commit(o, false)
	reply(w, http.StatusOK, o.wire())
}

// serveStore serves the store at a free loopback address.
func serveStore(s *store) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String(), nil
}
