package member

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/member/gossip"
	"ibisline/internal/peer"
)

// confirmRequest asks a daemon to probe another one.
type confirmRequest struct {
	Target string `msgpack:"t"`
}

// confirmReply says whether the daemon was reached, and its incarnation.
type confirmReply struct {
	Reached     bool   `msgpack:"r"`
	Incarnation uint64 `msgpack:"i"`
}

// confirm asks helpers to reach a silent daemon, and notes what they found.
func (m *Members) confirm(name string) {
	m.confirms.Inc()
	m.mu.Lock()
	helpers := m.machine.Helpers(name, helperCount)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, m.config.SuspectAfter*2/5)
	defer cancel()
	replies := make(chan confirmReply, len(helpers))
	var asked sync.WaitGroup
	for _, helper := range helpers {
		asked.Go(func() {
			var reply confirmReply
			_ = peer.Call(ctx, m.dialer, helper, methodConfirm, confirmRequest{Target: name}, &reply)
			replies <- reply
		})
	}
	defer asked.Wait()
	for range helpers {
		if reply := <-replies; reply.Reached {
			cancel()
			m.update(func(machine *gossip.Machine) { machine.Answered(name, reply.Incarnation, time.Now()) })
			return
		}
	}
	if m.ctx.Err() == nil {
		m.accuse(func(machine *gossip.Machine) { machine.Denied(name, time.Now()) })
	}
}

// serveConfirm probes a daemon for another one that cannot reach it.
func (m *Members) serveConfirm(ctx context.Context, s peer.Stream) error {
	var request confirmRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	// Above the limit the answer is "not reached": a daemon that is asked about
	// so many others must not add to their load, and suspects can still refute.
	if m.confirming.Add(1) > confirmLimit {
		m.confirming.Add(-1)
		return s.Send(confirmReply{})
	}
	defer m.confirming.Add(-1)
	answer, err := m.probeOnce(ctx, request.Target, m.config.SuspectAfter*2/5)
	return s.Send(confirmReply{Reached: err == nil, Incarnation: answer.Incarnation})
}

// knowledge is all that a daemon knows of the others.
type knowledge struct {
	Rumors []gossip.Rumor `msgpack:"r"`
}

// sync exchanges all knowledge with another daemon.
func (m *Members) sync(name string) {
	m.syncs.Inc()
	ctx, cancel := context.WithTimeout(m.ctx, m.config.SuspectAfter)
	defer cancel()
	var theirs knowledge
	if err := peer.Call(ctx, m.dialer, name, methodSync, m.knowledge(), &theirs); err != nil {
		m.mu.Lock()
		m.synced = false
		m.mu.Unlock()
		return
	}
	m.update(func(machine *gossip.Machine) { machine.Absorb(theirs.Rumors, false, time.Now()) })
}

func (m *Members) knowledge() knowledge {
	m.mu.Lock()
	defer m.mu.Unlock()
	return knowledge{Rumors: m.machine.Everything()}
}

// serveSync answers sync.
func (m *Members) serveSync(_ context.Context, s peer.Stream) error {
	var theirs knowledge
	if err := s.Recv(&theirs); err != nil {
		return err
	}
	m.update(func(machine *gossip.Machine) { machine.Absorb(theirs.Rumors, true, time.Now()) })
	return s.Send(m.knowledge())
}
