// Package service is a stand-in for a plain service. It counts what it executed
// by the caller's key and plays faults that are switched on while it runs.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Headers of the interface of plain services.
const (
	HeaderCallKey   = "Ibis-Call-Key"
	HeaderRequestID = "Ibis-Request-Id"
)

// Settings describe one service.
type Settings struct {
	Name string
	// Lookup offers GET /lookup.
	Lookup bool
}

// Faults are the failures that the service plays. Those that count down concern
// that many coming calls. The zero value plays none.
type Faults struct {
	// Hang keeps calls before their execution until the caller gives up or the
	// faults change.
	Hang bool `json:"hang"`
	// CrashBefore breaks the connection before executing the call.
	CrashBefore int `json:"crash_before"`
	// CrashAfter breaks the connection after executing the call.
	CrashAfter int `json:"crash_after"`
	// HangAfter executes the call and keeps the answer until the caller gives up
	// or the faults change.
	HangAfter int `json:"hang_after"`
	// SlowMS delays each call before its execution, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// Redirect executes the call and answers 307 to another path.
	Redirect int `json:"redirect"`
	// Status replaces the status of answers; 0 means 200.
	Status int `json:"status"`
	// NoLookup makes look-ups fail.
	NoLookup bool `json:"no_lookup"`
}

// Counts is what the service has seen since the start.
type Counts struct {
	// Executions counts executions by Ibis-Call-Key.
	Executions map[string]int `json:"executions"`
	// Requests counts calls by Ibis-Request-Id.
	Requests map[string]int `json:"requests"`
	// Arrived counts calls that were read, executed or not.
	Arrived int `json:"arrived"`
	Lookups int `json:"lookups"`
	// Repeated is the number of keys that were executed more than once.
	Repeated int `json:"repeated"`
}

// Result is the body of an answer.
type Result struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	// Execution counts the executions of the key.
	Execution int    `json:"execution"`
	Body      string `json:"body"`
}

// outcome is the stored answer to a key.
type outcome struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Service is a stand-in service.
type Service struct {
	settings Settings

	mu       sync.Mutex
	faults   Faults
	counts   Counts
	outcomes map[string]outcome
	changed  chan struct{}
}

// New returns a service without faults.
func New(settings Settings) *Service {
	return &Service{
		settings: settings,
		counts:   Counts{Executions: map[string]int{}, Requests: map[string]int{}},
		outcomes: map[string]outcome{},
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults and lets hanging calls go on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults as they stand.
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

// Handler returns the service's HTTP interface, with /faults and /counts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup", s.lookup)
	mux.HandleFunc("GET /faults", s.showFaults)
	mux.HandleFunc("PUT /faults", s.changeFaults)
	mux.HandleFunc("GET /counts", s.showCounts)
	mux.HandleFunc("POST /", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.arrive(r)
	if !s.delay(r) {
		return
	}
	if s.spend(&s.faults.CrashBefore) {
		panic(http.ErrAbortHandler)
	}
	_, changed := s.present()
	done := s.execute(r, body)
	if s.spend(&s.faults.CrashAfter) {
		panic(http.ErrAbortHandler)
	}
	if s.spend(&s.faults.HangAfter) {
		hang(r, changed)
	}
	if s.spend(&s.faults.Redirect) {
		http.Redirect(w, r, "/redirected"+r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(done.Status)
	_, _ = w.Write(done.Body)
}

// arrive counts a call.
func (s *Service) arrive(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Arrived++
	s.counts.Requests[r.Header.Get(HeaderRequestID)]++
}

// delay plays slowness and hanging. It returns false when the caller went away.
func (s *Service) delay(r *http.Request) bool {
	faults, changed := s.present()
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
	}
	if !faults.Hang {
		return true
	}
	return hang(r, changed)
}

// present returns the faults and the channel that closes when they change, as
// of one moment, so that a change between the two is not missed.
func (s *Service) present() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// hang waits for other faults. It returns false when the caller went away.
func hang(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
		return true
	}
}

// spend takes one from a fault's count and reports whether there was one.
func (s *Service) spend(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// execute counts an execution and stores its answer.
func (s *Service) execute(r *http.Request, body []byte) outcome {
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
	done := outcome{Status: http.StatusOK, Body: encoded}
	if s.faults.Status != 0 {
		done.Status = s.faults.Status
	}
	s.outcomes[key] = done
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
	done, ok := s.outcomes[r.URL.Query().Get("key")]
	if !ok || !s.settings.Lookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, done)
}

func (s *Service) showFaults(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) }

func (s *Service) changeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, f)
}

func (s *Service) showCounts(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts()) }

// reply writes a JSON body.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
