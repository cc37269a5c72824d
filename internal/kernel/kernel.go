// Package kernel starts and stops the services of a daemon and lets them find
// each other by name.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
)

// Service is a duty of the daemon.
type Service interface {
	// Run does the duty until ctx ends. A return before that, with or without
	// an error, ends the daemon.
	Run(ctx context.Context) error
}

// Drainer is a Service that finishes its work before a planned stop. Drain
// returns when nothing is left to finish, or when ctx ends.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Dumper is a Service that shows its state. Dump returns a value that
// encoding/json can encode.
type Dumper interface {
	Dump() any
}

// Errors of Register and Lookup.
var (
	ErrDuplicate = errors.New("service name is taken")
	ErrUnknown   = errors.New("no service of that name")
	ErrType      = errors.New("service has another type")
)

// Kernel holds the services. Register is called before Run.
type Kernel struct {
	log      log.Interface
	mu       sync.RWMutex
	order    []string
	services map[string]Service
}

// New returns a kernel without services.
func New(logger log.Interface) *Kernel {
	return &Kernel{log: logger, services: map[string]Service{}}
}

// Register adds a service. Services start in the order of registration, and are
// drained and stopped in the reverse order, so that each may rely on those
// registered before it.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[name]; taken {
		return errors.Wrap(ErrDuplicate, name)
	}
	k.services[name] = s
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the service registered under name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, errors.Wrap(ErrUnknown, name)
	}
	typed, ok := s.(T)
	if !ok {
		return none, errors.Wrapf(ErrType, "%s is a %T", name, s)
	}
	return typed, nil
}

// Dump returns the state of every service that shows it, by service name.
func (k *Kernel) Dump() map[string]any {
	k.mu.RLock()
	defer k.mu.RUnlock()
	state := make(map[string]any, len(k.order))
	for _, name := range k.order {
		if d, ok := k.services[name].(Dumper); ok {
			state[name] = d.Dump()
		}
	}
	return state
}

// running is a started service.
type running struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Run starts all services and blocks until ctx ends or a service returns. It
// then drains them within the context that drainContext makes, and stops them.
// The error is that of the first service that returned before it was stopped.
func (k *Kernel) Run(ctx context.Context, drainContext func() (context.Context, context.CancelFunc)) error {
	ended := make(chan *running, len(k.order))
	started := k.start(ended)
	var failure error
	select {
	case <-ctx.Done():
		begun := time.Now()
		k.log.Info("planned stop begins")
		k.drain(drainContext)
		k.log.WithField("took_ms", time.Since(begun).Milliseconds()).Info("work ended, stopping")
	case first := <-ended:
		failure = errors.Wrapf(first.cause(), "service %s ended", first.name)
	}
	k.stop(started)
	return failure
}

// cause is the error with which the service returned.
func (r *running) cause() error {
	if r.err == nil {
		return errors.New("returned without being stopped")
	}
	return r.err
}

// start runs every service in a goroutine of its own.
func (k *Kernel) start(ended chan<- *running) []*running {
	var all []*running
	for _, name := range k.order {
		ctx, cancel := context.WithCancel(context.Background())
		r := &running{name: name, cancel: cancel, done: make(chan struct{})}
		service := k.services[name]
		go func() {
			defer close(r.done)
			r.err = service.Run(ctx)
			ended <- r
		}()
		all = append(all, r)
		k.log.WithField("service", name).Debug("service started")
	}
	return all
}

// drain lets every service finish its work, last registered first.
func (k *Kernel) drain(drainContext func() (context.Context, context.CancelFunc)) {
	ctx, cancel := drainContext()
	defer cancel()
	for i := len(k.order) - 1; i >= 0; i-- {
		name := k.order[i]
		d, ok := k.services[name].(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			k.log.WithField("service", name).WithError(err).Error("drain incomplete")
		}
	}
}

// stop ends the services, last started first, and waits for each.
func (k *Kernel) stop(started []*running) {
	for i := len(started) - 1; i >= 0; i-- {
		r := started[i]
		r.cancel()
		<-r.done
		k.log.WithField("service", r.name).Debug("service stopped")
	}
}
