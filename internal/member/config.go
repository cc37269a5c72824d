package member

import (
	"time"

	"ibisline/internal/defaults"
	"ibisline/internal/member/gossip"
)

// Config holds the parameters of the membership. Zero fields take their defaults.
type Config struct {
	// HeartbeatInterval is the time between two probes of a target.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without an answer after which a daemon is
	// suspected. It is declared dead after a further half of this time.
	SuspectAfter time.Duration
	// Fanout is the number of daemons that each daemon probes.
	Fanout int
	// RelistInterval is the time after which the platform's lists are read in
	// full again, in case a watch missed a change.
	RelistInterval time.Duration
	// LimitPlatformCalls reduces the calls to the platform: the list of daemons is read only
	// to discover the first peers, and the list of backend servers not at all.
	LimitPlatformCalls bool
	// Seeds are peer addresses in the form IP:port, used while the platform's
	// list of daemons cannot be read. They may be out of date.
	Seeds []string
}

const (
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultSuspectAfter      = time.Second
	defaultFanout            = 5
	defaultRelistInterval    = 5 * time.Minute

	// reconnectInterval is the time between two probes of dead daemons.
	reconnectInterval = time.Second
	// isolationLimit is the time for which a daemon that gets no answer at all
	// keeps its view of the others.
	isolationLimit = 10 * time.Second
	// forgetAfter is the time after which a dead or leaving daemon that the platform
	// does not list is removed.
	forgetAfter = 10 * time.Minute
	// syncAfter is the time after which two daemons whose digests differ exchange
	// their full state.
	syncAfter = 5 * time.Second
	// confirmHelpers is the number of helpers asked to probe a silent daemon.
	confirmHelpers = 3
	// maxConcurrentConfirms bounds the confirm requests served at the same time.
	maxConcurrentConfirms = 8
	// joinInterval is the time between two attempts to discover peers while no
	// live peer is known.
	joinInterval = time.Second
	// seedTimeout bounds the request for the name of a seed.
	seedTimeout = 500 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// platformRetryMin and platformRetryMax bound the wait after a failed call.
	platformRetryMin = 200 * time.Millisecond
	platformRetryMax = 5 * time.Second
)

// withDefaults returns c with its zero fields filled.
func (c Config) withDefaults() Config {
	defaults.Set(&c.HeartbeatInterval, defaultHeartbeatInterval)
	defaults.Set(&c.SuspectAfter, defaultSuspectAfter)
	defaults.Set(&c.Fanout, defaultFanout)
	defaults.Set(&c.RelistInterval, defaultRelistInterval)
	return c
}

// machine returns the configuration of the state machine.
func (c Config) machine() gossip.Config {
	return gossip.Config{
		Interval:          c.HeartbeatInterval,
		SuspectAfter:      c.SuspectAfter,
		RefuteTimeout:     c.SuspectAfter / 2,
		ReconnectInterval: reconnectInterval,
		IsolationLimit:    max(isolationLimit, 3*c.SuspectAfter),
		ForgetAfter:       forgetAfter,
		Fanout:            c.Fanout,
	}
}
