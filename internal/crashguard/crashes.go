// Package crashguard refuses, in the whole fleet, requests that crash the backend servers which
// run them. A caller may retry such a request at any daemon, and any daemon may be lost between
// two crashes. Therefore every daemon keeps all crashes that any of them has seen, and concludes
// from them by itself which requests are refused. Daemons exchange digests of the crashes with
// their membership probes, and fetch what they are missing from each other. The platform stores
// the crashes, so that they also outlast the loss of all daemons, and reach daemons that are cut
// off from each other.
package crashguard

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/structs"
)

const (
	// refuseAfterCrashes is the number of crashes after which a request is refused. One
	// or two may be a coincidence: every request in flight at a crash is a suspect.
	refuseAfterCrashes = 3
	// entryLifetime is how long the crashes of a request are kept after the last one. It
	// outlasts the retries of a caller, and is short enough to limit the harm of a false refusal.
	entryLifetime = 10 * time.Minute
	// maxCrashes limits the number of crashes that are kept. The crash of a server adds as
	// many as it ran requests.
	maxCrashes = 4096
)

// Fingerprint is a hash of the content of a request, the same for all attempts of a caller.
type Fingerprint uint64

// Crash records that a server crashed while it ran a request.
type Crash struct {
	Request Fingerprint `msgpack:"r" json:"request,string"`
	// Server and Started, the name and start time, identify one run of the server.
	Server  string `msgpack:"s" json:"server"`
	Started int64  `msgpack:"t" json:"started"`
	// SeenMS is the Unix time in milliseconds at which a daemon noticed the crash.
	SeenMS int64 `msgpack:"m" json:"seen_ms"`
	// Cleared is set once a daemon that knew of the crash has seen the request complete.
	Cleared bool `msgpack:"c,omitempty" json:"cleared,omitempty"`
}

// crashOf returns the record of a crash of server while it ran request.
func crashOf(request Fingerprint, server structs.Server, now time.Time) Crash {
	return Crash{Request: request, Server: server.Name, Started: server.StartedMS, SeenMS: now.UnixMilli()}
}

// run identifies one run of a server.
type run struct {
	server  string
	started int64
}

func runOf(server structs.Server) run { return run{server: server.Name, started: server.StartedMS} }

// identity returns a hash of what identifies the crash.
func (c Crash) identity() uint64 { return xxhash.Sum64String(c.identityText()) }

// hash returns a hash of the crash and its state.
func (c Crash) hash() uint64 {
	return xxhash.Sum64String(c.identityText() + "/" + strconv.FormatBool(c.Cleared))
}

func (c Crash) identityText() string {
	return strconv.FormatUint(uint64(c.Request), 16) + "/" + strconv.FormatInt(c.Started, 10) + "/" + c.Server
}

// crashSet holds crashes by request. Its content depends only on the crashes that were added, not
// on their order, so that daemons which have exchanged all crashes agree. It is a state machine
// without a clock or I/O, and is not safe for concurrent use.
type crashSet struct {
	suspects map[Fingerprint]*suspect
	// size is the number of crashes, and refused that of the requests that are refused.
	size    int
	refused int
	// digest is a hash of all crashes, and sequence counts the additions.
	digest   uint64
	sequence int64
}

// suspect holds the crashes under one request.
type suspect struct {
	crashes map[run]crashEntry
	// count is the number of crashes that are not cleared.
	count   int
	expires time.Time
}

// crashEntry is a crash with the sequence number of its addition.
type crashEntry struct {
	Crash
	sequence int64
}

func newCrashSet() *crashSet { return &crashSet{suspects: map[Fingerprint]*suspect{}} }

