package serverlimit

import (
	"maps"
	"time"

	"ibisline/internal/structs"
)

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

const (
	// NoNotice says nothing about the limit of a server, such as the response of another one.
	NoNotice NoticeKind = iota
	// Unlimited says that the server names no limit.
	Unlimited
	// Limited says that the server names a limit.
	Limited
)

// Notice is what a response says about the limit of the server that has sent it.
type Notice struct {
	Kind NoticeKind
	// PerSecond is the number of requests a second that the server takes from all daemons
	// together, if Kind is Limited.
	PerSecond float64
}

// endConfirmations is the number of responses in a row without a limit after which a limit has
// ended. A single one may come from a server that has produced it before it named the limit.
const endConfirmations = 2

// run identifies one run of a server. Each run names limits of its own.
type run struct {
	Server  string `msgpack:"s"`
	Started int64  `msgpack:"t"`
}

func runOf(server structs.Server) run { return run{Server: server.Name, Started: server.StartedMS} }

// knowledge holds the limits that runs of servers name. It is a state machine without a clock or
// I/O, and is not safe for concurrent use.
type knowledge struct {
	limits map[run]*namedLimit
}

// namedLimit is a limit that a run names.
type namedLimit struct {
	perSecond float64
	// heardAt is the time at which the limit was heard last.
	heardAt time.Time
	// unlimited is the number of later responses in a row that name none.
	unlimited int
}

func newKnowledge() *knowledge { return &knowledge{limits: map[run]*namedLimit{}} }

// observe applies the notice of a response to a request that was sent at a given time, and reports
// whether the limit has changed.
func (k *knowledge) observe(from run, n Notice, sentAt, now time.Time) bool {
	known := k.limits[from]
	switch n.Kind {
	case Limited:
		changed := known == nil || known.perSecond != n.PerSecond
		k.limits[from] = &namedLimit{perSecond: n.PerSecond, heardAt: now}
		return changed
	case Unlimited:
		if known == nil || !sentAt.After(known.heardAt) {
			return false
		}
		known.unlimited++
		if known.unlimited < endConfirmations {
			return false
		}
		delete(k.limits, from)
		return true
	default:
		return false
	}
}

// limitOf returns the limit that a run names, and false if it names none.
func (k *knowledge) limitOf(of run) (namedLimit, bool) {
	known := k.limits[of]
	if known == nil {
		return namedLimit{}, false
	}
	return *known, true
}

// end drops the limit of a run, unless it was heard after the given time, and reports whether it did.
func (k *knowledge) end(of run, heardAt time.Time) bool {
	known := k.limits[of]
	if known == nil || known.heardAt.After(heardAt) {
		return false
	}
	delete(k.limits, of)
	return true
}

// retain drops the limits of the runs for which keep returns false.
func (k *knowledge) retain(keep func(run) bool) {
	maps.DeleteFunc(k.limits, func(of run, _ *namedLimit) bool { return !keep(of) })
}
