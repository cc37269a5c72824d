package member

import (
	"time"

	"ibisline/internal/defaults"
	"ibisline/internal/member/gossip"
)

// Config holds the times of the membership. Zero fields take their defaults.
type Config struct {
	// HeartbeatInterval is the time between two probes of another daemon.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a daemon is suspected. It is dead
	// half as long again later.
	SuspectAfter time.Duration
	// Fanout is the number of daemons that each daemon probes.
	Fanout int
	// RelistInterval is the time after which the platform's lists are read
	// whole, in case a watch missed a change.
	RelistInterval time.Duration
	// Sparse keeps calls to the platform few: the list of daemons is read only
	// to find the first peers, and the list of backend servers not at all.
	Sparse bool
	// Seeds are peer addresses, IP:port, to try while the platform's list of
	// daemons cannot be read. They may be out of date.
	Seeds []string
}

const (
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultSuspectAfter      = time.Second
	defaultFanout            = 5
	defaultRelistInterval    = 5 * time.Minute

	// reachInterval is the time between two attempts to reach a dead daemon.
	reachInterval = time.Second
	// isolationLimit is the time for which a daemon that hears nobody keeps its
	// view of the others.
	isolationLimit = 10 * time.Second
	// forgetAfter is the time for which a dead daemon is remembered.
	forgetAfter = 10 * time.Minute
	// syncAfter is the time after which daemons whose digests differ exchange
	// all that they know.
	syncAfter = 5 * time.Second
	// helperCount is the number of daemons asked to reach a silent one.
	helperCount = 3
	// confirmLimit bounds the requests for confirmation served at once.
	confirmLimit = 8
	// joinInterval is the time between two attempts of a daemon that knows no
	// live peer to find one.
	joinInterval = time.Second
	// meetTimeout bounds the greeting of a seed.
	meetTimeout = 500 * time.Millisecond
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

// machine returns the settings of the state machine.
func (c Config) machine() gossip.Config {
	return gossip.Config{
		Interval:       c.HeartbeatInterval,
		SuspectAfter:   c.SuspectAfter,
		DeadAfter:      c.SuspectAfter / 2,
		ReachInterval:  reachInterval,
		IsolationLimit: max(isolationLimit, 3*c.SuspectAfter),
		ForgetAfter:    forgetAfter,
		Fanout:         c.Fanout,
	}
}
