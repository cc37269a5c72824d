package crashguard_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ibisline/internal/structs"
)

// engine returns the first run of a server.
func engine(i int) structs.Server {
	name := fmt.Sprintf("engine-%d", i)
	return structs.Server{Name: name, Addr: name + ":1", StartedMS: 1, State: structs.StateLive}
}

// servers are the backend servers of a test. A server refuses connections unless a test says
// otherwise.
type servers struct {
	mu          sync.Mutex
	listening   map[string]bool
	silentUntil map[string]time.Time
	listed      map[string]structs.Server
}

func newServers() *servers {
	return &servers{listening: map[string]bool{}, silentUntil: map[string]time.Time{}, listed: map[string]structs.Server{}}
}

// listen makes a server accept connections.
func (s *servers) listen(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening[name] = true
}

// silence makes connections to a server time out for d.
func (s *servers) silence(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil[name] = time.Now().Add(d)
}

// restartAfter lists the next run of a server after d, under its own name or another one.
func (s *servers) restartAfter(server structs.Server, d time.Duration, asAnother bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[server.Name] = server
	next := server
	next.StartedMS++
	if asAnother {
		next.Name += "-next"
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listed[next.Name] = next
	})
}

// Find returns a server by name.
func (s *servers) Find(name string) (structs.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, found := s.listed[name]
	return server, found
}

// AtAddr returns the server that was started last at an address.
func (s *servers) AtAddr(addr string) (structs.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last structs.Server
	for _, server := range s.listed {
		if server.Addr == addr && server.StartedMS > last.StartedMS {
			last = server
		}
	}
	return last, last.Name != ""
}

// probe connects to a server.
func (s *servers) probe(ctx context.Context, server structs.Server) error {
	s.mu.Lock()
	listening, silentUntil := s.listening[server.Name], s.silentUntil[server.Name]
	s.mu.Unlock()
	switch {
	case time.Now().Before(silentUntil):
		<-ctx.Done()
		return ctx.Err()
	case listening:
		return nil
	default:
		return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
}
