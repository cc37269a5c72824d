package member

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/member/gossip"
	"ibisline/internal/peer"
)

// confirmRequest asks a helper to probe the daemon Target.
type confirmRequest struct {
	Target string `msgpack:"t"`
}

// confirmReply holds whether the target answered, and its incarnation.
type confirmReply struct {
	Reached     bool   `msgpack:"r"`
	Incarnation uint64 `msgpack:"i"`
}

// confirm asks helpers to probe a silent daemon and records the result.
func (m *Members) confirm(name string) {
	m.confirmRequests.Inc()
	m.mu.Lock()
	helpers := m.machine.Helpers(name, confirmHelpers)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, m.config.SuspectAfter*2/5)
	defer cancel()
	replies := make(chan confirmReply, len(helpers))
	var calls sync.WaitGroup
	for _, helper := range helpers {
		calls.Go(func() {
			var reply confirmReply
			_ = peer.Call(ctx, m.dialer, helper, methodConfirm, confirmRequest{Target: name}, &reply)
			replies <- reply
		})
	}
	defer calls.Wait()
	for range helpers {
		if reply := <-replies; reply.Reached {
			cancel()
			m.update(func(machine *gossip.Machine) { machine.RecordAnswer(name, reply.Incarnation, time.Now()) })
			return
		}
	}
	if m.ctx.Err() == nil {
		m.applyEvidence(func(machine *gossip.Machine) { machine.RecordUnreachable(name, time.Now()) })
	}
}

// serveConfirm probes a daemon on behalf of another one that cannot reach it.
func (m *Members) serveConfirm(ctx context.Context, s peer.Stream) error {
	var request confirmRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	// Above the limit the reply is "not reached": a helper that is asked about so
	// many daemons must not add to their load, and a suspected daemon can still
	// refute the suspicion.
	if m.activeConfirms.Add(1) > maxConcurrentConfirms {
		m.activeConfirms.Add(-1)
		return s.Send(confirmReply{})
	}
	defer m.activeConfirms.Add(-1)
	answer, err := m.probeOnce(ctx, request.Target, m.config.SuspectAfter*2/5)
	return s.Send(confirmReply{Reached: err == nil, Incarnation: answer.Incarnation})
}

// syncMessage holds rumors about all daemons that the sender knows.
type syncMessage struct {
	Rumors []gossip.Rumor `msgpack:"r"`
}

// sync exchanges the full state with another daemon.
func (m *Members) sync(name string) {
	m.syncs.Inc()
	ctx, cancel := context.WithTimeout(m.ctx, m.config.SuspectAfter)
	defer cancel()
	var theirs syncMessage
	if err := peer.Call(ctx, m.dialer, name, methodSync, m.syncState(), &theirs); err != nil {
		m.mu.Lock()
		m.synced = false
		m.mu.Unlock()
		return
	}
	m.update(func(machine *gossip.Machine) { machine.ApplyRumors(theirs.Rumors, false, time.Now()) })
}

// syncState returns the full state of this daemon.
func (m *Members) syncState() syncMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return syncMessage{Rumors: m.machine.AllRumors()}
}

// serveSync merges the state of another daemon and replies with its own.
func (m *Members) serveSync(_ context.Context, s peer.Stream) error {
	var theirs syncMessage
	if err := s.Recv(&theirs); err != nil {
		return err
	}
	m.update(func(machine *gossip.Machine) { machine.ApplyRumors(theirs.Rumors, true, time.Now()) })
	return s.Send(m.syncState())
}
