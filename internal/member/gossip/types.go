// Package gossip implements failure detection and membership dissemination in the
// manner of SWIM, as a state machine without I/O or a clock: the caller passes in
// the time, the received rumors and the probe results, and carries out the actions
// that Tick returns.
//
// Each daemon probes a small fixed number of targets. If a target is silent,
// helpers probe it too, and it is suspected only when they cannot reach it either.
// A suspected daemon that receives a probe refutes the suspicion with a higher
// incarnation; otherwise it is declared dead after a timeout. State changes are
// piggybacked on the probes.
//
// A daemon refutes only rumors that arrive with a probe from another daemon. A
// daemon that can send but cannot be reached therefore stays dead and does not
// flap.
package gossip

import (
	"time"

	"ibisline/internal/structs"
)

// Status is the state of a daemon. Of two rumors with the same incarnation the one
// with the higher status wins.
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

// MarshalJSON encodes the status as its name. Between daemons it is encoded as a
// number.
func (s Status) MarshalJSON() ([]byte, error) { return []byte(`"` + s.String() + `"`), nil }

// Rumor is the state of one daemon as sent between daemons. Incarnation increases
// with each start of the daemon and with each refutation. Instance is set for Alive
// and Leaving.
type Rumor struct {
	Name        string            `msgpack:"n"`
	Status      Status            `msgpack:"s"`
	Incarnation uint64            `msgpack:"i"`
	Instance    *structs.Instance `msgpack:"d,omitempty"`
}

// Config holds the parameters of the machine.
type Config struct {
	// Interval is the time between two probes of a target, and the longest
	// allowed time between two calls of Tick.
	Interval time.Duration
	// SuspectAfter is the time without an answer after which a daemon that
	// helpers cannot reach either is suspected.
	SuspectAfter time.Duration
	// RefuteTimeout is the time that a suspected daemon has to refute the
	// suspicion before it is declared dead.
	RefuteTimeout time.Duration
	// ReconnectInterval is the time between two probes of dead daemons.
	ReconnectInterval time.Duration
	// IsolationLimit is the time for which a daemon that gets no answer at all
	// assumes that it is itself cut off, and declares no silent daemon dead.
	IsolationLimit time.Duration
	// ForgetAfter is the time after which a dead or leaving daemon that the
	// platform does not list is removed.
	ForgetAfter time.Duration
	// Fanout is the number of daemons that each daemon probes.
	Fanout int
}

// Member is the machine's record of one daemon.
type Member struct {
	Instance    structs.Instance `json:"instance"`
	Status      Status           `json:"status"`
	Incarnation uint64           `json:"incarnation"`
	// Since is the time of the last change of Status.
	Since time.Time `json:"since"`
	// Listed is set while the platform lists the daemon.
	Listed bool `json:"listed"`

	// lastAnswer is the time of the last answer to a probe of this daemon or of a
	// helper.
	lastAnswer time.Time
	// confirmRequestedAt is the time of the last request to helpers,
	// unreachableAt the last time at which no helper could reach it either.
	confirmRequestedAt time.Time
	unreachableAt      time.Time
	// connRefused is set when its address refuses connections: no process listens
	// there.
	connRefused bool
}

// Actions are the steps that the caller has to carry out after Tick.
type Actions struct {
	// Confirm holds the names of daemons that helpers should probe.
	Confirm []string
	// Reconnect holds the names of dead daemons to probe once.
	Reconnect []string
	// Resumed is set when this process was suspended for a while and may have
	// missed state changes.
	Resumed bool
}
