// Package relay reaches daemons through others while they cannot be reached directly.
//
// The failure pattern: a part of the machines is cut off from the keepers only. Gateways, callers and the
// membership see nothing of it, as those machines still reach every other gateway. But a gateway that is
// cut off from the keepers can neither read nor store turns, and a home of budgets there decides nothing,
// for its own callers and for those of all other gateways.
//
// A Dialer opens a stream directly, and through another gateway while that fails. The other one opens its
// stream directly, so that a message passes one relay at most. While a daemon counts as unreachable, direct
// connections to it are tried in the background.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	relayMethod = "peer.relay"
	// directInterval is the interval at which an unreachable daemon is tried directly.
	directInterval = time.Second
	// directTimeout bounds such a try, and suspectTimeout the check of a daemon that has left a call
	// unanswered: a lost connection is noticed only after several such times.
	directTimeout  = time.Second
	suspectTimeout = 400 * time.Millisecond
	// maxRelays is the number of gateways that are tried for one stream.
	maxRelays = 2
)

// View is the membership of the daemons.
type View interface {
	Self() structs.Instance
	// Live returns the daemons that are considered alive and not leaving.
	Live() []structs.Instance
	// Reachable returns the live and the leaving daemons.
	Reachable() []structs.Instance
}

// Deps holds the services that a Dialer depends on.
type Deps struct {
	Direct  peer.Dialer
	Mux     peer.Mux
	View    View
	Metrics *metrics.Set
	Log     log.Interface
}

// Dialer opens streams to daemons, directly or through another gateway. It is safe for concurrent use.
type Dialer struct {
	Deps
	relayed *metrics.Counter
	failed  *metrics.Counter

	mu sync.Mutex
	// unreachable holds the daemons that could not be reached directly, and suspects those that are being
	// checked.
	unreachable map[string]*outage
	suspects    map[string]bool
}

// outage is what is known of a daemon that cannot be reached directly.
type outage struct {
	triedAt time.Time
	trying  bool
	// via is the gateway through which it was reached last, empty if there is none.
	via string
}

var _ peer.Dialer = (*Dialer)(nil)

// request is the first message to a relay.
type request struct {
	To     string `msgpack:"t"`
	Method string `msgpack:"m"`
}

// New returns a Dialer and registers the method by which it serves other gateways.
func New(deps Deps) *Dialer {
	d := &Dialer{
		Deps: deps, unreachable: map[string]*outage{}, suspects: map[string]bool{},
		relayed: deps.Metrics.GetOrCreateCounter("ibisline_peer_relayed_total"),
		failed:  deps.Metrics.GetOrCreateCounter("ibisline_peer_relay_failures_total"),
	}
	deps.Metrics.GetOrCreateGauge("ibisline_peer_unreachable", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.unreachable))
	})
	deps.Mux.Handle(relayMethod, d.serve)
	return d
}

// Open implements peer.Dialer. A daemon that the membership does not list is tried directly only: it is
// gone, or every other daemon has lost it too.
func (d *Dialer) Open(ctx context.Context, daemon, method string) (peer.Stream, error) {
	var cause error
	if !d.isUnreachable(daemon) {
		s, err := d.Direct.Open(ctx, daemon, method)
		if err == nil {
			return &watched{Stream: s, ctx: ctx, dialer: d, daemon: daemon}, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) || !d.listed(daemon) {
			return nil, err
		}
		d.markUnreachable(daemon, err)
		cause = err
	}
	if !d.listed(daemon) {
		d.forget(daemon)
		return d.Direct.Open(ctx, daemon, method)
	}
	d.retryDirectly(daemon)
	for _, via := range d.relaysTo(daemon) {
		s, err := d.openVia(ctx, via, daemon, method)
		if err == nil {
			d.relayed.Inc()
			return s, nil
		}
		cause = err
	}
	d.failed.Inc()
	if cause == nil {
		return nil, verdict.New(verdict.NotRun, verdict.PeerLost, "no other daemon to reach %s through", daemon)
	}
	return nil, verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "no way to daemon "+daemon)
}

// openVia opens a stream through a gateway. That has opened its own one when this returns.
func (d *Dialer) openVia(ctx context.Context, via, daemon, method string) (peer.Stream, error) {
	s, err := d.Direct.Open(ctx, via, relayMethod)
	if err != nil {
		d.setRelay(daemon, "")
		return nil, err
	}
	if err = s.Send(request{To: daemon, Method: method}); err == nil {
		var opened struct{}
		err = s.Recv(&opened)
	}
	if err != nil {
		_ = s.Close()
		d.setRelay(daemon, "")
		return nil, err
	}
	d.setRelay(daemon, via)
	return &watched{Stream: s, ctx: ctx, dialer: d, daemon: daemon, via: via}, nil
}

