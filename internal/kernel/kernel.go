// Package kernel runs the services of a daemon: it starts, drains and stops them
// and lets them look each other up by name.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
)

// Service is a long-running component of the daemon.
type Service interface {
	// Run serves until ctx ends. If it returns earlier, with or without an error, the
	// daemon stops.
	Run(ctx context.Context) error
}

// Drainer is a Service that completes its pending work before a planned stop. Drain
// returns when no work is pending or when ctx ends.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Dumper is a Service that exposes its state for debugging. Dump returns a value
// that encoding/json can encode.
type Dumper interface {
	Dump() any
}

// Errors of Register and Lookup.
var (
	ErrDuplicate = errors.New("service name is already registered")
	ErrUnknown   = errors.New("service is not registered")
	ErrType      = errors.New("service does not have the requested type")
)

// Kernel holds the services of a daemon. All services must be registered before
// Run.
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

// Register adds a service. Services are started in the order of registration, and
// drained and stopped in the reverse order, so that each can depend on those
// registered before it. The error is ErrDuplicate if the name is in use.
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

// Lookup returns the service registered under name as a T. Errors: ErrUnknown,
// ErrType.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errors.Wrap(ErrUnknown, name)
	}
	typed, ok := s.(T)
	if !ok {
		return zero, errors.Wrapf(ErrType, "%s is a %T", name, s)
	}
	return typed, nil
}

// Dump returns the state of each service that implements Dumper, by service name.
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

// runningService is a started service. err is set before done is closed.
type runningService struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Run starts all services and blocks until ctx ends or a service returns. When ctx
// ends, it drains the services, bounded by the context from drainContext, and stops
// them. When a service returns early, it stops the others without draining and
// returns the error of that service.
func (k *Kernel) Run(ctx context.Context, drainContext func() (context.Context, context.CancelFunc)) error {
	exited := make(chan *runningService, len(k.order))
	started := k.start(exited)
	var failure error
	select {
	case <-ctx.Done():
		drainStart := time.Now()
		k.log.Info("planned stop begins")
		k.drain(drainContext)
		k.log.WithField("took_ms", time.Since(drainStart).Milliseconds()).Info("work ended, stopping")
	case first := <-exited:
		failure = errors.Wrapf(first.exitError(), "service %s ended", first.name)
	}
	k.stop(started)
	return failure
}

// exitError returns the error of a service that returned before it was stopped.
func (r *runningService) exitError() error {
	if r.err == nil {
		return errors.New("returned before it was stopped")
	}
	return r.err
}

// start runs each service in its own goroutine. A service that returns is sent to
// exited.
func (k *Kernel) start(exited chan<- *runningService) []*runningService {
	var all []*runningService
	for _, name := range k.order {
		ctx, cancel := context.WithCancel(context.Background())
		r := &runningService{name: name, cancel: cancel, done: make(chan struct{})}
		service := k.services[name]
		go func() {
			defer close(r.done)
			r.err = service.Run(ctx)
			exited <- r
		}()
		all = append(all, r)
		k.log.WithField("service", name).Debug("service started")
	}
	return all
}

// drain drains the services in reverse order of registration.
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

// stop stops the services in reverse order of start and waits for each.
func (k *Kernel) stop(started []*runningService) {
	for i := len(started) - 1; i >= 0; i-- {
		r := started[i]
		r.cancel()
		<-r.done
		k.log.WithField("service", r.name).Debug("service stopped")
	}
}
