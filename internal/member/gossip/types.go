// Package gossip decides which daemons are alive. It is a state machine without
// I/O and clock: the caller passes in the time, what was heard and what was
// reached, and carries out the actions that Tick returns.
//
// Each daemon probes a fixed few others. A silent one is probed by helpers too,
// and suspected only when they cannot reach it either. A suspected daemon that is
// reached says so with a higher incarnation; one that is not is dead after a
// while. State changes spread with the probes.
//
// A daemon refutes only what it learns from a probe that reached it. One that can
// send but not be reached therefore stays dead and does not flap.
package gossip

import (
	"time"

	"ibisline/internal/structs"
)

// Status of a daemon. Of two reports with the same incarnation the one with the
// higher status wins.
type Status uint8

// Statuses in the order in which they override each other.
const (
	Alive Status = iota
	Suspect
	Dead
	Leaving
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "leaving"
	}
}

// MarshalJSON shows the status by its name. Between daemons it travels as a number.
func (s Status) MarshalJSON() ([]byte, error) { return []byte(`"` + s.String() + `"`), nil }

// Rumor is one report about a daemon. Incarnation rises with each start of the
// daemon and with each refutation. Instance is set with Alive and Leaving.
type Rumor struct {
	Name        string            `msgpack:"n"`
	Status      Status            `msgpack:"s"`
	Incarnation uint64            `msgpack:"i"`
	Instance    *structs.Instance `msgpack:"d,omitempty"`
}

// Config holds the times of the machine.
type Config struct {
	// Interval is the time between two probes of a target, and the longest
	// between two calls of Tick.
	Interval time.Duration
	// SuspectAfter is the silence after which a daemon that helpers cannot
	// reach either is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected daemon has to refute.
	DeadAfter time.Duration
	// ReachInterval is the time between two attempts to reach a dead daemon.
	ReachInterval time.Duration
	// IsolationLimit is the time for which a daemon that hears nobody at all
	// takes itself, and not the others, for the one that is cut off.
	IsolationLimit time.Duration
	// ForgetAfter is the time after which a dead daemon that the platform does
	// not list is forgotten.
	ForgetAfter time.Duration
	// Fanout is the number of daemons that each daemon probes.
	Fanout int
}

// Member is the machine's knowledge of one daemon.
type Member struct {
	Instance    structs.Instance `json:"instance"`
	Status      Status           `json:"status"`
	Incarnation uint64           `json:"incarnation"`
	// Since is the time of the last change of Status.
	Since time.Time `json:"since"`
	// Listed is set while the platform lists the daemon.
	Listed bool `json:"listed"`

	// heard is the last time at which a probe of ours, or of a helper, was answered.
	heard time.Time
	// asked is the time of the last request to helpers, denied that of their
	// last answer that they cannot reach it either.
	asked  time.Time
	denied time.Time
	// refused is set when its address refuses connections: nothing runs there.
	refused bool
}

// Actions are what the caller has to do after Tick.
type Actions struct {
	// Confirm names daemons that helpers should try to reach.
	Confirm []string
	// Reach names dead daemons to probe once.
	Reach []string
	// Woken is set when this daemon itself did nothing for a while and may have
	// missed news.
	Woken bool
}
