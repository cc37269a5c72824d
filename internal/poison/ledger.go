// Package poison keeps requests that crash the backend servers which run them away
// from the servers. Such a request comes again at any daemon, so each crash is
// reported to the daemons that count it, and a request that has crashed too many
// servers is refused by all daemons, which tell each other with their probes.
package poison

import (
	"slices"
	"time"

	"ibisline/internal/structs"
)

const (
	// refuseAfter is the number of servers that a request may crash. One or two may
	// be a coincidence: every request under way at a crash is a suspect.
	refuseAfter = 3
	// lifetime is how long crashes and refusals are remembered. It outlasts the
	// retries of a caller and ends before a false refusal hurts for long.
	lifetime = 10 * time.Minute
	// maxSuspects bounds the requests that are remembered. A crash adds as many as
	// a server runs at once.
	maxSuspects = 4096
)

// Fingerprint identifies what a server would run, over all attempts of a caller.
type Fingerprint uint64

// Crash says that a server crashed while it ran a request.
type Crash struct {
	Request Fingerprint `msgpack:"r"`
	// Server and Started name one run of the server.
	Server  string `msgpack:"s"`
	Started int64  `msgpack:"t"`
}

// crashOf is the crash of a server.
func crashOf(request Fingerprint, server structs.Server) Crash {
	return Crash{Request: request, Server: server.Name, Started: server.Started}
}

// Refusal is a request that is not sent to servers any more.
type Refusal struct {
	Request Fingerprint   `msgpack:"r"`
	Left    time.Duration `msgpack:"l"`
}

// ledger counts crashes by request. It is a state machine without clock and I/O, and
// not safe for concurrent use.
type ledger struct {
	suspects map[Fingerprint]*suspect
	refused  map[Fingerprint]time.Time
}

// suspect is a request with the servers that crashed while they ran it.
type suspect struct {
	crashes []Crash
	expires time.Time
}

func newLedger() *ledger {
	return &ledger{suspects: map[Fingerprint]*suspect{}, refused: map[Fingerprint]time.Time{}}
}

// crashed counts a crash once and reports whether the request is refused from now on.
func (l *ledger) crashed(c Crash, now time.Time) bool {
	known := l.suspects[c.Request]
	if known == nil || !now.Before(known.expires) {
		l.makeRoom(now)
		known = &suspect{expires: now.Add(lifetime)}
		l.suspects[c.Request] = known
	}
	if !slices.Contains(known.crashes, c) {
		known.crashes = append(known.crashes, c)
	}
	if len(known.crashes) < refuseAfter {
		return false
	}
	delete(l.suspects, c.Request)
	l.refused[c.Request] = now.Add(lifetime)
	return true
}

// makeRoom drops what has expired, and if that is not enough the oldest suspect.
func (l *ledger) makeRoom(now time.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var first time.Time
	for request, known := range l.suspects {
		if !now.Before(known.expires) {
			delete(l.suspects, request)
			continue
		}
		if first.IsZero() || known.expires.Before(first) {
			oldest, first = request, known.expires
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}

// refuses reports whether a request is refused.
func (l *ledger) refuses(request Fingerprint, now time.Time) bool {
	until, known := l.refused[request]
	return known && now.Before(until)
}

// refusals returns what is refused now, in no order.
func (l *ledger) refusals(now time.Time) []Refusal {
	var all []Refusal
	for request, until := range l.refused {
		if left := until.Sub(now); left > 0 {
			all = append(all, Refusal{Request: request, Left: left})
		}
	}
	return all
}

// merge takes over another daemon's refusals.
func (l *ledger) merge(told []Refusal, now time.Time) {
	for _, r := range told {
		if !l.refuses(r.Request, now) {
			l.refused[r.Request] = now.Add(min(r.Left, lifetime))
		}
	}
}

// mark is a digest of what is refused: daemons with equal marks refuse the same
// requests. It is 0 where nothing is refused.
func (l *ledger) mark(now time.Time) int64 {
	var digest Fingerprint
	for request, until := range l.refused {
		if !now.Before(until) {
			delete(l.refused, request)
			continue
		}
		digest ^= request
	}
	return int64(digest)
}
