// Package retire takes an instance with a disk out of service at the request of the
// operators, and reports when no daemon depends on it any more.
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

// State is the reported state of a retirement.
type State uint8

// States of a retirement.
const (
	// Running means that other daemons may still depend on the instance.
	Running State = iota
	// Completed means that no daemon depends on the instance.
	Completed
)

// Dialect converts between the platform's retirement objects and this package. A
// request is an object whose key is a prefix followed by the name of the instance.
type Dialect interface {
	// ValidateRetirement returns an error if stored is not a valid request.
	ValidateRetirement(stored objectapi.Object) error
	// RetirementStatus returns the key and value of the object that reports state for
	// the request of an instance.
	RetirementStatus(instance string, state State) (key string, value []byte)
}

// Defaults of Config.
const (
	// DefaultPoll is the interval between calls of Deps.Empty, and the delay before a
	// failed status write is retried.
	DefaultPoll = 300 * time.Millisecond
	// DefaultCallTimeout limits one call to the platform.
	DefaultCallTimeout = time.Second
)

// Config sets the intervals and timeouts of a Service. Zero fields take their defaults.
type Config struct {
	Poll        time.Duration
	CallTimeout time.Duration
}

// Deps are the dependencies of a Service.
type Deps struct {
	Dialect Dialect
	// Requests is the local copy of the operators' requests.
	Requests *objectcache.Cache
	Store    objectapi.Store
	// Leave makes the other daemons stop selecting this instance.
	Leave func()
	// Empty reports whether no daemon depends on this instance any more.
	Empty func(ctx context.Context) (bool, error)
	Log   log.Interface
}

// Service carries out the retirement of one instance. It is a kernel service.
type Service struct {
	Deps
	config   Config
	instance string
}

// New returns the retirement service of the named instance.
func New(config Config, instance string, deps Deps) *Service {
	defaults.Set(&config.Poll, DefaultPoll)
	defaults.Set(&config.CallTimeout, DefaultCallTimeout)
	return &Service{Deps: deps, config: config, instance: instance}
}

// Run waits for a request, makes the other daemons stop selecting the instance, and
// reports Running and then Completed. It returns nil when ctx ends.
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
	s.Log.Info("retirement of this instance requested")
	s.Leave()
	s.report(ctx, Running)
	s.awaitEmpty(ctx)
	s.report(ctx, Completed)
	<-ctx.Done()
	return nil
}

// requested reports whether there is a valid request to retire this instance.
func (s *Service) requested() bool {
	held, _ := s.Requests.Snapshot()
	for _, c := range held {
		if c.Name != s.instance {
			continue
		}
		err := s.Dialect.ValidateRetirement(objectapi.Object{
			Key: s.Requests.Prefix() + c.Name, Value: *c.Value, Version: c.Version,
		})
		if err != nil {
			s.Log.WithError(err).WithField("version", c.Version).
				Warn("retirement request of this instance is not valid")
		}
		return err == nil
	}
	return false
}

// awaitEmpty polls Deps.Empty until it reports true or ctx ends.
func (s *Service) awaitEmpty(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
		empty, err := s.Empty(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			s.Log.WithError(err).Info("check for daemons that depend on this instance failed")
		}
		if err == nil && empty {
			s.Log.Info("no daemon depends on this instance any more")
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

// report writes the status and retries until that succeeds or ctx ends.
func (s *Service) report(ctx context.Context, state State) {
	for ctx.Err() == nil {
		err := s.writeStatus(ctx, state)
		if err == nil {
			return
		}
		s.Log.WithError(err).Info("writing the retirement status failed; retrying")
		s.pause(ctx)
	}
}

// writeStatus writes the status once, with the version of the request as the expected
// version. A missing request is not an error.
func (s *Service) writeStatus(ctx context.Context, state State) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	request, err := s.Store.Get(ctx, s.Requests.Prefix()+s.instance)
	if errors.Is(err, objectapi.ErrNotFound) {
		// The request was withdrawn, so no status is expected.
		return nil
	}
	if err != nil {
		return err
	}
	key, value := s.Dialect.RetirementStatus(s.instance, state)
	_, err = s.Store.Put(ctx, key, value, request.Version)
	return err
}
