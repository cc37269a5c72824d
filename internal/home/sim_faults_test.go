package home

import (
	"context"
	"time"

	"ibisline/internal/fake/objects"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// outageCheckInterval is shorter than the time after which a home assumes an outage.
const outageCheckInterval = 50 * time.Millisecond

// recordOutages records whether a home had no answered write for so long that it may
// deliver final events of turns that are not stored.
func (s *sim) recordOutages(end <-chan struct{}) {
	ticker := time.NewTicker(outageCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
			s.checkOutage()
		}
	}
}

// checkOutage records an outage if one is in progress.
func (s *sim) checkOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.outage(defaultOutageGrace - outageCheckInterval) {
			s.outage = true
		}
	}
}

// apply executes one event.
func (s *sim) apply(o op) {
	s.locked(func() { s.total.Steps++ })
	p := s.process(o.home)
	if p == nil && o.kind < opOutage && o.kind != opStart {
		return
	}
	switch o.kind {
	case opCrash:
		p.kill()
		s.membership.remove(o.home)
	case opStart:
		s.launch(o.home)
	case opPause:
		p.pause()
		s.membership.remove(o.home)
	case opResume:
		p.resume()
		if !p.isDead() {
			s.membership.add(o.home)
		}
	case opDrain:
		s.drain(o.home)
	case opAlone:
		if d := s.daemon(o.home); d != nil {
			d.view.setAlone(o.amount > 1)
		}
	case opCrashAtPut, opCrashAfterPut, opCrashAtSend, opCrashAfterSend, opCrashAtGenerate:
		if p != nil {
			p.arm(killPoint(o.kind - opCrashAtPut))
		}
	case opFailGenerate:
		s.locked(func() { s.generateFault = o.amount })
	case opFailForget:
		s.locked(func() { s.forgetFaults = 3 * o.amount })
	case opFailSend:
		s.locked(func() { s.sendFault = o.amount })
	default:
		s.applyStoreFault(o)
	}
}

// locked calls change with mu held.
func (s *sim) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// applyStoreFault executes a fault of the platform.
func (s *sim) applyStoreFault(o op) {
	f := s.objects.Faults()
	switch o.kind {
	case opOutage:
		f.Outage = true
		s.objects.SetFaults(f)
		time.Sleep(time.Duration(o.amount) * outageStep)
	case opSlow:
		f.Slow = time.Duration(o.amount) * 200 * time.Millisecond
	case opLoseReplies:
		f.LoseReplies = o.amount
	case opLateWrites:
		f.LateWrites = o.amount
		f.LateBy = time.Duration(o.amount*o.amount) * 50 * time.Millisecond
	case opHeal:
		f = objects.Faults{}
	}
	s.objects.SetFaults(f)
}

// drain hands over the shards of a home and stops it, like a planned stop.
func (s *sim) drain(name string) {
	d, p := s.daemon(name), s.process(name)
	if d == nil || p.isDead() {
		return
	}
	s.membership.markLeaving(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = d.Drain(ctx)
		p.kill()
		s.membership.remove(name)
	}()
}

// heal clears all faults and leaves at least two live homes.
func (s *sim) heal() {
	s.objects.SetFaults(objects.Faults{})
	s.locked(func() { s.generateFault, s.sendFault = 0, 0 })
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
			s.membership.add(name)
		}
	}
}

// faultGenerate injects failures of an engine.
func (s *sim) faultGenerate(r structs.GenerateRequest, begun bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !begun {
		if s.generateFault == 1 {
			s.generateFault = 0
			return verdict.Refuse(verdict.NoServer, "no engine")
		}
		return nil
	}
	s.lastGenerated[r.Program] = time.Now()
	if s.generateFault > 1 {
		s.generateFault = 0
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "engine failed")
	}
	return nil
}

// faultSend injects failures of a plain service.
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

// faultForget injects failures of release orders.
func (s *sim) faultForget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgetFaults == 0 {
		return nil
	}
	s.forgetFaults--
	return verdict.New(verdict.MayHaveRun, verdict.BackendTimeout, "no answer to the release order")
}
