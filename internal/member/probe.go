package member

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/member/gossip"
	"ibisline/internal/peer"
)

// Methods served to peers.
const (
	methodProbe   = "member.probe"
	methodConfirm = "member.confirm"
	methodSync    = "member.sync"
)

// probeMessage is a heartbeat or its answer. From is set only in the first message
// of a stream.
type probeMessage struct {
	From        string         `msgpack:"f,omitempty"`
	Incarnation uint64         `msgpack:"i"`
	Digest      uint64         `msgpack:"d"`
	Rumors      []gossip.Rumor `msgpack:"r,omitempty"`
	Versions    Versions       `msgpack:"m,omitempty"`
}

// prober probes one daemon over a long-lived stream.
type prober struct {
	members *Members
	target  string
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{} // starts the next probe at once; buffers one signal
	// answered is set once the current stream carried an answer.
	answered bool
	// digestsDifferSince is the time since which the digests differ.
	digestsDifferSince time.Time
}

func newProber(m *Members, target string) *prober {
	ctx, stop := context.WithCancel(m.ctx)
	return &prober{members: m, target: target, ctx: ctx, stop: stop, wake: make(chan struct{}, 1)}
}

// probeNow starts the next probe at once.
func (p *prober) probeNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run probes until the prober is stopped.
func (p *prober) run() {
	defer p.stop()
	for p.ctx.Err() == nil {
		err := p.runStream()
		if p.ctx.Err() != nil {
			return
		}
		p.members.probeFailed(p.target, err)
		if p.answered {
			// A stream that worked is opened again at once: a refused connection
			// then shows the death of the daemon without waiting for its silence.
			p.answered = false
			continue
		}
		// New rumors do not shorten this wait: they may result from this very
		// failure, and no message carries them while no probe succeeds.
		p.wait(nil)
	}
}

// wait blocks until the next probe is due, or until wake receives.
func (p *prober) wait(wake <-chan struct{}) {
	timer := time.NewTimer(jittered(p.members.config.HeartbeatInterval))
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// runStream opens a stream and exchanges probes until one fails.
func (p *prober) runStream() error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	// The watchdog cancels the stream when a probe has had no answer for
	// SuspectAfter.
	watchdog := time.AfterFunc(p.members.config.SuspectAfter, cancel)
	defer watchdog.Stop()
	s, err := p.members.dialer.Open(ctx, p.target, methodProbe)
	if err != nil {
		return err
	}
	defer s.Close()
	for first := true; ; first = false {
		watchdog.Reset(p.members.config.SuspectAfter)
		answer, err := p.members.exchange(s, p.target, first)
		if err != nil {
			return err
		}
		watchdog.Stop()
		p.answered = true
		p.compareDigest(answer)
		p.wait(p.wake)
		if p.ctx.Err() != nil {
			return p.ctx.Err()
		}
	}
}

// compareDigest starts a sync when the digests have differed for syncAfter, or when this
// daemon has just started, has resumed after a suspension, or failed in its last sync.
func (p *prober) compareDigest(answer probeMessage) {
	m := p.members
	m.mu.Lock()
	same := answer.Digest == m.machine.Digest()
	unsynced := !m.synced
	m.synced = true
	m.mu.Unlock()
	now := time.Now()
	if same || p.digestsDifferSince.IsZero() {
		p.digestsDifferSince = now
	}
	if unsynced || (!same && now.Sub(p.digestsDifferSince) >= syncAfter) {
		p.digestsDifferSince = now
		m.spawn(func() { m.sync(p.target) })
	}
}

// exchange sends one probe over s and processes the answer.
func (m *Members) exchange(s peer.Stream, target string, introduce bool) (probeMessage, error) {
	m.probes.Inc()
	var answer probeMessage
	askedAt := m.versions.Now()
	if err := s.Send(m.newProbe(target, introduce)); err != nil {
		return answer, err
	}
	if err := s.Recv(&answer); err != nil {
		return answer, err
	}
	m.update(func(machine *gossip.Machine) {
		now := time.Now()
		machine.ApplyRumors(answer.Rumors, false, now)
		machine.RecordAnswer(target, answer.Incarnation, now)
	})
	m.observe(target, answer.Versions, askedAt)
	return answer, nil
}

// newProbe returns the next probe for a daemon. If introduce is set, which is the case
// for the first probe of a stream, it also carries the name and state of this daemon.
func (m *Members) newProbe(target string, introduce bool) probeMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := probeMessage{
		Incarnation: m.machine.Incarnation(),
		Digest:      m.machine.Digest(),
		Rumors:      m.machine.RumorsFor(target),
		Versions:    m.versions.Versions(),
	}
	if introduce {
		out.From = m.self.Name
		out.Rumors = append(out.Rumors, m.machine.SelfRumor())
	}
	return out
}

// probeFailed records a failed probe. A refused connection proves that no daemon
// listens at the address, unlike a timeout.
func (m *Members) probeFailed(target string, err error) {
	m.failures.Inc()
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.applyEvidence(func(machine *gossip.Machine) { machine.RecordConnRefused(target) })
	}
}

// serveProbe answers the probes of another daemon.
func (m *Members) serveProbe(_ context.Context, s peer.Stream) error {
	var from string
	for {
		var in probeMessage
		err := s.Recv(&in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if in.From != "" {
			from = in.From
		}
		m.handleProbe(from, in)
		if err := s.Send(m.newProbe(from, false)); err != nil {
			return err
		}
	}
}

// handleProbe processes a probe from another daemon. A sender that this daemon
// considers dead is probed back, since it refutes its death only after a probe has
// reached it.
func (m *Members) handleProbe(from string, in probeMessage) {
	var dead bool
	m.update(func(machine *gossip.Machine) {
		machine.ApplyRumors(in.Rumors, true, time.Now())
		dead = machine.IsDead(from)
	})
	if dead {
		m.reconnect(from)
	}
	m.observe(from, in.Versions, 0)
}

// reconnect probes a daemon once, unless such a probe is already in progress.
func (m *Members) reconnect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reconnecting[name] {
		return
	}
	m.reconnecting[name] = true
	m.spawnLocked(func() {
		_, _ = m.probeOnce(m.ctx, name, m.config.SuspectAfter)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.reconnecting, name)
	})
}

// probeOnce opens a stream, exchanges one probe and closes it.
func (m *Members) probeOnce(ctx context.Context, name string, limit time.Duration) (probeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := m.dialer.Open(ctx, name, methodProbe)
	if err != nil {
		return probeMessage{}, err
	}
	defer s.Close()
	return m.exchange(s, name, true)
}
