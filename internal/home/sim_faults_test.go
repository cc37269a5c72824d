package home

import (
	"context"
	"time"

	"ibisline/internal/fake/objects"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// watchInterval is shorter than the time that a home counts as an outage.
const watchInterval = 50 * time.Millisecond

// watchOutages notes when a home had no answered write for so long that it may
// give final events without a stored turn.
func (s *sim) watchOutages(end <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
			s.noteOutage()
		}
	}
}

// noteOutage looks for an outage once.
func (s *sim) noteOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.outage(defaultOutageGrace - watchInterval) {
			s.outage = true
		}
	}
}

// play makes one event happen.
func (s *sim) play(o op) {
	s.setFaults(func() { s.total.Steps++ })
	p := s.process(o.home)
	if p == nil && o.kind < opOutage && o.kind != opStart {
		return
	}
	switch o.kind {
	case opCrash:
		p.kill()
		s.live.remove(o.home)
	case opStart:
		s.launch(o.home)
	case opPause:
		p.pause()
		s.live.remove(o.home)
	case opResume:
		p.resume()
		if !p.isDead() {
			s.live.add(o.home)
		}
	case opDrain:
		s.drain(o.home)
	case opAlone:
		if d := s.daemon(o.home); d != nil {
			d.view.setAlone(o.n > 1)
		}
	case opCrashAtPut, opCrashAfterPut, opCrashAtSend, opCrashAfterSend, opCrashAtGenerate:
		if p != nil {
			p.arm(point(o.kind - opCrashAtPut))
		}
	case opFailGenerate:
		s.setFaults(func() { s.failures = o.n })
	case opFailForget:
		s.setFaults(func() { s.forgets = 3 * o.n })
	case opFailSend:
		s.setFaults(func() { s.sendFault = o.n })
	default:
		s.playStore(o)
	}
}

func (s *sim) setFaults(set func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set()
}

// playStore makes a fault of the platform happen.
func (s *sim) playStore(o op) {
	f := s.objects.Faults()
	switch o.kind {
	case opOutage:
		f.Outage = true
		s.objects.SetFaults(f)
		time.Sleep(time.Duration(o.n) * outageStep)
	case opSlow:
		f.Slow = time.Duration(o.n) * 200 * time.Millisecond
	case opLoseReplies:
		f.LoseReplies = o.n
	case opLateWrites:
		f.LateWrites = o.n
		f.LateBy = time.Duration(o.n*o.n) * 50 * time.Millisecond
	case opHeal:
		f = objects.Faults{}
	}
	s.objects.SetFaults(f)
}

// drain hands a home's shards over and ends it, as a planned stop does.
func (s *sim) drain(name string) {
	d, p := s.daemon(name), s.process(name)
	if d == nil || p.isDead() {
		return
	}
	s.live.leave(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = d.Drain(ctx)
		p.kill()
		s.live.remove(name)
	}()
}

// heal ends all faults and leaves at least two live homes.
func (s *sim) heal() {
	s.objects.SetFaults(objects.Faults{})
	s.setFaults(func() { s.failures, s.sendFault = 0, 0 })
	for _, name := range homeNames {
		if p := s.process(name); p != nil {
			s.mu.Lock()
			p.mu.Lock()
			clear(p.armed)
			p.mu.Unlock()
			s.mu.Unlock()
			p.resume()
		}
		s.launch(name)
		if d := s.daemon(name); d != nil {
			d.view.setAlone(false)
			s.live.add(name)
		}
	}
}

// faultGenerate plays failures of an engine.
func (s *sim) faultGenerate(r structs.GenerateRequest, begun bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !begun {
		if s.failures == 1 {
			s.failures = 0
			return verdict.Refuse(verdict.NoServer, "no engine")
		}
		return nil
	}
	s.generated[r.Program] = time.Now()
	if s.failures > 1 {
		s.failures = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "engine failed")
	}
	return nil
}

// faultSend plays failures of a plain service.
func (s *sim) faultSend(_ structs.CallRequest, executed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !executed && s.sendFault == 1:
		s.sendFault = 0
		return verdict.Refuse(verdict.BackendFailed, "connection refused")
	case !executed && s.sendFault == 2:
		s.sendFault = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer")
	case executed && s.sendFault == 3:
		s.sendFault = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "answer lost")
	}
	return nil
}

// faultForget plays failures of release orders.
func (s *sim) faultForget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgets == 0 {
		return nil
	}
	s.forgets--
	return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer to the release order")
}