// add adds a crash, or the fact that it is cleared, and reports whether that is new. An expired one
// is ignored. The time at which a crash was seen may come from another clock and is taken for now if
// it is later.
func (s *crashSet) add(c Crash, now time.Time) bool {
	seen := time.UnixMilli(min(c.SeenMS, now.UnixMilli()))
	expires := seen.Add(entryLifetime)
	if !now.Before(expires) {
		return false
	}
	known := s.suspects[c.Request]
	crashed := run{server: c.Server, started: c.Started}
	if known != nil {
		if held, counted := known.crashes[crashed]; counted {
			if c.Cleared && !held.Cleared {
				s.clear(known, crashed)
				return true
			}
			return false
		}
	}
	if s.size >= maxCrashes {
		s.evict()
	}
	known = s.suspects[c.Request]
	if known == nil {
		known = &suspect{crashes: map[run]crashEntry{}}
		s.suspects[c.Request] = known
	}
	if expires.After(known.expires) {
		known.expires = expires
	}
	s.sequence++
	s.size++
	s.digest ^= c.hash()
	known.crashes[crashed] = crashEntry{Crash: c, sequence: s.sequence}
	if !c.Cleared {
		s.changeCount(known, 1)
	}
	return true
}

// changeCount changes the number of crashes of a suspect that are not cleared.
func (s *crashSet) changeCount(known *suspect, by int) {
	before := known.refused()
	known.count += by
	switch {
	case known.refused() && !before:
		s.refused++
	case before && !known.refused():
		s.refused--
	}
}

// clear marks a crash under a request as cleared.
func (s *crashSet) clear(known *suspect, crashed run) {
	entry := known.crashes[crashed]
	s.digest ^= entry.hash()
	entry.Cleared = true
	s.digest ^= entry.hash()
	s.changeCount(known, -1)
	s.sequence++
	entry.sequence = s.sequence
	known.crashes[crashed] = entry
}

// clearAll marks all crashes under a request as cleared, and reports whether there are new ones
// among them.
func (s *crashSet) clearAll(request Fingerprint) bool {
	known := s.suspects[request]
	if known == nil {
		return false
	}
	changed := false
	for crashed, entry := range known.crashes {
		if !entry.Cleared {
			s.clear(known, crashed)
			changed = true
		}
	}
	return changed
}

// evict drops the request whose last crash is the oldest, preferably one that is not refused.
func (s *crashSet) evict() {
	var oldest Fingerprint
	var found *suspect
	for request, known := range s.suspects {
		switch {
		case found == nil,
			found.refused() && !known.refused(),
			found.refused() == known.refused() && known.expires.Before(found.expires):
			oldest, found = request, known
		}
	}
	s.drop(oldest)
}

// drop removes the crashes of a request.
func (s *crashSet) drop(request Fingerprint) {
	known := s.suspects[request]
	if known == nil {
		return
	}
	for _, entry := range known.crashes {
		s.size--
		s.digest ^= entry.hash()
	}
	s.changeCount(known, -known.count)
	delete(s.suspects, request)
}

// expire drops the requests whose crashes have expired.
func (s *crashSet) expire(now time.Time) {
	for request, known := range s.suspects {
		if !now.Before(known.expires) {
			s.drop(request)
		}
	}
}

// refused reports whether the request is refused until it expires.
func (k *suspect) refused() bool { return k.count >= refuseAfterCrashes }

// refusal returns the time for which a request is still refused, and false if it is not.
func (s *crashSet) refusal(request Fingerprint, now time.Time) (time.Duration, bool) {
	known := s.suspects[request]
	if known == nil || !known.refused() || !now.Before(known.expires) {
		return 0, false
	}
	return known.expires.Sub(now), true
}

// count returns the number of crashes under a request that are not cleared.
func (s *crashSet) count(request Fingerprint) int {
	if known := s.suspects[request]; known != nil {
		return known.count
	}
	return 0
}

// since returns the crashes that were added after a sequence number, in no particular order.
func (s *crashSet) since(sequence int64) []Crash {
	if sequence >= s.sequence {
		return nil
	}
	var added []Crash
	for _, known := range s.suspects {
		for _, entry := range known.crashes {
			if entry.sequence > sequence {
				added = append(added, entry.Crash)
			}
		}
	}
	return added
}
