// Package relay lets a daemon that the platform does not serve make its calls
// through a peer. The platform may turn some instances away while it serves others.
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
	method = "objectapi.relay"
	// ownTimeout bounds an own call before a peer is asked. It exceeds what a
	// slow platform takes.
	ownTimeout = 500 * time.Millisecond
	// distrustTime is how long peers are asked first after an own call failed.
	distrustTime = 2 * time.Second
	// maxPeers bounds the peers asked for one call.
	maxPeers = 2
)

// request is a get, or with Write a put.
type request struct {
	Key      string `msgpack:"k"`
	Write    bool   `msgpack:"w,omitempty"`
	Value    []byte `msgpack:"v,omitempty"`
	Expected int64  `msgpack:"e,omitempty"`
}

// reply is the outcome. Failure names one of the errors of objectapi.Store.
type reply struct {
	Object  objectapi.Object `msgpack:"o"`
	Failure string           `msgpack:"f,omitempty"`
}

// failures are the errors that cross the wire, by name.
var failures = map[string]error{
	"not_found":   objectapi.ErrNotFound,
	"conflict":    objectapi.ErrConflict,
	"too_large":   objectapi.ErrTooLarge,
	"unavailable": objectapi.ErrUnavailable,
	"unknown":     objectapi.ErrUnknown,
}

// Store gets and puts objects, over a peer where the platform does not serve this
// daemon. Its errors are those of objectapi.Store.
type Store struct {
	own    objectapi.Store
	dialer peer.Dialer
	peers  func() []string
	logger log.Interface

	mu        sync.Mutex
	distrusts time.Time
}

// New returns a store and serves the calls of peers with own. Peers returns the
// names of the other live daemons.
func New(own objectapi.Store, dialer peer.Dialer, mux peer.Mux, peers func() []string, logger log.Interface) *Store {
	s := &Store{own: own, dialer: dialer, peers: peers, logger: logger}
	mux.Handle(method, s.serve)
	return s
}

// Get returns one object. Errors: ErrNotFound, ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	return s.call(ctx, request{Key: key})
}

// Put writes an object under a condition and returns its new version. Errors:
// ErrConflict, ErrTooLarge, ErrUnavailable, ErrUnknown.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	object, err := s.call(ctx, request{Key: key, Write: true, Value: value, Expected: expected})
	return object.Version, err
}

// call makes a call itself, or over peers while the platform has lately not served
// this daemon. A call whose outcome is not known is not made again.
func (s *Store) call(ctx context.Context, r request) (objectapi.Object, error) {
	if s.trusted() {
		object, err := s.attempt(ctx, r)
		if !errors.Is(err, objectapi.ErrUnavailable) || ctx.Err() != nil {
			return object, err
		}
	}
	names := s.peers()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(maxPeers, len(names))] {
		object, err := s.over(ctx, name, r)
		if !errors.Is(err, objectapi.ErrUnavailable) || ctx.Err() != nil {
			return object, err
		}
	}
	return s.attempt(ctx, r)
}

func (s *Store) trusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.distrusts)
}

// attempt makes an own call.
func (s *Store) attempt(ctx context.Context, r request) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	var object objectapi.Object
	var err error
	if r.Write {
		object.Version, err = s.own.Put(ctx, r.Key, r.Value, r.Expected)
	} else {
		object, err = s.own.Get(ctx, r.Key)
	}
	if errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknown) {
		s.mu.Lock()
		s.distrusts = time.Now().Add(distrustTime)
		s.mu.Unlock()
	}
	return object, err
}

// over makes a call through a peer. Where it is not known whether the peer made it,
// the outcome of a write is not known either.
func (s *Store) over(ctx context.Context, name string, r request) (objectapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	var answer reply
	err := peer.Call(ctx, s.dialer, name, method, r, &answer)
	switch {
	case err != nil && r.Write && !verdict.Is(err, verdict.NotRun):
		return objectapi.Object{}, errors.Wrap(objectapi.ErrUnknown, err.Error())
	case err != nil:
		return objectapi.Object{}, errors.Wrap(objectapi.ErrUnavailable, err.Error())
	case answer.Failure != "":
		return objectapi.Object{}, errors.Wrapf(failures[answer.Failure], "through %s", name)
	}
	s.logger.WithField("peer", name).WithField("object", r.Key).Debug("platform reached through a peer")
	return answer.Object, nil
}

// serve makes a call for a peer.
func (s *Store) serve(ctx context.Context, stream peer.Stream) error {
	var r request
	if err := stream.Recv(&r); err != nil {
		return err
	}
	object, err := s.attempt(ctx, r)
	answer := reply{Object: object}
	if err != nil {
		answer.Failure = nameOf(err)
	}
	return stream.Send(answer)
}

// nameOf returns the name of an error of objectapi.Store; any other leaves the
// outcome unknown.
func nameOf(err error) string {
	for name, known := range failures {
		if errors.Is(err, known) {
			return name
		}
	}
	return "unknown"
}
