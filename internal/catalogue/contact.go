package catalogue

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// dataCentreContact is the age of the newest contact with a data centre.
type dataCentreContact struct {
	DataCentre string        `msgpack:"d"`
	Age        time.Duration `msgpack:"a"`
}

// contact records the evidence that no other daemon has applied an edit that is
// missing here: the latest time at which the platform was reached, by this daemon
// or by a peer, and the latest contact with the other daemons of each data centre.
// It is safe for concurrent use.
type contact struct {
	staleAfter  time.Duration
	forgetAfter time.Duration

	mu                sync.Mutex
	platformReachedAt time.Time
	dataCentres       map[string]time.Time
	// newestPeerRevision is the highest revision reported by a peer.
	newestPeerRevision int64
}

func newContact(staleAfter, forgetAfter time.Duration) *contact {
	return &contact{
		staleAfter:  staleAfter,
		forgetAfter: forgetAfter,
		dataCentres: map[string]time.Time{},
	}
}

// recordPlatform records that the platform was reached at the given time.
func (c *contact) recordPlatform(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.platformReachedAt) {
		c.platformReachedAt = at
	}
}

// expectDataCentre adds a data centre with which contact is required.
func (c *contact) expectDataCentre(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.dataCentres[dataCentre]; !ok {
		c.dataCentres[dataCentre] = time.Time{}
	}
}

// recordDataCentre records a contact with a data centre. A contact older than
// forgetAfter does not add an unknown data centre while the platform is reachable.
// While it is not, the data centre may be partitioned rather than removed.
func (c *contact) recordDataCentre(dataCentre string, at, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, known := c.dataCentres[dataCentre]
	if !known && c.platformFreshLocked(now) && now.Sub(at) > c.forgetAfter {
		return
	}
	if !known || at.After(held) {
		c.dataCentres[dataCentre] = at
	}
}

// recordPeerRevision records the revision that a peer has applied.
func (c *contact) recordPeerRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestPeerRevision = max(c.newestPeerRevision, revision)
}

// forgetDataCentres removes the data centres that are not in live and had no
// contact for forgetAfter. It does nothing while the platform is unreachable.
func (c *contact) forgetDataCentres(live map[string]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.platformFreshLocked(now) {
		return
	}
	for dataCentre, at := range c.dataCentres {
		if !live[dataCentre] && now.Sub(at) > c.forgetAfter {
			delete(c.dataCentres, dataCentre)
		}
	}
}

// platformFreshLocked reports whether the platform was reached within staleAfter.
// The caller holds mu.
func (c *contact) platformFreshLocked(now time.Time) bool {
	return !c.platformReachedAt.IsZero() && now.Sub(c.platformReachedAt) <= c.staleAfter
}

// upToDate reports whether no daemon can have had an edit above revision for long:
// either the platform was reached recently, or it is unreachable for daemons of all
// data centres and no peer has reported a higher revision.
func (c *contact) upToDate(now time.Time, revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.platformFreshLocked(now) {
		return true
	}
	return c.newestPeerRevision <= revision && len(c.silentLocked(now)) == 0
}

// silentLocked returns the data centres without contact within staleAfter. The
// caller holds mu.
func (c *contact) silentLocked(now time.Time) []string {
	var names []string
	for dataCentre, at := range c.dataCentres {
		if now.Sub(at) > c.staleAfter {
			names = append(names, dataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// ages returns the age of the latest platform contact, negative if there was none,
// and the age of the latest contact with each data centre.
func (c *contact) ages(now time.Time) (time.Duration, []dataCentreContact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	platform := time.Duration(-1)
	if !c.platformReachedAt.IsZero() {
		platform = now.Sub(c.platformReachedAt)
	}
	var dataCentres []dataCentreContact
	for dataCentre, at := range c.dataCentres {
		if !at.IsZero() {
			dataCentres = append(dataCentres, dataCentreContact{DataCentre: dataCentre, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(dataCentres, func(a, b dataCentreContact) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return platform, dataCentres
}

// silentDataCentres returns the data centres without contact within staleAfter.
func (c *contact) silentDataCentres(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silentLocked(now)
}

// platformFresh reports whether the platform was reached within staleAfter.
func (c *contact) platformFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.platformFreshLocked(now)
}
