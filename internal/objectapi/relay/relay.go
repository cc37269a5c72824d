// Package relay sends object API calls through a peer while the platform does not
// serve this daemon. The platform may refuse some instances while it serves others.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

const (
	relayMethod = "objectapi.relay"
	// callTimeout bounds a call to the platform and a call through a peer. It exceeds
	// the response time of a slow platform, so that a slow platform is no reason to
	// use a peer.
	callTimeout = 500 * time.Millisecond
	// avoidDirectTime is the time after a failed direct call in which peers are used first.
	avoidDirectTime = 2 * time.Second
	// maxPeers is the maximum number of peers that are tried for one call.
	maxPeers = 2
)

// request is a get, or a put if Write is set.
type request struct {
	Key      string `msgpack:"k"`
	Write    bool   `msgpack:"w,omitempty"`
	Value    []byte `msgpack:"v,omitempty"`
	Expected int64  `msgpack:"e,omitempty"`
}

// reply is the result of a request. Failure is a key of errorsByName, or empty.
type reply struct {
	Object  objectapi.Object `msgpack:"o"`
	Failure string           `msgpack:"f,omitempty"`
}

// errorsByName maps the names used on the wire to errors of objectapi.Store.
var errorsByName = map[string]error{
	"not_found":   objectapi.ErrNotFound,
	"conflict":    objectapi.ErrConflict,
	"too_large":   objectapi.ErrTooLarge,
	"unavailable": objectapi.ErrUnavailable,
	"unknown":     objectapi.ErrUnknown,
}

// Store gets and puts objects, through a peer if the platform does not serve this
// daemon. Its errors are those of objectapi.Store.
type Store struct {
	direct objectapi.Store
	dialer peer.Dialer
	peers  func() []string
	logger log.Interface

	mu               sync.Mutex
	avoidDirectUntil time.Time
}

// New returns a store and registers the handler that serves the calls of peers.
// Both access the platform through direct. peers returns the names of the other
// live daemons.
func New(direct objectapi.Store, dialer peer.Dialer, mux peer.Mux, peers func() []string, logger log.Interface) *Store {
	s := &Store{direct: direct, dialer: dialer, peers: peers, logger: logger}
	mux.Handle(relayMethod, s.serve)
	return s
}

// Get returns one object. Errors: ErrNotFound, ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	return s.call(ctx, request{Key: key})
}

// Put writes an object if its version equals expected and returns the new version.
// Errors: ErrConflict, ErrTooLarge, ErrUnavailable, ErrUnknown.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	object, err := s.call(ctx, request{Key: key, Write: true, Value: value, Expected: expected})
	return object.Version, err
}

// call calls the platform directly, or through peers first if a direct call has
// failed recently. A call with an unknown outcome is not repeated.
func (s *Store) call(ctx context.Context, r request) (objectapi.Object, error) {
	if s.directAllowed() {
		object, err := s.callDirect(ctx, r)
		if !errors.Is(err, objectapi.ErrUnavailable) || ctx.Err() != nil {
			return object, err
		}
	}
	names := s.peers()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(maxPeers, len(names))] {
		object, err := s.callViaPeer(ctx, name, r)
		if !errors.Is(err, objectapi.ErrUnavailable) || ctx.Err() != nil {
			return object, err
		}
	}
	return s.callDirect(ctx, r)
}

// directAllowed reports whether no direct call has failed recently.
func (s *Store) directAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.avoidDirectUntil)
}

// callDirect calls the platform directly.
func (s *Store) callDirect(ctx context.Context, r request) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var object objectapi.Object
	var err error
	if r.Write {
		object.Version, err = s.direct.Put(ctx, r.Key, r.Value, r.Expected)
	} else {
		object, err = s.direct.Get(ctx, r.Key)
	}
	if errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknown) {
		s.mu.Lock()
		s.avoidDirectUntil = time.Now().Add(avoidDirectTime)
		s.mu.Unlock()
	}
	return object, err
}

// callViaPeer calls the platform through a peer. If the peer may have received a
// write but its reply is missing, the outcome is unknown.
func (s *Store) callViaPeer(ctx context.Context, name string, r request) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result reply
	err := peer.Call(ctx, s.dialer, name, relayMethod, r, &result)
	switch {
	case err != nil && r.Write && !verdict.Is(err, verdict.NotRun):
		return objectapi.Object{}, errors.Wrap(objectapi.ErrUnknown, err.Error())
	case err != nil:
		return objectapi.Object{}, errors.Wrap(objectapi.ErrUnavailable, err.Error())
	case result.Failure != "":
		return objectapi.Object{}, errors.Wrapf(errorsByName[result.Failure], "platform call through daemon %s", name)
	}
	s.logger.WithField("peer", name).WithField("object", r.Key).Debug("platform call relayed by a peer")
	return result.Object, nil
}

// serve calls the platform on behalf of a peer.
func (s *Store) serve(ctx context.Context, stream peer.Stream) error {
	var r request
	if err := stream.Recv(&r); err != nil {
		return err
	}
	object, err := s.callDirect(ctx, r)
	result := reply{Object: object}
	if err != nil {
		result.Failure = errorName(err)
	}
	return stream.Send(result)
}

// errorName returns the name of an error of objectapi.Store, and "unknown" for any
// other error.
func errorName(err error) string {
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return name
		}
	}
	return "unknown"
}
