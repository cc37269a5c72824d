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

// probe is a heartbeat and its answer. From is set in the first message of a
// stream only.
type probe struct {
	From        string         `msgpack:"f,omitempty"`
	Incarnation uint64         `msgpack:"i"`
	Digest      uint64         `msgpack:"d"`
	Rumors      []gossip.Rumor `msgpack:"r,omitempty"`
	Marks       Marks          `msgpack:"m,omitempty"`
}

// prober probes one daemon over a stream that lasts.
type prober struct {
	members *Members
	target  string
	ctx     context.Context
	stop    context.CancelFunc
	news    chan struct{} // holds one wake-up
	// answered is set once the current stream carried an answer.
	answered bool
	// differs is the time since which the digests differ.
	differs time.Time
}

func newProber(m *Members, target string) *prober {
	ctx, stop := context.WithCancel(m.ctx)
	return &prober{members: m, target: target, ctx: ctx, stop: stop, news: make(chan struct{}, 1)}
}

// hurry makes the next probe start at once.
func (p *prober) hurry() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// run probes until the prober is stopped.
func (p *prober) run() {
	defer p.stop()
	for p.ctx.Err() == nil {
		err := p.converse()
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
		// News does not shorten this wait: it may be about this very failure,
		// and nothing carries it while no probe succeeds.
		p.wait(nil)
	}
}

// wait sleeps until the next probe is due, or hurried receives.
func (p *prober) wait(hurried <-chan struct{}) {
	timer := time.NewTimer(jittered(p.members.config.HeartbeatInterval))
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-hurried:
	case <-timer.C:
	}
}

// converse opens a stream and exchanges probes until one fails.
func (p *prober) converse() error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	// The watchdog ends a probe that got no answer for so long that waiting on
	// this stream makes no more sense.
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
		p.compare(answer)
		p.wait(p.news)
		if p.ctx.Err() != nil {
			return p.ctx.Err()
		}
	}
}

// compare starts a sync when the target has known other things for long, or when
// this daemon has just started or woken.
func (p *prober) compare(answer probe) {
	m := p.members
	m.mu.Lock()
	same := answer.Digest == m.machine.Digest()
	first := !m.synced
	m.synced = true
	m.mu.Unlock()
	now := time.Now()
	if same || p.differs.IsZero() {
		p.differs = now
	}
	if first || (!same && now.Sub(p.differs) >= syncAfter) {
		p.differs = now
		m.spawn(func() { m.sync(p.target) })
	}
}

// exchange sends one probe over s and takes its answer.
func (m *Members) exchange(s peer.Stream, target string, introduce bool) (probe, error) {
	m.probes.Inc()
	var answer probe
	if err := s.Send(m.compose(target, introduce)); err != nil {
		return answer, err
	}
	if err := s.Recv(&answer); err != nil {
		return answer, err
	}
	m.update(func(machine *gossip.Machine) {
		now := time.Now()
		machine.Absorb(answer.Rumors, false, now)
		machine.Answered(target, answer.Incarnation, now)
	})
	m.learn(target, answer.Marks)
	return answer, nil
}

// compose returns the next probe for a daemon.
func (m *Members) compose(target string, introduce bool) probe {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := probe{
		Incarnation: m.machine.Incarnation(),
		Digest:      m.machine.Digest(),
		Rumors:      m.machine.Outgoing(target),
		Marks:       m.news.Marks(),
	}
	if introduce {
		out.From = m.self.Name
		out.Rumors = append(out.Rumors, m.machine.Introduction())
	}
	return out
}

// probeFailed notes a failed probe. A refused connection proves that no daemon
// listens there, which silence alone does not.
func (m *Members) probeFailed(target string, err error) {
	m.failures.Inc()
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.accuse(func(machine *gossip.Machine) { machine.Refused(target) })
	}
}

// serveProbe answers the probes of another daemon.
func (m *Members) serveProbe(_ context.Context, s peer.Stream) error {
	var from string
	for {
		var in probe
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
		m.receive(from, in)
		if err := s.Send(m.compose(from, false)); err != nil {
			return err
		}
	}
}

// receive takes a probe of another daemon. One that is held for dead here is
// probed back, since only a probe that reaches it lets it refute that.
func (m *Members) receive(from string, in probe) {
	var dead bool
	m.update(func(machine *gossip.Machine) {
		machine.Absorb(in.Rumors, true, time.Now())
		dead = machine.Incoming(from)
	})
	if dead {
		m.reach(from)
	}
	m.learn(from, in.Marks)
}

// reach probes a daemon once, unless that is under way already.
func (m *Members) reach(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reaching[name] {
		return
	}
	m.reaching[name] = true
	m.spawnLocked(func() {
		_, _ = m.probeOnce(m.ctx, name, m.config.SuspectAfter)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.reaching, name)
	})
}

// probeOnce opens a stream, exchanges one probe and closes it.
func (m *Members) probeOnce(ctx context.Context, name string, limit time.Duration) (probe, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := m.dialer.Open(ctx, name, methodProbe)
	if err != nil {
		return probe{}, err
	}
	defer s.Close()
	return m.exchange(s, name, true)
}
