// Package crashguard refuses, in the whole fleet, requests that crash the backend servers which
// run them. A caller may retry such a request at any daemon. Therefore each crash is reported
// to the daemons that count the crashes of the request. Once a request has crashed too many
// servers, all daemons refuse it; they exchange digests of their refusals with their
// membership probes.
package crashguard

import (
	"slices"
	"time"

	"ibisline/internal/structs"
)

const (
	// refuseAfterCrashes is the number of crashes after which a request is refused. One
	// or two may be a coincidence: every request in flight at a crash is a suspect.
	refuseAfterCrashes = 3
	// entryLifetime is how long crashes and refusals are kept. It outlasts the retries of
	// a caller, and is short enough to limit the harm of a false refusal.
	entryLifetime = 10 * time.Minute
	// maxSuspects limits the number of suspects. A crash adds as many as the server ran
	// concurrently.
	maxSuspects = 4096
)

// Fingerprint is a hash of the content of a request, the same for all attempts of a caller.
type Fingerprint uint64

// Crash records that a server crashed while it ran a request.
type Crash struct {
	Request Fingerprint `msgpack:"r"`
	// Server and Started, the name and start time, identify one run of the server.
	Server  string `msgpack:"s"`
	Started int64  `msgpack:"t"`
}

// crashOf returns the record of a crash of server while it ran request.
func crashOf(request Fingerprint, server structs.Server) Crash {
	return Crash{Request: request, Server: server.Name, Started: server.StartedMS}
}

// Refusal is a request that is no longer sent to servers, and the time left until the
// refusal expires.
type Refusal struct {
	Request Fingerprint   `msgpack:"r"`
	Left    time.Duration `msgpack:"l"`
}

// crashCounts counts crashes by request. It is a state machine without a clock or I/O, and
// is not safe for concurrent use.
type crashCounts struct {
	suspects map[Fingerprint]*suspect
	refused  map[Fingerprint]time.Time
}

// suspect holds the crashes of servers that ran a request which is not refused yet.
type suspect struct {
	crashes []Crash
	expires time.Time
}

func newCrashCounts() *crashCounts {
	return &crashCounts{suspects: map[Fingerprint]*suspect{}, refused: map[Fingerprint]time.Time{}}
}

// add counts a crash once and reports whether the request is refused from now on.
func (c *crashCounts) add(crash Crash, now time.Time) bool {
	known := c.suspects[crash.Request]
	if known == nil || !now.Before(known.expires) {
		c.evict(now)
		known = &suspect{expires: now.Add(entryLifetime)}
		c.suspects[crash.Request] = known
	}
	if !slices.Contains(known.crashes, crash) {
		known.crashes = append(known.crashes, crash)
	}
	if len(known.crashes) < refuseAfterCrashes {
		return false
	}
	delete(c.suspects, crash.Request)
	c.refused[crash.Request] = now.Add(entryLifetime)
	return true
}

// count returns the number of crashes under a request, refuseAfterCrashes if it is refused.
func (c *crashCounts) count(request Fingerprint) int {
	if known := c.suspects[request]; known != nil {
		return len(known.crashes)
	}
	return refuseAfterCrashes
}

// evict makes room for one more suspect: it drops the expired suspects and, if that is not
// enough, the oldest one.
func (c *crashCounts) evict(now time.Time) {
	if len(c.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var oldestExpiry time.Time
	for request, known := range c.suspects {
		if !now.Before(known.expires) {
			delete(c.suspects, request)
			continue
		}
		if oldestExpiry.IsZero() || known.expires.Before(oldestExpiry) {
			oldest, oldestExpiry = request, known.expires
		}
	}
	if len(c.suspects) >= maxSuspects {
		delete(c.suspects, oldest)
	}
}

// isRefused reports whether a request is refused.
func (c *crashCounts) isRefused(request Fingerprint, now time.Time) bool {
	until, known := c.refused[request]
	return known && now.Before(until)
}

// refusals returns the refusals that have not expired, in no particular order.
func (c *crashCounts) refusals(now time.Time) []Refusal {
	var all []Refusal
	for request, until := range c.refused {
		if left := until.Sub(now); left > 0 {
			all = append(all, Refusal{Request: request, Left: left})
		}
	}
	return all
}

// merge adds the refusals of another daemon.
func (c *crashCounts) merge(remote []Refusal, now time.Time) {
	for _, r := range remote {
		if !c.isRefused(r.Request, now) {
			c.refused[r.Request] = now.Add(min(r.Left, entryLifetime))
		}
	}
}

// mark returns a digest of the refusals: daemons with equal marks refuse the same requests.
// It is 0 if no request is refused.
func (c *crashCounts) mark(now time.Time) int64 {
	var digest Fingerprint
	for request, until := range c.refused {
		if !now.Before(until) {
			delete(c.refused, request)
			continue
		}
		digest ^= request
	}
	return int64(digest)
}
