// Package service simulates a plain service. It counts executions by the caller's key
// and simulates faults that tests inject at run time.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Headers of the HTTP interface of plain services.
const (
	HeaderCallKey   = "Ibis-Call-Key"
	HeaderRequestID = "Ibis-Request-Id"
)

// Settings configure one service.
type Settings struct {
	Name string
	// Lookup makes GET /lookup return the responses to executed calls; otherwise it
	// answers 404.
	Lookup bool
}

// Faults are the failures that the service simulates. CrashBefore, CrashAfter,
// HangAfter and Redirect are the number of upcoming calls that are affected. The zero
// value simulates none.
type Faults struct {
	// Hang blocks calls before their execution until the caller gives up or the
	// faults change.
	Hang bool `json:"hang"`
	// CrashBefore breaks the connection before executing the call.
	CrashBefore int `json:"crash_before"`
	// CrashAfter breaks the connection after executing the call.
	CrashAfter int `json:"crash_after"`
	// HangAfter executes the call and delays the response until the caller gives
	// up or the faults change.
	HangAfter int `json:"hang_after"`
	// SlowMS delays each call before its execution, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// Redirect executes the call and answers with status 307 to another path.
	Redirect int `json:"redirect"`
	// Status is the status of responses to executed calls; 0 means 200.
	Status int `json:"status"`
	// NoLookup makes lookups fail with status 503.
	NoLookup bool `json:"no_lookup"`
}

// Counts holds the service's counters since its creation.
type Counts struct {
	// Executions counts executions by Ibis-Call-Key.
	Executions map[string]int `json:"executions"`
	// Requests counts calls by Ibis-Request-Id.
	Requests map[string]int `json:"requests"`
	// Arrived counts calls whose body was read, executed or not.
	Arrived int `json:"arrived"`
	Lookups int `json:"lookups"`
	// Repeated is the number of keys that were executed more than once.
	Repeated int `json:"repeated"`
}

// Result is the body of the response to a call.
type Result struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	// Execution is the number of executions of the key so far.
	Execution int    `json:"execution"`
	Body      string `json:"body"`
}

// storedResponse is the response to the last execution of a key.
type storedResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Service simulates a plain service. It is safe for concurrent use.
type Service struct {
	settings Settings

	mu        sync.Mutex
	faults    Faults
	counts    Counts
	responses map[string]storedResponse
	changed   chan struct{}
}

// New returns a service without faults.
func New(settings Settings) *Service {
	return &Service{
		settings:  settings,
		counts:    Counts{Executions: map[string]int{}, Requests: map[string]int{}},
		responses: map[string]storedResponse{},
		changed:   make(chan struct{}),
	}
}

// SetFaults replaces the faults and releases hanging calls.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns a copy of the counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Executions = maps.Clone(s.counts.Executions)
	counts.Requests = maps.Clone(s.counts.Requests)
	for _, n := range counts.Executions {
		if n > 1 {
			counts.Repeated++
		}
	}
	return counts
}

// Handler returns the service's HTTP API, including /faults and /counts for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup", s.lookup)
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("POST /", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.countRequest(r)
	if !s.applyDelayFaults(r) {
		return
	}
	if s.consumeFault(&s.faults.CrashBefore) {
		panic(http.ErrAbortHandler)
	}
	_, changed := s.currentFaults()
	done := s.execute(r, body)
	if s.consumeFault(&s.faults.CrashAfter) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(&s.faults.HangAfter) {
		waitForFaultChange(r, changed)
	}
	if s.consumeFault(&s.faults.Redirect) {
		http.Redirect(w, r, "/redirected"+r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(done.Status)
	_, _ = w.Write(done.Body)
}

// countRequest counts an arrived call.
func (s *Service) countRequest(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Arrived++
	s.counts.Requests[r.Header.Get(HeaderRequestID)]++
}

// applyDelayFaults applies the faults SlowMS and Hang. It returns false when the caller
// disconnected.
func (s *Service) applyDelayFaults(r *http.Request) bool {
	faults, changed := s.currentFaults()
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
	}
	if !faults.Hang {
		return true
	}
	return waitForFaultChange(r, changed)
}

// currentFaults returns the faults and the channel that is closed when they change. It
// reads both under one lock, so that a change between the two is not missed.
func (s *Service) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// waitForFaultChange waits until the faults change. It returns false when the caller
// disconnected.
func waitForFaultChange(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
		return true
	}
}

// consumeFault decrements a fault's count and reports whether it was above 0.
func (s *Service) consumeFault(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// execute counts an execution and stores its response.
func (s *Service) execute(r *http.Request, body []byte) storedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(HeaderCallKey)
	s.counts.Executions[key]++
	result := Result{
		Service:   s.settings.Name,
		Key:       key,
		Path:      r.URL.Path,
		Execution: s.counts.Executions[key],
		Body:      string(body),
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	done := storedResponse{Status: http.StatusOK, Body: encoded}
	if s.faults.Status != 0 {
		done.Status = s.faults.Status
	}
	s.responses[key] = done
	return done
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lookups++
	if s.faults.NoLookup {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done, ok := s.responses[r.URL.Query().Get("key")]
	if !ok || !s.settings.Lookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, done)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) }

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, f)
}

func (s *Service) getCounts(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts()) }

// reply writes a JSON body.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
