// Package retire empties an instance with a disk when the operators ask for it, and
// tells them when it holds nothing any more.
package retire

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/defaults"
	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
)

// State is what the operators are told.
type State uint8

// States.
const (
	Running State = iota
	Completed
)

// Dialect translates the operators' requests. A request is an object named after its
// instance.
type Dialect interface {
	// Retirement checks the object of a request.
	Retirement(stored objectapi.Object) error
	// RetirementStatus returns the key and value that tell the state of a request.
	RetirementStatus(instance string, state State) (key string, value []byte)
}

// Defaults of Config.
const (
	// DefaultPoll is the time between two looks at whether anything is left.
	DefaultPoll = 300 * time.Millisecond
	// DefaultCallTimeout bounds one call to the platform.
	DefaultCallTimeout = time.Second
)

// Config sets the pace. Zero fields take their default.
type Config struct {
	Poll        time.Duration
	CallTimeout time.Duration
}

// Deps are what a Service works with.
type Deps struct {
	Dialect Dialect
	// Requests is the copy of the operators' requests.
	Requests *objectcache.Cache
	Store    objectapi.Store
	// Leave makes the other daemons stop choosing this instance.
	Leave func()
	// Empty reports whether no daemon relies on this instance any more.
	Empty func(ctx context.Context) (bool, error)
	Log   log.Interface
}

// Service is a kernel service.
type Service struct {
	Deps
	config   Config
	instance string
}

// New returns the service of an instance.
func New(config Config, instance string, deps Deps) *Service {
	defaults.Set(&config.Poll, DefaultPoll)
	defaults.Set(&config.CallTimeout, DefaultCallTimeout)
	return &Service{Deps: deps, config: config, instance: instance}
}

// Run waits for a request and carries it out.
func (s *Service) Run(ctx context.Context) error {
	for !s.requested() {
		changed := s.Requests.Changed()
		if s.requested() {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
	s.Log.Info("instance is to be emptied")
	s.Leave()
	s.tell(ctx, Running)
	s.awaitEmpty(ctx)
	s.tell(ctx, Completed)
	<-ctx.Done()
	return nil
}

// requested reports whether the operators want this instance emptied.
func (s *Service) requested() bool {
	held, _ := s.Requests.Snapshot()
	for _, c := range held {
		if c.Name != s.instance {
			continue
		}
		err := s.Dialect.Retirement(objectapi.Object{Key: s.Requests.Prefix() + c.Name, Value: *c.Value, Version: c.Version})
		if err != nil {
			s.Log.WithError(err).WithField("version", c.Version).Warn("request to empty this instance is not readable")
		}
		return err == nil
	}
	return false
}

// awaitEmpty returns when nothing is left here, or when ctx ends.
func (s *Service) awaitEmpty(ctx context.Context) {
	for ctx.Err() == nil {
		calling, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
		empty, err := s.Empty(calling)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.WithError(err).Info("not known whether anything is left here")
		}
		if err == nil && empty {
			s.Log.Info("instance is empty")
			return
		}
		s.pause(ctx)
	}
}

func (s *Service) pause(ctx context.Context) {
	timer := time.NewTimer(s.config.Poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// tell writes the state until that has succeeded, or ctx ends.
func (s *Service) tell(ctx context.Context, state State) {
	for ctx.Err() == nil {
		err := s.write(ctx, state)
		if err == nil {
			return
		}
		s.Log.WithError(err).Info("state of the retirement not written yet")
		s.pause(ctx)
	}
}

// write writes the state once, under the version of the request.
func (s *Service) write(ctx context.Context, state State) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	request, err := s.Store.Get(ctx, s.Requests.Prefix()+s.instance)
	if errors.Is(err, objectapi.ErrNotFound) {
		// It was withdrawn; there is nobody to tell.
		return nil
	}
	if err != nil {
		return err
	}
	key, value := s.Dialect.RetirementStatus(s.instance, state)
	_, err = s.Store.Put(ctx, key, value, request.Version)
	return err
}
