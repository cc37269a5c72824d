package catalogue

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// heard is the age of the newest sign of life from a data centre.
type heard struct {
	DataCentre string        `msgpack:"d"`
	Age        time.Duration `msgpack:"a"`
}

// contact records proofs that edits cannot be in force elsewhere unseen: the
// newest time at which the platform is known to have been reached, here or by a
// peer, and the newest sign of life from the other daemons of each data centre.
// It is safe for concurrent use.
type contact struct {
	staleAfter  time.Duration
	forgetAfter time.Duration

	mu       sync.Mutex
	platform time.Time
	centres  map[string]time.Time
	// newest is the highest revision that a peer has reported.
	newest int64
}

func newContact(staleAfter, forgetAfter time.Duration) *contact {
	return &contact{
		staleAfter:  staleAfter,
		forgetAfter: forgetAfter,
		centres:     map[string]time.Time{},
	}
}

// reached records that the platform was reached at the given time.
func (c *contact) reached(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.platform) {
		c.platform = at
	}
}

// expect adds a data centre from which a sign of life is needed.
func (c *contact) expect(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.centres[dataCentre]; !ok {
		c.centres[dataCentre] = time.Time{}
	}
}

// hear records a sign of life. One that is older than the time after which data
// centres are forgotten counts only while the platform is out of reach: then the
// data centre may be cut off and not gone.
func (c *contact) hear(dataCentre string, at, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, known := c.centres[dataCentre]
	if !known && c.fresh(now) && now.Sub(at) > c.forgetAfter {
		return
	}
	if !known || at.After(held) {
		c.centres[dataCentre] = at
	}
}

// report records the revision that a peer has in force.
func (c *contact) report(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, revision)
}

// forget drops data centres that are not in live and were silent for long while
// the platform was in reach.
func (c *contact) forget(live map[string]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fresh(now) {
		return
	}
	for dataCentre, at := range c.centres {
		if !live[dataCentre] && now.Sub(at) > c.forgetAfter {
			delete(c.centres, dataCentre)
		}
	}
}

// fresh reports whether the platform was reached a short time ago. The caller
// holds mu.
func (c *contact) fresh(now time.Time) bool {
	return !c.platform.IsZero() && now.Sub(c.platform) <= c.staleAfter
}

// current reports whether no edit can be in force elsewhere for long: the
// platform is in reach, or it is out of reach for daemons of all data centres,
// none of which has a revision newer than the given one.
func (c *contact) current(now time.Time, revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh(now) {
		return true
	}
	return c.newest <= revision && len(c.silent(now)) == 0
}

// silent returns the data centres without a recent sign of life. The caller
// holds mu.
func (c *contact) silent(now time.Time) []string {
	var names []string
	for dataCentre, at := range c.centres {
		if now.Sub(at) > c.staleAfter {
			names = append(names, dataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// ages returns the age of the platform contact, negative when there was none,
// and the age of each data centre's sign of life.
func (c *contact) ages(now time.Time) (time.Duration, []heard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	platform := time.Duration(-1)
	if !c.platform.IsZero() {
		platform = now.Sub(c.platform)
	}
	var centres []heard
	for dataCentre, at := range c.centres {
		if !at.IsZero() {
			centres = append(centres, heard{DataCentre: dataCentre, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(centres, func(a, b heard) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return platform, centres
}

// silentNow returns the data centres without a recent sign of life.
func (c *contact) silentNow(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent(now)
}

// isFresh reports whether the platform was reached a short time ago.
func (c *contact) isFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh(now)
}