// relaysTo returns the gateways through which a daemon is tried: the one that worked last, and random ones.
func (d *Dialer) relaysTo(daemon string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var relays []string
	if o := d.unreachable[daemon]; o != nil && o.via != "" {
		relays = append(relays, o.via)
	}
	live := d.View.Live()
	for _, i := range rand.Perm(len(live)) {
		if len(relays) == maxRelays {
			break
		}
		candidate := live[i]
		if candidate.Duty == structs.DutyGateway && candidate.Name != d.View.Self().Name && candidate.Name != daemon &&
			d.unreachable[candidate.Name] == nil {
			relays = append(relays, candidate.Name)
		}
	}
	return relays
}

// isUnreachable reports whether a daemon could not be reached directly lately.
func (d *Dialer) isUnreachable(daemon string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[daemon] != nil
}

// markUnreachable records that a daemon could not be reached, or that a stream to it broke.
func (d *Dialer) markUnreachable(daemon string, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable[daemon] != nil {
		return
	}
	d.unreachable[daemon] = &outage{triedAt: time.Now()}
	d.Log.WithError(cause).WithField("peer", daemon).Info("peer is not reached directly, relays are used")
}

// forget ends the outage of a daemon.
func (d *Dialer) forget(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable[daemon] != nil {
		delete(d.unreachable, daemon)
		d.Log.WithField("peer", daemon).Info("peer is reached directly again")
	}
}

// setRelay records the gateway through which a daemon was reached.
func (d *Dialer) setRelay(daemon, via string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o := d.unreachable[daemon]; o != nil {
		o.via = via
	}
}

// retryDirectly tries an unreachable daemon in the background, if that is due.
func (d *Dialer) retryDirectly(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.unreachable[daemon]
	if o == nil || o.trying || time.Since(o.triedAt) < directInterval {
		return
	}
	o.trying = true
	go func() {
		if d.reaches(daemon, directTimeout) == nil {
			d.forget(daemon)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		o.trying, o.triedAt = false, time.Now()
	}()
}

// suspect checks in the background whether a daemon that has left a call unanswered is reached.
func (d *Dialer) suspect(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects[daemon] || d.unreachable[daemon] != nil {
		return
	}
	d.suspects[daemon] = true
	go func() {
		if err := d.reaches(daemon, suspectTimeout); err != nil {
			d.markUnreachable(daemon, err)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.suspects, daemon)
	}()
}

// reaches returns an error unless a daemon answers directly within a time.
func (d *Dialer) reaches(daemon string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var answer struct{}
	err := peer.Call(ctx, d.Direct, daemon, relayMethod, request{To: daemon}, &answer)
	if err != nil && !verdict.HasReason(err, verdict.PeerLost) && !verdict.HasReason(err, verdict.Canceled) {
		// Any other error is an answer too.
		return nil
	}
	return err
}

// listed reports whether the membership lists a daemon.
func (d *Dialer) listed(daemon string) bool {
	for _, instance := range d.View.Reachable() {
		if instance.Name == daemon {
			return true
		}
	}
	return false
}

// serve connects a stream to the daemon that its first message names. One that names this daemon only asks
// whether it is reached.
func (d *Dialer) serve(ctx context.Context, s peer.Stream) error {
	var r request
	if err := s.Recv(&r); err != nil {
		return err
	}
	if r.To == d.View.Self().Name {
		return s.Send(struct{}{})
	}
	if d.isUnreachable(r.To) {
		d.retryDirectly(r.To)
		return verdict.New(verdict.NotRun, verdict.PeerLost, "%s is not reached from here either", r.To)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out, err := d.Direct.Open(ctx, r.To, r.Method)
	if err != nil {
		d.markUnreachable(r.To, err)
		return err
	}
	defer out.Close()
	if err := s.Send(struct{}{}); err != nil {
		return err
	}
	go func() {
		if forward(s, out) != nil {
			cancel()
		}
	}()
	err = forward(out, s)
	if err != nil && ctx.Err() != nil {
		// The caller has given up, maybe for want of an answer.
		d.suspect(r.To)
	}
	return err
}

// forward passes messages on until the end of the sender's direction, which it passes on too.
func forward(from, to peer.Stream) error {
	for {
		var message msgpack.RawMessage
		err := from.Recv(&message)
		if errors.Is(err, io.EOF) {
			_ = to.CloseSend()
			return nil
		}
		if err != nil {
			return err
		}
		if err := to.Send(message); err != nil {
			return err
		}
	}
}

// watched is a stream that reports signs of a lost connection.
type watched struct {
	peer.Stream
	ctx    context.Context
	dialer *Dialer
	daemon string
	// via is the relay, empty for a direct stream.
	via string
}

func (w *watched) Recv(message any) error {
	err := w.Stream.Recv(message)
	lost := err != nil && !errors.Is(err, io.EOF) && verdict.HasReason(err, verdict.PeerLost)
	unanswered := err != nil && errors.Is(w.ctx.Err(), context.DeadlineExceeded)
	switch {
	case w.via != "" && (lost || unanswered):
		w.dialer.setRelay(w.daemon, "")
	case lost:
		w.dialer.markUnreachable(w.daemon, err)
	case unanswered:
		w.dialer.suspect(w.daemon)
	}
	return err
}
